// What one proxy says to another, and how a server's answer reads: above all whether a request may have run.
// At the end the server's side of a hop, a Inbound with a server beside it on loopback.
#include "proxy/hop.hpp"

#include <doctest/doctest.h>

#include <type_traits>

#include "lab/scripted.hpp"
#include "proxy/inbound.hpp"
#include "proxy/mesh_dialect.hpp"

using namespace cobaltshift;
using namespace cobaltshift::proxy;
using config::RouteKind;

// By type: a refusal needs the proof, and the proof can't be had but from a verdict.
static_assert(!std::is_default_constructible_v<NotRun>);
static_assert(!std::is_constructible_v<NotRun, Reason>);
static_assert(!std::is_constructible_v<NotRun, Failure>);
static_assert(!std::is_constructible_v<NotRun, Execution, Reason>);
static_assert(!std::is_invocable_v<decltype(&refusal), Failure, double>);
static_assert(!std::is_invocable_v<decltype(&refusal), Reason, double>);
static_assert(std::is_invocable_v<decltype(&refusal), NotRun, double>);

namespace {

constexpr std::uint8_t kReasons = static_cast<std::uint8_t>(Reason::unsettled) + 1;
const std::vector<Execution> kVerdicts{Execution::not_run, Execution::may_have_run, Execution::ran};

bool promises(unsigned status) { return status == 429 || status == 503 || status == 408 || status == 421; }

HttpResponse an_answer(unsigned status, std::initializer_list<std::pair<const char*, const char*>> fields) {
    HttpResponse response(static_cast<http::status>(status), 11);
    for (const auto& [name, value] : fields) response.insert(name, value);
    response.body() = "bytes";
    return response;
}
// What the answer is read as: a failure, or none if it goes on as it is.
std::optional<Failure> failure_of(HttpResponse response) {
    std::optional<Failure> found;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(server_answer(std::move(response)));
            return {};
        },
        [&](const Failure& failure) { found = failure; }, [&] { FAIL("an error that says nothing"); });
    return found;
}
bool reads_as(HttpResponse response, Execution execution, Reason reason) {
    const auto failure = failure_of(std::move(response));
    return failure && failure->execution == execution && failure->reason == reason;
}

}  // namespace

TEST_CASE("hop: proof that a request has not run comes from that verdict alone") {
    for (std::uint8_t i = 0; i < kReasons; ++i)
        for (const Execution execution : kVerdicts) {
            const auto proof = NotRun::from({execution, static_cast<Reason>(i)});
            CHECK(proof.has_value() == (execution == Execution::not_run));
            if (proof) CHECK(proof->reason() == static_cast<Reason>(i));
        }
}

TEST_CASE("hop: what may have run is never answered by a status that promises it has not") {
    for (std::uint8_t i = 0; i < kReasons; ++i) {
        const auto reason = static_cast<Reason>(i);
        CAPTURE(name(reason));
        CHECK_FALSE(promises(failure(reason).result_int()));
        for (const Execution execution : {Execution::may_have_run, Execution::ran}) {
            const HttpResponse own = own_answer({execution, reason});
            CHECK_FALSE(promises(own.result_int()));
            CHECK(own.result_int() / 100 == 5);
        }
        CHECK(own_answer({Execution::not_run, reason}).result_int() == 503);
    }
    CHECK(failure(Reason::silent).result_int() == 504);
    CHECK(failure(Reason::broken).result_int() == 502);
}

TEST_CASE("hop: a refusal says when to come back, in seconds") {
    const NotRun proof = *NotRun::from({Execution::not_run, Reason::full});
    const HttpResponse soon = refusal(proof, 60);
    CHECK(soon.result_int() == 503);
    CHECK(std::stod(std::string(soon[http::field::retry_after])) == doctest::Approx(0.06));
    CHECK(refusal(proof, 0).count(http::field::retry_after) == 0);
}

TEST_CASE("hop: a server's answer goes on as it is if it is stamped and its own bytes") {
    for (const unsigned status : {200U, 201U, 204U})
        CHECK_FALSE(failure_of(an_answer(status, {{kPostmark, "x"}})));
    for (const unsigned status : {302U, 400U, 404U, 500U, 502U, 504U}) {
        CAPTURE(status);
        CHECK_FALSE(failure_of(an_answer(status, {})));
    }
    const auto passed = server_answer(an_answer(200, {{kPostmark, "x"}, {"Other", "y"}}));
    REQUIRE(passed);
    CHECK(passed->result_int() == 200);
    CHECK(passed->body() == "bytes");
    CHECK((*passed)["Other"] == "y");
}

TEST_CASE("hop: a success without a stamp, or encoded on the way, is none; it may have run") {
    CHECK(reads_as(an_answer(200, {}), Execution::may_have_run, Reason::broken));
    CHECK(reads_as(an_answer(200, {{kPostmark, ""}}), Execution::may_have_run, Reason::broken));
    CHECK(reads_as(an_answer(200, {{kPostmark, "x"}, {"Content-Encoding", "gzip"}}), Execution::may_have_run,
                   Reason::broken));
}

TEST_CASE("hop: only Not-Run and 421 say that it did not run") {
    for (const unsigned status : {503U, 429U, 400U, 500U}) {
        CAPTURE(status);
        CHECK(reads_as(an_answer(status, {{kNotRun, "1"}}), Execution::not_run, Reason::turned_away));
    }
    CHECK(reads_as(an_answer(421, {}), Execution::not_run, Reason::turned_away));
    for (const unsigned status : {503U, 429U, 408U}) {
        CAPTURE(status);
        CHECK(reads_as(an_answer(status, {}), Execution::may_have_run, Reason::broken));
    }
}

TEST_CASE("hop: a server can't speak as a proxy") {
    const auto passed = server_answer(an_answer(
        200, {{kPostmark, "x"}, {kVerdict, "not-run full"}, {kVerdict, "not-run late"}, {kEdition, "9"}}));
    REQUIRE(passed);
    CHECK((*passed)[kVerdict] == "ran");
    CHECK(passed->count(kEdition) == 0);
    const auto own_failure = server_answer(an_answer(500, {{kVerdict, "not-run full"}}));
    REQUIRE(own_failure);
    CHECK_FALSE(read_failure(*own_failure));
}

TEST_CASE("hop: a proxy's own answer reads as what was meant") {
    for (std::uint8_t i = 0; i < kReasons; ++i)
        for (const Execution execution : kVerdicts) {
            const Failure meant{execution, static_cast<Reason>(i)};
            const auto read = read_failure(own_answer(meant));
            REQUIRE(read);
            CHECK((read->execution == Execution::not_run) == (execution == Execution::not_run));
            CHECK(read->reason == meant.reason);
        }
    // Without a verdict it is of the other proxy's listener, which had not read the request yet.
    for (const unsigned status : {503U, 408U}) {
        const auto unread = read_failure(an_answer(status, {}));
        REQUIRE(unread);
        CHECK(unread->execution == Execution::not_run);
        CHECK(unread->reason == Reason::full);
    }
    CHECK_FALSE(read_failure(an_answer(200, {{kPostmark, "x"}})));
}

TEST_CASE("hop: a verdict that is not understood may have run") {
    for (const char* text :
         {"not-run", "not-run ", "not-run nonsense", "NOT-RUN full", "not-run  full", "not-run full late",
          "not-run\tfull", "not-ran full", "full", "-", "may-have-run", "may-have-run nonsense"}) {
        CAPTURE(std::string(text));
        const auto read = read_failure(an_answer(503, {{kVerdict, text}}));
        REQUIRE(read);
        CHECK(read->execution == Execution::may_have_run);
    }
}

TEST_CASE("hop: the header comes back as it went") {
    for (const RouteKind kind : {RouteKind::plain, RouteKind::registered, RouteKind::download})
        for (const bool wait : {false, true}) {
            const Hop sent{kind, 3, 1250, 4, wait, 1ULL << 40};
            const auto read = read_hop(to_text(sent));
            REQUIRE(read);
            CHECK(read->kind == kind);
            CHECK(read->once() == (kind == RouteKind::registered));
            CHECK(read->rank == 3);
            CHECK(read->target_ms == 1250);
            CHECK(read->tries == 4);
            CHECK(read->may_wait == wait);
            CHECK(read->edition == 1ULL << 40);
        }
}

TEST_CASE("hop: hostile texts are no header") {
    for (const char* text : {"",
                             "p",
                             "p;",
                             ";",
                             "x;0;1;1;1;1",
                             "P;0;1;1;1;1",
                             "p0;1;1;1;1",
                             "pp;0;1;1;1;1",
                             "p;0;1;1;1",
                             "p;0;1;1;1;",
                             "p;0;1;1;1;1;",
                             "p;0;1;1;1;1;1",
                             "p;0;1;1;1;1 ",
                             " p;0;1;1;1;1",
                             "p;-1;1;1;1;1",
                             "p;+1;1;1;1;1",
                             "p;0;1.5;1;1;1",
                             "p;0;0x1;1;1;1",
                             "p;;1;1;1;1",
                             "p;0;1,1;1;1",
                             "p;0;1;1;1;18446744073709551616",
                             "p;99999999999999999999999;1;1;1;1",
                             "p;0;1e3;1;1;1",
                             "p;0;nan;1;1;1"}) {
        CAPTURE(std::string(text));
        CHECK_FALSE(read_hop(text));
    }
    std::string cut = "r;1;2;3;1;4";
    for (std::size_t n = 0; n < cut.size(); ++n) CHECK_FALSE(read_hop(beast::string_view(cut.data(), n)));
    CHECK(read_hop(cut));
    const auto large = read_hop("p;18446744073709551615;1;18446744073709551615;7;1");
    REQUIRE(large);
    CHECK(large->rank <= 1000);
    CHECK(large->tries <= 100);
    CHECK_FALSE(large->may_wait);
}

TEST_CASE("hop: a deadline is a figure of 0 or more, in whole milliseconds") {
    CHECK(read_ms("2500") == 2500);
    CHECK(read_ms("0") == 0);
    CHECK(read_ms("12.9") == 12);
    for (const char* text : {"", " ", "-1", "1 ", " 1", "1s", "inf", "nan", "1e999", "0x10", "1,5"}) {
        CAPTURE(std::string(text));
        CHECK_FALSE(read_ms(text));
    }
}

// ---- The caller's side: what of a story may be refused ---------------------------------------------------

namespace {

struct Caller {
    Clock clock;
    MeshDialect dialect{{clock, [] { return std::size_t{1}; }, [] { return std::uint64_t{0}; },
                         [](const std::string&) {}, [](const std::string&, std::uint64_t) {}},
                        {}};
    HttpRequest message;
    Story story;
    explicit Caller(const char* hop) {
        message.set(kHop, hop);
        dialect.classify(message, story);
    }
    bool send() { return dialect.may_send(message, story, "i-1"); }
};

}  // namespace

TEST_CASE(
    "hop: a request that was sent and not answered is not refused, and sent again only where it may run "
    "twice") {
    for (const Outcome outcome : {Outcome::severed, Outcome::overdue, Outcome::recalled})
        for (const char* hop : {"r;0;500;3;0;1", "p;0;500;3;0;1"}) {
            CAPTURE(std::string(hop));
            CAPTURE(static_cast<int>(outcome));
            Caller caller(hop);
            REQUIRE(caller.send());
            caller.dialect.read(outcome, nullptr, caller.story);
            CHECK(caller.send() == (hop[0] == 'p'));
            const HttpResponse said = caller.dialect.refusal(caller.story, 100);
            CHECK_FALSE(promises(said.result_int()));
            CHECK(said.result_int() / 100 == 5);
        }
}

TEST_CASE("hop: one repeated at an admission may have run there") {
    Caller caller("r;0;500;3;0;1");
    REQUIRE(caller.send());
    const HttpResponse answer = own_answer({Execution::not_run, Reason::repeated});
    caller.dialect.read(Outcome::errored, &answer, caller.story);
    CHECK_FALSE(caller.send());
    CHECK_FALSE(promises(caller.dialect.refusal(caller.story, 100).result_int()));
}

TEST_CASE("hop: what no server had may be offered elsewhere without end, and be refused with a time") {
    Caller caller("r;0;500;1;0;1");
    for (int i = 0; i < 20; ++i) {
        REQUIRE(caller.send());
        const HttpResponse answer = own_answer({Execution::not_run, Reason::full});
        const Reading reading = caller.dialect.read(Outcome::errored, &answer, caller.story);
        CHECK_FALSE(reading.final);
        CHECK_FALSE(reading.offered);
    }
    const HttpResponse said = caller.dialect.refusal(caller.story, 100);
    CHECK(said.result_int() == 503);
    CHECK_FALSE(said[http::field::retry_after].empty());
}

TEST_CASE("hop: what a server turned away itself counts as a try of the route's") {
    Caller caller("r;0;500;2;0;1");
    REQUIRE(caller.send());
    const HttpResponse answer = own_answer({Execution::not_run, Reason::turned_away});
    caller.dialect.read(Outcome::errored, &answer, caller.story);
    REQUIRE(caller.send());
    caller.dialect.read(Outcome::errored, &answer, caller.story);
    CHECK_FALSE(caller.send());
    CHECK(caller.dialect.refusal(caller.story, 100).result_int() == 503);
}

// ---- The server's side: a inbound and the server beside it
// --------------------------------------------------

namespace {

struct Asked : Client {
    std::optional<HttpResponse> said;
    void answer(HttpResponse response) override {
        CHECK_FALSE(said);
        said = std::move(response);
    }
    unsigned status() const { return said ? said->result_int() : 0; }
    std::string verdict() const { return said ? std::string((*said)[kVerdict]) : "no answer"; }
};

bool serve(lab::Wire& wire, const HttpRequest& request, int) {
    wire.respond(200, "fine", "Request-Id: " + std::string(request[kRequestId]) + "\r\nPostmark: 3e1b\r\n");
    return true;
}

struct AtGate {
    explicit AtGate(std::uint32_t capacity, lab::FakeServer::Reply reply = serve)
        : app(std::move(reply)),
          boot(beside(app)),
          inbound(io, clock, boot, {[] { return std::uint64_t{1}; }, newer}) {
        if (capacity > 0) inbound.beat("i-0", capacity, false, 1);
    }
    static boot::Boot beside(const lab::FakeServer& app) {
        const std::string at = app.at();
        boot::Boot b;
        b.ip = "127.0.0.1";
        b.app_address = tcp::endpoint(asio::ip::make_address(b.ip),
                                      static_cast<std::uint16_t>(std::stoi(at.substr(at.rfind(':') + 1))));
        return b;
    }
    static RequestPtr a_request(const std::string& id, const std::string& life = "i-0",
                                const std::string& deadline = "2500") {
        auto request = std::make_shared<HttpRequest>(http::verb::post, "/x", 11);
        request->set(kRequestId, id);
        request->set(kDeadline, deadline);
        request->set(kCaller, "till");
        request->set(kInstance, life);
        request->set(kHop, "r;0;1000;2;1;1");
        return request;
    }
    std::shared_ptr<Asked> ask(RequestPtr request) {
        REQUIRE_FALSE(inbound.fault(*request));
        auto asked = std::make_shared<Asked>();
        last = inbound.arrived(std::move(request), 0, asked);
        return asked;
    }
    bool until(const std::function<bool()>& what) {
        const auto end = std::chrono::steady_clock::now() + lab::kPatience;
        while (!what() && std::chrono::steady_clock::now() < end) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(50));
        }
        return what();
    }
    bool answered(const std::shared_ptr<Asked>& asked) {
        return until([&] { return asked->said.has_value(); });
    }
    std::function<void(std::uint64_t)> newer = [](std::uint64_t) {};
    asio::io_context io{1};
    Clock clock;
    lab::FakeServer app;
    boot::Boot boot;
    Inbound inbound;
    RequestId last = 0;
};

}  // namespace

TEST_CASE("inbound: whoever is no proxy has no say in what the server runs") {
    AtGate at(1);
    const auto fault = [&](const std::function<void(HttpRequest&)>& change) {
        const RequestPtr request = AtGate::a_request("a");
        change(*request);
        return at.inbound.fault(*request) == http::status::bad_request;
    };
    CHECK_FALSE(fault([](HttpRequest&) {}));
    for (const char* field : {kHop, kInstance, kRequestId, kCaller, kDeadline}) {
        CAPTURE(std::string(field));
        CHECK(fault([&](HttpRequest& request) { request.erase(field); }));
        if (field != kDeadline) CHECK(fault([&](HttpRequest& request) { request.insert(field, "another"); }));
    }
    CHECK(fault([](HttpRequest& request) { request.set(kHop, "r;0;1000;2;1"); }));
    CHECK(fault([](HttpRequest& request) { request.set(kDeadline, "-1"); }));
    CHECK(fault([](HttpRequest& request) {
        request.set(http::field::transfer_encoding, "chunked");
        request.set(http::field::content_length, "5");
    }));
}

TEST_CASE("inbound: one id runs once, another life's request and one after closing not at all") {
    AtGate at(4);
    const auto first = at.ask(AtGate::a_request("a"));
    CHECK(at.answered(first));
    CHECK(first->status() == 200);
    CHECK((*first->said)[kEdition] == "1");
    const auto verdict_of = [&](RequestPtr request) {
        const auto asked = at.ask(std::move(request));
        CHECK(at.answered(asked));
        CHECK(asked->status() == 503);
        return asked->verdict();
    };
    CHECK(verdict_of(AtGate::a_request("a")) == "not-run repeated");
    CHECK(verdict_of(AtGate::a_request("b", "i-9")) == "not-run wrong-life");
    CHECK(verdict_of(AtGate::a_request("b", "i-0", "0")) == "not-run late");
    at.inbound.beat("i-0", 4, true, 2);
    CHECK(verdict_of(AtGate::a_request("c")) == "not-run closing");
    at.inbound.leave();
    CHECK(verdict_of(AtGate::a_request("d")) == "not-run leaving");
    CHECK(at.app.seen().size() == 1);
}

TEST_CASE(
    "inbound: what waits when the server is gone is handed back, what runs is answered; a caller may leave") {
    std::promise<void> release;
    AtGate at(1,
              [released = release.get_future().share()](lab::Wire& wire, const HttpRequest& request, int n) {
                  return released.wait(), serve(wire, request, n);
              });
    const auto runs = at.ask(AtGate::a_request("a"));
    const auto leaves = at.ask(AtGate::a_request("b"));
    at.inbound.client_gone(at.last);
    CHECK(at.inbound.admission().waiting() == 0);
    const auto waits = at.ask(AtGate::a_request("c"));
    CHECK(at.inbound.admission().waiting() == 1);
    at.inbound.gone("i-0");
    CHECK(at.answered(waits));
    CHECK(waits->verdict() == "not-run closing");
    release.set_value();
    CHECK(at.answered(runs));
    CHECK(runs->status() == 200);
    CHECK(at.app.seen().size() == 1);
    CHECK_FALSE(leaves->said);
    CHECK_FALSE(at.inbound.busy());
}

TEST_CASE("inbound: a server that says nothing is given up after the deadline, and may have run it") {
    std::promise<void> release;
    AtGate at(1, [released = release.get_future().share()](lab::Wire&, const HttpRequest&, int) {
        return released.wait(), false;
    });
    const auto asked = at.ask(AtGate::a_request("a", "i-0", "100"));
    CHECK(at.answered(asked));
    CHECK(asked->status() == 504);
    CHECK(asked->verdict() == "may-have-run silent");
    release.set_value();
}

// As `fleetbench wire` prints a server that sheds, and one that has another's address: no id in either.
TEST_CASE("inbound: a server that turns a request away without its id has not run it") {
    for (const auto& [status, field, verdict] : {std::tuple{503, "Not-Run: 1\r\n", "not-run turned-away"},
                                                 {421, "Instance: i-9\r\n", "not-run turned-away"}}) {
        AtGate at(1, [&, status = status, field = field](lab::Wire& wire, const HttpRequest&, int) {
            return wire.respond(status, "", field), true;
        });
        const auto asked = at.ask(AtGate::a_request("a", "i-0", "200"));
        CHECK(at.answered(asked));
        CHECK(asked->status() == 503);
        CHECK(asked->verdict() == verdict);
    }
}

TEST_CASE("inbound: no connection to the server is the one failure that has surely not run") {
    AtGate at(1);
    at.app.stop();
    const auto asked = at.ask(AtGate::a_request("a"));
    CHECK(at.answered(asked));
    CHECK(asked->verdict() == "not-run unreachable");
}

TEST_CASE("inbound: after a restart it asks the server's health for its life; nothing runs before") {
    AtGate at(0, [](lab::Wire& wire, const HttpRequest& request, int n) {
        if (request.target() != "/health") return serve(wire, request, n);
        return wire.respond(200, "", "Instance: i-7\r\n"), false;
    });
    const auto early = at.ask(AtGate::a_request("a", "i-7"));
    CHECK(early->verdict() == "not-run wrong-life");
    std::string life;
    at.inbound.ask_health("/health", 3, [&](const std::string& well) { life = well; });
    CHECK(at.until([&] { return !life.empty(); }));
    CHECK(life == "i-7");
    CHECK(at.inbound.admission().capacity() == 3);
    const auto asked = at.ask(AtGate::a_request("a", "i-7"));
    CHECK(at.answered(asked));
    CHECK(asked->status() == 200);
}
