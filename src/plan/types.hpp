// The plan between forwarders and planners: what a forwarder reports and what a planner advises. For all of
// src/plan; entry types are Meter (a forwarder's counts), Planner, and Follower (a forwarder's plans). All
// are free of I/O and clock: times are milliseconds of the caller's steady clock, and none is ever compared
// with another machine's.
#pragma once

#include <array>
#include <cmath>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "kelplb/balancer.hpp"

namespace cobaltshift::plan {

using kelplb::Millis;
using kelplb::ServerId;

constexpr std::size_t kMaxServers = 4096, kMaxClasses = 64, kMaxPlanners = 15, kMaxName = 64;
constexpr std::size_t kOutcomes = 8;  // of kelplb::Outcome

// What all planners together may grant of a cold server's budget, in the worst case that a majority rule over
// honest ones and a minority of liars allows (see Follower), beside what every forwarder takes by its own
// rule.
constexpr double kPlannersSlice = 0.125;

// Times in buckets, each wider than the one before by the root of two; from under 0.7 ms to over 2 s.
struct Digest {
    static constexpr std::size_t kBuckets = 25;
    std::array<std::uint32_t, kBuckets> counts{};

    static std::size_t bucket(Millis time) {
        const double at = 2 * std::log2(std::max(time, 0.5)) + 2;
        return static_cast<std::size_t>(std::min(std::max(at, 0.0), kBuckets - 1.0));
    }
    static Millis middle(std::size_t bucket) { return std::exp2((static_cast<double>(bucket) - 1.5) / 2); }
    void add(Millis time) { ++counts[bucket(time)]; }
    double total() const {
        double sum = 0;
        for (const auto n : counts) sum += n;
        return sum;
    }
    Millis mean() const {  // 0 if empty
        double sum = 0;
        for (std::size_t i = 0; i < kBuckets; ++i) sum += counts[i] * middle(i);
        return sum / std::max(1.0, total());
    }
    bool operator==(const Digest&) const = default;
};

// A server's life: its number and when it last started, as discovery says. Only ever compared for equality.
struct Life {
    ServerId id = 0;
    Millis born = 0;
    auto operator<=>(const Life&) const = default;
};

// ---- Forwarder to planner -------------------------------------------------------------------------------

// Counters run from the forwarder's start and never fall, so that a report lost, doubled or overtaken costs
// nothing: the planner takes the difference to the newest it holds.
struct ServerReport {
    Life life;
    std::uint64_t attempts = 0;
    std::array<std::uint64_t, kOutcomes> outcomes{};
    std::uint64_t late = 0;  // of the completed, past their aim: as good as timed out
    std::uint32_t outstanding = 0;
    bool removed = false;  // by the forwarder's own window
    Digest latency;        // of the completed
    bool operator==(const ServerReport&) const = default;
};

struct PlanId {
    std::uint64_t epoch = 0;     // grows with every start of a planner
    std::uint64_t sequence = 0;  // grows with every change of its plan
    auto operator<=>(const PlanId&) const = default;
};

struct Report {
    std::string forwarder;
    std::uint64_t incarnation = 0;  // drawn at its start
    std::uint64_t sequence = 0;     // from 1, by planner
    bool full = false;              // all servers; else those that changed since the last report acknowledged
    std::vector<ServerReport> servers;
    std::vector<std::uint64_t> demand;  // requests that arrived, by class
    std::vector<PlanId> seen;           // newest plan held, by planner
    bool operator==(const Report&) const = default;
};

// ---- Planner to forwarder -------------------------------------------------------------------------------

struct ServerPlan {
    Life life;
    bool removed = false;     // by the pooled window
    std::uint32_t trial = 0;  // not 0: this forwarder has the trial of that number
    bool preferred = true;    // in this forwarder's subset
    float share = 1;          // of the draws that its size would give it, 0 to 1
    float elsewhere = 0;      // outstanding from the other forwarders
    float cold_rate = 0;      // attempts a second, beyond what the forwarder's own rule lets through
    bool operator==(const ServerPlan&) const = default;
};

struct Plan {
    std::uint32_t planner = 0;
    PlanId id;
    Millis life = 0;    // from the moment at which the forwarder asked
    bool same = false;  // as held under this identity: lives on, no servers follow
    std::vector<ServerPlan> servers;
    bool operator==(const Plan&) const = default;
};

}  // namespace cobaltshift::plan
