// Tenant quotas: whether a request is within the part of its tenant's quota that falls to this sidecar. This
// decides nothing about servers; the balancer asks once for each request. No I/O; time is passed in.
//
// Each sidecar sees only a part of a tenant's requests. The sidecars send one another their request rates
// for each tenant, and each grants a part of the quota in proportion to its own rate, through a token
// bucket. If messages are lost, the last rate received stays in force until it expires; without any rates
// the quota is split evenly. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "kelplb/balancer.hpp"

namespace kelplb {

class Shares {
public:
    Shares(std::vector<Tenant> tenants, std::uint32_t sidecar_count);

    // Counts one request. True: within this sidecar's part of the quota, or the tenant has none or is
    // unknown.
    bool admit(Millis now, std::uint32_t tenant);

    std::size_t tenants() const { return tenants_.size(); }
    // Smoothed rate of the tenant's requests at this sidecar, per second. Throws std::out_of_range.
    double rate(Millis now, std::uint32_t tenant) const;
    // The same rate at the sidecar `from`. Unknown tenants and sidecars, and negative or infinite rates, are
    // ignored.
    void receive(Millis now, std::uint32_t from, std::uint32_t tenant, double rate);

    // A rate per second as a byte on a logarithmic scale, in steps of a tenth; 0: below 0.1. Rounding is
    // within a twentieth; rates above the scale become 255.
    static std::uint8_t encode_rate(double rate);
    static double decode_rate(std::uint8_t byte);

private:
    struct PeerRate {
        double rate = 0;
        Millis at = 0;
    };
    struct TenantState {
        Tenant tenant;
        double count = 0;   // requests, decayed
        double tokens = 0;  // in the bucket, one for each request
        Millis at = -1;     // of the last update of both
        std::map<std::uint32_t, PeerRate> peers;
    };
    double own_part(Millis now, const TenantState& state) const;

    std::vector<TenantState> tenants_;
    std::uint32_t sidecar_count_;
};

}  // namespace kelplb
