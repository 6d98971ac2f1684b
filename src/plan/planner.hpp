// A planner's decisions: pools what forwarders report and advises each of them. It decides nothing about a
// request; all it says may be late, lost or ignored.
//
// Invariants:
// - never more than removed_part of the listed servers is removed at once (a slowdown of all must not empty
// the
//   pool), also when the list shrinks under those removed: forwarders refuse a plan that removes too many;
// - each trial belongs to one forwarder at a time;
// - for each life of a cold server, the grants that can be alive anywhere sum to at most its slice: a grant
// is a
//   lease until `life` after it was handed out, a smaller one counts as the larger until that ends, and a
//   planner that has just started grants nothing until all that its former self granted is over;
// - its identity never falls below one that any forwarder has seen.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "plan/types.hpp"

namespace cobaltshift::plan {

struct PlannerSettings {
    std::uint32_t number = 0;    // among the configured planners, from 0
    Millis life = 5000;          // of a plan, from the forwarder's asking
    Millis forget = 10000;       // a forwarder not heard of for so long counts no more
    Millis backoff = 10000;      // from removal to the first trial
    Millis trial_time = 3000;    // for a trial's outcome; then another forwarder gets it
    double threshold = 0.9;      // of the others' success share, over the pooled window
    std::uint32_t window = 20;   // outcomes needed, and kept at the least
    double removed_part = 0.34;  // of the listed servers, removed at the most
    std::size_t subset = 0;      // servers for each forwarder; 0: all
    double cold_from = 1;        // as kelplb::Settings has them
    Millis warm_within = 0;
    double fall_multiple = 2;
    std::size_t forwarders = 4096;  // known at a time; further ones are refused
    Millis publish_gap = 50;        // between plans made ahead of a tick, at the least
};

class Planner {
public:
    // `held`: the identity that it held before, from disk, or 0. `epoch`: what to start from at the least.
    Planner(PlannerSettings settings, PlanId held, Millis now);

    void listed(Millis now, const std::vector<kelplb::ServerInfo>& servers, bool whole);

    // Whom a former self had removed; each gets its trial at once.
    void recall(Millis now, const std::vector<Life>& removed);

    enum class Taken {
        taken,
        repeated,   // of a sequence already taken; nothing changed
        want_full,  // taken, but it builds on what is not held here: the next one should be full
        refused     // nonsense, or no room for a further forwarder; nothing changed
    };
    Taken report(Millis now, const Report& report);

    // Looks at the whole again; call it every period. True: the plan has changed and has a new identity.
    bool tick(Millis now);
    // A server has been removed or taken back since: publish() is due then, ahead of the next tick. Nothing
    // can be due within publish_gap of the last, so that no storm of reports makes a storm of plans.
    std::optional<Millis> publish_due() const;
    bool publish(Millis now);  // as tick(), but for the plan alone

    // For a forwarder, and counted as handed out now. `has`: the identity that it holds alive, if any.
    Plan plan(Millis now, const std::string& forwarder, PlanId has);

    PlanId id() const { return id_; }
    std::size_t forwarders() const { return forwarders_.size(); }
    std::size_t removed() const;
    bool removed(ServerId server) const;
    std::vector<Life> removed_lives() const;
    // The most that can be alive of a cold server's grants, in attempts a second, and its slice of them.
    struct Granted {
        double rate = 0, slice = 0;
    };
    Granted granted(Millis now, ServerId server) const;

private:
    struct Batch {
        double all = 0, good = 0;
    };
    struct Lease {
        double rate = 0;
        Millis until = 0;
    };
    struct Server {
        kelplb::ServerInfo info;
        Millis met_at = 0;         // this life; our own clock, since discovery's may be another's
        std::deque<Batch> window;  // the newest outcomes, whole batches, settings.window at the least
        double all = 0, good = 0;  // sums of it
        bool removed = false;
        Millis removed_at = 0;
        std::string holder;        // of the trial
        std::uint32_t trial = 0;   // its number, 0: none
        std::uint32_t trials = 0;  // given out in this life
        Millis trial_until = 0;
        std::array<double, Digest::kBuckets> times{};  // decaying
        double share = 1;
        double outstanding = 0;             // of all forwarders, of late
        double attempts = 0;                // in this period
        double rate = 0;                    // attempts a second, smoothed
        std::uint64_t least_preferred = 0;  // the lowest weight of the forwarders that prefer it
        double slice = 0;                   // attempts a second for grants in this life; set once
        std::map<std::string, std::vector<Lease>> leases;
    };
    struct Forwarder {
        std::uint64_t incarnation = 0, sequence = 0;
        Millis heard_at = 0;
        std::map<ServerId, ServerReport> servers;  // newest counters
        std::vector<std::uint64_t> demand;
        double arrivals = 0;  // in this period
        double rate = 0;      // requests a second, smoothed
    };
    bool is_cold(const Server& s, Millis now) const;
    double alive(const Server& s, Millis now, const std::string* but = nullptr) const;
    void book(Millis now, const std::string& name, Server& s, const ServerReport& from,
              const ServerReport& to);
    void judge(Millis now, Server& s);
    void remove(Millis now, Server& s);
    void take_back(Server& s);
    bool room_to_remove() const;
    void shed_removals();
    void assign_trial(Millis now, Server& s);
    void grant(Millis now, const std::string& name, const Forwarder& f, Server& s, ServerPlan& out);
    double level_without(const Server& s) const;
    std::uint64_t digest() const;
    void rank();

    PlannerSettings settings_;
    PlanId id_;
    Millis quiet_until_;
    Millis ticked_at_;
    double demand_ = 0;  // requests a second of all
    std::uint64_t content_ = 0;
    std::map<ServerId, Server> servers_;
    std::map<std::string, Forwarder> forwarders_;
    bool ranked_ = false;
    bool turned_ = false;  // somebody's standing has, since the last publish()
    Millis published_at_ = -1e18;
};

// The weight of a pair by rendezvous hashing (Thaler and Ravishankar, 1998): each server goes to the
// forwarders with the highest weights, so that one forwarder's coming or going moves only its own part.
std::uint64_t rendezvous(const std::string& forwarder, ServerId server, std::uint64_t round = 0);

}  // namespace cobaltshift::plan
