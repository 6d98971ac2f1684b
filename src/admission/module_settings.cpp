#include "admission/module_settings.hpp"

#include <algorithm>
#include <cmath>

namespace cobaltshift::admission {

namespace {
constexpr double kLeastAim = 25;  // ms; each class's is the square root of 2 times the one's before
constexpr std::uint32_t kAims = 16, kRanks = 3;
constexpr unsigned kMostAttempts = 5;  // offers of one request, bounced ones too
// Of the aim: a request that no server may have waits so long, as one may come back from a restart.
constexpr double kHold = 0.24;
constexpr double kLeastWorthAim = 100;  // ms; shorter aims are worth no more
constexpr double kCrossZoneFee = 0.05;
// What a request is worth by its route's rank, against one of the next; worth a slot's time is what counts,
// and a slot's time goes with the aim: a call of 120 ms that a server waits for goes before what takes 500
// ms.
constexpr double kRankWorth = 2;
}  // namespace

kelplb::Settings module_settings(std::optional<kelplb::ZoneId> zone, std::uint32_t proxies) {
    kelplb::Settings s;
    for (const kelplb::Effect effect : {kelplb::Effect::repeatable, kelplb::Effect::once})
        for (std::uint32_t rank = 0; rank < kRanks; ++rank)
            for (std::uint32_t i = 0; i < kAims; ++i) {
                kelplb::RequestClass c;
                c.effect = effect;
                c.aim = kLeastAim * std::pow(2, i / 2.0);
                c.late_worth = 0.3;
                c.worth = std::pow(kRankWorth, kRanks - 1.0 - rank) * kLeastWorthAim /
                          std::max(kLeastWorthAim, c.aim);
                s.classes.push_back(c);
            }
    s.my_zone = zone;
    s.siblings = proxies;
    s.max_attempts = kMostAttempts;
    s.cold_from = 0.5;
    s.warm_within = kWarmWithin;
    s.fees.cross_zone = kCrossZoneFee;
    // Offers that an admission turns away cost nothing, and real tries have the shared budget.
    s.retry_share = kMostAttempts;
    s.retry_burst = 1000;
    s.hold = kHold;
    s.admission = false;  // the admission knows what its server does, to the slot
    return s;
}

std::uint32_t class_of(bool once, int rank, double target_ms) {
    const double step = 2 * std::log2(std::max(1.0, target_ms) / kLeastAim);
    const auto i = static_cast<std::uint32_t>(std::clamp(std::round(step), 0.0, kAims - 1.0));
    const auto r = static_cast<std::uint32_t>(std::clamp<int>(rank, 0, kRanks - 1));
    return i + kAims * (r + (once ? kRanks : 0));
}

}  // namespace cobaltshift::admission
