// Tenants' shares: which requests are within what all sidecars together owe their tenant. It decides nothing
// about a server; the balancer asks it once for each request. Free of I/O, time is passed in.
//
// Every sidecar sees only its own part of a tenant's requests. It tells the others how many a second come to
// it, hears the same of them, and grants its own part of the quota from a bucket. Lost messages leave the
// last figure in force until it is too old; with none at all the quota is split evenly.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "kelplb/balancer.hpp"

namespace kelplb {

class Shares {
public:
    Shares(std::vector<Tenant> tenants, std::uint32_t siblings);

    // Books one request; true: within the tenant's share, or the tenant has no quota.
    bool within(Millis now, std::uint32_t tenant);

    std::size_t tenants() const { return tenants_.size(); }
    // Requests a second of one tenant here, of late.
    double rate(Millis now, std::uint32_t tenant) const;
    // The same at another sidecar. Nonsense (negative, not finite) is passed over.
    void heard(Millis now, std::uint32_t from, std::uint32_t tenant, double rate);

    // Requests a second that make one step of what is told, and the most that a byte can say.
    static std::uint8_t pack(double rate);
    static double unpack(std::uint8_t byte);

private:
    struct Heard {
        double rate = 0;
        Millis at = 0;
    };
    struct Own {
        Tenant tenant;
        double weight = 0;  // requests, decayed
        double level = 0;   // of the bucket, in requests
        Millis at = -1;     // of both
        std::map<std::uint32_t, Heard> others;
    };
    double part(Millis now, const Own& own) const;

    std::vector<Own> tenants_;
    std::uint32_t siblings_;
};

}  // namespace kelplb
