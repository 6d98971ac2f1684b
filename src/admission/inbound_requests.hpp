// Requests on the server's side of a hop, from their coming to their answer: offered to the Admission, begun,
// timed out, withdrawn. Entry type: InboundRequests. Free of I/O: an Executor carries out what is decided.
// Driven over sockets by proxy::Inbound, in virtual time by sim_mesh.
//
// Invariants: each request is answered once, or its caller has left; nothing is begun but what the Admission
// let begin; what has begun is held until the executor says how it ended.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "admission/admission.hpp"
#include "admission/answer_sizes.hpp"

namespace cobaltshift::admission {

struct Arrival {
    std::string id;    // Request-Id
    std::string life;  // of the server that the caller means
    bool once = true;
    bool may_wait = false;
    int rank = 0;
    AnswerSizes::Kind kind;
    Millis target = 0;    // from now
    Millis deadline = 0;  // of its client
};

// The machine's link, over which answers leave.
struct LinkState {
    Millis backlog = 0;  // until it has carried what waits for it
    double bytes_per_ms = 0;
    std::size_t long_from = 0;  // bytes; shorter answers pass between the pieces of long ones
};

// How a request that was begun ended.
struct ServerEnd {
    std::optional<Failure> failure;           // none: the server's answer is passed on
    bool success = false;                     // the answer is a success
    std::optional<std::size_t> answer_bytes;  // none: no answer came
};

class Executor {
public:
    virtual ~Executor() = default;
    // Passes it to the server, which has until then; ended() follows.
    virtual void begin(Ticket ticket, Millis until) = 0;
    virtual void refuse(Ticket ticket, Reason reason) = 0;  // it has not run; forgotten here
    virtual void expire(Ticket ticket) = 0;                 // its time at the server is up; ended() follows
    virtual void cancel(Ticket ticket) = 0;                 // its caller has left; ended() follows
    virtual void look_soon() = 0;                           // calls look() a turn later
    virtual void look_at(Millis when) = 0;                  // calls look() then, in place of the time before
};

class InboundRequests {
public:
    explicit InboundRequests(Executor& executor) : executor_(executor) {}

    // ---- The server's own word; see Admission
    bool beat(Millis now, const std::string& life, std::uint32_t capacity, bool closing,
              std::uint64_t call_seq);
    void seen_well(Millis now, const std::string& life, std::uint32_t capacity);
    void gone(Millis now, const std::string& life);
    void leave(Millis now);

    // ---- Requests. `link`: none where its rate is not known.
    Ticket next_ticket() { return next_++; }
    void arrived(Millis now, Ticket ticket, const Arrival& arrival, const std::optional<LinkState>& link);
    void ended(Millis now, Ticket ticket, const ServerEnd& end);
    // Its caller has left. True: it is forgotten; false: it was begun, and ended() follows.
    bool withdraw(Ticket ticket);
    // What may begin, what is turned away, what is late.
    void look(Millis now);
    // The time that look_at() named has come.
    void timer_fired(Millis now);

    const Admission& admission() const { return admission_; }
    bool busy() const { return !requests_.empty(); }

private:
    struct Request {
        Millis deadline = 0, began = 0;
        bool at_work = false;
        AnswerSizes::Kind kind;
        double promised_bytes = 0;  // of the link, until its answer is handed to it
    };
    void promise_link(Request& request, Offer& offer, const LinkState& link);
    void begin(Millis now, Ticket ticket);
    void refuse(Ticket ticket, Reason reason);
    void forget(Ticket ticket);
    void look_soon();

    Executor& executor_;
    Admission admission_;
    AnswerSizes answer_sizes_;
    double promised_bytes_ = 0;
    std::unordered_map<Ticket, Request> requests_;
    std::map<std::pair<Millis, Ticket>, bool> deadlines_;  // of those at work
    Ticket next_ = 1;
    Millis armed_for_ = 0;
    bool looking_ = false;
};

}  // namespace cobaltshift::admission
