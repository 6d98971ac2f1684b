// Life cycle of the requests on the server side of a hop, from arrival to answer: offers them to the
// Admission, starts them, enforces their deadlines and withdraws those whose callers have left. Does no I/O:
// an Executor carries out the decisions. Driven over sockets by proxy::Inbound and in virtual time by
// sim_mesh. Entry type: InboundRequests. Not thread-safe.
//
// Invariants:
//   - each request is answered exactly once, unless its caller has left;
//   - only requests that the Admission let start are passed to the server;
//   - a started request is kept until the executor reports its end.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "admission/admission.hpp"
#include "admission/answer_sizes.hpp"

namespace cobaltshift::admission {

// A request as it arrives from another proxy.
struct Arrival {
    std::string id;           // Request-Id
    std::string instance_id;  // of the server that the caller routed it to
    bool once = true;         // may run at most once
    bool may_wait = false;    // may be queued if no slot is free
    int rank = 0;             // priority of the route, 0 is the highest
    AnswerSizes::Kind kind;
    Millis target = 0;    // target latency, counted from now
    Millis deadline = 0;  // when the client gives up; absolute
};

// The machine's network link, over which answers leave.
struct LinkState {
    Millis backlog = 0;  // time to transmit everything that is queued for it
    double bytes_per_ms = 0;
    std::size_t long_from = 0;  // answers of fewer bytes are interleaved with long ones and reserve nothing
};

// How a started request ended.
struct ServerResult {
    std::optional<Failure> failure;           // none: the server's answer is passed on
    bool success = false;                     // the answer is a success
    std::optional<std::size_t> answer_bytes;  // none: no answer came
};

// Carries out the decisions of InboundRequests.
class Executor {
public:
    virtual ~Executor() = default;
    // Passes the request to the server, which has until the given time. InboundRequests::ended() must follow.
    virtual void begin(Ticket ticket, Millis until) = 0;
    // Answers a request that has not run. InboundRequests has already dropped it.
    virtual void refuse(Ticket ticket, Reason reason) = 0;
    // The server did not answer in time. InboundRequests::ended() must follow.
    virtual void expire(Ticket ticket) = 0;
    // The caller of a started request has left. InboundRequests::ended() must follow.
    virtual void cancel(Ticket ticket) = 0;
    // Calls InboundRequests::advance() in the next turn of the event loop.
    virtual void schedule_advance() = 0;
    // Calls InboundRequests::timer_fired() at the given time; replaces the time set before.
    virtual void set_timer(Millis when) = 0;
};

class InboundRequests {
public:
    explicit InboundRequests(Executor& executor) : executor_(executor) {}

    // ---- State of the server; see Admission
    bool on_heartbeat(Millis now, const std::string& instance_id, std::uint32_t capacity, bool closing,
                      std::uint64_t call_seq);
    void on_healthy(Millis now, const std::string& instance_id, std::uint32_t capacity);
    void on_deregistered(Millis now, const std::string& instance_id);
    void restore(const std::string& instance_id, std::uint64_t call_seq, bool closing) {
        admission_.restore(instance_id, call_seq, closing);
    }
    void leave(Millis now);

    // ---- Requests
    Ticket next_ticket() { return next_ticket_++; }
    // `link`: none if the link's rate is unknown; nothing is then reserved on it.
    void arrived(Millis now, Ticket ticket, const Arrival& arrival, const std::optional<LinkState>& link);
    // The server has begun to answer, and its answer waits in this process for room: what follows is not the
    // server's time.
    void answer_waits(Millis now, Ticket ticket);
    void ended(Millis now, Ticket ticket, const ServerResult& end);
    // The caller has left. Returns true if the request has been dropped; false if it has started: it is then
    // cancelled, and ended() follows.
    bool withdraw(Ticket ticket);
    // Rejects, starts and expires requests as far as they are due.
    void advance(Millis now);
    // The time that was passed to Executor::set_timer() has come.
    void timer_fired(Millis now);

    const Admission& admission() const { return admission_; }
    bool busy() const { return !requests_.empty(); }

private:
    struct Request {
        Millis deadline = 0, started_at = 0;
        std::optional<Millis> answered_at;  // if the answer had to wait for room
        bool started = false;
        AnswerSizes::Kind kind;
        double reserved_bytes = 0;  // on the link, until its answer is passed to it
    };
    void reserve_link(Request& request, Offer& offer, const LinkState& link);
    void begin(Millis now, Ticket ticket);
    void refuse(Ticket ticket, Reason reason);
    void forget(Ticket ticket);
    void schedule_advance();

    Executor& executor_;
    Admission admission_;
    AnswerSizes answer_sizes_;
    double reserved_bytes_ = 0;
    std::unordered_map<Ticket, Request> requests_;
    std::map<std::pair<Millis, Ticket>, bool> deadlines_;  // when started requests expire
    Ticket next_ticket_ = 1;
    Millis timer_at_ = 0;
    bool advance_scheduled_ = false;
};

}  // namespace cobaltshift::admission
