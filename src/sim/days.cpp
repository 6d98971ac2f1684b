#include "sim/days.hpp"

#include <algorithm>

#include "sim/stream.hpp"

namespace cobaltshift::sim {

void draw_faults(Case& day, const Troubles& troubles) {
    const std::size_t servers = day.count("servers", 12), planners = day.count("planners", 3);
    const std::size_t forwarders = day.count("forwarders", 12);
    const Millis span = day.length, bad_from = 5000, bad_until = span * 0.75;
    const auto add = [&](std::string kind, std::size_t target, Millis at, Millis length, double amount = 0) {
        day.faults.push_back({std::move(kind), std::to_string(target), at, length, amount});
    };
    // A stream for each kind, so that one more of one kind moves no other.
    Stream who(day.seed, "faults/who");
    std::vector<std::size_t> all(servers);
    for (std::size_t i = 0; i < servers; ++i) all[i] = i;
    for (std::size_t i = servers; i > 1; --i) std::swap(all[i - 1], all[who.below(i)]);
    const auto take = [&](double part) {
        const auto n =
            std::min(static_cast<std::size_t>(part * static_cast<double>(servers) + 0.5), all.size());
        std::vector<std::size_t> some(all.end() - static_cast<std::ptrdiff_t>(n), all.end());
        all.resize(all.size() - n);
        return some;
    };
    Stream crash(day.seed, "faults/crash");
    const Millis crash_at = span * crash.between(0.2, 0.3), down = crash.between(3000, 8000);
    for (const std::size_t n : take(troubles.crash_part)) add("crash", n, crash_at, down);
    Stream errors(day.seed, "faults/errors");
    const Millis errors_at = span * errors.between(0.4, 0.5);
    for (const std::size_t n : take(troubles.error_part))
        add("errors", n, errors_at, span * 0.3, errors.between(0.4, 1));
    Stream pauses(day.seed, "faults/pauses");
    const Millis first = span * pauses.between(0.1, 0.2), every = pauses.between(1500, 3000);
    for (const std::size_t n : take(troubles.pause_part))
        for (Millis t = first + every * pauses.unit(); t < span * 0.75; t += every)
            add("freeze", n, t, pauses.between(100, 500));
    if (troubles.drains && !all.empty()) {
        Stream drains(day.seed, "faults/drains");
        add("drain", all.back(), span * drains.between(0.3, 0.6), 8000);
    }
    if (troubles.planners_fail) {
        Stream fails(day.seed, "faults/planners");
        const auto bounce = [&](std::size_t p, Millis at, Millis longest) {
            const double lot = fails.unit();
            add("planner-down", p, at, std::min(longest, bad_until - at),
                lot < 0.2   ? 1
                : lot < 0.4 ? 2
                : lot < 0.5 ? 3
                            : 0);
        };
        for (std::size_t p = 0; p < planners; ++p) {
            for (Millis t = fails.between(6000, 12000); t < span * 0.7; t += fails.between(6000, 14000))
                bounce(p, t, fails.between(500, 4500));
            add("lag", p, 0, bad_until, 8000);
        }
        for (const double when : {0.35, 0.6})  // all at once
            for (std::size_t p = 0; p < planners; ++p) bounce(p, span * when, 7000);
    }
    if (troubles.planners_dead)
        for (std::size_t p = 0; p < planners; ++p) add("planner-dead", p, bad_from, 0);
    for (std::size_t p = 0; p < std::min(troubles.liars, planners); ++p)
        add("lying", p, bad_from, bad_until - bad_from);
    if (troubles.lossy) day.faults.push_back({"lossy", "", bad_from, bad_until - bad_from, 0.3});
    if (troubles.planners_split) day.faults.push_back({"split", "", bad_from, bad_until - bad_from, 0});
    if (troubles.restarts) {
        Stream restarts(day.seed, "faults/restarts");
        for (std::size_t f = 0; f < forwarders; ++f)
            if (restarts.chance(0.4)) add("restart", f, span * restarts.between(0.2, 0.7), 0);
    }
    day.set["liars"] = static_cast<double>(troubles.liars);
}

Case drawn_day(std::uint64_t seed) {
    Case day;
    day.seed = seed;
    Stream size(seed, "day");
    const std::size_t planners = 3 + size.below(3);
    day.set["planners"] = static_cast<double>(planners);
    day.set["forwarders"] = static_cast<double>(10 + size.below(51));
    day.set["servers"] = static_cast<double>(6 + size.below(11));
    day.length = size.between(9000, 14000);
    day.set["load"] = size.between(0.2, 0.4);
    Troubles troubles;
    troubles.planners_fail = size.chance(0.5);
    troubles.planners_split = size.chance(0.3);
    troubles.lossy = size.chance(0.5);
    troubles.restarts = size.chance(0.3);
    troubles.liars = size.chance(0.5) ? size.below(planners + 1) : 0;
    draw_faults(day, troubles);
    return day;
}

}  // namespace cobaltshift::sim
