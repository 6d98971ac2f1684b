#include "lab/plan_world.hpp"

#include <algorithm>
#include <map>
#include <thread>

#include "lab/world.hpp"

namespace cobaltshift::lab {

namespace {

// Days are independent: each runs whole on one thread.
std::vector<WorldReport> play(const std::vector<WorldOptions>& days) {
    std::vector<WorldReport> reports(days.size());
    const unsigned count = std::max(1U, std::thread::hardware_concurrency());
    std::vector<std::thread> threads;
    for (unsigned t = 0; t < count; ++t)
        threads.emplace_back([&, t] {
            for (std::size_t i = t; i < days.size(); i += count) reports[i] = run_world(days[i]);
        });
    for (std::thread& thread : threads) thread.join();
    return reports;
}

}  // namespace

Result plan_world(const Run& run) {
    const std::size_t seeds = run.quick ? 500 : 20000;
    std::vector<WorldOptions> days;
    for (std::size_t i = 0; i < seeds; ++i) days.push_back(drawn_day(run.seed * 1000000 + i));
    const auto reports = play(days);
    Result result;
    std::size_t broken = 0, asked = 0, taken = 0, refused = 0;
    double cold = 0, grants = 0;
    for (std::size_t i = 0; i < reports.size(); ++i) {
        const WorldReport& r = reports[i];
        broken += r.broken.empty() ? 0 : 1;
        asked += r.asked, taken += r.plans_taken, refused += r.plans_refused;
        cold = std::max(cold, r.cold_peak);
        if (days[i].liars <= days[i].planners / 2) grants = std::max(grants, r.grant_peak);
        if (!r.broken.empty() && broken <= 5)
            result.note("seed " + std::to_string(days[i].seed) + ": " + r.broken.front());
    }
    result.columns({"days", "requests", "plans taken", "plans refused", "cold peak", "grant peak"});
    result.row({std::to_string(seeds), std::to_string(asked), std::to_string(taken), std::to_string(refused),
                shown(cold, 3), shown(grants, 3)});
    result.figure("days", static_cast<double>(seeds));
    result.figure("requests", static_cast<double>(asked));
    result.at_most("days with a broken rule", static_cast<double>(broken), 0);
    result.at_most("work sent to a cold server over its budget, worst window", cold, 1);
    result.at_most("grants in force over the planners' part", grants, 1);
    result.at_least("plans taken", static_cast<double>(taken), static_cast<double>(seeds));
    return result;
}

Result plan_gain(const Run& run) {
    struct Way {
        const char* name;
        std::function<void(WorldOptions&)> change;
    };
    const std::vector<Way> ways = {
        {"without", [](WorldOptions& o) { o.planners = 0; }},
        {"with planners", [](WorldOptions&) {}},
        {"all dead", [](WorldOptions& o) { o.planners_dead = true; }},
        {"failing", [](WorldOptions& o) { o.planners_fail = true; }},
        {"one lying", [](WorldOptions& o) { o.liars = 1; }},
        {"all lying", [](WorldOptions& o) { o.liars = 3; }},
        {"split", [](WorldOptions& o) { o.planners_split = true; }},
        {"lossy", [](WorldOptions& o) { o.lossy = true; }},
    };
    const std::size_t days_each = run.quick ? 8 : 40;
    std::vector<WorldOptions> days;
    for (const Way& way : ways)
        for (std::size_t i = 0; i < days_each; ++i) {
            WorldOptions o;
            o.seed = run.seed * 1000 + i;
            o.forwarders = 40;
            o.servers = 16;
            o.length = 60000;
            o.load = 400.0 / (16 * 200);  // 400 requests a second of all forwarders
            way.change(o);
            days.push_back(o);
        }
    const auto reports = play(days);
    Result result;
    result.columns({"planners", "in time %", "late %", "refused %", "failed %", "attempts",
                    "loss against without", "left alone by all, s", "never %"});
    double base = 0;
    std::map<std::string, double> worth;
    for (std::size_t w = 0; w < ways.size(); ++w) {
        WorldReport sum;
        for (std::size_t i = 0; i < days_each; ++i) {
            const WorldReport& r = reports[w * days_each + i];
            sum.asked += r.asked, sum.in_time += r.in_time, sum.late += r.late;
            sum.refused += r.refused, sum.failed += r.failed, sum.attempts += r.attempts;
            sum.removal_ms += r.removal_ms, sum.removals += r.removals, sum.never_removed += r.never_removed;
        }
        const auto part = [&](std::size_t n) {
            return static_cast<double>(n) / static_cast<double>(sum.asked);
        };
        worth[ways[w].name] = part(sum.in_time);
        if (w == 0) base = part(sum.in_time);
        const double cases = std::max<double>(1, static_cast<double>(sum.removals));
        const double removal = sum.removal_ms / cases / 1000;
        const double never = 100 * static_cast<double>(sum.never_removed) / cases;
        result.row({ways[w].name, shown(100 * part(sum.in_time), 3), shown(100 * part(sum.late), 3),
                    shown(100 * part(sum.refused), 3), shown(100 * part(sum.failed), 3),
                    shown(part(sum.attempts), 3), shown((1 - part(sum.in_time)) / (1 - base), 3),
                    shown(removal, 1), shown(never, 1)});
        result.figure(std::string("seconds until all leave a failing server alone, ") + ways[w].name,
                      removal);
    }
    for (const auto& [name, value] : worth) result.figure(name, value);
    result.at_least("loss removed by planners", 1 - (1 - worth["with planners"]) / (1 - base), 0.3);
    for (const Way& way : ways)
        result.at_least(std::string("worth served in time, ") + way.name, worth[way.name], base - 0.01);
    return result;
}

}  // namespace cobaltshift::lab
