// Whether a failed request may have run. Each hop must know this before it answers: statuses such as 429 and
// 503 promise that the request has not run. Such refusals can only be built from a NotRun, and a NotRun only
// from a Failure whose execution is not_run. Failures travel as Boost.LEAF errors. Used by admission, hop and
// proxy.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cobaltshift {

enum class Execution : std::uint8_t { not_run, may_have_run, ran };

// Why a request failed or was refused. name() gives the text that proxies send in `Mesh-Verdict`.
enum class Reason : std::uint8_t {
    full,              // admission: no slot is free, and the queue is full or too long for the time left
    closing,           // the server has announced that it shuts down, or has deregistered
    wrong_instance,    // another instance of the server runs, or none is known yet
    repeated,          // a request with this id has already started
    leaving,           // the proxy beside the server shuts down
    late,              // the deadline has passed, or would before an answer
    turned_away,       // refused by the server itself, with Not-Run or 421
    unreachable,       // no connection could be opened
    broken,            // the connection was lost, or the answer is invalid
    silent,            // no answer within the time limit
    no_server,         // no server is known for the service
    no_budget,         // the retry budget is exhausted
    no_configuration,  // this proxy has no configuration in force yet
};

struct Failure {
    Execution execution = Execution::may_have_run;
    Reason reason = Reason::broken;
};

// Proof that a request has not run and that the mesh will not run it later.
class NotRun {
public:
    static std::optional<NotRun> from(const Failure& failure) {
        if (failure.execution != Execution::not_run) return {};
        return NotRun(failure.reason);
    }
    Reason reason() const { return reason_; }

private:
    explicit NotRun(Reason reason) : reason_(reason) {}
    Reason reason_;
};

constexpr std::string_view name(Reason reason) {
    constexpr std::string_view names[] = {"full",      "closing",     "wrong-life",  "repeated", "leaving",
                                          "late",      "turned-away", "unreachable", "broken",   "silent",
                                          "no-server", "no-budget",   "unsettled"};
    return names[static_cast<std::size_t>(reason)];
}
constexpr std::optional<Reason> reason_named(std::string_view text) {
    for (std::uint8_t i = 0; i <= static_cast<std::uint8_t>(Reason::no_configuration); ++i)
        if (name(static_cast<Reason>(i)) == text) return static_cast<Reason>(i);
    return {};
}

}  // namespace cobaltshift
