// Schedules a forwarder's reports to one planner: one per period, and an early one when something urgent
// happens, so that all forwarders learn of a failing server within a fraction of the period. A token bucket
// limits early reports: a forwarder that sees nothing but failures sends at most one extra report per period
// in the long run.
#pragma once

#include <algorithm>

#include "plan/types.hpp"

namespace cobaltshift::plan {

// Whether this outcome warrants an early report because planners can't expect it: the failure of a server in
// use, or an in-time response of a server that the plans have removed (`left_alone`), that is, a successful
// trial. Outcomes that don't depend on the server's health (cancelled, not_sent) never warrant one.
inline bool is_urgent(kelplb::Outcome outcome, bool late, bool left_alone) {
    using kelplb::Outcome;
    if (outcome == Outcome::cancelled || outcome == Outcome::not_sent) return false;
    return (outcome == Outcome::completed && !late) == left_alone;
}

// All times are in ms of the caller's steady clock.
class ReportSchedule {
public:
    static constexpr double kBurst = 3;             // early reports in quick succession
    static constexpr double kMinGapPeriods = 0.05;  // between a report and an early one, in periods

    // `period`: between regular reports, over 0; `first`: when the first report is due.
    ReportSchedule(Millis period, Millis first) : period_(period), due_(first) {}

    Millis due() const { return due_; }
    // Records that a report is sent now and schedules the next one. `jitter` is a random number from 0 to 1
    // that spreads it by 10 % of the period either way, so that forwarders don't synchronize.
    void sent(Millis now, double jitter) {
        if (early_) tokens_ -= 1;
        early_ = false;
        refill(now);
        sent_at_ = now;
        due_ = now + period_ * (0.9 + 0.2 * jitter);
    }
    // Asks for an early report. Returns true if due() has moved forward; false if the next report is early
    // already, is due soon anyway, or the token bucket is empty.
    bool report_early(Millis now) {
        refill(now);
        const Millis soon = std::max(now, sent_at_ + kMinGapPeriods * period_);
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
    bool early_ = false;  // the next report is an early one
};

}  // namespace cobaltshift::plan
