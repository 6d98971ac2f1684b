// The protocol between proxies and the interpretation of servers' answers, in particular whether a request
// may have run. At the end Inbound, the server side of a hop, with an application server on loopback.
#include <doctest/doctest.h>

#include <type_traits>

#include "lab/scripted.hpp"
#include "proxy/hop_headers.hpp"
#include "proxy/inbound.hpp"
#include "proxy/mesh_dialect.hpp"

using namespace cobaltshift;
using namespace cobaltshift::proxy;
using config::RouteKind;

// Enforced by types: a refusal needs a NotRun, and a NotRun can only be made from a Failure.
static_assert(!std::is_default_constructible_v<NotRun>);
static_assert(!std::is_constructible_v<NotRun, Reason>);
static_assert(!std::is_constructible_v<NotRun, Failure>);
static_assert(!std::is_constructible_v<NotRun, Execution, Reason>);
static_assert(!std::is_invocable_v<decltype(&refusal), Failure, double>);
static_assert(!std::is_invocable_v<decltype(&refusal), Reason, double>);
static_assert(std::is_invocable_v<decltype(&refusal), NotRun, double>);

namespace {

constexpr std::uint8_t kReasons = static_cast<std::uint8_t>(Reason::no_configuration) + 1;
const std::vector<Execution> kVerdicts{Execution::not_run, Execution::may_have_run, Execution::ran};

bool promises(unsigned status) { return status == 429 || status == 503 || status == 408 || status == 421; }

HttpResponse an_answer(unsigned status, std::initializer_list<std::pair<const char*, const char*>> fields) {
    HttpResponse response(static_cast<http::status>(status), 11);
    for (const auto& [name, value] : fields) response.insert(name, value);
    response.body() = "bytes";
    return response;
}
// The failure as which a server's answer is interpreted; none if it is passed on.
std::optional<Failure> failure_of(HttpResponse response) {
    std::optional<Failure> found;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(validate_server_answer(std::move(response)));
            return {};
        },
        [&](const Failure& failure) { found = failure; }, [&] { FAIL("an error without a Failure"); });
    return found;
}
bool reads_as(HttpResponse response, Execution execution, Reason reason) {
    const auto failure = failure_of(std::move(response));
    return failure && failure->execution == execution && failure->reason == reason;
}

}  // namespace

TEST_CASE("hop: only a not_run failure gives proof that a request has not run") {
    for (std::uint8_t i = 0; i < kReasons; ++i)
        for (const Execution execution : kVerdicts) {
            const auto proof = NotRun::from({execution, static_cast<Reason>(i)});
            CHECK(proof.has_value() == (execution == Execution::not_run));
            if (proof) CHECK(proof->reason() == static_cast<Reason>(i));
        }
}

TEST_CASE("hop: a request that may have run never gets a status that promises it has not") {
    for (std::uint8_t i = 0; i < kReasons; ++i) {
        const auto reason = static_cast<Reason>(i);
        CAPTURE(name(reason));
        CHECK_FALSE(promises(failure(reason).result_int()));
        for (const Execution execution : {Execution::may_have_run, Execution::ran}) {
            const HttpResponse own = proxy_answer({execution, reason});
            CHECK_FALSE(promises(own.result_int()));
            CHECK(own.result_int() / 100 == 5);
        }
        CHECK(proxy_answer({Execution::not_run, reason}).result_int() == 503);
    }
    CHECK(failure(Reason::silent).result_int() == 504);
    CHECK(failure(Reason::broken).result_int() == 502);
}

TEST_CASE("hop: a refusal says when to retry, in seconds") {
    const NotRun proof = *NotRun::from({Execution::not_run, Reason::full});
    const HttpResponse soon = refusal(proof, 60);
    CHECK(soon.result_int() == 503);
    CHECK(std::stod(std::string(soon[http::field::retry_after])) == doctest::Approx(0.06));
    CHECK(refusal(proof, 0).count(http::field::retry_after) == 0);
}

TEST_CASE("hop: a server's answer is passed on unchanged if it is stamped and not encoded") {
    for (const unsigned status : {200U, 201U, 204U})
        CHECK_FALSE(failure_of(an_answer(status, {{kPostmark, "x"}})));
    for (const unsigned status : {302U, 400U, 404U, 500U, 502U, 504U}) {
        CAPTURE(status);
        CHECK_FALSE(failure_of(an_answer(status, {})));
    }
    const auto passed = validate_server_answer(an_answer(200, {{kPostmark, "x"}, {"Other", "y"}}));
    REQUIRE(passed);
    CHECK(passed->result_int() == 200);
    CHECK(passed->body() == "bytes");
    CHECK((*passed)["Other"] == "y");
}

TEST_CASE("hop: a success that is not stamped or is encoded is a failure; the request may have run") {
    CHECK(reads_as(an_answer(200, {}), Execution::may_have_run, Reason::broken));
    CHECK(reads_as(an_answer(200, {{kPostmark, ""}}), Execution::may_have_run, Reason::broken));
    CHECK(reads_as(an_answer(200, {{kPostmark, "x"}, {"Content-Encoding", "gzip"}}), Execution::may_have_run,
                   Reason::broken));
}

TEST_CASE("hop: only Not-Run and 421 prove that a request did not run") {
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

TEST_CASE("hop: a server can't send a proxy's header fields") {
    const auto passed = validate_server_answer(an_answer(
        200, {{kPostmark, "x"}, {kVerdict, "not-run full"}, {kVerdict, "not-run late"}, {kEdition, "9"}}));
    REQUIRE(passed);
    CHECK((*passed)[kVerdict] == "ran");
    CHECK(passed->count(kEdition) == 0);
    const auto own_failure = validate_server_answer(an_answer(500, {{kVerdict, "not-run full"}}));
    REQUIRE(own_failure);
    CHECK_FALSE(parse_verdict(*own_failure));
}

TEST_CASE("hop: a proxy's own answer is parsed as the failure it reports") {
    for (std::uint8_t i = 0; i < kReasons; ++i)
        for (const Execution execution : kVerdicts) {
            const Failure meant{execution, static_cast<Reason>(i)};
            const auto read = parse_verdict(proxy_answer(meant));
            REQUIRE(read);
            CHECK((read->execution == Execution::not_run) == (execution == Execution::not_run));
            CHECK(read->reason == meant.reason);
        }
}

TEST_CASE("hop: an answer without a verdict proves nothing, whatever its status") {
    for (const unsigned status : {200U, 400U, 408U, 421U, 429U, 500U, 503U}) {
        CAPTURE(status);
        const auto read = parse_verdict(an_answer(status, {{kPostmark, "x"}}));
        REQUIRE(read);
        CHECK(read->execution == Execution::may_have_run);
    }
}

TEST_CASE("hop: an answer of another proxy that bears another request's id is another request's") {
    HttpRequest request;
    request.set(kRequestId, "a");
    using exchange::AnswerOwner;
    for (const char* verdict : {"ran", "not-run full", "may-have-run broken"}) {
        CAPTURE(std::string(verdict));
        const auto owner = [&](const char* id) {
            return owner_of_hop_answer(request, an_answer(503, {{kVerdict, verdict}, {kRequestId, id}}));
        };
        CHECK(owner("a") == AnswerOwner::this_request);
        CHECK(owner("b") == AnswerOwner::another_request);
    }
}

TEST_CASE("hop: an unknown verdict counts as may-have-run") {
    for (const char* text :
         {"not-run", "not-run ", "not-run nonsense", "NOT-RUN full", "not-run  full", "not-run full late",
          "not-run\tfull", "not-ran full", "full", "-", "may-have-run", "may-have-run nonsense"}) {
        CAPTURE(std::string(text));
        const auto read = parse_verdict(an_answer(503, {{kVerdict, text}}));
        REQUIRE(read);
        CHECK(read->execution == Execution::may_have_run);
    }
}

TEST_CASE("hop: the Mesh-Hop field is parsed as it was written") {
    for (const RouteKind kind : {RouteKind::plain, RouteKind::registered, RouteKind::download})
        for (const bool wait : {false, true}) {
            const Hop sent{kind, 3, 1250, 4, wait, 1ULL << 40};
            const auto read = parse_hop(to_text(sent));
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

TEST_CASE("hop: malformed Mesh-Hop fields are rejected, large numbers are bounded") {
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
        CHECK_FALSE(parse_hop(text));
    }
    std::string cut = "r;1;2;3;1;4";
    for (std::size_t n = 0; n < cut.size(); ++n) CHECK_FALSE(parse_hop(beast::string_view(cut.data(), n)));
    CHECK(parse_hop(cut));
    const auto large = parse_hop("p;18446744073709551615;1;18446744073709551615;7;1");
    REQUIRE(large);
    CHECK(large->rank <= 1000);
    CHECK(large->tries <= 100);
    CHECK_FALSE(large->may_wait);
}

TEST_CASE("hop: a deadline is a number of 0 or more, rounded down to whole milliseconds") {
    CHECK(parse_ms("2500") == 2500);
    CHECK(parse_ms("0") == 0);
    CHECK(parse_ms("12.9") == 12);
    for (const char* text : {"", " ", "-1", "1 ", " 1", "1s", "inf", "nan", "1e999", "0x10", "1,5"}) {
        CAPTURE(std::string(text));
        CHECK_FALSE(parse_ms(text));
    }
}

// ---- The caller side: when a request may be sent again or refused ----------------------------------------

namespace {

struct Caller {
    Clock clock;
    MeshDialect dialect{{clock, [] { return std::size_t{1}; }, [] { return std::uint64_t{0}; },
                         [](const std::string&) {}, [](const std::string&, std::uint64_t) {}},
                        {}};
    HttpRequest message;
    RequestContext request_context;
    explicit Caller(const char* hop) {
        message.set(kHop, hop);
        dialect.classify(message, request_context);
    }
    bool send() { return dialect.may_send(message, request_context, "i-1"); }
};

}  // namespace

TEST_CASE(
    "hop: a request that was sent and not answered is not refused, and sent again only if it may run "
    "twice") {
    for (const Outcome outcome : {Outcome::connection_lost, Outcome::timed_out, Outcome::cancelled})
        for (const char* hop : {"r;0;500;3;0;1", "p;0;500;3;0;1"}) {
            CAPTURE(std::string(hop));
            CAPTURE(static_cast<int>(outcome));
            Caller caller(hop);
            REQUIRE(caller.send());
            caller.dialect.read(outcome, nullptr, caller.request_context);
            CHECK(caller.send() == (hop[0] == 'p'));
            const HttpResponse said = caller.dialect.refusal(caller.request_context, 100);
            CHECK_FALSE(promises(said.result_int()));
            CHECK(said.result_int() / 100 == 5);
        }
}

TEST_CASE("hop: a request refused as repeated may have run") {
    Caller caller("r;0;500;3;0;1");
    REQUIRE(caller.send());
    const HttpResponse answer = proxy_answer({Execution::not_run, Reason::repeated});
    caller.dialect.read(Outcome::errored, &answer, caller.request_context);
    CHECK_FALSE(caller.send());
    CHECK_FALSE(promises(caller.dialect.refusal(caller.request_context, 100).result_int()));
}

TEST_CASE(
    "hop: a request that no server received may be sent any number of times, and refused with a retry time") {
    Caller caller("r;0;500;1;0;1");
    for (int i = 0; i < 20; ++i) {
        REQUIRE(caller.send());
        const HttpResponse answer = proxy_answer({Execution::not_run, Reason::full});
        const AttemptResult reading = caller.dialect.read(Outcome::errored, &answer, caller.request_context);
        CHECK_FALSE(reading.final);
        CHECK_FALSE(reading.reached_server);
    }
    const HttpResponse said = caller.dialect.refusal(caller.request_context, 100);
    CHECK(said.result_int() == 503);
    CHECK_FALSE(said[http::field::retry_after].empty());
}

TEST_CASE("hop: a refusal by the server itself counts as a try") {
    Caller caller("r;0;500;2;0;1");
    REQUIRE(caller.send());
    const HttpResponse answer = proxy_answer({Execution::not_run, Reason::turned_away});
    caller.dialect.read(Outcome::errored, &answer, caller.request_context);
    REQUIRE(caller.send());
    caller.dialect.read(Outcome::errored, &answer, caller.request_context);
    CHECK_FALSE(caller.send());
    CHECK(caller.dialect.refusal(caller.request_context, 100).result_int() == 503);
}

// ---- The server side: Inbound and an application server --------------------------------------------------

namespace {

struct WaitingClient : Client {
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

struct InboundFixture {
    explicit InboundFixture(std::uint32_t capacity, lab::FakeServer::Reply reply = serve)
        : app(std::move(reply)),
          boot(beside(app)),
          inbound(io, clock, boot, {[] { return std::uint64_t{1}; }, newer}) {
        if (capacity > 0) inbound.on_heartbeat("i-0", capacity, false, 1);
    }
    static boot::Boot beside(const lab::FakeServer& app) {
        const std::string at = app.at();
        boot::Boot b;
        b.ip = "127.0.0.1";
        b.app_address = tcp::endpoint(asio::ip::make_address(b.ip),
                                      static_cast<std::uint16_t>(std::stoi(at.substr(at.rfind(':') + 1))));
        return b;
    }
    static RequestPtr a_request(const std::string& id, const std::string& instance_id = "i-0",
                                const std::string& deadline = "2500") {
        auto request = std::make_shared<HeldRequest>(http::verb::post, "/x", 11);
        request->set(kRequestId, id);
        request->set(kDeadline, deadline);
        request->set(kCaller, "till");
        request->set(kInstance, instance_id);
        request->set(kHop, "r;0;1000;2;1;1");
        return request;
    }
    std::shared_ptr<WaitingClient> send(RequestPtr request) {
        REQUIRE_FALSE(inbound.fault(*request));
        auto client = std::make_shared<WaitingClient>();
        last = inbound.arrived(std::move(request), 0, client);
        return client;
    }
    bool until(const std::function<bool()>& what) {
        const auto end = std::chrono::steady_clock::now() + lab::kPatience;
        while (!what() && std::chrono::steady_clock::now() < end) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(50));
        }
        return what();
    }
    bool answered(const std::shared_ptr<WaitingClient>& client) {
        return until([&] { return client->said.has_value(); });
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

TEST_CASE("inbound: requests without a proxy's fields are rejected") {
    InboundFixture fixture(1);
    const auto fault = [&](const std::function<void(HttpRequest&)>& change) {
        const RequestPtr request = InboundFixture::a_request("a");
        change(*request);
        return fixture.inbound.fault(*request) == http::status::bad_request;
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

TEST_CASE("inbound: an id runs once; a request for another instance or after closing does not run") {
    InboundFixture fixture(4);
    const auto first = fixture.send(InboundFixture::a_request("a"));
    CHECK(fixture.answered(first));
    CHECK(first->status() == 200);
    CHECK((*first->said)[kEdition] == "1");
    CHECK((*first->said)[kRequestId] == "a");
    const auto verdict_of = [&](RequestPtr request) {
        const auto client = fixture.send(std::move(request));
        CHECK(fixture.answered(client));
        CHECK(client->status() == 503);
        CHECK(client->said->count(kRequestId) == 1);
        return client->verdict();
    };
    CHECK(verdict_of(InboundFixture::a_request("a")) == "not-run repeated");
    CHECK(verdict_of(InboundFixture::a_request("b", "i-9")) == "not-run wrong-life");
    CHECK(verdict_of(InboundFixture::a_request("b", "i-0", "0")) == "not-run late");
    fixture.inbound.on_heartbeat("i-0", 4, true, 2);
    CHECK(verdict_of(InboundFixture::a_request("c")) == "not-run closing");
    fixture.inbound.leave();
    CHECK(verdict_of(InboundFixture::a_request("d")) == "not-run leaving");
    CHECK(fixture.app.seen().size() == 1);
}

TEST_CASE("inbound: when the server deregisters, queued requests are refused and running ones answered") {
    std::promise<void> release;
    InboundFixture fixture(
        1, [released = release.get_future().share()](lab::Wire& wire, const HttpRequest& request, int n) {
            return released.wait(), serve(wire, request, n);
        });
    const auto runs = fixture.send(InboundFixture::a_request("a"));
    const auto leaves = fixture.send(InboundFixture::a_request("b"));
    fixture.inbound.client_gone(fixture.last);
    CHECK(fixture.inbound.admission().waiting() == 0);
    const auto waits = fixture.send(InboundFixture::a_request("c"));
    CHECK(fixture.inbound.admission().waiting() == 1);
    fixture.inbound.on_deregistered("i-0");
    CHECK(fixture.answered(waits));
    CHECK(waits->verdict() == "not-run closing");
    release.set_value();
    CHECK(fixture.answered(runs));
    CHECK(runs->status() == 200);
    CHECK(fixture.app.seen().size() == 1);
    CHECK_FALSE(leaves->said);
    CHECK_FALSE(fixture.inbound.busy());
}

TEST_CASE("inbound: a request without an answer by its deadline times out and may have run") {
    std::promise<void> release;
    InboundFixture fixture(1, [released = release.get_future().share()](lab::Wire&, const HttpRequest&, int) {
        return released.wait(), false;
    });
    const auto client = fixture.send(InboundFixture::a_request("a", "i-0", "100"));
    CHECK(fixture.answered(client));
    CHECK(client->status() == 504);
    CHECK(client->verdict() == "may-have-run silent");
    release.set_value();
}

// Refusals of the platform's wire description, by an overloaded server and by one that has taken over another
// server's address. Neither has a Request-Id.
TEST_CASE("inbound: a server that refuses a request without its id has not run it") {
    for (const auto& [status, field, verdict] : {std::tuple{503, "Not-Run: 1\r\n", "not-run turned-away"},
                                                 {421, "Instance: i-9\r\n", "not-run turned-away"}}) {
        InboundFixture fixture(1,
                               [&, status = status, field = field](lab::Wire& wire, const HttpRequest&, int) {
                                   return wire.respond(status, "", field), true;
                               });
        const auto client = fixture.send(InboundFixture::a_request("a", "i-0", "200"));
        CHECK(fixture.answered(client));
        CHECK(client->status() == 503);
        CHECK(client->verdict() == verdict);
    }
}

TEST_CASE("inbound: without a connection to the server a request has not run") {
    InboundFixture fixture(1);
    fixture.app.stop();
    const auto client = fixture.send(InboundFixture::a_request("a"));
    CHECK(fixture.answered(client));
    CHECK(client->verdict() == "not-run unreachable");
}

TEST_CASE("inbound: after a restart a health check finds the server's instance; nothing runs before") {
    InboundFixture fixture(0, [](lab::Wire& wire, const HttpRequest& request, int n) {
        if (request.target() != "/health") return serve(wire, request, n);
        return wire.respond(200, "", "Instance: i-7\r\n"), false;
    });
    const auto early = fixture.send(InboundFixture::a_request("a", "i-7"));
    CHECK(early->verdict() == "not-run wrong-life");
    std::string instance_id;
    fixture.inbound.check_health("/health", 3, [&](const std::string& healthy) { instance_id = healthy; });
    CHECK(fixture.until([&] { return !instance_id.empty(); }));
    CHECK(instance_id == "i-7");
    CHECK(fixture.inbound.admission().capacity() == 3);
    const auto client = fixture.send(InboundFixture::a_request("a", "i-7"));
    CHECK(fixture.answered(client));
    CHECK(client->status() == 200);
}
