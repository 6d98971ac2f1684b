// Whether a request may have run: the one question that every hop must answer before it says anything about a
// failed request. Boost.LEAF carries a Failure; refusals (429, 503 and the like promise that the request has
// not run) can only be made from a NotRun, and a NotRun only from a verdict that says so. Used by admission
// and proxy.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cobaltshift {

enum class Execution : std::uint8_t { not_run, may_have_run, ran };

// Why it failed or was turned away; the words are what one proxy tells another in `Mesh-Verdict`.
enum class Reason : std::uint8_t {
    full,         // admission: no slot, and the queue is full or too long for the time left
    closing,      // the server said that it leaves, or is gone
    wrong_life,   // another life of the server is there, or none is known yet
    repeated,     // this id has been taken before
    leaving,      // the proxy beside the server ends
    late,         // the deadline is reached
    turned_away,  // by the server itself, with Not-Run or 421
    unreachable,  // no connection
    broken,       // connection lost, or an answer that is none
    silent,       // no answer in time
    no_server,    // none is known for the service
    no_budget,    // a further try is not affordable
    unsettled,    // this proxy does not hold a configuration yet
};

struct Failure {
    Execution execution = Execution::may_have_run;
    Reason reason = Reason::broken;
};

// Proof that a request has not run and never will by what this system does.
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
    for (std::uint8_t i = 0; i <= static_cast<std::uint8_t>(Reason::unsettled); ++i)
        if (name(static_cast<Reason>(i)) == text) return static_cast<Reason>(i);
    return {};
}

}  // namespace cobaltshift
