// The shared budget for further tries at one service (standard term: retry budget), kept without a message a
// request: each proxy may spend a part of the ratio on its own requests and its share of the slack, from the
// count of live proxies. Entry type: RetryBudget. Called by proxy::Outbound; free of I/O.
//
// The bound of all together: in any window, further tries <= ratio x requests + slack, as long as each
// proxy's count of the others is at least half of what is live; calls that a further try makes again count
// too, and have the rest.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cobaltshift::admission {

class RetryBudget {
public:
    using Millis = double;
    struct Settings {
        double ratio = 0.2;     // of the rule
        double slack = 60;      // of the rule, for all proxies together
        Millis window = 10000;  // of the rule, sliding
        double part_of_ratio = 0.4,
               part_of_slack = 0.4;  // ours: the rest is for calls made again, and late news
    };
    explicit RetryBudget(Settings settings) : settings_(settings) {}

    void request(Millis now) {
        turn(now);
        ++requests_[at_];
    }
    // True: a further try may go out, and is counted.
    bool spend(Millis now, std::size_t live_proxies) {
        turn(now);
        const double proxies = static_cast<double>(live_proxies == 0 ? 1 : live_proxies);
        const double most = settings_.ratio * settings_.part_of_ratio * sum(requests_) +
                            settings_.slack * settings_.part_of_slack / proxies;
        // Less than one is saved up: a tenth of the proxies may not spend what all may together.
        if (sum(spent_) + 1 > most) return false;
        ++spent_[at_];
        return true;
    }
    double spent() const { return sum(spent_); }

private:
    static constexpr std::size_t kParts = 20;
    using Parts = std::array<std::uint32_t, kParts + 1>;  // one more than the window: it slides by parts
    static double sum(const Parts& parts) {
        double all = 0;
        for (const std::uint32_t n : parts) all += n;
        return all;
    }
    void turn(Millis now) {
        const auto part = static_cast<std::int64_t>(now / (settings_.window / kParts));
        if (part <= part_) return;
        const std::int64_t steps = part_ < 0 ? static_cast<std::int64_t>(kParts + 1) : part - part_;
        for (std::int64_t i = 0; i < steps && i <= static_cast<std::int64_t>(kParts); ++i) {
            at_ = (at_ + 1) % (kParts + 1);
            requests_[at_] = 0, spent_[at_] = 0;
        }
        part_ = part;
    }

    Settings settings_;
    Parts requests_{}, spent_{};
    std::size_t at_ = 0;
    std::int64_t part_ = -1;
};

}  // namespace cobaltshift::admission
