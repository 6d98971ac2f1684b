#include "lab/request_world.hpp"

#include <algorithm>
#include <cstdio>

#include "lab/drawn_days.hpp"
#include "sim_mesh/request_day.hpp"

namespace cobaltshift::lab {

namespace {

using simmesh::Played;
using simmesh::RequestDay;
using simmesh::Safeguards;

constexpr std::size_t kQuickDays = 1000, kDays = 20000, kDaysWithoutSafeguard = 150, kShown = 5;
// For each day, at least so many of each kind must have struck; fewer prove nothing.
constexpr double kLeastADay = 0.1;

struct Sum {
    std::size_t days = 0, broken = 0;
    double sent = 0, served = 0;
    std::map<std::string, std::uint64_t> struck, rules;
    std::map<std::string, double> margins;
    std::vector<std::string> findings;

    void add(const RequestDay& day, const Played& played) {
        ++days;
        sent += played.sent;
        served += played.served;
        for (const auto& [name, count] : played.struck) struck[name] += count;
        for (const auto& [name, used] : played.margins) margins[name] = std::max(margins[name], used);
        if (played.findings.empty()) return;
        ++broken;
        const simmesh::Finding& first = played.findings.front();
        ++rules[first.rule];
        if (findings.size() < kShown)
            findings.push_back("seed " + std::to_string(day.seed) + " " + first.rule + ": " + first.what);
    }
    void add(const Sum& other) {
        days += other.days;
        broken += other.broken;
        sent += other.sent;
        served += other.served;
        for (const auto& [name, count] : other.struck) struck[name] += count;
        for (const auto& [name, count] : other.rules) rules[name] += count;
        for (const auto& [name, used] : other.margins) margins[name] = std::max(margins[name], used);
        findings.insert(findings.end(), other.findings.begin(), other.findings.end());
    }
};

Sum play_days(std::uint64_t first, std::size_t count, const Safeguards& safeguards) {
    return sum_of_days<Sum>(count, [&](Sum& sum, std::size_t i) {
        const RequestDay day = simmesh::drawn_request_day(first + i);
        sum.add(day, simmesh::play_request_day(day, safeguards));
    });
}

struct Removable {
    const char* name;
    const char* rule;  // that is broken without it
    bool Safeguards::*safeguard;
};
constexpr Removable kRemovable[] = {
    {"ids of answers compared", "MIXED", &Safeguards::ids_compared},
    {"registered requests once", "TWICE", &Safeguards::registered_once},
    {"proof of a refusal", "REFUSED", &Safeguards::proof_of_refusal},
    {"refusals attributed to their requests", "REFUSED", &Safeguards::refusals_attributed},
    {"an acknowledged closing kept", "DRAIN", &Safeguards::closing_at_admission},
    {"the deadline kept", "HELD", &Safeguards::deadline_kept},
};

}  // namespace

Result request_world(const Run& run) {
    const std::uint64_t first = run.seed * 1'000'000;
    const Sum sum = play_days(first, run.quick ? kQuickDays : kDays, {});
    Result result;
    result.columns({"days", "requests", "served", "broken"});
    result.row({std::to_string(sum.days), shown(sum.sent, 0), shown(sum.served / sum.sent, 4),
                std::to_string(sum.broken)});
    for (const std::string& finding : sum.findings) result.note(finding);
    result.at_most("days with a broken rule", static_cast<double>(sum.broken), 0);
    for (const auto& [name, count] : sum.struck) result.note(name + ": " + std::to_string(count));
    for (const auto& [name, used] : sum.margins) {
        result.figure("of its bound: " + name, used);
        result.note("of its bound: " + name + ": " + shown(used, 2));
    }
    const double least = static_cast<double>(sum.days) * kLeastADay;
    for (const char* what :
         {"answer lost by a reset", "answer lost by silence", "answer broken off", "second answer, late",
          "second answer, at once", "server error", "turned away by the server", "second refusal, late",
          "connection forgotten", "connection reset", "cut", "kill", "freeze", "power", "crash", "close",
          "sigterm"}) {
        const auto at = sum.struck.find(what);
        result.at_least(std::string("struck: ") + what,
                        at == sum.struck.end() ? 0 : static_cast<double>(at->second), least);
    }
    for (const Removable& one : kRemovable) {
        Safeguards without;
        without.*(one.safeguard) = false;
        const Sum found = play_days(first, kDaysWithoutSafeguard, without);
        const auto at = found.rules.find(one.rule);
        result.at_least(std::string("days that break ") + one.rule + " without " + one.name,
                        at == found.rules.end() ? 0 : static_cast<double>(at->second), 1);
    }
    return result;
}

int replay_request_day(std::uint64_t seed) {
    RequestDay day = simmesh::drawn_request_day(seed);
    if (!simmesh::play_request_day(day).findings.empty()) day = simmesh::shrunk(day);
    const Played played = simmesh::play_request_day(day);
    std::printf("%s", text_of(day).c_str());
    for (const simmesh::Finding& finding : played.findings)
        std::printf("# at %.3f s %s: %s\n", finding.at / 1000 - 1, finding.rule.c_str(),
                    finding.what.c_str());
    return played.findings.empty() ? 0 : 1;
}

}  // namespace cobaltshift::lab
