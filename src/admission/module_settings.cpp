#include "admission/module_settings.hpp"

#include <algorithm>
#include <cmath>

namespace cobaltshift::admission {

namespace {
constexpr double kMinAimMs = 25;  // each class's aim is sqrt(2) times the one before
constexpr std::uint32_t kAimSteps = 16, kRankCount = 3;
constexpr unsigned kMaxAttempts = 5;  // per request, including those that an admission refused
// A request that no server can take is held for this part of its aim, as a server may come back from a
// restart.
constexpr double kHoldAims = 0.24;
constexpr double kFullWorthAimMs = 100;  // shorter aims have no higher worth
constexpr double kCrossZoneFee = 0.05;
// Worth of a request relative to one of the next lower rank. What counts is the worth per time in a slot, and
// that time is taken to grow with the aim: a call of 120 ms that another server waits for goes before one of
// 500 ms.
constexpr double kRankWorthFactor = 2;
}  // namespace

kelplb::Settings module_settings(std::optional<kelplb::ZoneId> zone, std::uint32_t proxies) {
    kelplb::Settings s;
    for (const kelplb::Effect effect : {kelplb::Effect::repeatable, kelplb::Effect::once})
        for (std::uint32_t rank = 0; rank < kRankCount; ++rank)
            for (std::uint32_t i = 0; i < kAimSteps; ++i) {
                kelplb::RequestClass c;
                c.effect = effect;
                c.latency_target = kMinAimMs * std::pow(2, i / 2.0);
                c.late_worth = 0.3;
                c.worth = std::pow(kRankWorthFactor, kRankCount - 1.0 - rank) * kFullWorthAimMs /
                          std::max(kFullWorthAimMs, c.latency_target);
                s.classes.push_back(c);
            }
    s.my_zone = zone;
    s.sidecar_count = proxies;
    s.max_attempts = kMaxAttempts;
    s.cold_capacity = 0.5;
    s.warmup_time = kWarmUpMs;
    s.fees.cross_zone = kCrossZoneFee;
    // The library's retry budget is too large to limit anything: attempts that an admission refuses cost
    // nothing, and those that reach a server are limited by RetryBudget.
    s.retry_share = kMaxAttempts;
    s.retry_burst = 1000;
    s.max_hold_share = kHoldAims;
    s.admission = false;  // Admission knows the server's free slots exactly
    return s;
}

std::uint32_t class_index_of(bool once, int rank, double target_ms) {
    const double step = 2 * std::log2(std::max(1.0, target_ms) / kMinAimMs);
    const auto i = static_cast<std::uint32_t>(std::clamp(std::round(step), 0.0, kAimSteps - 1.0));
    const auto r = static_cast<std::uint32_t>(std::clamp<int>(rank, 0, kRankCount - 1));
    return i + kAimSteps * (r + (once ? kRankCount : 0));
}

}  // namespace cobaltshift::admission
