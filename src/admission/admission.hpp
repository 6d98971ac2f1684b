// Admission control in front of one application server. Every request to the server passes through it, so the
// guarantees that must hold even while membership information is stale are enforced here: a request runs at
// most once per server instance (rules TWICE, UNASKED), no request starts after an acknowledged `closing`
// (DRAIN), requests run only on the instance that they were routed to (ROUTE), and never more requests run
// than the server has capacity for.
//
// The machine's network link is a second resource beside the server's slots: a request whose answer the link
// could not carry in time is refused before it runs.
//
// Entry type: Admission. Called by InboundRequests. Does no I/O and reads no clock: callers pass the current
// time. Not thread-safe.
//
// Invariants:
//   - working() does not exceed the capacity, except after the capacity was lowered while requests ran;
//   - a request that was refused or rejected has not started, and its id may be offered again;
//   - the estimate of the server's speed refuses nothing while nothing is at work there;
//   - no request starts while the instance is unknown, the server is closing or the proxy is leaving;
//   - an instance that has deregistered, or was closing before a restart of the proxy, never becomes current
//     again.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "kelplb/balancer.hpp"
#include "outcome/outcome.hpp"

namespace cobaltshift::admission {

using Millis = double;         // monotonic; the origin is arbitrary
using Ticket = std::uint64_t;  // identifies one offer; unique within an Admission

struct Settings {
    std::size_t remembered_ids = 4096;  // newest ids of once-only requests kept to detect repeats
    double queue_per_slot = 3;          // queue length limit, as a multiple of the capacity
    // A request is refused as `full` if its answer is expected later than both of these: this part of its
    // target, and the smaller of expected_limit_ms and half the time left to its deadline.
    double expected_limit_targets = 0.7;
    Millis expected_limit_ms = 250;
};

// A request that asks for a slot. Times are absolute, on the clock of the caller.
struct Offer {
    Ticket ticket = 0;
    std::string id;           // Request-Id
    std::string instance_id;  // of the server that the caller routed it to
    bool once = true;         // may run at most once (registered route)
    bool may_wait = true;     // false: refused if no slot is free now
    int rank = 0;             // priority of the route, 0 is the highest
    Millis deadline = 0;      // when the client gives up
    Millis due = 0;           // arrival plus the route's target latency; orders the queue
    // For a long answer, in ms: until the link has carried the answers promised before it, and the time to
    // transmit the answer itself. Zero for short answers.
    Millis link_wait = 0, link_time = 0;
};

// What happens to an offer: it starts now, waits in the queue, or is refused without having run.
enum class Disposition : std::uint8_t { begin, wait, refuse };
struct Decision {
    Disposition disposition = Disposition::refuse;
    Reason reason = Reason::full;  // meaningful if `disposition` is refuse
};
// A request that left the queue without having run.
struct Rejected {
    Ticket ticket;
    Reason reason;
};

class Admission {
public:
    explicit Admission(Settings settings = {}) : settings_(settings) {}

    // A heartbeat of the server itself. Returns false, and changes nothing, if it is not newer than the last
    // one of this instance (by `call_seq`) or comes from an instance that has ended. Another instance id than
    // the current one means that the server has restarted. A capacity of 0 counts as 1.
    bool on_heartbeat(const std::string& instance_id, std::uint32_t capacity, bool closing,
                      std::uint64_t call_seq);
    // The server answered a health check, which this proxy sends after its own restart. Ignored once a
    // heartbeat has been received, as heartbeats are more precise.
    void on_healthy(const std::string& instance_id, std::uint32_t capacity);
    // What others remember of the server from before a restart of this proxy: its newest instance, the call
    // number of a heartbeat of that, and whether it has said `closing` or deregistered. Called once, before
    // the first heartbeat.
    void restore(const std::string& instance_id, std::uint64_t call_seq, bool closing);
    // An instance has deregistered itself (DELETE): its late heartbeats are ignored, also if it is not known
    // here yet.
    void on_deregistered(const std::string& instance_id);
    // The proxy itself shuts down: no request starts from now on.
    void leave() { leaving_ = true; }

    // Starts the request, queues it or refuses it.
    Decision offer(Millis now, const Offer& offer);
    // A started request has ended, whatever its outcome. `took`: its time at the server in ms, 0 if that says
    // nothing about the server's speed. `ran` is false only if the server certainly did not run it: its id
    // may then be offered again.
    void ended(Ticket ticket, Millis took, bool ran = true);
    // The caller no longer waits. Returns true if the request was removed from the queue; false if it is not
    // queued (it runs, or is unknown).
    bool withdraw(Ticket ticket);

    // Removes from the queue and returns, in order, the requests that start now. They occupy slots until
    // ended().
    std::vector<Ticket> start_next(Millis now);
    // Removes from the queue and returns the requests that can no longer run here. The caller answers them as
    // not run.
    std::vector<Rejected> take_rejected(Millis now);
    // The earliest deadline in the queue, when take_rejected() should be called next; 0: the queue is empty.
    Millis next_deadline() const;

    const std::string& instance_id() const { return instance_id_; }
    std::uint32_t capacity() const { return capacity_; }
    bool closing() const { return closing_; }
    bool leaving() const { return leaving_; }
    std::size_t working() const { return working_.size(); }
    std::size_t waiting() const { return queue_.size(); }

private:
    // Queue order after the c-mu rule: the request with the highest value per time in a slot goes first, as
    // requests of other servers wait for short calls. Requests of equal cost go by due time.
    struct Order {
        double cost;  // target latency, doubled for each rank below the highest
        Millis due;
        Ticket ticket;
        auto operator<=>(const Order&) const = default;
    };
    struct Waiting {
        Offer offer;
        Millis since;  // when it was queued
    };
    Millis expected_queue_wait(const Order& order) const;
    // Whether an answer that is expected in `expected` ms comes too late to be worth a slot or the link; see
    // Settings.
    bool exceeds_expected_limit(Millis expected, const Offer& offer, Millis now) const;
    bool accepting() const { return !instance_id_.empty() && !closing_ && !leaving_; }
    void switch_instance(const std::string& instance_id);
    bool is_former(const std::string& instance_id) const;
    void remember_former(const std::string& instance_id);
    void remember_started(const std::string& id);

    Settings settings_;
    std::string instance_id_;
    std::uint32_t capacity_ = 0;
    std::uint64_t call_seq_ = 0;
    bool closing_ = false, deregistered_ = false, leaving_ = false, heartbeat_received_ = false;
    std::map<Order, Waiting> queue_;
    std::unordered_map<Ticket, Order> queue_order_;
    struct Working {
        Millis target;
        std::string id;  // empty for requests that may run more than once
    };
    void start(const Offer& offer, Millis target);
    std::unordered_map<Ticket, Working> working_;
    std::vector<std::string> former_instances_;  // the newest last; their late heartbeats are ignored
    struct RestoredInstance {
        std::string id;
        std::uint64_t call_seq;
    };
    std::optional<RestoredInstance> restored_;  // open when it was last heard of; until the first heartbeat
    // Ids of once-only requests that have started, with the order in which they did, to evict the oldest.
    std::unordered_map<std::string, std::uint64_t> started_ids_;
    std::map<std::uint64_t, std::string> started_ids_by_order_;
    std::uint64_t next_start_order_ = 0;
    Millis working_targets_sum_ = 0;  // target latencies of the running requests
    double service_time_ratio_ = 0;   // time at the server relative to the target; smoothed, at most 1
};

}  // namespace cobaltshift::admission
