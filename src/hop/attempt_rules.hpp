// Rules for requests on the caller side of a hop: whether an attempt may be sent, how its end is interpreted,
// and what the client may be told. Entry type: AttemptRules, one for each service. Does no I/O; called by
// proxy::MeshDialect over sockets and by sim_mesh in virtual time. Not thread-safe.
//
// Invariants:
//   - a once-only request that may have run is not sent again;
//   - no request reaches more servers than the `tries` of its route, and retries stay within the budget that
//     all proxies share;
//   - a request is refused only with proof that it never ran.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "admission/retry_budget.hpp"
#include "caller/caller.hpp"
#include "hop/hop.hpp"
#include "outcome/outcome.hpp"

namespace cobaltshift::hop {

// State of one request across its attempts.
struct RequestHistory {
    Hop hop;
    unsigned sent = 0;              // all attempts, including those that no server received
    unsigned counted_attempts = 0;  // attempts that may have run or that a server itself refused
    bool may_have_run = false;
    bool attempt_open = false;              // an attempt has been sent whose end is not known yet
    std::optional<Failure> newest_failure;  // that another proxy reported; none: no attempt got so far
    std::string server;                     // instance id of the newest attempt's server
    Reason reason = Reason::no_server;      // of the newest failure
};

// How an attempt ended: NoAnswer, a Failure that the other proxy reported, or ServerAnswered.
struct NoAnswer {
    Outcome outcome;
};
struct ServerAnswered {
    unsigned status;
};
using AttemptEnd = std::variant<NoAnswer, Failure, ServerAnswered>;

// How an attempt's end is interpreted.
struct HopAttemptResult {
    caller::AttemptResult attempt;
    bool keep_answer = false;   // a server error: the client gets it if no later attempt succeeds
    bool avoid_server = false;  // its admission refuses all requests for now, or is another instance's
};

class AttemptRules {
public:
    explicit AttemptRules(admission::RetryBudget::Settings budget) : retry_budget_(budget) {}

    // Called once when a request arrives. `history` holds the hop and is otherwise empty.
    RequestArrived classify(Millis now, const RequestHistory& history);
    // Called before an attempt is sent to `server`. Returns false if it must not be sent; otherwise records
    // the attempt in `history` and sets the hop's may_wait.
    bool may_send(Millis now, std::size_t live_proxies, const std::string& server, RequestHistory& history);
    // Interprets the end of an attempt and records it in `history`.
    HopAttemptResult read(const AttemptEnd& end, RequestHistory& history);
    // Proof that the request has not run; none if it may have, or if an attempt has not ended.
    static std::optional<NotRun> proof(const RequestHistory& history);
    // Bounds the advice to a refused client when to retry, in ms.
    static Millis retry_in(Millis advised);
    // The HTTP status for a request that failed and may have run.
    static unsigned failure_status(Reason reason);

    // `bounced`: attempts that an admission refused or that found no connection; `vetoed`: attempts that
    // may_send() forbade; `broken`: attempts that may have run and got no valid answer.
    // `refused` by what proved that the request had not run, that is, by how its newest attempt ended.
    struct Refusals {
        std::uint64_t unsent = 0;              // no attempt, or none that found a connection
        std::uint64_t by_admission = 0;        // refused by the proxy beside a server
        std::uint64_t by_server = 0;           // turned away by a server itself
        std::uint64_t server_unreachable = 0;  // the proxy beside a server found no connection to it
        std::uint64_t total() const { return unsent + by_admission + by_server + server_unreachable; }
    };
    struct Counts {
        std::uint64_t requests = 0, tries = 0, bounced = 0, vetoed = 0, broken = 0, failed = 0;
        std::uint64_t unmarked = 0;  // answers of other proxies without a verdict
        Refusals refused;
    };
    const Counts& counts() const { return counts_; }
    void count_refused(const RequestHistory& history);
    void count_unmarked() { ++counts_.unmarked; }
    void count_failed() { ++counts_.failed; }

private:
    HopAttemptResult ran(RequestHistory& history, Outcome outcome, bool final);
    HopAttemptResult interpret(const NoAnswer& end, RequestHistory& history);
    HopAttemptResult interpret(const Failure& failure, RequestHistory& history);
    HopAttemptResult interpret(const ServerAnswered& answer, RequestHistory& history);

    admission::RetryBudget retry_budget_;
    Counts counts_;
};

}  // namespace cobaltshift::hop
