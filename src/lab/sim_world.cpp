#include "lab/sim_world.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <thread>

#include "sim/days.hpp"
#include "sim/lease_days.hpp"
#include "sim/scene.hpp"
#include "sim/shrink.hpp"

namespace cobaltshift::lab {

// Days are independent.
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

double broken_days(Result& result, const std::vector<sim::Case>& days,
                   const std::vector<sim::Played>& played) {
    double broken = 0;
    for (std::size_t i = 0; i < played.size(); ++i) {
        const sim::Played& p = played[i];
        if (p.broken == 0 || ++broken > 5) continue;
        result.note("seed " + std::to_string(days[i].seed) + ": " +
                    std::to_string(static_cast<long>(p.findings[0].at)) + " ms: " + p.findings[0].rule +
                    ": " + p.findings[0].what);
    }
    return broken;
}

namespace {

double of(const sim::Played& played, const char* figure) {
    const auto at = played.figures.find(figure);
    return at == played.figures.end() ? 0 : at->second;
}

}  // namespace

Result plan_world(const Run& run) {
    const std::size_t seeds = run.quick ? 500 : 20000;
    std::vector<sim::Case> days;
    for (std::size_t i = 0; i < seeds; ++i) days.push_back(sim::drawn_day(run.seed * 1000000 + i));
    const auto began = std::chrono::steady_clock::now();
    const auto played = play_all(days);
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    Result result;
    const double broken = broken_days(result, days, played);
    double asked = 0, taken = 0, refused = 0, cold = 0, grants = 0, events = 0;
    std::uint64_t digest = 0;
    for (std::size_t i = 0; i < played.size(); ++i) {
        const sim::Played& p = played[i];
        asked += of(p, "asked"), events += static_cast<double>(p.events);
        taken += of(p, "plans taken"), refused += of(p, "plans refused");
        cold = std::max(cold, of(p, "cold peak")), grants = std::max(grants, of(p, "grant peak"));
        digest = digest * 31 + p.digest;
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

int digests(const std::string& folder) {
    namespace fs = std::filesystem;
    std::map<std::string, std::string> files;
    const auto played = [](const sim::Case& day, const std::string& name) {
        const sim::Played p = sim::play(day);
        for (const sim::Finding& f : p.findings)
            std::cerr << "cobaltshift-lab: " << name << " breaks a rule: " << f.rule << ": " << f.what
                      << '\n';
        return p;
    };
    bool broken = false;
    try {
        for (const auto& entry : fs::directory_iterator(folder)) {
            if (entry.path().extension() != ".case") continue;
            std::ifstream in(entry.path());
            const std::string text((std::istreambuf_iterator<char>(in)), {});
            const sim::Played p = played(sim::case_from(text), entry.path().filename());
            broken = broken || p.broken > 0;
            std::string kept;
            std::istringstream lines(text);
            for (std::string line; std::getline(lines, line);)
                if (!line.starts_with("# digest ")) kept += line + "\n";
            files[entry.path()] = kept + "# digest " + std::to_string(p.digest) + "\n";
        }
        std::string& drawn = files[(fs::path(folder) / "drawn.digests").string()];
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            const sim::Played p = played(sim::drawn_day(seed), "seed " + std::to_string(seed));
            broken = broken || p.broken > 0;
            drawn += std::to_string(seed) + " " + std::to_string(p.digest) + "\n";
        }
    } catch (const std::exception& error) {
        std::cerr << "cobaltshift-lab: " << error.what() << '\n';
        return 2;
    }
    if (broken) return 1;
    for (const auto& [name, text] : files)
        if (!(std::ofstream(name) << text)) {
            std::cerr << "cobaltshift-lab: " << name << " can't be written\n";
            return 2;
        }
    return 0;
}

int replay(const Replay& what) {
    sim::Case day;
    if (what.file.empty()) {
        day = what.lease ? sim::drawn_lease_day(what.seed) : sim::drawn_day(what.seed);
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
