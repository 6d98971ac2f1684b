// The order in which a proxy ends after SIGTERM: which step is due when. Entry type: ShutdownSequence. Free
// of I/O; driven over sockets by proxy::Proxy, in virtual time by simmesh::Proxy.
//
// Readiness is off and answers close their connections from the first moment. Then, in this order:
//   close_admission   callers have heard that this node leaves: its server gets nothing new by it
//   refuse_new        no new connections; a request that arrives whole on an open one is refused, as there
//                     may be no time left to answer it by
//   answer_held       every request that is still held gets its answer by what is known of it: refused if it
//                     never ran, else failed. Late enough that a server which is still at work had its time
//   end               the process ends, sooner if nothing is held any more
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
    static constexpr Millis kCloseAdmissionAfter = 400, kRefuseNewAfter = 2600;
    // Before the platform's SIGKILL: what is left for answers to be written, and for the process to end.
    static constexpr Millis kAnswersFor = 500, kEndsFor = 150;
    // Of the grace time, at most: a short one is shared out alike.
    static constexpr double kAnswersShare = 1.0 / 12, kEndsShare = 1.0 / 40, kRefuseNewShare = 0.45;
    static constexpr Millis kLook = 20;  // between looks at whether anything is held

    ShutdownSequence(Millis asked_at, Millis grace)
        : at_{asked_at + std::min(kCloseAdmissionAfter, grace * kRefuseNewShare / 2),
              asked_at + std::min(kRefuseNewAfter, grace * kRefuseNewShare),
              asked_at + grace - std::min(kAnswersFor, grace * kAnswersShare),
              asked_at + grace - std::min(kEndsFor, grace * kEndsShare)} {}

    // The next step that is due, in order, each once; none: nothing is due yet.
    std::optional<Step> take_due(Millis now, bool anything_held) {
        if (next_ == at_.size()) return {};
        const bool may_end = next_ > static_cast<std::size_t>(Step::refuse_new) && !anything_held;
        if (may_end) next_ = static_cast<std::size_t>(Step::end);
        if (!may_end && now < at_[next_]) return {};
        return static_cast<Step>(next_++);
    }
    // When to ask take_due() again.
    Millis next_look(Millis now) const {
        if (next_ == at_.size()) return now + kLook;
        const bool waits = next_ > static_cast<std::size_t>(Step::refuse_new);
        return std::max(now, waits ? std::min(now + kLook, at_[next_]) : at_[next_]);
    }
    // When all that is held gets its answer: nothing that is taken after SIGTERM may be given longer.
    Millis answers_at() const { return at_[static_cast<std::size_t>(Step::answer_held)]; }

private:
    std::array<Millis, 4> at_;
    std::size_t next_ = 0;
};

}  // namespace cobaltshift::shutdown
