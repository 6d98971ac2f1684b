// Decides what to advise the forwarders: pools their reports and computes a plan for each. A planner takes no
// part in the handling of a request; each of its plans may arrive late, be lost or be ignored.
//
// Invariants:
// - At most `removed_part` of the listed servers is removed at a time, as a slowdown of all servers must not
//   empty the pool. This also holds when the list shrinks while servers are removed, because forwarders
//   refuse a plan that removes too many.
// - Each trial belongs to one forwarder at a time.
// - For each incarnation of a cold server, the grants that can be in force anywhere sum to at most its slice.
//   A grant is a lease that ends `life` ms after it was handed out. A smaller grant to the same forwarder
//   counts as the larger one until that has expired. A planner that has just started grants nothing until all
//   grants of its former instance have expired.
// - Its plan id is never lower than one that any forwarder has seen.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "plan/types.hpp"

namespace cobaltshift::plan {

struct PlannerSettings {
    std::uint32_t number = 0;    // index among the configured planners, from 0
    Millis life = 5000;          // validity of a plan, from the forwarder's request
    Millis forget = 10000;       // a forwarder without a report for so long is dropped
    Millis backoff = 10000;      // from a removal to its first trial
    Millis trial_time = 3000;    // for the outcome of a trial; then it is reassigned
    double threshold = 0.9;      // of the other servers' success rate; below it a server is removed
    std::uint32_t window = 20;   // minimum number of pooled outcomes for a removal
    double removed_part = 0.34;  // maximum part of the listed servers that is removed at a time
    std::size_t subset = 0;      // mean number of preferred servers per forwarder; 0: all
    double cold_capacity = 1;    // this and the next two: see kelplb::Settings
    Millis warmup_time = 0;
    double overload_multiple = 2;
    std::size_t forwarders = 4096;  // maximum number known at a time; others are refused
    Millis publish_gap = 50;        // minimum time between plans published ahead of a tick
};

class Planner {
public:
    // `last`: the last plan id of the former instance as read from disk, or {}; the new epoch is one higher.
    Planner(PlannerSettings settings, PlanId last, Millis now);

    // Updates the servers from discovery. `whole`: the list is complete, so servers missing from it are gone;
    // otherwise it holds changes, in which phase `off` marks a server that is gone. A new incarnation of a
    // server starts without history.
    void listed(Millis now, const std::vector<kelplb::ServerInfo>& servers, bool whole);

    // Restores the removals of a former instance, as far as these incarnations are listed and `removed_part`
    // allows. The trial of each is due at once.
    void restore_removed(Millis now, const std::vector<ServerIncarnation>& removed);

    enum class ReportResult {
        accepted,
        repeated,   // duplicate or reordered: its sequence is not above the newest; nothing changed
        want_full,  // accepted, but it is a delta to a report not held here: the next one must be full
        refused     // invalid, or the limit of forwarders is reached; nothing changed
    };
    // Validates a forwarder's report and adds its counters to the pooled statistics.
    ReportResult report(Millis now, const Report& report);

    // Periodic update of rates, shares, trials and grants; also drops silent forwarders. Returns true if the
    // plan has changed and has a new id.
    bool tick(Millis now);
    // When publish() is due ahead of the next tick, because a server has been removed or restored after the
    // last plan; none otherwise. It is at least publish_gap after the last plan, so that a burst of reports
    // does not cause a burst of plans.
    std::optional<Millis> publish_due() const;
    // Updates only the plan's id; returns true if the plan has changed and has a new one.
    bool publish(Millis now);

    // The plan for a forwarder. Its grants count as handed out at `now`. `has`: id of the unexpired plan that
    // the forwarder holds, or {}.
    Plan plan(Millis now, const std::string& forwarder, PlanId has);

    PlanId id() const { return id_; }
    std::size_t forwarders() const { return forwarders_.size(); }
    std::size_t removed() const;
    bool removed(ServerId server) const;
    std::vector<ServerIncarnation> removed_incarnations() const;
    // `rate`: upper bound on a cold server's unexpired grants at all forwarders; `slice`: their limit. Both
    // are in attempts per second.
    struct Granted {
        double rate = 0, slice = 0;
    };
    Granted granted(Millis now, ServerId server) const;

private:
    struct Batch {  // outcomes of one report
        double total = 0, successes = 0;
    };
    struct Lease {
        double rate = 0;
        Millis until = 0;
    };
    struct Server {
        kelplb::ServerInfo info;
        Millis first_listed_at = 0;       // this incarnation; by the own clock, as discovery's may differ
        std::deque<Batch> window;         // newest batches that hold settings.window outcomes or more
        double total = 0, successes = 0;  // sums over window
        bool removed = false;
        Millis removed_at = 0;
        std::string trial_forwarder;  // to which the trial is assigned
        std::uint32_t trial = 0;      // number of the current trial; 0: none
        std::uint32_t trials = 0;     // assigned so far to this incarnation
        Millis trial_until = 0;
        std::array<double, Digest::kBuckets> latency_counts{};  // decay at each tick
        double share = 1;
        double outstanding = 0;             // sum over all forwarders' newest reports
        double attempts = 0;                // in this tick period
        double rate = 0;                    // attempts per second, smoothed
        std::uint64_t least_preferred = 0;  // lowest weight of a forwarder that prefers the server
        double slice = 0;                   // attempts per second for all grants; set once per incarnation
        std::map<std::string, std::vector<Lease>> leases;  // unexpired grants by forwarder
    };
    struct Forwarder {
        std::uint64_t incarnation = 0, sequence = 0;
        Millis last_report_at = 0;
        std::map<ServerId, ServerReport> servers;  // newest counters reported
        std::vector<std::uint64_t> demand;
        double arrivals = 0;  // requests in this tick period
        double rate = 0;      // requests per second, smoothed
    };
    bool is_cold(const Server& s, Millis now) const;
    // The sum of the unexpired grants of all forwarders but `except`.
    double granted_rate(const Server& s, Millis now, const std::string* except = nullptr) const;
    void apply_counters(Millis now, const std::string& name, Server& s, const ServerReport& from,
                        const ServerReport& to);
    void evaluate(Millis now, Server& s);
    void remove(Millis now, Server& s);
    void restore(Server& s);
    bool room_to_remove() const;
    void enforce_removed_part();
    void assign_trial(Millis now, Server& s);
    void grant(Millis now, const std::string& name, const Forwarder& f, Server& s, ServerPlan& out);
    double success_rate_without(const Server& s) const;
    std::uint64_t digest() const;
    void rank();

    PlannerSettings settings_;
    PlanId id_;
    Millis no_grants_until_;
    Millis ticked_at_;
    double demand_ = 0;          // requests per second of all forwarders
    std::uint64_t content_ = 0;  // digest() of the last published plan
    std::map<ServerId, Server> servers_;
    std::map<std::string, Forwarder> forwarders_;
    bool ranked_ = false;            // least_preferred is up to date
    bool removals_changed_ = false;  // after the last publish()
    Millis published_at_ = -1e18;
};

// The weight of a forwarder and a server in rendezvous hashing (Thaler and Ravishankar, 1998): each server is
// assigned to the forwarders with the highest weights, so that a forwarder that joins or leaves moves only
// its own part. `round` varies the weights from trial to trial.
std::uint64_t rendezvous(const std::string& forwarder, ServerId server, std::uint64_t round = 0);

}  // namespace cobaltshift::plan
