// Plays an experiment: every variant on every seed, over all cores. Results are JSON lines, one a day played,
// each flushed when it is done, so that a stop loses the days under way and no more; a file that is there is
// gone on with.
#include <sys/utsname.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

#include "lab/experiment.hpp"
#include "lab/scenario.hpp"
#include "lab/statistics.hpp"
#include "sim/kernel.hpp"

namespace cobaltshift::lab {

namespace {

using nlohmann::json;

// Results of another format, or of days that play otherwise, must not be mixed with ours.
constexpr int kFormat = 1;

std::string machine() {
    utsname name{};
    ::uname(&name);
    return std::string(name.machine) + ", " + std::to_string(std::thread::hardware_concurrency()) + " cores";
}

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
using Figures = std::map<std::string, double>;

// What a results file holds already. Throws SettingsError for another experiment's. A last line cut short by
// a stop is left out, and `keep` tells how much of the file is whole.
std::map<Key, Figures> held(const std::string& file, const std::string& print, std::size_t& keep) {
    std::map<Key, Figures> done;
    keep = 0;
    std::ifstream in(file, std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(in)), {});
    std::size_t number = 0;
    for (std::size_t from = 0, end; (end = text.find('\n', from)) != std::string::npos; from = end + 1) {
        ++number;
        const json line = json::parse(text.substr(from, end - from), nullptr, false);
        const std::string where = file + ":" + std::to_string(number) + ": ";
        if (!line.is_object() || !line.contains("format"))
            throw SettingsError(where + "is no line of results");
        if (line["format"] != kFormat || line.value("experiment", "") != print)
            throw SettingsError(where + "is of another experiment or version; name another file");
        try {
            done[{line.at("variant").get<std::size_t>(), line.at("seed").get<std::uint64_t>()}] =
                line.at("figures").get<Figures>();
        } catch (const json::exception&) {
            throw SettingsError(where + "lacks variant, seed or figures");
        }
        keep = end + 1;
    }
    return done;
}

}  // namespace

int run_experiment(const RunExperiment& what, std::ostream& out, std::ostream& err) {
    Experiment e;
    std::map<Key, Figures> done;
    const auto complain = [&](const std::string& text) {
        err << "cobaltshift-lab: " << text << '\n';
        return 2;
    };
    std::string print;
    try {
        std::ifstream in(what.file);
        if (!in) return complain(what.file + " can't be read");
        e = read_experiment(std::string(std::istreambuf_iterator<char>(in), {}), what.file);
        print = fingerprint(e);
        if (!what.results.empty()) {
            std::size_t keep = 0;
            done = held(what.results, print, keep);
            if (std::ifstream(what.results)) {
                std::error_code ec;
                std::filesystem::resize_file(what.results, keep, ec);
                if (ec) return complain(what.results + ": " + ec.message());
            }
        }
    } catch (const std::exception& error) {
        return complain(error.what());
    }
    const auto variants = e.variants();
    const std::size_t seeds = what.quick ? e.quick_seeds : e.seeds;
    std::vector<Key> todo;
    for (std::size_t s = 0; s < seeds; ++s)  // seed by seed: a stop leaves whole pairs
        for (std::size_t v = 0; v < variants.size(); ++v)
            if (!done.count({v, e.first_seed + s})) todo.push_back({v, e.first_seed + s});

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
            const auto [variant, seed] = todo[i];
            Figures figures;
            std::string error;
            try {
                figures = figures_of(e.day_of(variants[variant], seed));
            } catch (const std::exception& thrown) {
                error = thrown.what();
            }
            const std::lock_guard lock(mutex);
            if (!error.empty()) {
                failed = e.name_of(variants[variant]) + ", seed " + std::to_string(seed) + ": " + error;
                next = todo.size();
                return;
            }
            done[{variant, seed}] = figures;
            ++played;
            if (results.is_open())
                results << json{{"format", kFormat},  {"experiment", print},      {"name", e.name},
                                {"variant", variant}, {"set", variants[variant]}, {"seed", seed},
                                {"figures", figures}, {"machine", machine()}}
                               .dump()
                        << std::endl;
            if (what.progress) {
                const double seconds =
                    std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
                const double rate = static_cast<double>(played) / std::max(0.001, seconds);
                err << '\r' << played << " of " << todo.size() << " days, " << shown(rate, 1) << " a second, "
                    << shown(static_cast<double>(todo.size() - played) / rate) << " s left   " << std::flush;
            }
        }
    };
    std::vector<std::thread> threads;
    const unsigned jobs = what.jobs > 0 ? what.jobs : std::max(1U, std::thread::hardware_concurrency());
    for (unsigned j = 0; j < jobs; ++j) threads.emplace_back(work);
    for (std::thread& thread : threads) thread.join();
    if (what.progress) err << '\n';
    if (!failed.empty()) return complain(failed);
    if (results.is_open() && !results) return complain(what.results + " could not be written whole");

    Result result;
    result.columns({"variant", "days", "asked", "in time %", "late", "refused", "failed", "attempts",
                    "removal s", "cold peak", "broken"});
    const auto total = [&](std::size_t v, const std::string& figure) {
        // Peaks are the worst day's, shares those of all days together, the rest sums.
        double sum = 0, worst = 0;
        for (std::size_t s = 0; s < seeds; ++s) {
            const double value = done[{v, e.first_seed + s}][figure];
            sum += value;
            worst = std::max(worst, value);
        }
        return figure.ends_with("peak") ? worst : sum;
    };
    const auto figure = [&](std::size_t v, const std::string& name) {
        const double asked = std::max(1.0, total(v, "asked"));
        if (name == "in time share") return total(v, "in time") / asked;
        if (name == "loss") return 1 - total(v, "in time") / asked;
        if (name == "removal s") return total(v, name) / static_cast<double>(seeds);
        return total(v, name);
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
        double first = 0;
        for (const auto& v : e.vary)
            if (v.name == e.pair) first = v.values.front();
        for (std::size_t v = 0; v < variants.size(); ++v) {
            auto base = variants[v];
            base[e.pair] = first;
            const auto at = std::find(variants.begin(), variants.end(), base);
            const auto b = static_cast<std::size_t>(at - variants.begin());
            if (b == v) continue;
            std::vector<Pair> pairs;
            for (std::size_t s = 0; s < seeds; ++s)
                pairs.push_back({done[{b, e.first_seed + s}]["loss"], done[{v, e.first_seed + s}]["loss"]});
            const Interval sure = removed[v] = part_removed(pairs);
            result.note(e.name_of(variants[v]) + " against " + e.name_of(base) + ": " +
                        shown(100 * sure.value, 1) + " % of the loss removed" +
                        (sure.known ? ", 95 % interval " + shown(100 * sure.low, 1) + " to " +
                                          shown(100 * sure.high, 1)
                                    : std::string(", too few days for an interval")));
        }
    }
    for (const Experiment::Bound& bound : e.bounds)
        for (std::size_t v = 0; v < variants.size(); ++v) {
            const bool meant = std::all_of(bound.where.begin(), bound.where.end(), [&](const auto& w) {
                return variants[v].at(w.first) == w.second;
            });
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
