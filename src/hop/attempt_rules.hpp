// What the caller's side of a hop may do with a request: whether an attempt may go out, how its end reads,
// what may be said to the client. One AttemptRules for each service. Free of I/O; called by
// proxy::MeshDialect over sockets and by sim_mesh in virtual time.
//
// Invariants:
//   - what may run once only and may have run is not sent again;
//   - no request goes to more servers than its route's `tries`, nor over the budget that all proxies share;
//   - a refusal is said only with proof that the request never ran.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "admission/retry_budget.hpp"
#include "caller/caller.hpp"
#include "hop/hop.hpp"
#include "outcome/outcome.hpp"

namespace cobaltshift::hop {

// Of one request.
struct RequestHistory {
    Hop hop;
    unsigned sent = 0;     // attempts, those that were not begun too
    unsigned offered = 0;  // attempts that may have run, or were turned away by a server itself
    bool may_have_run = false;
    std::string server;                 // the newest's
    Reason reason = Reason::no_server;  // of the newest failure
};

// How one attempt ended: without an answer, with another proxy's word, or with the server's answer.
struct NoAnswer {
    Outcome outcome;
};
struct ServerAnswered {
    unsigned status;
};
using AttemptEnd = std::variant<NoAnswer, Failure, ServerAnswered>;

struct AttemptReading {
    caller::Reading reading;
    bool keep_answer = false;   // the server's own failure: what the client gets if no other does better
    bool avoid_server = false;  // its admission takes nothing for now, or is another's
};

class AttemptRules {
public:
    explicit AttemptRules(admission::RetryBudget::Settings budget) : retry_budget_(budget) {}

    // A request has come; its history holds the hop and nothing else.
    RequestArrived classify(Millis now, const RequestHistory& history);
    // Just before an attempt goes out to `server`; notes it, and what the hop says of it.
    bool may_send(Millis now, std::size_t live_proxies, const std::string& server, RequestHistory& history);
    AttemptReading read(const AttemptEnd& end, RequestHistory& history);
    static std::optional<NotRun> proof(const RequestHistory& history);
    // When a client that is refused should come back.
    static Millis retry_in(Millis advised);
    // Of a failure that promises nothing.
    static unsigned failure_status(Reason reason);

    struct Counts {
        std::uint64_t requests = 0, tries = 0, bounced = 0, vetoed = 0, broken = 0, refused = 0, failed = 0;
    };
    const Counts& counts() const { return counts_; }
    void count_refused() { ++counts_.refused; }
    void count_failed() { ++counts_.failed; }

private:
    AttemptReading ran(RequestHistory& history, Outcome outcome, bool final);
    AttemptReading read_end(const NoAnswer& end, RequestHistory& history);
    AttemptReading read_end(const Failure& failure, RequestHistory& history);
    AttemptReading read_end(const ServerAnswered& answer, RequestHistory& history);

    admission::RetryBudget retry_budget_;
    Counts counts_;
};

}  // namespace cobaltshift::hop
