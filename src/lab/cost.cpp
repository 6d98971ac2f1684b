#include "lab/cost.hpp"

#include <sched.h>
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <sstream>
#include <thread>

#include "lab/bare_http.hpp"
#include "lab/child.hpp"
#include "lab/discovery_service.hpp"
#include "lab/load.hpp"
#include "lab/statistics.hpp"
#include "net/node.hpp"

namespace cobaltshift::lab {

namespace {

using nlohmann::json;
constexpr std::size_t kConnections = 32, kIdle = 2000;

const std::string kRequest =
    "GET /listen?sid=7f HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: c00000000\r\nX-Service-Class: listen\r\n"
    "X-Time-Left: 25000m\r\n\r\n";

json forwarder_config(const std::string& discovery, const json& known) {
    json kind{{"name", "listen"},    {"effect", "repeatable"},   {"on-time-ms", 5000},
              {"give-up-ms", 30000}, {"dedup-window-ms", 30000}, {"dedup-scope", "all"}};
    return {{"name", "n0"},
            {"listen", "127.0.0.1:0"},
            {"discovery", discovery},
            {"seed", "1f"},
            {"limits", {{"cores", 1.0}, {"memory_mb", 512}, {"sockets", 3 * kIdle}}},
            {"known", known},
            {"settings",
             {{"classes", {kind}},
              {"limits", {{"max-attempts", 3}, {"may-cancel", true}, {"connect-timeout-ms", 20000}}}}}};
}

// A loop on a thread of its own, on one core where there are several.
class Loop {
public:
    explicit Loop(unsigned core) : guard_(asio::make_work_guard(io)) {
        thread_ = std::thread([this, core] {
            pin(0, core);
            io.run();
        });
    }
    ~Loop() {
        io.stop();
        thread_.join();
    }
    // Runs it there and waits.
    template <class Do>
    auto on(Do what) {
        std::packaged_task<decltype(what())()> task(std::move(what));
        auto done = task.get_future();
        asio::post(io, [&task] { task(); });
        return done.get();
    }
    static void pin(pid_t who, unsigned core) {
        cpu_set_t allowed, chosen;
        if (::sched_getaffinity(0, sizeof allowed, &allowed) != 0) return;
        std::vector<unsigned> cores;
        for (unsigned c = 0; c < CPU_SETSIZE; ++c)
            if (CPU_ISSET(c, &allowed)) cores.push_back(c);
        if (cores.size() < 2) return;
        CPU_ZERO(&chosen);
        CPU_SET(cores[core % cores.size()], &chosen);
        ::sched_setaffinity(who, sizeof chosen, &chosen);
    }
    asio::io_context io{1};

private:
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::thread thread_;
};

std::string found(const std::string& program) {
    std::istringstream folders(std::getenv("PATH") ? std::getenv("PATH") : "");
    for (std::string folder; std::getline(folders, folder, ':');)
        if (std::filesystem::exists(folder + "/" + program)) return folder + "/" + program;
    return "";
}

// System calls of a process in so many seconds, by name; empty where strace is missing or may not look.
std::map<std::string, double> system_calls(pid_t pid, double seconds, const Folder& folder) {
    std::map<std::string, double> calls;
    const std::string strace = found("strace"), file = folder.path() + "/strace";
    if (strace.empty()) return calls;
    const std::string of = std::to_string(pid);
    const pid_t child = ::fork();
    if (child == 0) {
        ::execl(strace.c_str(), "strace", "-c", "-f", "-q", "-p", of.c_str(), "-o", file.c_str(), nullptr);
        ::_exit(127);
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    ::kill(child, SIGINT);
    int status = 0;
    ::waitpid(child, &status, 0);
    // % time, seconds, usecs/call, calls, errors (often blank), name
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        std::istringstream words(line);
        std::vector<std::string> all;
        for (std::string word; words >> word;) all.push_back(word);
        if (all.size() < 5 || !std::isdigit(static_cast<unsigned char>(all[0][0]))) continue;
        if (all.back() == "total") continue;
        calls[all.back()] = std::atof(all[3].c_str());
        if (all.size() > 5) calls[all.back() + " failed"] = std::atof(all[4].c_str());
    }
    return calls;
}

// Instructions a request, by callgrind: the difference of two lengths, so that the start counts for nothing.
// 0 where it is not installed.
double instructions() {
    const std::string valgrind = found("valgrind");
    if (valgrind.empty()) return 0;
    const auto count = [&](std::size_t requests) {
        Folder folder;
        const std::string out = folder.path() + "/callgrind";
        const std::string command = valgrind + " --tool=callgrind --callgrind-out-file=" + out + " " +
                                    beside("cobaltshift-lab") + " cost-script " + std::to_string(requests) +
                                    " >/dev/null 2>&1";
        if (std::system(command.c_str()) != 0) return 0.0;
        std::ifstream in(out);
        for (std::string line; std::getline(in, line);)
            if (line.starts_with("summary: ") || line.starts_with("totals: "))
                return std::atof(line.substr(line.find(' ')).c_str());
        return 0.0;
    };
    constexpr std::size_t kFew = 1000, kMany = 3000;
    const double few = count(kFew), many = count(kMany);
    return few > 0 && many > few ? (many - few) / static_cast<double>(kMany - kFew) : 0;
}

// Instructions a request on this architecture, GCC 12, Release (docs/measured/cost.md). They repeat within
// 0.5 %. Raise one only with the reason written there. Throws on an architecture without a record.
double recorded_instructions() {
#if defined(__x86_64__)
    return 56200;
#elif defined(__aarch64__)
    return 60167;
#else
    throw std::runtime_error(
        "no instructions a request are recorded for this architecture: count them on unchanged code and add "
        "them to docs/measured/cost.md and src/lab/cost.cpp");
#endif
}

Tally at_a_rate(Loop& loop, tcp::endpoint to, double rate, Millis length, std::uint64_t seed) {
    std::promise<void> over;
    const Clock clock;
    std::unique_ptr<Load> load;
    loop.on([&] {
        Load::Options o;
        o.classes = {{"listen", ClassLoad::Effect::safe, 1, 1000, 5000}};
        o.rate = rate, o.seed = seed;
        load = std::make_unique<Load>(loop.io, clock, o);
        load->front(0, to);
        load->when_over([&] { over.set_value(); });
        load->run(length);
        return 0;
    });
    over.get_future().get();
    return loop.on([&] {
        const Tally all = load->all();
        load.reset();
        return all;
    });
}

}  // namespace

Result cost(const Run& run) {
    const std::size_t pairs = run.quick ? 4 : 12;
    const double slice = run.quick ? 0.5 : 1;
    Result result;
    Folder folder;
    // The forwarder has a core of its own; where there are only two, the tools share the other.
    Loop servers(2), clients(1), outside(3);
    std::unique_ptr<BareServer> server;
    std::unique_ptr<DiscoveryService> discovery;
    std::unique_ptr<Child> child;
    std::promise<tcp::endpoint> listening;
    const tcp::endpoint bare = servers.on([&] {
        server = std::make_unique<BareServer>(servers.io);
        return server->at();
    });
    outside.on([&] {
        discovery = std::make_unique<DiscoveryService>(outside.io);
        discovery->say(listed("archive-0", text_of(bare), "hall-a", "SERVING", 0));
        const std::string config =
            folder.write("n0.json", forwarder_config(discovery->at(), discovery->whole()).dump());
        Child::Command command{beside("cobaltshift"), {}, {"NODE_CONFIG=" + config}};
        child =
            std::make_unique<Child>(outside.io, command, [&](tcp::endpoint at) { listening.set_value(at); });
        return 0;
    });
    auto heard = listening.get_future();
    if (heard.wait_for(std::chrono::seconds(30)) != std::future_status::ready)
        throw std::runtime_error("the forwarder has not begun to listen");
    const tcp::endpoint front = heard.get();
    Loop::pin(child->pid(), 0);

    // Memory of a connection that is kept and says nothing; first, before others leave memory to be used
    // again.
    const double resident = child->resident_mb();
    std::vector<std::unique_ptr<tcp::socket>> idle;
    for (std::size_t i = 0; i < kIdle; ++i) {
        idle.push_back(std::make_unique<tcp::socket>(outside.io));
        error_code ec;
        idle.back()->connect(front, ec);
        if (ec) break;
        const std::string one = kRequest;
        asio::write(*idle.back(), asio::buffer(one), ec);
        std::array<char, 1024> answer;
        if (!ec) idle.back()->read_some(asio::buffer(answer), ec);
        if (ec) break;
    }
    const double held = child->resident_mb() - resident;
    const std::size_t kept = idle.size();
    idle.clear();

    // 1. Requests a second and CPU a request.
    struct Way {
        std::unique_ptr<BareClients> clients;
        double requests = 0, seconds = 0;
        std::vector<double> rates;
    };
    std::array<Way, 2> ways;  // straight, through
    clients.on([&] {
        ways[0].clients = std::make_unique<BareClients>(clients.io, bare, kConnections, kRequest);
        ways[1].clients = std::make_unique<BareClients>(clients.io, front, kConnections, kRequest);
        for (Way& way : ways) way.clients->pause(true);
        return 0;
    });
    const auto play = [&](Way& way, double seconds) {
        const auto answered = [&] { return clients.on([&] { return way.clients->answered(); }); };
        clients.on([&] { return way.clients->pause(false), 0; });
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        const auto began = std::chrono::steady_clock::now();
        const auto before = answered();
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
        const double n = static_cast<double>(answered() - before);
        const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        clients.on([&] { return way.clients->pause(true), 0; });
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        way.requests += n, way.seconds += took;
        return n / took;
    };
    for (Way& way : ways) play(way, 0.3);  // connections, caches
    double cpu = 0, cpu_requests = 0;
    std::vector<Pair> rates;
    for (std::size_t i = 0; i < pairs; ++i) {
        const double straight = play(ways[0], slice);
        const double cpu_before = child->cpu_seconds();
        const auto before = clients.on([&] { return ways[1].clients->answered(); });
        const double through = play(ways[1], slice);
        cpu += child->cpu_seconds() - cpu_before;
        cpu_requests += static_cast<double>(clients.on([&] { return ways[1].clients->answered(); }) - before);
        rates.push_back({straight, through});
    }
    const Interval part = bootstrap(rates.size(), [&](const std::vector<std::size_t>& drawn) {
        double a = 0, b = 0;
        for (const std::size_t i : drawn) a += rates[i].without, b += rates[i].with;
        return b / a;
    });
    // 2. System calls, in a slice of its own: strace slows it.
    double traced = 0;
    std::map<std::string, double> calls;
    {
        clients.on([&] { return ways[1].clients->pause(false), 0; });
        const auto before = clients.on([&] { return ways[1].clients->answered(); });
        calls = system_calls(child->pid(), 1.5, folder);
        traced = static_cast<double>(clients.on([&] { return ways[1].clients->answered(); }) - before);
        clients.on([&] { return ways[1].clients->pause(true), 0; });
    }
    const double other =
        static_cast<double>(clients.on([&] { return ways[0].clients->other() + ways[1].clients->other(); }));
    clients.on([&] {
        for (Way& way : ways) way.clients.reset();
        return 0;
    });

    // 3. Time added, at an open rate well below what it can do.
    const double rate = 1000;
    std::array<Histogram, 2> times;
    std::size_t lost = 0;
    for (std::size_t i = 0; i < (run.quick ? 1 : 3); ++i)
        for (const std::size_t way : {0, 1}) {
            const Tally t =
                at_a_rate(clients, way ? front : bare, rate, run.quick ? 3000 : 8000, run.seed + i);
            times[way].merge(t.times);
            lost += t.asked - t.in_time - t.late;
        }

    child->signal(SIGTERM);
    const int exit_code = child->wait();
    const double counted = instructions();

    const double straight = ways[0].requests / ways[0].seconds, through = ways[1].requests / ways[1].seconds;
    result.columns({"", "straight", "through", ""});
    result.row({"requests a second, 32 connections", shown(straight), shown(through),
                shown(part.value, 3) +
                    (part.known ? " (" + shown(part.low, 3) + " to " + shown(part.high, 3) + ")" : "")});
    for (const double p : {0.5, 0.99, 0.999})
        result.row({"ms at " + shown(rate) + " a second, p" + shown(100 * p, p > 0.99 ? 1 : 0),
                    shown(times[0].percentile(p), 3), shown(times[1].percentile(p), 3),
                    "+" + shown(times[1].percentile(p) - times[0].percentile(p), 3)});
    result.row({"CPU a request, us", "", shown(1e6 * cpu / std::max(1.0, cpu_requests), 2), ""});
    if (counted > 0) result.row({"instructions a request", "", shown(counted), "callgrind"});
    result.row({"bytes resident a kept connection", "", shown(held * (1 << 20) / static_cast<double>(kept)),
                "of " + std::to_string(kept)});
    double sum = 0;
    for (const auto& [name, n] : calls) {
        if (name.ends_with(" failed")) continue;
        sum += n;
        if (n < 0.01 * traced) continue;
        const auto failed = calls.find(name + " failed");
        result.row({"system calls a request, " + name, "", shown(n / traced, 2),
                    failed == calls.end() ? "" : shown(failed->second / traced, 2) + " of them fail"});
    }
    if (calls.empty())
        result.note("system calls are left out: strace is not installed, or may not look");
    else
        result.row({"system calls a request", "", shown(sum / traced, 2), ""});
    if (counted <= 0) result.note("instructions are left out: valgrind is not installed");
    result.figure("requests a second, straight", straight);
    result.figure("requests a second, through", through);
    result.figure("through over straight", part.value);
    result.figure("CPU a request, us", 1e6 * cpu / std::max(1.0, cpu_requests));
    result.figure("instructions a request", counted);
    result.figure("bytes a kept connection", held * (1 << 20) / static_cast<double>(kept));
    if (!calls.empty()) result.figure("system calls a request", sum / traced);
    result.at_most("answers that were none, and connections that broke", other, 0);
    result.at_most("lost at the open rate", static_cast<double>(lost), 0);
    result.at_most("forwarder's exit code", exit_code, 0);
    outside.on([&] { return child.reset(), discovery.reset(), 0; });
    servers.on([&] { return server.reset(), 0; });
    return result;
}

Result cost_instructions(const Run&) {
    constexpr double kAllowed = 1.03;
    const double recorded = recorded_instructions();
    const double counted = instructions();
    Result result;
    result.columns({"instructions a request", "recorded", "ratio"});
    result.row({shown(counted), shown(recorded), shown(counted / recorded, 4)});
    result.at_least("instructions counted (valgrind)", counted, 1);
    result.at_most("instructions a request over those recorded", counted / recorded, kAllowed);
    return result;
}

int cost_script(std::size_t requests) {
    asio::io_context io(1);
    BareServer server(io);
    DiscoveryService discovery(io);
    discovery.say(listed("archive-0", text_of(server.at()), "hall-a", "SERVING", 0));
    Node node(io, read_config(forwarder_config(discovery.at(), discovery.whole())));
    BareClients clients(io, node.endpoint(), 1, kRequest);
    clients.when(requests, [&] { io.stop(); });
    io.run();
    return clients.other() == 0 ? 0 : 1;
}

}  // namespace cobaltshift::lab
