#include "lab/socket_engine.hpp"

#include <algorithm>
#include <list>

#include "lab/fleet.hpp"
#include "lab/planner_children.hpp"
#include "sim/models/archive.hpp"

namespace cobaltshift::lab {

namespace {

constexpr std::size_t kMostProcesses = 300;
constexpr Millis kMeet = 2500;    // planners and forwarders find each other
constexpr Millis kToolLate = 50;  // of the load tool itself: no fault of anything else
constexpr Millis kGuard = 40000;  // over a day's length, until it counts as stuck
const char* const kKinds[] = {"crash",        "errors",       "freeze", "drain",
                              "planner-down", "planner-dead", "restart"};

std::size_t number_of(const sim::Fault& fault) { return std::stoul(fault.target); }

// One of those that run side by side.
class Side {
public:
    Side(asio::io_context& io, const Clock& clock, const sim::Case& day)
        : day_(day),
          workload_(day),
          planned_(day.count("planners", 3)),
          planners_(io, folder_, planned_),
          fleet_(io, clock, fleet()),
          load_(io, clock, load()) {
        fleet_.on_front([this](std::size_t number, tcp::endpoint at) { load_.front(number, at); });
        load_.on_lost([this](const Load::Lost& one) { lost_.push_back(one); });
        for (std::size_t p = 0; p < planned_; ++p) start_planner(p);
    }
    void start(std::function<void()> ready) { fleet_.start(std::move(ready)); }
    void when_over(std::function<void()> told) {
        load_.when_over([this, told = std::move(told)] { over_ = true, told(); });
    }
    // `at` does something after so long.
    void go(const std::function<void(Millis, std::function<void()>)>& at) {
        for (const sim::Fault& f : day_.faults) meet(f, at);
        load_.run(day_.length);
    }
    bool over() const { return over_; }
    int stop() { return std::max(fleet_.stop(), planners_.stop()); }

    SocketDay told(int worst_exit) const {
        SocketDay day;
        const Tally all = load_.all();
        const auto count = [](std::size_t n) { return static_cast<double>(n); };
        auto& f = day.figures;
        for (const std::string& name : socket_figures()) f[name] = 0;
        f["asked"] = count(all.asked), f["in time"] = count(all.in_time), f["late"] = count(all.late);
        f["refused"] = count(all.refused), f["failed"] = count(all.failed + all.unanswered);
        f["unanswered"] = count(all.unanswered);
        f["attempts"] = count(fleet_.attempts()), f["runs"] = count(fleet_.ledger().runs());
        f["cold peak"] = fleet_.cold_peak();
        f["doubled"] = count(fleet_.ledger().doubled());
        f["broken"] = f["doubled"] + f["unanswered"] + (worst_exit != 0);
        f["in time share"] = all.asked > 0 ? f["in time"] / f["asked"] : 1;
        f["loss"] = 1 - f["in time share"];
        f["p50 ms"] = all.times.percentile(0.5), f["p99 ms"] = all.times.percentile(0.99);
        f["tool lag p99 ms"] = all.lags.percentile(0.99);
        for (const Load::Lost& one : lost_) {
            const Ledger::Met met = fleet_.ledger().met(one.target);
            std::string cause = std::string("lost to ") + name_of(met.trouble);
            if (met.trouble == Trouble::none)
                cause = one.lag > kToolLate ? "lost to the tool" : "lost to none seen";
            ++f[cause];
        }
        day.times = all.times;
        day.course = load_.course();
        day.finished = over_;
        return day;
    }

private:
    Fleet::Options fleet() {
        Fleet::Options o;
        const sim::ArchiveSettings s(day_);
        o.servers = s.servers;
        o.forwarders = day_.count("forwarders", 12);
        o.server.slots = s.slots, o.server.queue = s.queue, o.server.work = s.work;
        o.server.cold_capacity = s.cold_capacity, o.server.warmup_time = s.warmup_time;
        o.server.overload_multiple = s.overload_multiple, o.server.fall_window = s.fall_window;
        o.notice = day_.get("discovery.notice_ms", 1500);
        o.classes = classes();
        o.seed = day_.seed;
        o.sockets = 256;
        if (planned_ > 0) o.settings_file = planners_.forwarders_settings();
        return o;
    }
    std::vector<ClassLoad> classes() const {
        using Effect = ClassLoad::Effect;
        return {{"listen", Effect::safe, workload_.safe, workload_.aim, workload_.patience},
                {"deposit", Effect::once, workload_.once, workload_.aim, workload_.patience},
                {"annotate", Effect::keyed, workload_.keyed, workload_.aim, workload_.patience}};
    }
    Load::Options load() const {
        Load::Options o;
        const sim::ArchiveSettings s(day_);
        o.classes = classes();
        o.rate = day_.get("load", 0.5) * static_cast<double>(s.servers * s.slots) / s.work * 1000;
        o.workload = workload_;
        sim::Stream parts(day_.seed, "clients/asks");  // as the world draws them
        o.weights = sim::unlike_parts(parts, day_.count("forwarders", 12), day_.get("skew", 1));
        o.retries = static_cast<unsigned>(day_.count("client.retries", 0));
        o.seed = day_.seed;
        return o;
    }
    void start_planner(std::size_t p) {
        planners_.start(p, fleet_.discovery().at(), fleet_.options().server);
    }
    void meet(const sim::Fault& f, const std::function<void(Millis, std::function<void()>)>& at) {
        const std::size_t n = number_of(f);
        if (f.kind == "crash") {
            at(f.at, [this, n, f] { fleet_.crash(n, f.length); });
        } else if (f.kind == "errors") {
            at(f.at, [this, n, f] { fleet_.server(n).fail_share(f.amount); });
            at(f.at + f.length, [this, n] { fleet_.server(n).fail_share(0); });
        } else if (f.kind == "freeze") {
            at(f.at, [this, n] { fleet_.server(n).freeze(true); });
            at(f.at + f.length, [this, n] { fleet_.server(n).freeze(false); });
        } else if (f.kind == "drain") {
            at(f.at, [this, n, f] { fleet_.drain(n, f.length); });
        } else if (f.kind == "restart") {
            at(f.at, [this, n] { fleet_.restart_forwarder(n); });
        } else {  // planner-down, planner-dead
            at(f.at, [this, n] { planners_.kill(n); });
            if (f.kind == "planner-down") at(f.at + f.length, [this, n] { start_planner(n); });
        }
    }

    const sim::Case& day_;
    const sim::Workload workload_;
    const std::size_t planned_;
    Folder folder_;
    PlannerChildren planners_;
    Fleet fleet_;
    Load load_;
    std::vector<Load::Lost> lost_;
    bool over_ = false;
};

}  // namespace

const std::vector<std::string>& socket_figures() {
    static const std::vector<std::string> all = [] {
        std::vector<std::string> names = {
            "asked",         "in time", "late",      "refused",         "failed",          "unanswered",
            "attempts",      "runs",    "cold peak", "doubled",         "broken",          "loss",
            "in time share", "p50 ms",  "p99 ms",    "tool lag p99 ms", "lost to the tool"};
        for (int t = 0; t <= static_cast<int>(Trouble::error); ++t)
            names.push_back(std::string("lost to ") + name_of(static_cast<Trouble>(t)));
        return names;
    }();
    return all;
}

std::string socket_misfit(const sim::Case& day) {
    const std::size_t processes = day.count("forwarders", 12) + day.count("planners", 3);
    if (processes > kMostProcesses)
        return std::to_string(processes) + " processes; " + std::to_string(kMostProcesses) + " at the most";
    if (day.count("forwarders", 12) == 0) return "no forwarders";
    if (day.get("planner.subset", 0) > 0) return "planner.subset";
    const auto sizes = sim::Workload(day).sizes;
    if (sizes != sim::Workload::Sizes::exponential) return "sizes that are not exponential";
    for (const sim::Fault& f : day.faults) {
        if (std::find(std::begin(kKinds), std::end(kKinds), f.kind) == std::end(kKinds))
            return "the fault '" + f.kind + "' has no counterpart on sockets";
        const std::size_t most = f.kind.starts_with("planner") ? day.count("planners", 3)
                                 : f.kind == "restart"         ? day.count("forwarders", 12)
                                                               : day.count("servers", 12);
        char* end = nullptr;
        const unsigned long n = std::strtoul(f.target.c_str(), &end, 10);
        if (f.target.empty() || *end != 0 || n >= most)
            return "the fault '" + f.kind + "' meets '" + f.target + "', which is not there";
        if (f.kind == "planner-down" && f.amount != 0) return "a planner whose disk is lost or spoilt";
    }
    return "";
}

std::vector<SocketDay> play_on_sockets(const std::vector<sim::Case>& days) {
    asio::io_context io(1);
    const Clock clock;
    std::vector<std::unique_ptr<Side>> sides;
    for (const sim::Case& day : days) sides.push_back(std::make_unique<Side>(io, clock, day));
    std::list<asio::steady_timer> timers;
    const auto at = [&](Millis when, std::function<void()> what) {
        timers.emplace_back(io);
        timers.back().expires_after(std::chrono::microseconds(static_cast<long>(when * 1000)));
        timers.back().async_wait([what = std::move(what)](error_code ec) {
            if (!ec) what();
        });
    };
    std::size_t ready = 0;
    Millis longest = 0;
    for (const sim::Case& day : days) longest = std::max(longest, day.length);
    for (auto& side : sides) {
        side->when_over([&] {
            if (std::all_of(sides.begin(), sides.end(), [](const auto& s) { return s->over(); })) io.stop();
        });
        side->start([&] {
            if (++ready < sides.size()) return;
            at(kMeet, [&] {
                for (auto& one : sides) one->go(at);
            });
        });
    }
    at(longest + kGuard, [&] { io.stop(); });
    io.run();
    std::vector<SocketDay> told;
    for (auto& side : sides) told.push_back(side->told(side->stop()));
    return told;
}

}  // namespace cobaltshift::lab
