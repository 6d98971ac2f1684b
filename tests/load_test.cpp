// The load tool against scripted targets: answers verified, a target that accepts and stalls, bounds on
// connections, steps; and its files, hostile ones too.
#include <gtest/gtest.h>

#include "lab/load_command.hpp"
#include "lab/scripted.hpp"
#include "settings_file/error.hpp"

namespace cobaltshift::lab {
namespace {

LoadPlan against(tcp::endpoint at, double rate, Millis length) {
    LoadPlan plan;
    plan.targets = {at};
    plan.steps = {{rate, length}};
    plan.options.retries = 0;
    return plan;
}
double figure(const Result& result, const char* name) {
    return result.json()["figures"].value(name, std::nan(""));
}

TEST(LoadTool, CountsWhatIsAskedAndFindsWrongAnswers) {
    asio::io_context io;
    std::size_t seen = 0;
    HttpServer server(io, [&](HttpServer::ExchangePtr exchange) {
        const bool wrong = ++seen % 10 == 0;
        exchange->respond(plain(200, wrong ? "another's" : std::string(exchange->request().target())));
    });
    auto guard = asio::make_work_guard(io);
    std::thread serving([&] { io.run(); });
    LoadPlan plan = against(server.at(), 400, 1000);
    plan.steps.push_back({200, 500});
    plan.options.verify = true;
    plan.bounds.wrong = 0;
    const Result result = play_load(plan);
    io.stop();
    serving.join();
    EXPECT_EQ(figure(result, "asked"), static_cast<double>(seen));
    EXPECT_NEAR(figure(result, "asked"), 500, 120);
    EXPECT_EQ(figure(result, "wrong answers"), std::floor(static_cast<double>(seen) / 10));
    EXPECT_EQ(figure(result, "no answer"), 0);
    EXPECT_FALSE(result.holds());
}

// It accepts, reads nothing and answers nothing: every intended start counts all the same, and what waits for
// one of the four connections is held by a bound.
TEST(LoadTool, ATargetThatAcceptsAndStallsCostsEveryIntendedStart) {
    std::mutex mutex;
    std::condition_variable over;
    bool done = false;
    Acceptor target([&](Wire&) {
        std::unique_lock lock(mutex);
        over.wait(lock, [&] { return done; });
    });
    LoadPlan plan = against(target.at, 300, 1000);
    plan.options.linger = 50;
    plan.options.connections = 4;
    plan.options.most_open = 100;
    for (auto& kind : plan.options.classes) kind.deadline = 400;
    plan.bounds.in_time_share = 0.5;
    const Result result = play_load(plan);
    {
        std::lock_guard lock(mutex);
        done = true;
    }
    over.notify_all();
    EXPECT_NEAR(figure(result, "asked"), 300, 100);
    EXPECT_EQ(figure(result, "no answer"), figure(result, "asked"));
    EXPECT_FALSE(result.holds());
    EXPECT_NE(result.text().find("connections at a time, most: 4"), std::string::npos) << result.text();
}

// Stopped by a signal: the loop still holds what was out when the load has gone.
TEST(LoadTool, EndsBeforeItsLoopWithRequestsOut) {
    std::mutex mutex;
    std::condition_variable over;
    bool done = false;
    Acceptor target([&](Wire&) {
        std::unique_lock lock(mutex);
        over.wait(lock, [&] { return done; });
    });
    {
        asio::io_context io(1);
        const Clock clock;
        // On the heap, where a sanitizer sees what touches it afterwards.
        const auto load = std::make_unique<Load>(io, clock, against(target.at, 1000, 60000).options);
        load->front(0, target.at);
        load->run({{1000, 60000}});
        while (load->all().tries < 5) io.run_one();
        EXPECT_GE(load->connections_peak(), 5U);
    }
    {
        std::lock_guard lock(mutex);
        done = true;
    }
    over.notify_all();
}

TEST(LoadTool, ATargetThatIsNotThereAndAStepThatLosesTooMuchEndsIt) {
    asio::io_context io;
    tcp::acceptor closed(io, {asio::ip::make_address("127.0.0.1"), 0});
    const tcp::endpoint at = closed.local_endpoint();
    closed.close();
    LoadPlan plan = against(at, 2000, 600000);
    plan.options.stop_lost = 0.5;
    const Result result = play_load(plan);
    EXPECT_LT(figure(result, "asked"), 100000);
    EXPECT_NE(result.text().find("too much was lost"), std::string::npos);
}

TEST(LoadTool, FilesAndTargetsThatMakeNoSenseAreComplaintsThatNameThem) {
    struct Row {
        const char* text;
        const char* complaint;
    };
    const std::string ok = "targets = [\"127.0.0.1:80\"]\n";
    const Row table[] = {
        {"", "none"},
        {"connections = 5000\nverify = true\n[[step]]\nrate = 10\n[[class]]\nname = \"a\"\n", "none"},
        {"speed = 1\n", "f:2: speed is not known"},
        {"connections = -1\n", "f:2: connections is not between 0 and 100000"},
        {"arrivals = \"sudden\"\n", "f:2: arrivals is none of those that there are"},
        {"[[step]]\nseconds = 1\n", "f: step.rate is missing"},
        {"[[step]]\nrate = 0\n", "f:3: step.rate is not between 0.001 and 1e+06"},
        {"[[step]]\nrate = nan\n", "f:3: step.rate is not between 0.001 and 1e+06"},
        {"[[class]]\nname = \"a b\"\n", "f:3: class.name can't stand in a path; say which with path"},
        {"[[class]]\nname = \"a\"\npath = \"/a\\r\\nX: y\"\n", "f:4: class.path is no path that can be sent"},
        {"[[class]]\nname = \"a\"\n[[class]]\nname = \"a\"\n", "f:5: class.name is another class's already"},
        {"[[class]]\nname = \"a\"\nshare = 0\n", "f:2: class has shares that sum to nothing"},
        {"[[class]]\nname = \"a\"\neffect = \"maybe\"\n",
         "f:4: class.effect is none of those that there are"},
        {"[bound]\np99_ms = \"x\"\n", "f:3: bound.p99_ms is not a number"},
    };
    for (const Row& row : table) {
        std::string said = "none";
        try {
            read_load_plan(ok + row.text, "f");
        } catch (const SettingsError& error) {
            said = error.what();
        }
        EXPECT_EQ(said, row.complaint) << row.text;
    }
    EXPECT_THROW(read_load_plan("", "f"), SettingsError);
    EXPECT_THROW(read_load_plan("targets = []\n", "f"), SettingsError);
    std::string path;
    EXPECT_EQ(target_of("http://127.0.0.1:8080/a/b", path).port(), 8080);
    EXPECT_EQ(path, "/a/b");
    for (const char* bad : {"http://localhost:80/", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "",
                            "http://", "https://127.0.0.1:1/", "127.0.0.1:80/a b", "127.0.0.1:80/a?b"})
        EXPECT_THROW(target_of(bad, path), SettingsError) << bad;
}

}  // namespace
}  // namespace cobaltshift::lab
