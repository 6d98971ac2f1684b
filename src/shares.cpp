#include "shares.hpp"

#include <algorithm>
#include <cmath>

namespace kelplb {

namespace {
constexpr Millis kMemory = 2000;    // over which a rate is measured
constexpr Millis kHearsay = 5000;   // what others said counts for so long
constexpr Millis kBurst = 1000;     // of the quota, saved up at most
constexpr double kLeastRate = 0.1;  // a second: what a byte 1 says; each further step is a tenth more
constexpr double kStep = 1.1;
}  // namespace

Shares::Shares(std::vector<Tenant> tenants, std::uint32_t siblings) : siblings_(std::max(1u, siblings)) {
    for (const Tenant& t : tenants) {
        Own own;
        own.tenant = t;
        own.level = t.quota_per_s * kBurst / 1000 / siblings_;
        tenants_.push_back(std::move(own));
    }
}

double Shares::rate(Millis now, std::uint32_t tenant) const {
    const Own& own = tenants_.at(tenant);
    return own.weight * std::exp((own.at - now) / kMemory) * 1000 / kMemory;
}

double Shares::part(Millis now, const Own& own) const {
    if (siblings_ == 1) return 1;
    const double mine = std::max(kLeastRate, own.weight * 1000 / kMemory);
    double others = 0;
    std::uint32_t known = 0;
    for (const auto& [from, heard] : own.others)
        if (now < heard.at + kHearsay) others += heard.rate, ++known;
    // Those who are silent are taken to be like the mean of the rest.
    const double mean = (mine + others) / (1 + known);
    return mine / (mine + others + mean * (siblings_ - 1 - std::min(known, siblings_ - 1)));
}

bool Shares::within(Millis now, std::uint32_t tenant) {
    if (tenant >= tenants_.size() || tenants_[tenant].tenant.quota_per_s <= 0) return true;
    Own& own = tenants_[tenant];
    const Millis gone = own.at < 0 ? 0 : std::max(0.0, now - own.at);
    own.weight = own.weight * std::exp(-gone / kMemory) + 1;
    own.at = now;
    const double mine = own.tenant.quota_per_s * part(now, own);
    own.level = std::min(std::max(1.0, mine * kBurst / 1000), own.level + mine * gone / 1000);
    if (own.level < 1) return false;
    own.level -= 1;
    return true;
}

void Shares::heard(Millis now, std::uint32_t from, std::uint32_t tenant, double rate) {
    if (tenant >= tenants_.size() || !std::isfinite(rate) || rate < 0 || from >= siblings_) return;
    tenants_[tenant].others[from] = {rate, now};
}

std::uint8_t Shares::pack(double rate) {
    if (!(rate >= kLeastRate)) return 0;
    return static_cast<std::uint8_t>(
        std::min(255.0, 1 + std::round(std::log(rate / kLeastRate) / std::log(kStep))));
}
double Shares::unpack(std::uint8_t byte) { return byte == 0 ? 0 : kLeastRate * std::pow(kStep, byte - 1); }

}  // namespace kelplb
