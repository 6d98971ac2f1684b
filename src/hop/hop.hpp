// Metadata of a request that one proxy passes to another. Sent as the header field Mesh-Hop
// (proxy/hop_headers); passed as a struct in simulations.
#pragma once

#include <cstdint>

#include "config/configuration.hpp"

namespace cobaltshift::hop {

struct Hop {
    config::RouteKind kind = config::RouteKind::registered;
    int rank = 0;               // priority of the route, 0 is the highest
    double target_ms = 0;       // target latency of the route
    unsigned tries = 1;         // maximum number of servers that may receive the request
    bool may_wait = false;      // may be queued at the admission beside the server
    std::uint64_t edition = 0;  // configuration edition of the sending proxy; 0: none
    // Whether the request may run at most once.
    bool once() const { return kind == config::RouteKind::registered; }
};

}  // namespace cobaltshift::hop
