// Plays an experiment: every variant on every seed, over all cores. Results are JSON lines, one a day played,
// each flushed when it is done, so that a stop loses the days under way and no more; a file that is there is
// gone on with.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <mutex>
#include <sstream>
#include <thread>

#include "lab/experiment.hpp"
#include "lab/results.hpp"
#include "lab/scenario.hpp"
#include "lab/socket_engine.hpp"
#include "lab/statistics.hpp"
#include "sim/kernel.hpp"

namespace cobaltshift::lab {

namespace {

// What of the file fixes a day: with another, results are of another experiment.
std::string fingerprint(const Experiment& e) {
    std::uint64_t h = 14695981039346656037ULL;
    std::string text = e.name + "\n";
    for (const auto& variant : e.variants()) text += sim::text_of(e.day_of(variant, e.first_seed));
    for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    std::ostringstream hex;
    hex << std::hex << h;
    return hex.str();
}

using Key = std::pair<std::size_t, std::uint64_t>;  // variant, seed

std::vector<DayResult> play(const Experiment& e, const std::vector<Key>& together, bool sockets) {
    const auto variants = e.variants();
    std::vector<DayResult> all;
    std::vector<sim::Case> days;
    for (const auto& [variant, seed] : together) {
        days.push_back(e.day_of(variants[variant], seed));
        DayResult day;
        day.name = e.name, day.about = e.about, day.engine = sockets ? "sockets" : "world";
        day.label = e.name_of(variants[variant]);
        if (const auto base = e.base_of(variant); base && *base != variant)
            day.pair_base = e.name_of(variants[*base]);
        day.commit = this_commit(), day.machine = this_machine();
        day.variant = variant, day.seed = seed, day.length = e.day.length, day.faults = days.back().faults;
        for (const auto& bound : e.bounds) {
            if (!Experiment::meant(bound, variants[variant])) continue;
            if (bound.at_most) day.bounds.push_back({bound.figure, true, *bound.at_most});
            if (bound.at_least) day.bounds.push_back({bound.figure, false, *bound.at_least});
        }
        all.push_back(std::move(day));
    }
    if (sockets) {
        const auto told = play_on_sockets(days);
        for (std::size_t i = 0; i < told.size(); ++i) {
            if (!told[i].finished) throw std::runtime_error("has not ended within its guard");
            all[i].figures = told[i].figures, all[i].times = told[i].times.sparse(),
            all[i].course = told[i].course;
        }
        return all;
    }
    for (std::size_t i = 0; i < days.size(); ++i) {
        days[i].set["course"] = 1;
        sim::Course course;
        all[i].figures = figures_of(days[i], &course);
        Histogram times;
        for (const float ms : course.times) times.add(ms);
        all[i].times = times.sparse();
        course.times.clear();
        all[i].course = std::move(course);
        all[i].figures["p50 ms"] = times.percentile(0.5);
        all[i].figures["p99 ms"] = times.percentile(0.99);
    }
    return all;
}

// Why this experiment can't be played on sockets; empty: it can.
std::string misfit(const Experiment& e, const std::string& file) {
    const auto& measured = socket_figures();
    for (const auto& bound : e.bounds)
        if (bound.figure != "loss removed" &&
            std::find(measured.begin(), measured.end(), bound.figure) == measured.end())
            return file + ":" + std::to_string(bound.line) + ": bound.figure '" + bound.figure +
                   "' is not measured on sockets";
    for (const auto& variant : e.variants())
        if (const std::string why = socket_misfit(e.day_of(variant, e.first_seed)); !why.empty())
            return file + ": " + e.name_of(variant) + " does not fit on sockets: " + why;
    return "";
}

std::string bar(std::size_t done, std::size_t all) {
    constexpr std::size_t kWidth = 24;
    const std::size_t full = all > 0 ? done * kWidth / all : kWidth;
    return "[" + std::string(full, '#') + std::string(kWidth - full, '.') + "]";
}

}  // namespace

int run_experiment(const RunExperiment& what, std::ostream& out, std::ostream& err) {
    Experiment e;
    std::map<Key, DayResult> done;
    const auto complain = [&](const std::string& text) {
        err << "cobaltshift-lab: " << text << '\n';
        return 2;
    };
    std::string print;
    const std::string engine = what.sockets ? "sockets" : "world";
    try {
        std::ifstream in(what.file);
        if (!in) return complain(what.file + " can't be read");
        e = read_experiment(std::string(std::istreambuf_iterator<char>(in), {}), what.file);
        print = fingerprint(e);
        if (const std::string why = what.sockets ? misfit(e, what.file) : ""; !why.empty())
            return complain(why);
        if (!what.results.empty()) {
            if (std::ifstream(what.results)) {
                const Held held = read_results(what.results);
                for (std::size_t i = 0; i < held.days.size(); ++i) {
                    const DayResult& day = held.days[i];
                    if (day.experiment != print || day.engine != engine)
                        return complain(what.results + ":" + std::to_string(i + 1) +
                                        ": is of another experiment or version; name another file");
                    done[{day.variant, day.seed}] = day;
                }
                std::error_code ec;
                std::filesystem::resize_file(what.results, held.whole, ec);
                if (ec) return complain(what.results + ": " + ec.message());
            }
        }
    } catch (const std::exception& error) {
        return complain(error.what());
    }
    const auto variants = e.variants();
    const std::size_t seeds = what.quick ? e.quick_seeds : e.seeds;
    // Jobs: what is played together. On sockets a pair runs in the same seconds, and one job at a time, as
    // each takes what the machine has. Seed by seed: a stop leaves whole pairs.
    std::vector<std::vector<Key>> todo;
    std::size_t days = 0;
    for (std::size_t s = 0; s < seeds; ++s) {
        std::map<std::size_t, std::vector<Key>> together;
        for (std::size_t v = 0; v < variants.size(); ++v)
            if (!done.count({v, e.first_seed + s}))
                together[what.sockets ? e.base_of(v).value_or(v) : v].push_back({v, e.first_seed + s}),
                    ++days;
        for (auto& [first, keys] : together) todo.push_back(std::move(keys));
    }

    std::ofstream results;
    if (!what.results.empty()) {
        results.open(what.results, std::ios::app);
        if (!results) return complain(what.results + " can't be written");
    }
    std::mutex mutex;  // of what follows
    std::string failed;
    std::size_t played = 0;
    std::atomic<std::size_t> next{0};
    const auto began = std::chrono::steady_clock::now();
    const auto work = [&] {
        for (std::size_t i; (i = next++) < todo.size();) {
            std::vector<DayResult> ready;
            std::string error;
            try {
                ready = play(e, todo[i], what.sockets);
            } catch (const std::exception& thrown) {
                error = thrown.what();
            }
            const std::lock_guard lock(mutex);
            if (!error.empty()) {
                failed = e.name_of(variants[todo[i][0].first]) + ", seed " +
                         std::to_string(todo[i][0].second) + ": " + error;
                next = todo.size();
                return;
            }
            for (DayResult& day : ready) {
                ++played;
                day.experiment = print;
                if (results.is_open()) results << line_of(day) << std::endl;
                day.times = {}, day.course = {}, day.faults = {};  // 20,000 days need not be held
                const Key key{day.variant, day.seed};
                done[key] = std::move(day);
            }
            if (what.progress) {
                const double seconds =
                    std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
                const double rate = static_cast<double>(played) / std::max(0.001, seconds);
                err << '\r' << bar(played, days) << ' ' << played << " of " << days << " days, "
                    << shown(rate, 1) << " a second, " << shown(static_cast<double>(days - played) / rate)
                    << " s left   " << std::flush;
            }
        }
    };
    std::vector<std::thread> threads;
    const unsigned jobs = what.sockets    ? 1
                          : what.jobs > 0 ? what.jobs
                                          : std::max(1U, std::thread::hardware_concurrency());
    for (unsigned j = 0; j < jobs; ++j) threads.emplace_back(work);
    for (std::thread& thread : threads) thread.join();
    if (what.progress) err << '\n';
    if (!failed.empty()) return complain(failed);
    if (results.is_open() && !results) return complain(what.results + " could not be written whole");

    Result result;
    result.columns({"variant", "days", "asked", "in time %", "late", "refused", "failed", "attempts",
                    "removal s", "cold peak", "broken"});
    const auto figure = [&](std::size_t v, const std::string& name) {
        std::vector<const DayResult*> days_of;
        for (std::size_t s = 0; s < seeds; ++s) days_of.push_back(&done[{v, e.first_seed + s}]);
        const double value = figure_of(days_of, name);
        return std::isnan(value) ? 0 : value;
    };
    for (std::size_t v = 0; v < variants.size(); ++v)
        result.row({e.name_of(variants[v]), std::to_string(seeds), shown(figure(v, "asked")),
                    shown(100 * figure(v, "in time share"), 3), shown(figure(v, "late")),
                    shown(figure(v, "refused")), shown(figure(v, "failed")), shown(figure(v, "attempts")),
                    shown(figure(v, "removal s"), 2), shown(figure(v, "cold peak"), 3),
                    shown(figure(v, "broken"))});
    // Each other value of what is paired against the first, on the same seeds and else the same variant.
    std::map<std::size_t, Interval> removed;
    if (!e.pair.empty()) {
        for (std::size_t v = 0; v < variants.size(); ++v) {
            const std::size_t b = *e.base_of(v);
            if (b == v) continue;
            std::vector<Pair> pairs;
            for (std::size_t s = 0; s < seeds; ++s)
                pairs.push_back({done[{b, e.first_seed + s}].figures["loss"],
                                 done[{v, e.first_seed + s}].figures["loss"]});
            const Interval sure = removed[v] = part_removed(pairs);
            result.note(e.name_of(variants[v]) + " against " + e.name_of(variants[b]) + ": " +
                        shown(100 * sure.value, 1) + " % of the loss removed" +
                        (sure.known ? ", 95 % interval " + shown(100 * sure.low, 1) + " to " +
                                          shown(100 * sure.high, 1)
                                    : std::string(", too few days for an interval")));
        }
    }
    for (const Experiment::Bound& bound : e.bounds)
        for (std::size_t v = 0; v < variants.size(); ++v) {
            const bool meant = Experiment::meant(bound, variants[v]);
            const bool paired = bound.figure == "loss removed";
            if (!meant || (paired && !removed.count(v))) continue;
            const double value = paired ? removed[v].value : figure(v, bound.figure);
            const std::string name = bound.figure + ", " + e.name_of(variants[v]);
            if (bound.at_most) result.at_most(name, value, *bound.at_most);
            if (bound.at_least) result.at_least(name, value, *bound.at_least);
        }
    out << e.name << (e.about.empty() ? "" : ": " + e.about) << '\n' << result.text();
    return result.holds() ? 0 : 1;
}

}  // namespace cobaltshift::lab
