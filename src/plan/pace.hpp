// When a forwarder's next report to a planner is due: every period, and early on news, so that a failing
// server is known to all within a fraction of the period. News is bounded by a bucket: one that sees nothing
// but failures sends at most one further report a period in the long run.
#pragma once

#include <algorithm>

#include "plan/types.hpp"

namespace cobaltshift::plan {

// Whether this outcome tells planners what they don't know: a failure of a server in use, or an answer in
// time from one that the plan leaves alone (its trial). Outcomes that say nothing of the server are no news.
inline bool is_news(kelplb::Outcome outcome, bool late, bool left_alone) {
    using kelplb::Outcome;
    if (outcome == Outcome::recalled || outcome == Outcome::superseded) return false;
    return (outcome == Outcome::completed && !late) == left_alone;
}

class Pace {
public:
    static constexpr double kBurst = 3;
    static constexpr double kEarliest = 0.05;  // of the period, after the report before

    // `period`: ms between reports, over 0; `first`: when the first is due.
    Pace(Millis period, Millis first) : period_(period), due_(first) {}

    Millis due() const { return due_; }
    // A report leaves now; `lot` from 0 to 1 spreads the next, so that forwarders don't fall into step.
    void sent(Millis now, double lot) {
        if (early_) tokens_ -= 1;
        early_ = false;
        refill(now);
        sent_at_ = now;
        due_ = now + period_ * (0.9 + 0.2 * lot);
    }
    // True: due() is earlier than it was.
    bool news(Millis now) {
        refill(now);
        const Millis soon = std::max(now, sent_at_ + kEarliest * period_);
        if (early_ || tokens_ < 1 || soon >= due_) return false;
        early_ = true;
        due_ = soon;
        return true;
    }

private:
    void refill(Millis now) {
        tokens_ = std::min(kBurst, tokens_ + (now - refilled_at_) / period_);
        refilled_at_ = now;
    }
    Millis period_, due_, sent_at_ = -1e18, refilled_at_ = 0;
    double tokens_ = kBurst;
    bool early_ = false;  // the one due next
};

}  // namespace cobaltshift::plan
