#include "shares.hpp"

#include <algorithm>
#include <cmath>

namespace kelplb {

namespace {
constexpr Millis kRateMemoryMs = 2000;   // time constant of the measured rates
constexpr Millis kPeerRateTtlMs = 5000;  // a rate received from another sidecar counts for so long
constexpr Millis kBurstMs = 1000;        // the bucket holds the quota of this time
constexpr double kMinEncodedRate = 0.1;  // per second, as byte 1; each further step is a tenth more
constexpr double kEncodingStep = 1.1;
}  // namespace

Shares::Shares(std::vector<Tenant> tenants, std::uint32_t sidecar_count)
    : sidecar_count_(std::max(1u, sidecar_count)) {
    for (const Tenant& t : tenants) {
        TenantState state;
        state.tenant = t;
        state.tokens = t.quota_per_s * kBurstMs / 1000 / sidecar_count_;
        tenants_.push_back(std::move(state));
    }
}

double Shares::rate(Millis now, std::uint32_t tenant) const {
    const TenantState& state = tenants_.at(tenant);
    return state.count * std::exp((state.at - now) / kRateMemoryMs) * 1000 / kRateMemoryMs;
}

double Shares::own_part(Millis now, const TenantState& state) const {
    if (sidecar_count_ == 1) return 1;
    const double own = std::max(kMinEncodedRate, state.count * 1000 / kRateMemoryMs);
    double others = 0;
    std::uint32_t known = 0;
    for (const auto& [from, peer] : state.peers)
        if (now < peer.at + kPeerRateTtlMs) others += peer.rate, ++known;
    // Sidecars of unknown rate are taken to have the mean of the known ones and this one.
    const double mean = (own + others) / (1 + known);
    return own / (own + others + mean * (sidecar_count_ - 1 - std::min(known, sidecar_count_ - 1)));
}

bool Shares::admit(Millis now, std::uint32_t tenant) {
    if (tenant >= tenants_.size() || tenants_[tenant].tenant.quota_per_s <= 0) return true;
    TenantState& state = tenants_[tenant];
    const Millis elapsed = state.at < 0 ? 0 : std::max(0.0, now - state.at);
    state.count = state.count * std::exp(-elapsed / kRateMemoryMs) + 1;
    state.at = now;
    const double own_quota = state.tenant.quota_per_s * own_part(now, state);
    state.tokens =
        std::min(std::max(1.0, own_quota * kBurstMs / 1000), state.tokens + own_quota * elapsed / 1000);
    if (state.tokens < 1) return false;
    state.tokens -= 1;
    return true;
}

void Shares::receive(Millis now, std::uint32_t from, std::uint32_t tenant, double rate) {
    if (tenant >= tenants_.size() || !std::isfinite(rate) || rate < 0 || from >= sidecar_count_) return;
    tenants_[tenant].peers[from] = {rate, now};
}

std::uint8_t Shares::encode_rate(double rate) {
    if (!(rate >= kMinEncodedRate)) return 0;
    return static_cast<std::uint8_t>(
        std::min(255.0, 1 + std::round(std::log(rate / kMinEncodedRate) / std::log(kEncodingStep))));
}
double Shares::decode_rate(std::uint8_t byte) {
    return byte == 0 ? 0 : kMinEncodedRate * std::pow(kEncodingStep, byte - 1);
}

}  // namespace kelplb
