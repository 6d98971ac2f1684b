// Schedule of a proxy's graceful shutdown after SIGTERM. Entry type: ShutdownSequence. Does no I/O; driven
// over sockets by proxy::Proxy and in virtual time by simmesh::Proxy. Not thread-safe.
//
// Readiness is withdrawn and answers close their connections from the start. Then, in this order:
//   close_admission   by now callers have learned that this node leaves: the admission starts nothing new
//   refuse_new        no new connections are accepted; a request completed on an open one is refused, as
//                     there may not be enough time left to answer it
//   answer_held       every pending request is answered: refused if it never ran, else failed. Late enough
//                     that a server that still runs a request had its time
//   end               the process exits; earlier if no request is pending
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

#include "module.hpp"

namespace cobaltshift::shutdown {

enum class Step { close_admission, refuse_new, answer_held, end };

class ShutdownSequence {
public:
    static constexpr Millis kCloseAdmissionAfterMs = 400, kRefuseNewAfterMs = 2600;
    // Time reserved before the platform's SIGKILL: for writing the last answers, and for the process to exit.
    static constexpr Millis kAnswerTimeMs = 500, kExitTimeMs = 150;
    // Upper bounds as parts of the grace time, so that a short one is divided in proportion.
    static constexpr double kAnswerTimeShare = 1.0 / 12, kExitTimeShare = 1.0 / 40, kRefuseNewShare = 0.45;
    static constexpr Millis kCheckIntervalMs = 20;  // between checks for pending requests

    // `grace`: ms from SIGTERM to SIGKILL.
    ShutdownSequence(Millis requested_at, Millis grace)
        : due_at_{requested_at + std::min(kCloseAdmissionAfterMs, grace * kRefuseNewShare / 2),
                  requested_at + std::min(kRefuseNewAfterMs, grace * kRefuseNewShare),
                  requested_at + grace - std::min(kAnswerTimeMs, grace * kAnswerTimeShare),
                  requested_at + grace - std::min(kExitTimeMs, grace * kExitTimeShare)} {}

    // Returns the next step that is due, each step once and in order; none if no step is due yet.
    std::optional<Step> take_due(Millis now, bool anything_held) {
        if (next_ == due_at_.size()) return {};
        const bool may_end = next_ > static_cast<std::size_t>(Step::refuse_new) && !anything_held;
        if (may_end) next_ = static_cast<std::size_t>(Step::end);
        if (!may_end && now < due_at_[next_]) return {};
        return static_cast<Step>(next_++);
    }
    // When to call take_due() again.
    Millis next_check(Millis now) const {
        if (next_ == due_at_.size()) return now + kCheckIntervalMs;
        const bool waits = next_ > static_cast<std::size_t>(Step::refuse_new);
        return std::max(now, waits ? std::min(now + kCheckIntervalMs, due_at_[next_]) : due_at_[next_]);
    }
    // When every pending request is answered. Requests that arrive after SIGTERM get no later deadline.
    Millis answers_at() const { return due_at_[static_cast<std::size_t>(Step::answer_held)]; }

private:
    std::array<Millis, 4> due_at_;
    std::size_t next_ = 0;
};

}  // namespace cobaltshift::shutdown
