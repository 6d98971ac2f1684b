// Retry budget of one service, shared by all proxies without communication: each proxy may retry up to a part
// of the ratio on its own requests plus its share of the slack, which it derives from the number of live
// proxies. Entry type: RetryBudget. Called by hop::AttemptRules. Does no I/O; not thread-safe.
//
// Bound on all proxies together: in any window, retries <= ratio x requests + slack, provided that each proxy
// counts at least half of the live proxies. A proxy uses only a part of the budget because calls that a
// server makes again for a retried request count against the same bound.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cobaltshift::admission {

class RetryBudget {
public:
    using Millis = double;
    struct Settings {
        double ratio = 0.2;     // retries per request that the rule BUDGET allows
        double slack = 60;      // retries allowed beyond the ratio, for all proxies together
        Millis window = 10000;  // length of the sliding window, in ms
        // The parts that the proxies spend; the rest covers repeated calls and stale membership.
        double own_ratio_share = 0.4, own_slack_share = 0.4;
    };
    explicit RetryBudget(Settings settings) : settings_(settings) {}

    void record_request(Millis now) {
        advance(now);
        ++requests_[current_];
    }
    // Returns true if a retry may be sent, and counts it.
    bool try_spend(Millis now, std::size_t live_proxies) {
        advance(now);
        const double proxies = static_cast<double>(live_proxies == 0 ? 1 : live_proxies);
        const double limit = settings_.ratio * settings_.own_ratio_share * sum(requests_) +
                             settings_.slack * settings_.own_slack_share / proxies;
        // A share of less than one retry allows none: otherwise each of many proxies could round it up, and
        // together they would exceed the budget.
        if (sum(spent_) + 1 > limit) return false;
        ++spent_[current_];
        return true;
    }
    double spent() const { return sum(spent_); }

private:
    static constexpr std::size_t kBuckets = 20;
    // One bucket more than the window holds, as the window moves by whole buckets.
    using Buckets = std::array<std::uint32_t, kBuckets + 1>;
    static double sum(const Buckets& buckets) {
        double all = 0;
        for (const std::uint32_t n : buckets) all += n;
        return all;
    }
    void advance(Millis now) {
        const auto bucket = static_cast<std::int64_t>(now / (settings_.window / kBuckets));
        if (bucket <= bucket_) return;
        const std::int64_t steps = bucket_ < 0 ? static_cast<std::int64_t>(kBuckets + 1) : bucket - bucket_;
        for (std::int64_t i = 0; i < steps && i <= static_cast<std::int64_t>(kBuckets); ++i) {
            current_ = (current_ + 1) % (kBuckets + 1);
            requests_[current_] = 0, spent_[current_] = 0;
        }
        bucket_ = bucket;
    }

    Settings settings_;
    Buckets requests_{}, spent_{};
    std::size_t current_ = 0;
    std::int64_t bucket_ = -1;
};

}  // namespace cobaltshift::admission
