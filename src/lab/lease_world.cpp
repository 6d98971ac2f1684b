#include "lab/lease_world.hpp"

#include <algorithm>
#include <map>

#include "lab/sim_world.hpp"
#include "sim/lease_days.hpp"

namespace cobaltshift::lab {

Result lease_world(const Run& run) {
    const std::size_t seeds = run.quick ? 2000 : 20000;
    std::vector<sim::Case> days;
    for (std::size_t i = 0; i < seeds; ++i) days.push_back(sim::drawn_lease_day(run.seed * 1000000 + i));
    const std::vector<sim::Played> played = play_all(days);
    Result result;
    std::map<std::string, double> sums;
    const double broken = broken_days(result, days, played);
    double longest = 0;
    std::uint64_t digest = 0;
    for (std::size_t i = 0; i < played.size(); ++i) {
        const sim::Played& p = played[i];
        digest = digest * 31 + p.digest;
        for (const auto& [name, value] : p.figures) sums[name] += value;
        if (const auto at = p.figures.find("longest without a holder"); at != p.figures.end())
            longest = std::max(longest, at->second);
    }
    result.columns({"days", "acts", "stale acts refused", "notes left", "rights gained", "leaders",
                    "new lives", "spoilt folders"});
    result.row({std::to_string(seeds), shown(sums["acts"]), shown(sums["stale acts refused"]),
                shown(sums["notes left"]), shown(sums["rights gained"]), shown(sums["leaders"]),
                shown(sums["new lives"]), shown(sums["spoilt folders"])});
    for (const auto& [name, value] : sums)
        if (name.starts_with("struck: ")) result.note(name.substr(8) + ": " + shown(value));
    result.note("digest " + std::to_string(digest));
    result.figure("longest without a holder, ms", longest);
    result.at_most("days with a broken rule", broken, 0);
    // Too few of any of these, and the days have proved nothing.
    const double least = static_cast<double>(seeds) / 50;
    for (const char* what : {"keeper down, crash", "keeper down, folder lost", "keeper down, folder rotten",
                             "keeper down, disk full", "keeper down, older folder", "leader down",
                             "keeper stopped", "holder stopped", "holder down", "slow disk", "lease-lossy",
                             "answers-lost", "keeper-cut", "lease-split"})
        result.at_least(std::string("struck: ") + what, sums[std::string("struck: ") + what], least);
    for (const char* what : {"deaths in a write", "torn tails", "new lives", "stale acts refused",
                             "acts sent after a stop", "notes left"})
        result.at_least(what, sums[what], least);
    return result;
}

}  // namespace cobaltshift::lab
