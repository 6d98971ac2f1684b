#include "lab/sim_world.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include "lab/statistics.hpp"
#include "sim/days.hpp"
#include "sim/scene.hpp"
#include "sim/shrink.hpp"

namespace cobaltshift::lab {

namespace {

// Days are independent: each is played whole by one thread, whichever is free.
std::vector<sim::Played> play_all(const std::vector<sim::Case>& days) {
    std::vector<sim::Played> played(days.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (unsigned t = 0; t < std::max(1U, std::thread::hardware_concurrency()); ++t)
        threads.emplace_back([&] {
            for (std::size_t i; (i = next++) < days.size();) played[i] = sim::play(days[i]);
        });
    for (std::thread& thread : threads) thread.join();
    return played;
}

double of(const sim::Played& played, const char* figure) {
    const auto at = played.figures.find(figure);
    return at == played.figures.end() ? 0 : at->second;
}

}  // namespace

Result world(const Run& run) {
    const std::size_t seeds = run.quick ? 500 : 20000;
    std::vector<sim::Case> days;
    for (std::size_t i = 0; i < seeds; ++i) days.push_back(sim::drawn_day(run.seed * 1000000 + i));
    const auto began = std::chrono::steady_clock::now();
    const auto played = play_all(days);
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    Result result;
    double broken = 0, asked = 0, taken = 0, refused = 0, cold = 0, grants = 0, events = 0;
    std::uint64_t digest = 0;
    for (std::size_t i = 0; i < played.size(); ++i) {
        const sim::Played& p = played[i];
        broken += p.broken > 0, asked += of(p, "asked"), events += static_cast<double>(p.events);
        taken += of(p, "plans taken"), refused += of(p, "plans refused");
        cold = std::max(cold, of(p, "cold peak")), grants = std::max(grants, of(p, "grant peak"));
        digest = digest * 31 + p.digest;
        if (p.broken > 0 && broken <= 5)
            result.note("seed " + std::to_string(days[i].seed) + ": " +
                        std::to_string(static_cast<long>(p.findings[0].at)) + " ms: " + p.findings[0].rule +
                        ": " + p.findings[0].what);
    }
    result.columns(
        {"days", "requests", "plans taken", "plans refused", "cold peak", "grant peak", "events/s"});
    result.row({std::to_string(seeds), shown(asked), shown(taken), shown(refused), shown(cold, 3),
                shown(grants, 3), shown(events / seconds)});
    result.note("digest " + std::to_string(digest));
    result.figure("days", static_cast<double>(seeds));
    result.figure("requests", asked);
    result.figure("events", events);
    result.at_most("days with a broken rule", broken, 0);
    result.at_most("work sent to a cold server over its budget, worst window", cold, 1);
    result.at_most("grants in force over the planners' part", grants, 1);
    result.at_least("plans taken", taken, static_cast<double>(seeds));
    return result;
}

Result world_gain(const Run& run) {
    const std::size_t seeds = run.quick ? 8 : 40;
    std::vector<sim::Case> days;
    for (const double planners : {0.0, 3.0})
        for (std::size_t i = 0; i < seeds; ++i) {
            sim::Case day;
            day.seed = run.seed * 1000 + i;
            day.length = 60000;
            day.set = {
                {"forwarders", 40}, {"servers", 16}, {"planners", planners}, {"load", 400.0 / (16 * 200)}};
            sim::draw_faults(day, {});
            days.push_back(day);
        }
    const auto played = play_all(days);
    Result result;
    result.columns(
        {"planners", "asked", "in time %", "late", "refused", "failed", "left alone by all, s", "never %"});
    std::vector<double> loss(2), removed;
    std::vector<Pair> pairs;
    for (std::size_t way = 0; way < 2; ++way) {
        double asked = 0, good = 0, late = 0, refused = 0, failed = 0, ms = 0, cases = 0, never = 0;
        for (std::size_t i = 0; i < seeds; ++i) {
            const sim::Played& p = played[way * seeds + i];
            asked += of(p, "asked"), good += of(p, "in time"), late += of(p, "late");
            refused += of(p, "refused"), failed += of(p, "failed");
            ms += of(p, "removal ms"), cases += of(p, "removals"), never += of(p, "never removed");
            if (way == 0) continue;
            const sim::Played& w = played[i];
            const double lost = of(p, "asked") - of(p, "in time"), base = of(w, "asked") - of(w, "in time");
            pairs.push_back({base, lost});
            removed.push_back(1 - lost / std::max(1.0, base));
        }
        loss[way] = 1 - good / asked;
        result.row({way ? "three" : "none", shown(asked), shown(100 * good / asked, 3), shown(late),
                    shown(refused), shown(failed), shown(ms / std::max(1.0, cases) / 1000, 1),
                    shown(100 * never / std::max(1.0, cases))});
    }
    std::sort(removed.begin(), removed.end());
    result.note("part of the loss removed, by day: least " + shown(100 * removed.front(), 1) + " %, median " +
                shown(100 * removed[removed.size() / 2], 1) + " %, most " + shown(100 * removed.back(), 1) +
                " %");
    const Interval sure = part_removed(pairs, run.seed);
    result.note("95 % interval of the part removed: " + shown(100 * sure.low, 1) + " to " +
                shown(100 * sure.high, 1));
    result.figure("loss removed, lower end", sure.low);
    result.figure("loss removed, upper end", sure.high);
    result.at_least("loss removed by planners", 1 - loss[1] / loss[0], 0.3);
    return result;
}

int replay(const Replay& what) {
    sim::Case day;
    if (what.file.empty()) {
        day = sim::drawn_day(what.seed);
    } else {
        std::ifstream in(what.file);
        if (!in) {
            std::cerr << "cobaltshift-lab: " << what.file << " can't be read\n";
            return 2;
        }
        try {
            day = sim::case_from(std::string(std::istreambuf_iterator<char>(in), {}));
        } catch (const std::exception& error) {
            std::cerr << "cobaltshift-lab: " << what.file << ": " << error.what() << '\n';
            return 2;
        }
    }
    const sim::Played first = sim::play(day);
    if (first.broken > 0 && what.shorten) {
        const std::string rule = first.findings[0].rule;
        const auto breaks = [&](const sim::Case& tried) {
            const auto again = sim::play(tried);
            return std::any_of(again.findings.begin(), again.findings.end(),
                               [&](const sim::Finding& f) { return f.rule == rule; });
        };
        const sim::Shrunk small = sim::shrink(day, breaks);
        day = small.day;
        const std::string text = "# breaks: " + rule + "\n" + sim::text_of(day);
        std::cout << text << "# " << small.plays << " plays\n";
        if (!what.write.empty() && !(std::ofstream(what.write) << text)) {
            std::cerr << "cobaltshift-lab: " << what.write << " can't be written\n";
            return 2;
        }
    }
    const sim::Played last = what.shorten ? sim::play(day) : first;
    std::vector<std::string> subjects;
    for (const sim::Finding& f : last.findings)
        if (!f.subject.empty()) subjects.push_back(f.subject);
    if (what.all || !subjects.empty()) {
        const std::string whom = subjects.empty() ? "" : subjects[0];
        sim::play(day, [&](const std::string& line) {
            // Whole words only: "forwarder 1" is not forwarder 12.
            for (std::size_t at = line.find(whom); !what.all && at != std::string::npos;
                 at = line.find(whom, at + 1)) {
                const auto end = at + whom.size();
                if (end >= line.size() || line[end] < '0' || line[end] > '9') {
                    std::cout << line << '\n';
                    return;
                }
            }
            if (what.all) std::cout << line << '\n';
        });
    }
    for (const sim::Finding& f : last.findings)
        std::cout << "BROKEN " << static_cast<long>(f.at) << " ms: " << f.rule << ": " << f.what << '\n';
    std::cout << last.events << " events, digest " << last.digest << ", " << last.broken << " broken\n";
    return last.broken > 0 ? 1 : 0;
}

}  // namespace cobaltshift::lab
