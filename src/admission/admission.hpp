// The admission beside each application server (standard term: server-side admission inbound). The only way
// to the server, so each promise that must hold though news is late is kept here: a request once a life
// (TWICE, UNASKED), nothing new after an acknowledged `closing` (DRAIN), the right life alone (ROUTE), never
// over capacity. Entry type: Admission. Called by proxy::Inbound; free of I/O: events go in with their time,
// what may begin comes out.
//
// Besides slots, the machine's link is a resource: what it can't carry in time is refused before it runs.
//
// Invariants:
//   working() <= max(capacity, what it was when they began)      begin() only while there is a slot
//   what was answered not_run is forgotten: it never began        refuse() is the only other way out of the
//   queue nothing begins while closing() or unknown()                   offer(), next()
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "kelplb/balancer.hpp"
#include "outcome/outcome.hpp"

namespace cobaltshift::admission {

using Millis = double;  // steady, from any origin
using Ticket = std::uint64_t;

struct Settings {
    std::size_t remembered = 4096;  // ids of requests that run once, the newest
    double queue_by_capacity = 3;   // so many times the capacity may wait
    double hopeful =
        0.7;  // of its target: what is expected later than that, and than `patience`, does not wait
    Millis patience = 250;
};

struct Offer {
    Ticket ticket = 0;
    std::string id;        // Request-Id
    std::string life;      // of the server that the caller means
    bool once = true;      // may run at most once (registered)
    bool may_wait = true;  // else it is refused if no slot is free now
    int rank = 0;          // the route's priority, 0 highest
    Millis deadline = 0;   // of its client
    Millis due = 0;        // when its answer is worth most at the latest: the order of the queue
    // Of a long answer: until the machine's link has carried what was promised before, and for its own bytes.
    Millis link_wait = 0, link_time = 0;
};

enum class Act : std::uint8_t { begin, wait, refuse };
struct Answer {
    Act act = Act::refuse;
    Reason reason = Reason::full;
};
struct Turned {
    Ticket ticket;
    Reason reason;
};

class Admission {
public:
    explicit Admission(Settings settings = {}) : settings_(settings) {}

    // The server's own word, first-hand. False: an older call than the newest known of this life, or of a
    // life that is over.
    bool beat(const std::string& life, std::uint32_t capacity, bool closing, std::uint64_t call_seq);
    // By its health check, after a restart of ours: its life and that it is not leaving; beats know better.
    void seen_well(const std::string& life, std::uint32_t capacity);
    // DELETE: it is gone.
    void gone(const std::string& life);
    // The proxy itself ends: nothing new from here on.
    void leave() { leaving_ = true; }

    Answer offer(Millis now, const Offer& offer);
    // It has ended, however; `took` ms at the server (0: says nothing). `ran` false: the server certainly did
    // not begin it, and its id may come again.
    void ended(Ticket ticket, Millis took, bool ran = true);
    // Its caller has left: out of the queue (true), or at work (false).
    bool withdraw(Ticket ticket);

    // What may begin now, in order; each counts as working from here on.
    std::vector<Ticket> next(Millis now);
    // What is in the queue and has no use in it any more: the inbound answers these as not run.
    std::vector<Turned> turned(Millis now);
    // When turned() should be asked next; 0: no need.
    Millis due() const;

    const std::string& life() const { return life_; }
    std::uint32_t capacity() const { return capacity_; }
    bool closing() const { return closing_; }
    bool leaving() const { return leaving_; }
    std::size_t working() const { return working_.size(); }
    std::size_t waiting() const { return queue_.size(); }

private:
    // The c-mu rule: what is worth most a slot's time goes first, since short calls are what other servers'
    // runs wait for; of one kind, by when it is due.
    struct Order {
        double cost;  // a slot's time by its target, over its rank's worth
        Millis due;
        Ticket ticket;
        auto operator<=>(const Order&) const = default;
    };
    struct Waiting {
        Offer offer;
        Millis since;
    };
    Millis wait_before(const Order& order) const;
    // An answer expected so much later would come too late to be worth a slot, or the link.
    bool too_late(Millis expected, const Offer& offer, Millis now) const;
    bool open() const { return !life_.empty() && !closing_ && !leaving_; }
    void new_life(const std::string& life);
    void remember(const std::string& id);

    Settings settings_;
    std::string life_;
    std::uint32_t capacity_ = 0;
    std::uint64_t call_seq_ = 0;
    bool closing_ = false, gone_ = false, leaving_ = false, first_hand_ = false;
    std::map<Order, Waiting> queue_;
    std::unordered_map<Ticket, Order> places_;
    struct Working {
        Millis target;
        std::string id;  // of what may run once only
    };
    void start(const Offer& offer, Millis target);
    std::unordered_map<Ticket, Working> working_;
    std::vector<std::string> past_lives_;  // the newest last: a late call of theirs means nothing any more
    std::unordered_map<std::string, std::uint64_t> ran_;  // once-only ids, by order of coming
    std::map<std::uint64_t, std::string> ran_order_;
    std::uint64_t ran_count_ = 0;
    Millis targets_ = 0;  // of those at work, summed
    double pace_ = 0;     // time at the server against the target, smoothed
};

}  // namespace cobaltshift::admission
