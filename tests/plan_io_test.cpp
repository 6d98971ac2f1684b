// Tests of src/plan_io over loopback sockets: a planner's server against invalid, unauthenticated and
// replayed messages, its state on disk, and a sidecar that follows the planner's plans.
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "names.hpp"
#include "net_rig.hpp"
#include "plan/codec.hpp"
#include "plan/meter.hpp"
#include "plan_io/advised.hpp"
#include "plan_io/planner_node.hpp"

namespace cobaltshift {
namespace {

using plan::Plan;
using plan::PlanId;
using plan::Report;
using plan::Secret;

constexpr const char* kKey = "sixteen bytes and more";

class TempFolder {
public:
    TempFolder() {
        std::string pattern = testing::TempDir() + "cobaltshift-XXXXXX";
        path = ::mkdtemp(pattern.data());
    }
    ~TempFolder() { std::filesystem::remove_all(path); }
    std::string file(const std::string& name, const std::string& text) const {
        std::ofstream(path + "/" + name) << text;
        return path + "/" + name;
    }
    std::string path;
};

template <class Condition>
bool eventually(Condition condition) {  // the time limit only matters if the test fails
    const auto start = std::chrono::steady_clock::now();
    while (!condition()) {
        if (std::chrono::steady_clock::now() - start > kPatience) return false;
        std::this_thread::yield();
    }
    return true;
}

// A planner node that runs on a thread of its own.
class RunningPlanner {
public:
    explicit RunningPlanner(plan::ServerSettings settings)
        : node_(io_, std::move(settings)), at(node_.endpoint()) {
        thread_ = std::thread([this] { io_.run(); });
    }
    ~RunningPlanner() {
        io_.stop();
        thread_.join();
    }
    template <class F>
    auto ask(F what) {
        std::promise<decltype(what(node_))> promise;
        asio::post(io_, [&] { promise.set_value(what(node_)); });
        return promise.get_future().get();
    }
    std::size_t forwarders() {
        return ask([](plan::PlannerNode& n) { return n.core().forwarders(); });
    }

private:
    asio::io_context io_{1};
    plan::PlannerNode node_;
    std::thread thread_;

public:
    tcp::endpoint at;
};

tcp::endpoint local(unsigned short port = 0) { return {asio::ip::make_address("127.0.0.1"), port}; }
tcp::endpoint parsed(const std::string& at) {
    return local(static_cast<unsigned short>(std::stoi(at.substr(at.find(':') + 1))));
}

plan::ServerSettings settings_for(const std::string& discovery, const std::string& secret = "") {
    plan::ServerSettings s;
    s.listen = local();
    s.discovery = parsed(discovery);
    s.tick = 50;
    s.secret_file = secret;
    return s;
}

// A forwarder whose messages the test builds itself.
struct RawForwarder {
    explicit RawForwarder(tcp::endpoint at, std::string secret = kKey) : app(at), key(std::move(secret)) {}
    std::string message(const std::string& verb, const std::string& target, const std::string& body,
                        const char* kind, const std::string& session, const std::string& count) const {
        return verb + " " + target + " HTTP/1.1\r\nHost: p\r\nX-Plan-Forwarder: " + name +
               "\r\nX-Plan-Session: " + session + "\r\nX-Plan-Count: " + count +
               "\r\nX-Plan-Code: " + key.code({kind, name, session, count, target, body}) +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    std::string session_message() const {
        return "GET /v1/session HTTP/1.1\r\nHost: p\r\nX-Plan-Forwarder: " + name +
               "\r\nX-Plan-Nonce: n\r\nX-Plan-Code: " + key.code({"session", name, "n"}) + "\r\n\r\n";
    }
    std::string session() { return app.ask(session_message()).body(); }
    unsigned ask(const std::string& text) {
        last = app.ask(text);
        return last.result_int();
    }
    std::string report(const std::string& session, int count, std::uint64_t sequence) const {
        return message("POST", "/v1/report", encode(Report{name, 7, sequence, true, {}, {}, {}}), "report",
                       session, std::to_string(count));
    }
    std::string plan(const std::string& session, int count,
                     const std::string& query = "after=0.0&wait_ms=0") const {
        return message("GET", "/v1/plan?" + query, "", "plan", session, std::to_string(count));
    }
    App app;
    Secret key;
    std::string name = "f1";
    HttpResponse last;
};

TEST(PlanServer, InvalidMessagesAreRefusedAndChangeNoState) {
    TempFolder folder;
    FakeDiscovery discovery;
    RunningPlanner planner(settings_for(discovery.at(), folder.file("secret", kKey)));
    const std::string session = RawForwarder(planner.at).session();
    const RawForwarder good(planner.at), wrong_secret(planner.at, "another secret, as long");
    const std::string over(plan::kMaxMessage + 1, 'x');
    const auto with = [&](auto change) {
        RawForwarder s(planner.at);
        return change(s);
    };
    struct Row {
        const char* name;
        std::string text;
        unsigned status;
    };
    const Row table[] = {
        {"random bytes", "\x01\x02\r\n\r\n", 400},
        {"no such path", "GET /v2/plan HTTP/1.1\r\nHost: p\r\n\r\n", 404},
        {"wrong method", "GET /v1/report HTTP/1.1\r\nHost: p\r\n\r\n", 405},
        {"no name", "GET /v1/session HTTP/1.1\r\nHost: p\r\n\r\n", 400},
        {"a name too long",
         with([&](RawForwarder& s) { return s.name = std::string(65, 'x'), s.report(session, 1, 1); }), 400},
        {"no code", "GET /v1/session HTTP/1.1\r\nHost: p\r\nX-Plan-Forwarder: f\r\n\r\n", 401},
        {"another secret", wrong_secret.report(session, 1, 1), 401},
        {"another secret, a plan", wrong_secret.plan(session, 1), 401},
        {"a session that is no number", good.message("POST", "/v1/report", "", "report", "x", "1"), 400},
        {"a session never assigned", good.report("99999999999999999999", 1, 1), 400},
        {"a session not assigned yet", good.report(std::to_string(std::stoull(session) + 1000), 1, 1), 409},
        {"a session of a former instance", good.report("5", 1, 1), 409},
        {"a body that is no report", good.message("POST", "/v1/report", "\xc1zzz", "report", session, "1"),
         400},
        {"another forwarder's report", with([&](RawForwarder& s) {
             const std::string body = encode(Report{"f2", 7, 1, true, {}, {}, {}});
             return s.message("POST", "/v1/report", body, "report", session, "1");
         }),
         400},
        {"a malformed after parameter", good.plan(session, 1, "after=1&wait_ms=0"), 400},
        {"a wait that is no number", good.plan(session, 1, "after=0.0&wait_ms=-5"), 400},
        {"no parameters", good.plan(session, 1, ""), 400},
        {"a body too long", "POST /v1/report HTTP/1.1\r\nHost: p\r\nContent-Length: 60000000\r\n\r\n", 413},
        {"a length that is wrong", "POST /v1/report HTTP/1.1\r\nHost: p\r\nContent-Length: -1\r\n\r\n", 400},
        {"a head without end", "GET /v1/plan HTTP/1.1\r\n" + std::string(40000, 'x'), 400},
    };
    for (const Row& row : table) {
        RawForwarder s(planner.at);
        EXPECT_EQ(s.ask(row.text), row.status) << row.name;
    }
    EXPECT_EQ(planner.forwarders(), 0U) << "an invalid message changed the state";
    EXPECT_EQ(planner.ask([](plan::PlannerNode& n) { return n.counts().reports; }), 0U);
}

// A client that sends many requests and reads no response must be disconnected within the write timeout, and
// must not delay other clients.
TEST(PlanServer, AClientThatReadsNoResponsesIsDisconnected) {
    FakeDiscovery discovery;
    std::vector<json> hosts;
    for (int i = 0; i < 1500; ++i) hosts.push_back(host("archive-" + std::to_string(i), kNowhere));
    discovery.say(5, true, hosts);
    plan::ServerSettings settings = settings_for(discovery.at());
    settings.writing = 200;
    RunningPlanner planner(settings);
    RawForwarder other(planner.at, "");
    const std::string session = other.session();
    int count = 0;
    const auto whole = [&] {
        return other.ask(other.plan(session, ++count)) == 200U && other.last.body().size() > 20000;
    };
    ASSERT_TRUE(eventually(whole));
    RawForwarder slow(planner.at, "");
    slow.name = "slow";
    const std::string slow_session = slow.session();
    std::string requests;  // the responses are some 100 MB, more than socket buffers hold
    for (int i = 1; i <= 3000; ++i) requests += slow.plan(slow_session, i);
    std::thread asking([&] {
        try {
            slow.app.wire.write(requests);
        } catch (const std::exception&) {
        }
    });
    const auto dropped = [&] { return planner.ask([](plan::PlannerNode& n) { return n.counts().dropped; }); };
    while (dropped() == 0 && whole()) {
    }
    EXPECT_EQ(dropped(), 1U);
    EXPECT_TRUE(whole()) << "the other client is still served";
    asking.join();
    EXPECT_TRUE(eventually([&] {
        return planner.ask([](plan::PlannerNode& n) { return n.connections(); }) == 1U;
    })) << "only the other client's connection is left";
}

TEST(PlanServer, RefusesReplaysAndExpiredSessions) {
    TempFolder folder;
    FakeDiscovery discovery;
    RunningPlanner planner(settings_for(discovery.at(), folder.file("secret", kKey)));
    RawForwarder f(planner.at);
    const std::string first = f.session();
    EXPECT_EQ(f.ask(f.report(first, 1, 1)), 200U);
    EXPECT_EQ(f.ask(f.report(first, 1, 1)), 409U) << "a replay";
    EXPECT_EQ(f.ask(f.report(first, 3, 2)), 200U);
    EXPECT_EQ(f.ask(f.report(first, 2, 3)), 409U) << "reordered";
    EXPECT_EQ(f.ask(f.plan(first, 1)), 200U) << "plan requests have a count of their own";
    EXPECT_EQ(f.ask(f.plan(first, 1)), 409U);
    const std::string second = f.session();
    EXPECT_EQ(f.ask(f.report(second, 1, 4)), 200U);
    EXPECT_EQ(f.ask(f.report(first, 9, 5)), 409U);
    // The response is authenticated together with the session and count of its request.
    EXPECT_EQ(f.ask(f.plan(second, 1)), 200U);
    EXPECT_TRUE(f.key.verify(std::string(f.last["X-Plan-Code"]),
                             {"answer", "f1", second, "1", "", "200", f.last.body()}));
    EXPECT_FALSE(f.key.verify(std::string(f.last["X-Plan-Code"]),
                              {"answer", "f1", second, "2", "", "200", f.last.body()}));
}

TEST(PlanServer, BoundsItsForwardersAndRefusesReplaysOfEvictedOnes) {
    FakeDiscovery discovery;
    plan::ServerSettings settings = settings_for(discovery.at());
    settings.core.forwarders = 2;
    RunningPlanner planner(settings);
    std::string oldest;
    for (int i = 0; i < 6; ++i) {
        RawForwarder f(planner.at, "");
        f.name = "f" + std::to_string(i);
        const std::string session = f.session();
        EXPECT_EQ(f.ask(f.report(session, 1, 1)), i < 2 ? 200U : 429U) << i;
        if (i == 0) oldest = f.report(session, 1, 1);
    }
    // The first forwarder's replay state has been evicted; its message must still be rejected as a replay.
    EXPECT_EQ(RawForwarder(planner.at, "").ask(oldest), 409U);
    EXPECT_EQ(planner.forwarders(), 2U);
}

TEST(PlanServer, ConnectionsBeyondTheLimitAreClosed) {
    FakeDiscovery discovery;
    plan::ServerSettings settings = settings_for(discovery.at());
    settings.connections = 2;
    RunningPlanner planner(settings);
    RawForwarder a(planner.at, ""), b(planner.at, "");
    a.session(), b.session();
    App c(planner.at);
    EXPECT_TRUE(c.wire.ended());
    EXPECT_NE(a.session(), "");
}

TEST(PlanServer, ALongPollIsAnsweredWhenThePlanChangesOrAfterItsWait) {
    FakeDiscovery discovery;
    RunningPlanner planner(settings_for(discovery.at()));
    RawForwarder f(planner.at, "");
    const std::string session = f.session();
    f.ask(f.report(session, 1, 1));
    std::string why;
    ASSERT_EQ(f.ask(f.plan(session, 1)), 200U);
    const auto first = plan::decode_plan(f.last.body(), why);
    ASSERT_TRUE(first) << why;
    const auto after = [](const PlanId& id) {
        return "after=" + std::to_string(id.epoch) + "." + std::to_string(id.sequence);
    };
    ASSERT_EQ(f.ask(f.plan(session, 2, after(first->id) + "&wait_ms=60")), 200U);
    const auto renewed = plan::decode_plan(f.last.body(), why);
    ASSERT_TRUE(renewed);
    EXPECT_TRUE(renewed->same);
    f.app.wire.write(f.plan(session, 3, after(renewed->id) + "&wait_ms=20000"));
    discovery.say(1, true, {host("s1", "127.0.0.1:1")});
    const auto changed = plan::decode_plan(f.app.answer().body(), why);
    ASSERT_TRUE(changed);
    EXPECT_GT(changed->id, renewed->id);
    ASSERT_EQ(changed->servers.size(), 1U);
    EXPECT_EQ(changed->servers[0].life.id, server_number("s1", [](ServerId) { return false; }));
}

TEST(PlanState, IsSavedAtomicallyAndDamagedFilesAreReported) {
    TempFolder folder;
    std::string why;
    EXPECT_EQ(plan::load_state(folder.path, why), std::nullopt);
    EXPECT_EQ(why, "");
    const plan::State state{{4, 1ULL << 60}, {{7, 123.5}, {9, 0}}};
    ASSERT_TRUE(plan::save_state(folder.path, state, why)) << why;
    EXPECT_EQ(plan::load_state(folder.path, why), state);
    EXPECT_FALSE(std::filesystem::exists(folder.path + "/planner.json.new"));
    std::ifstream in(folder.path + "/planner.json");
    const std::string good((std::istreambuf_iterator<char>(in)), {});
    for (const std::string& bad :
         {std::string(), good.substr(0, good.size() / 2), std::string("{}"), std::string("[1]"),
          std::string(good).replace(good.find("123.5"), 5, "124.5")}) {
        folder.file("planner.json", bad);
        EXPECT_EQ(plan::load_state(folder.path, why), std::nullopt) << bad;
        EXPECT_NE(why.find("planner.json"), std::string::npos) << bad;
    }
    EXPECT_FALSE(plan::save_state(folder.path + "/nowhere", state, why));
    EXPECT_NE(why.find("nowhere"), std::string::npos);
}

TEST(PlanState, ARestartedPlannerHasAHigherEpochAndStartsWithoutAValidFile) {
    TempFolder folder;
    FakeDiscovery discovery;
    plan::ServerSettings settings = settings_for(discovery.at());
    settings.state_folder = folder.path;
    PlanId first;
    {
        RunningPlanner planner(settings);
        first = planner.ask([](plan::PlannerNode& n) { return n.core().id(); });
    }
    {
        RunningPlanner planner(settings);
        EXPECT_GT(planner.ask([](plan::PlannerNode& n) { return n.core().id(); }).epoch, first.epoch);
    }
    folder.file("planner.json", "spoilt");
    RunningPlanner planner(settings);
    EXPECT_GE(planner.ask([](plan::PlannerNode& n) { return n.core().id(); }).epoch, 1U);
}

TEST(PlanSecret, InvalidSecretFilesAreNamed) {
    TempFolder folder;
    const auto error_of = [](const std::string& file) -> std::string {
        try {
            Secret::from_file(file);
        } catch (const plan::SecretError& error) {
            return error.what();
        }
        return "none";
    };
    EXPECT_EQ(error_of(""), "none");
    EXPECT_EQ(error_of(folder.file("good", std::string(kKey) + "\n")), "none");
    EXPECT_NE(error_of(folder.path + "/nowhere").find("nowhere can't be read"), std::string::npos);
    EXPECT_NE(error_of(folder.file("short", "abc\n")).find("short holds under 16 bytes"), std::string::npos);
    // Parts are separated by their lengths: different splits of the same bytes give different codes.
    EXPECT_NE(Secret(kKey).code({"ab", "c"}), Secret(kKey).code({"a", "bc"}));
    EXPECT_TRUE(Secret(kKey).verify(Secret(kKey).code({"ab"}), {"ab"}));
    EXPECT_FALSE(Secret(kKey).verify("", {"ab"}));
}

// A sidecar that reports to planners and follows their plans; runs on a thread of its own.
class AdvisedSidecar {
public:
    AdvisedSidecar(const json& config, const plan::ClientSettings& settings)
        : node_(io_, read_config(config)), at(node_.endpoint()) {
        advised_.emplace(io_, node_.clock(), node_.sidecar(), node_.config(), settings);
        thread_ = std::thread([this] { io_.run(); });
    }
    ~AdvisedSidecar() {
        io_.stop();
        thread_.join();
        advised_.reset();
    }
    plan::Client::Counts counts() {
        std::promise<plan::Client::Counts> promise;
        asio::post(io_, [&] { promise.set_value(advised_->counts()); });
        return promise.get_future().get();
    }

private:
    asio::io_context io_{1};
    Node node_;
    std::optional<plan::PlanAgent> advised_;
    std::thread thread_;

public:
    tcp::endpoint at;
};

TEST(PlanEndToEnd, AServerThatFailsForOneForwarderIsAvoidedByAnother) {
    TempFolder folder;
    const std::string secret = folder.file("secret", kKey);
    FakeServer good, bad([](Wire&w, const HttpRequest&, int) { return w.respond(500), true; });
    FakeServer more, others;
    const std::vector<json> hosts = {host("good", good.at()), host("bad", bad.at()), host("more", more.at()),
                                     host("others", others.at())};
    FakeDiscovery discovery;
    discovery.say(5, true, hosts);
    RunningPlanner planner(settings_for(discovery.at(), secret));
    plan::ClientSettings settings;
    settings.planners = {planner.at};
    settings.report = 50, settings.wait = 100;
    settings.secret_file = secret;
    json config = a_config(kNowhere, hosts);
    AdvisedSidecar sidecar(config, settings);
    EXPECT_TRUE(eventually([&] { return sidecar.counts().plans > 0 && sidecar.counts().reports > 0; }));
    // Another forwarder, whose messages the test builds, reports thirty failures of this server.
    RawForwarder other(planner.at);
    plan::Meter meter("f1", 7, 1, 1);
    const ServerId id = server_number("bad", [](ServerId) { return false; });
    meter.listed({{id, 0, 0, Phase::on, 0, 1}}, true);
    const std::string session = other.session();
    const auto say = [&](int count) {
        const std::string body = encode(meter.report(0, {}));
        return other.ask(other.message("POST", "/v1/report", body, "report", session, std::to_string(count)));
    };
    EXPECT_EQ(say(1), 200U);
    for (int i = 0; i < 30; ++i) meter.sent(id), meter.ended(id, Outcome::errored, 5, false);
    EXPECT_EQ(say(2), 200U);
    EXPECT_TRUE(
        eventually([&] { return planner.ask([&](plan::PlannerNode& n) { return n.core().removed(id); }); }));
    const std::size_t plans = sidecar.counts().plans;
    EXPECT_TRUE(eventually([&] { return sidecar.counts().plans >= plans + 2; }));
    App app(sidecar.at);
    for (int i = 0; i < 100; ++i) EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200U);
    EXPECT_EQ(bad.seen().size(), 0U);
}

// All periods are a minute, so whatever arrives within the test's time limit was sent early.
TEST(PlanEndToEnd, FailuresAndRemovalsAreSentAheadOfAllPeriods) {
    FakeServer good, more, others;
    FakeServer failing([](Wire& w, const HttpRequest&, int) { return w.respond(500), true; });
    const std::vector<json> hosts = {host("good", good.at()), host("more", more.at()),
                                     host("others", others.at()), host("failing", failing.at())};
    FakeDiscovery discovery;
    discovery.say(5, true, hosts);
    plan::ServerSettings slow = settings_for(discovery.at());
    slow.tick = 60000;
    RunningPlanner planner(slow);
    EXPECT_TRUE(eventually([&] { return discovery.wait_for(2).size() >= 2; }));  // the planner has the list
    plan::ClientSettings settings;
    settings.planners = {planner.at};
    settings.report = 60000, settings.wait = 20000;
    AdvisedSidecar sidecar(a_config(kNowhere, hosts), settings);
    App app(sidecar.at);
    while (failing.seen().empty()) ASSERT_EQ(app.ask(App::request("listen")).result_int(), 200U);
    EXPECT_TRUE(eventually([&] { return sidecar.counts().reports > 0; }));
    // Another forwarder's report leads to a removal: the new plan is published without a tick.
    RawForwarder other(planner.at, "");
    plan::Meter meter("f1", 7, 1, 1);
    const ServerId id = server_number("good", [](ServerId) { return false; });
    meter.listed({{id, 0, 0, Phase::on, 0, 1}}, true);
    const std::string session = other.session();
    EXPECT_TRUE(eventually([&] { return sidecar.counts().plans > 0; }));
    for (int count = 1; count <= 2; ++count) {
        const std::string body = encode(meter.report(0, {}));
        EXPECT_EQ(
            other.ask(other.message("POST", "/v1/report", body, "report", session, std::to_string(count))),
            200U);
        for (int i = 0; i < 30; ++i) meter.sent(id), meter.ended(id, Outcome::errored, 5, false);
    }
    EXPECT_TRUE(eventually([&] { return sidecar.counts().plans > 1; }));
    const std::size_t before = good.seen().size();
    for (int i = 0; i < 60; ++i) EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200U);
    EXPECT_EQ(good.seen().size(), before);
}

TEST(PlanEndToEnd, DeadSilentOrInvalidPlannersFailNoRequest) {
    FakeServer server;
    // One refuses connections, one accepts them but never responds, one responds with random bytes.
    Acceptor silent([](Wire& wire) { wire.rest(); });
    Acceptor noise([](Wire& wire) {
        for (HttpRequest request; wire.read(request);) wire.respond(200, "99\xff\xfe");
    });
    plan::ClientSettings settings;
    settings.planners = {local(1), silent.at, noise.at};
    settings.report = 50, settings.wait = 100;
    AdvisedSidecar sidecar(a_config(kNowhere, {host("s1", server.at())}), settings);
    EXPECT_TRUE(eventually([&] { return sidecar.counts().failures >= 4; }));
    App app(sidecar.at);
    for (int i = 0; i < 50; ++i) EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200U);
    EXPECT_EQ(server.seen().size(), 50U);
    EXPECT_EQ(sidecar.counts().plans, 0U);
}

}  // namespace
}  // namespace cobaltshift
