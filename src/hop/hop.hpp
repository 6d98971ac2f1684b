// What one proxy tells another about a request, beside the request itself. Written as a header field by
// proxy/hop_fields, passed as it is in virtual time.
#pragma once

#include <cstdint>

#include "config/configuration.hpp"

namespace cobaltshift::hop {

struct Hop {
    config::RouteKind kind = config::RouteKind::registered;
    int rank = 0;
    double target_ms = 0;
    unsigned tries = 1;
    bool may_wait = false;  // at the admission beside the server
    std::uint64_t edition = 0;
    bool once() const { return kind == config::RouteKind::registered; }
};

}  // namespace cobaltshift::hop
