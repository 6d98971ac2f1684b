// Messages between forwarders (sidecar proxies) and planners: a forwarder sends a Report, a planner answers
// with a Plan that advises this forwarder. The classes that use them are Meter (counts what a forwarder sends
// and builds its reports), Planner (pools reports and computes plans) and Follower (applies plans at a
// forwarder). All classes of src/plan are free of I/O and of clocks and are not thread-safe: the caller
// passes the time in milliseconds of its own steady clock, and times of different machines are never
// compared.
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

// Upper bounds of a message; kMaxName is in bytes.
constexpr std::size_t kMaxServers = 4096, kMaxClasses = 64, kMaxPlanners = 15, kMaxName = 64;
constexpr std::size_t kOutcomes = 8;  // number of values of kelplb::Outcome

// The part of a cold server's budget that one planner may grant over all forwarders. It is sized for the
// worst case under the majority rule (see Follower), in which a minority of planners lies. Grants come on top
// of what every forwarder sends to the server by its own rule.
constexpr double kPlannersSlice = 0.125;

// Latency histogram. Each bucket is wider than the one before by a factor of sqrt(2); the first holds all
// times below about 0.7 ms, the last all times above about 2 s.
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

// One incarnation of a server: its id and the time of its last start as reported by discovery. A restarted
// server has another `born`. The time is compared for equality (and ordered for sorting) only, because it
// comes from another machine's clock.
struct ServerIncarnation {
    ServerId id = 0;
    Millis born = 0;
    auto operator<=>(const ServerIncarnation&) const = default;
};

// ---- Forwarder to planner -------------------------------------------------------------------------------

// A forwarder's counters for one incarnation of a server. They start at 0 with the forwarder and never fall;
// the planner uses the difference to the newest counters that it holds. A report that is lost, duplicated or
// reordered therefore does no harm.
struct ServerReport {
    ServerIncarnation life;
    std::uint64_t attempts = 0;
    std::array<std::uint64_t, kOutcomes> outcomes{};
    std::uint64_t late = 0;  // completed after the latency target; counted as failures, like timeouts
    std::uint32_t outstanding = 0;
    bool removed = false;  // by the forwarder's own outlier detection
    Digest latency;        // of completed attempts
    bool operator==(const ServerReport&) const = default;
};

// Version of a planner's plan, ordered by epoch and then sequence.
struct PlanId {
    std::uint64_t epoch = 0;     // incremented at every start of the planner
    std::uint64_t sequence = 0;  // incremented whenever its plan changes
    auto operator<=>(const PlanId&) const = default;
};

struct Report {
    std::string forwarder;
    std::uint64_t incarnation = 0;  // random, new at each start of the forwarder
    std::uint64_t sequence = 0;     // counted from 1 for each planner
    bool full = false;              // all servers; otherwise those changed after the last acknowledged report
    std::vector<ServerReport> servers;
    std::vector<std::uint64_t> demand;  // requests received by the forwarder, by class
    std::vector<PlanId> seen;           // newest plan id accepted, by planner
    bool operator==(const Report&) const = default;
};

// ---- Planner to forwarder -------------------------------------------------------------------------------

struct ServerPlan {
    ServerIncarnation life;
    bool removed = false;     // by the planner, on the outcomes pooled over all forwarders
    std::uint32_t trial = 0;  // if not 0, this forwarder should send the trial request with this number
    bool preferred = true;    // the server is in this forwarder's subset
    float share = 1;          // factor on the weight that the server has by its size, 0 to 1
    float elsewhere = 0;      // requests outstanding from the other forwarders
    float cold_rate = 0;      // attempts per second beyond those that the forwarder's own rule allows
    bool operator==(const ServerPlan&) const = default;
};

struct Plan {
    std::uint32_t planner = 0;
    PlanId id;
    Millis life = 0;    // validity in ms, counted from the time at which the forwarder sent its request
    bool same = false;  // extends the plan that the forwarder holds under this id; `servers` is empty
    std::vector<ServerPlan> servers;
    bool operator==(const Plan&) const = default;
};

}  // namespace cobaltshift::plan
