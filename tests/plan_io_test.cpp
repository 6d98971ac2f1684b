// The plan over loopback sockets: a planner's front against strangers, replays and nonsense, its state on
// disk, and a sidecar that takes its advice.
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

template <class Happened>
bool eventually(Happened happened) {  // bounded only for what never comes
    const auto start = std::chrono::steady_clock::now();
    while (!happened()) {
        if (std::chrono::steady_clock::now() - start > kPatience) return false;
        std::this_thread::yield();
    }
    return true;
}

// A planner on a thread of its own.
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

// A forwarder played by hand.
struct Stranger {
    explicit Stranger(tcp::endpoint at, std::string secret = kKey) : app(at), key(std::move(secret)) {}
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

TEST(PlanServer, HostileMessagesAndTheEndOfEach) {
    TempFolder folder;
    FakeDiscovery discovery;
    RunningPlanner planner(settings_for(discovery.at(), folder.file("secret", kKey)));
    const std::string session = Stranger(planner.at).session();
    const Stranger good(planner.at), stranger(planner.at, "another secret, as long");
    const std::string over(plan::kMaxMessage + 1, 'x');
    const auto with = [&](auto change) {
        Stranger s(planner.at);
        return change(s);
    };
    struct Row {
        const char* name;
        std::string text;
        unsigned status;
    };
    const Row table[] = {
        {"noise", "\x01\x02\r\n\r\n", 400},
        {"no such path", "GET /v2/plan HTTP/1.1\r\nHost: p\r\n\r\n", 404},
        {"another method", "GET /v1/report HTTP/1.1\r\nHost: p\r\n\r\n", 405},
        {"no name", "GET /v1/session HTTP/1.1\r\nHost: p\r\n\r\n", 400},
        {"a name too long",
         with([&](Stranger& s) { return s.name = std::string(65, 'x'), s.report(session, 1, 1); }), 400},
        {"no code", "GET /v1/session HTTP/1.1\r\nHost: p\r\nX-Plan-Forwarder: f\r\n\r\n", 401},
        {"another secret", stranger.report(session, 1, 1), 401},
        {"another secret, a plan", stranger.plan(session, 1), 401},
        {"no number", good.message("POST", "/v1/report", "", "report", "x", "1"), 400},
        {"a session never given", good.report("99999999999999999999", 1, 1), 400},
        {"a session not given yet", good.report(std::to_string(std::stoull(session) + 1000), 1, 1), 409},
        {"a former life's session", good.report("5", 1, 1), 409},
        {"a body that is no report", good.message("POST", "/v1/report", "\xc1zzz", "report", session, "1"),
         400},
        {"another forwarder's report", with([&](Stranger& s) {
             const std::string body = encode(Report{"f2", 7, 1, true, {}, {}, {}});
             return s.message("POST", "/v1/report", body, "report", session, "1");
         }),
         400},
        {"a question that can't be read", good.plan(session, 1, "after=1&wait_ms=0"), 400},
        {"a wait that is no number", good.plan(session, 1, "after=0.0&wait_ms=-5"), 400},
        {"nothing asked", good.plan(session, 1, ""), 400},
        {"a body too long", "POST /v1/report HTTP/1.1\r\nHost: p\r\nContent-Length: 60000000\r\n\r\n", 413},
        {"a length that is wrong", "POST /v1/report HTTP/1.1\r\nHost: p\r\nContent-Length: -1\r\n\r\n", 400},
        {"a head without end", "GET /v1/plan HTTP/1.1\r\n" + std::string(40000, 'x'), 400},
    };
    for (const Row& row : table) {
        Stranger s(planner.at);
        EXPECT_EQ(s.ask(row.text), row.status) << row.name;
    }
    EXPECT_EQ(planner.forwarders(), 0U) << "something was kept";
    EXPECT_EQ(planner.ask([](plan::PlannerNode& n) { return n.counts().reports; }), 0U);
}

// Asks for plan after plan and reads none: dropped within its time, and nobody else waits for it.
TEST(PlanServer, AReaderThatDoesNotReadItsPlanIsDropped) {
    FakeDiscovery discovery;
    std::vector<json> hosts;
    for (int i = 0; i < 1500; ++i) hosts.push_back(host("archive-" + std::to_string(i), kNowhere));
    discovery.say(5, true, hosts);
    plan::ServerSettings settings = settings_for(discovery.at());
    settings.writing = 200;
    RunningPlanner planner(settings);
    Stranger other(planner.at, "");
    const std::string session = other.session();
    int count = 0;
    const auto whole = [&] {
        return other.ask(other.plan(session, ++count)) == 200U && other.last.body().size() > 20000;
    };
    ASSERT_TRUE(eventually(whole));
    Stranger slow(planner.at, "");
    slow.name = "slow";
    const std::string its = slow.session();
    std::string questions;  // their answers are some 100 MB, more than any socket holds
    for (int i = 1; i <= 3000; ++i) questions += slow.plan(its, i);
    std::thread asking([&] {
        try {
            slow.app.wire.write(questions);
        } catch (const std::exception&) {
        }
    });
    const auto dropped = [&] { return planner.ask([](plan::PlannerNode& n) { return n.counts().dropped; }); };
    while (dropped() == 0 && whole()) {
    }
    EXPECT_EQ(dropped(), 1U);
    EXPECT_TRUE(whole()) << "the others are served on";
    asking.join();
    EXPECT_TRUE(eventually([&] {
        return planner.ask([](plan::PlannerNode& n) { return n.connections(); }) == 1U;
    })) << "only the other's is left";
}

TEST(PlanServer, RefusesReplaysAndSessionsThatAreOver) {
    TempFolder folder;
    FakeDiscovery discovery;
    RunningPlanner planner(settings_for(discovery.at(), folder.file("secret", kKey)));
    Stranger f(planner.at);
    const std::string first = f.session();
    EXPECT_EQ(f.ask(f.report(first, 1, 1)), 200U);
    EXPECT_EQ(f.ask(f.report(first, 1, 1)), 409U) << "the same again";
    EXPECT_EQ(f.ask(f.report(first, 3, 2)), 200U);
    EXPECT_EQ(f.ask(f.report(first, 2, 3)), 409U) << "overtaken";
    EXPECT_EQ(f.ask(f.plan(first, 1)), 200U) << "questions count for themselves";
    EXPECT_EQ(f.ask(f.plan(first, 1)), 409U);
    const std::string second = f.session();
    EXPECT_EQ(f.ask(f.report(second, 1, 4)), 200U);
    EXPECT_EQ(f.ask(f.report(first, 9, 5)), 409U);
    // The answer is the planner's own, and to this question.
    EXPECT_EQ(f.ask(f.plan(second, 1)), 200U);
    EXPECT_TRUE(f.key.right(std::string(f.last["X-Plan-Code"]),
                            {"answer", "f1", second, "1", "", "200", f.last.body()}));
    EXPECT_FALSE(f.key.right(std::string(f.last["X-Plan-Code"]),
                             {"answer", "f1", second, "2", "", "200", f.last.body()}));
}

TEST(PlanServer, KeepsNoMoreForwardersThanItsBoundAndNoReplayOfThoseForgotten) {
    FakeDiscovery discovery;
    plan::ServerSettings settings = settings_for(discovery.at());
    settings.core.forwarders = 2;
    RunningPlanner planner(settings);
    std::string oldest;
    for (int i = 0; i < 6; ++i) {
        Stranger f(planner.at, "");
        f.name = "f" + std::to_string(i);
        const std::string session = f.session();
        EXPECT_EQ(f.ask(f.report(session, 1, 1)), i < 2 ? 200U : 429U) << i;
        if (i == 0) oldest = f.report(session, 1, 1);
    }
    // The first's record has gone to make room: its message must not pass as new.
    EXPECT_EQ(Stranger(planner.at, "").ask(oldest), 409U);
    EXPECT_EQ(planner.forwarders(), 2U);
}

TEST(PlanServer, ConnectionsBeyondItsBoundAreClosed) {
    FakeDiscovery discovery;
    plan::ServerSettings settings = settings_for(discovery.at());
    settings.connections = 2;
    RunningPlanner planner(settings);
    Stranger a(planner.at, ""), b(planner.at, "");
    a.session(), b.session();
    App c(planner.at);
    EXPECT_TRUE(c.wire.ended());
    EXPECT_NE(a.session(), "");
}

TEST(PlanServer, AWaitingQuestionIsAnsweredWhenThePlanChangesAndElseInTime) {
    FakeDiscovery discovery;
    RunningPlanner planner(settings_for(discovery.at()));
    Stranger f(planner.at, "");
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

TEST(PlanState, IsWrittenWholeAndBadOnesAreSaidToBe) {
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

TEST(PlanState, APlannerGoesOnAboveItsFormerIdentityAndStartsWithoutOne) {
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

TEST(PlanSecret, FilesThatCanNotServeAreNamed) {
    TempFolder folder;
    const auto complaint = [](const std::string& file) -> std::string {
        try {
            Secret::from_file(file);
        } catch (const plan::SecretError& error) {
            return error.what();
        }
        return "none";
    };
    EXPECT_EQ(complaint(""), "none");
    EXPECT_EQ(complaint(folder.file("good", std::string(kKey) + "\n")), "none");
    EXPECT_NE(complaint(folder.path + "/nowhere").find("nowhere can't be read"), std::string::npos);
    EXPECT_NE(complaint(folder.file("short", "abc\n")).find("short holds under 16 bytes"), std::string::npos);
    // RFC 4231, test case 2, after the lengths that stand before each part: parts don't run into one another.
    EXPECT_NE(Secret(kKey).code({"ab", "c"}), Secret(kKey).code({"a", "bc"}));
    EXPECT_TRUE(Secret(kKey).right(Secret(kKey).code({"ab"}), {"ab"}));
    EXPECT_FALSE(Secret(kKey).right("", {"ab"}));
}

// A sidecar that reports to planners and follows them, on a thread of its own.
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
    std::optional<plan::Advised> advised_;
    std::thread thread_;

public:
    tcp::endpoint at;
};

TEST(PlanEndToEnd, WhatAnotherForwarderFoundOutSparesThisOneTheServer) {
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
    // The other forwarder, played by hand, saw thirty failures there.
    Stranger other(planner.at);
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

// With periods of a minute, what arrives in time can only have been told ahead of them.
TEST(PlanEndToEnd, FailuresAndRemovalsAreToldAheadOfEveryPeriod) {
    FakeServer good, more, others;
    FakeServer failing([](Wire& w, const HttpRequest&, int) { return w.respond(500), true; });
    const std::vector<json> hosts = {host("good", good.at()), host("more", more.at()),
                                     host("others", others.at()), host("failing", failing.at())};
    FakeDiscovery discovery;
    discovery.say(5, true, hosts);
    plan::ServerSettings slow = settings_for(discovery.at());
    slow.tick = 60000;
    RunningPlanner planner(slow);
    EXPECT_TRUE(eventually([&] { return discovery.wait_for(2).size() >= 2; }));  // the list is told
    plan::ClientSettings settings;
    settings.planners = {planner.at};
    settings.report = 60000, settings.wait = 20000;
    AdvisedSidecar sidecar(a_config(kNowhere, hosts), settings);
    App app(sidecar.at);
    while (failing.seen().empty()) ASSERT_EQ(app.ask(App::request("listen")).result_int(), 200U);
    EXPECT_TRUE(eventually([&] { return sidecar.counts().reports > 0; }));
    // Another forwarder's report removes one: the plan comes without a tick.
    Stranger other(planner.at, "");
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

TEST(PlanEndToEnd, PlannersThatAreDeadSilentOrStrangersCostNoRequest) {
    FakeServer server;
    // Refused; takes connections and says nothing; answers with noise.
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
