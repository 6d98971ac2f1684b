#include "lab/control_world.hpp"

#include <algorithm>
#include <cstdio>

#include "lab/drawn_days.hpp"
#include "sim_mesh/control_day.hpp"

namespace cobaltshift::lab {

namespace {

using simmesh::ControlPlayed;
using simmesh::ControlSafeguards;

constexpr std::size_t kQuickDays = 1000, kDays = 20000, kDaysWithoutSafeguard = 160, kShown = 5;
// Of the days, at least so many must have seen each kind of fault; fewer prove nothing.
constexpr double kLeastShare = 0.02;

struct Sum {
    std::size_t days = 0, broken = 0;
    std::uint64_t acknowledged = 0, readings = 0;
    std::map<std::string, std::uint64_t> struck;
    std::map<std::string, double> margins;
    std::vector<std::string> findings;

    void add(const simmesh::ControlDay& day, const ControlPlayed& played) {
        ++days;
        acknowledged += played.acknowledged;
        readings += played.readings;
        for (const auto& [name, count] : played.struck) struck[name] += count;
        for (const auto& [name, used] : played.margins) margins[name] = std::max(margins[name], used);
        if (played.findings.empty()) return;
        ++broken;
        if (findings.size() < kShown) findings.push_back(describe(day) + " " + played.findings[0]);
    }
    void add(const Sum& other) {
        days += other.days, broken += other.broken;
        acknowledged += other.acknowledged, readings += other.readings;
        for (const auto& [name, count] : other.struck) struck[name] += count;
        for (const auto& [name, used] : other.margins) margins[name] = std::max(margins[name], used);
        findings.insert(findings.end(), other.findings.begin(), other.findings.end());
    }
};

Sum play_days(std::uint64_t first, std::size_t count, const ControlSafeguards& safeguards) {
    return sum_of_days<Sum>(count, [&](Sum& sum, std::size_t i) {
        const simmesh::ControlDay day = simmesh::drawn_control_day(first + i);
        sum.add(day, simmesh::play_control_day(day, safeguards));
    });
}

}  // namespace

Result control_world(const Run& run) {
    const std::uint64_t first = run.seed * 1'000'000;
    const Sum sum = play_days(first, run.quick ? kQuickDays : kDays, {});
    Result result;
    result.columns({"days", "acknowledged", "readings", "broken"});
    result.row({std::to_string(sum.days), std::to_string(sum.acknowledged), std::to_string(sum.readings),
                std::to_string(sum.broken)});
    for (const std::string& finding : sum.findings) result.note(finding);
    result.at_most("days with a broken rule", static_cast<double>(sum.broken), 0);
    for (const auto& [name, used] : sum.margins) result.figure("of its bound: " + name, used);
    for (const auto& [name, used] : sum.margins) result.note("of its bound: " + name + ": " + shown(used, 2));
    for (const auto& [name, count] : sum.struck) result.note(name + ": " + std::to_string(count));
    const double least = static_cast<double>(sum.days) * kLeastShare;
    for (const char* what :
         {"cut", "hears none", "heard by none", "cut from one", "kill", "kill all", "stop", "wipe", "replace",
          "power all, wipe one", "freeze", "slow disk", "restarted while cut off",
          "right after an acknowledgement", "the leader struck", "answers lost",
          "sent again after an acknowledgement", "refused as stale", "snapshot pieces"}) {
        const auto at = sum.struck.find(what);
        result.at_least(std::string("struck: ") + what,
                        at == sum.struck.end() ? 0 : static_cast<double>(at->second), least);
    }
    const std::pair<const char*, bool ControlSafeguards::*> safeguards[] = {
        {"a majority's word for readings", &ControlSafeguards::majority_for_readings},
        {"the commit before the acknowledgement", &ControlSafeguards::commit_before_acknowledgement},
        {"the sync before the answer", &ControlSafeguards::synced_before_answers},
    };
    for (const auto& [name, safeguard] : safeguards) {
        ControlSafeguards without;
        without.*safeguard = false;
        const Sum found = play_days(first, kDaysWithoutSafeguard, without);
        result.at_least(std::string("days that find it, without ") + name, static_cast<double>(found.broken),
                        1);
    }
    return result;
}

int replay_control_day(std::uint64_t seed) {
    simmesh::ControlDay day = simmesh::drawn_control_day(seed);
    if (!simmesh::play_control_day(day).findings.empty()) day = simmesh::shrunk(day);
    const ControlPlayed played = simmesh::play_control_day(day);
    std::printf("%s\n", describe(day).c_str());
    for (const std::string& line : played.trace) std::printf("  %s\n", line.c_str());
    for (const std::string& finding : played.findings) std::printf("%s\n", finding.c_str());
    return played.findings.empty() ? 0 : 1;
}

}  // namespace cobaltshift::lab
