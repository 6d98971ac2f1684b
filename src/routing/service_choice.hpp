// Which service a request goes to, and how long it may take: by its route alone. Free of I/O; called by
// proxy::Outbound and sim_mesh.
#pragma once

#include <algorithm>
#include <string>

#include "config/configuration.hpp"
#include "module.hpp"

namespace cobaltshift::routing {

// Taken off the client's time: the answer has to be there before it gives up, not on its way.
constexpr Millis kAnswerMargin = 8;

// By the weights of the route's split; `draw` is in [0, 1).
inline const std::string& choose_service(const config::Route& route, double draw) {
    double total = 0;
    for (const auto& share : route.split) total += share.weight;
    double left = draw * total;
    const std::string* chosen = &route.split.front().service;
    for (const auto& share : route.split) {
        if (share.weight <= 0) continue;
        chosen = &share.service;
        if (left < share.weight) break;
        left -= share.weight;
    }
    return *chosen;
}

// Of a request whose client waits `client_left` from its first byte, `spent` ago.
inline Millis time_left(const config::Route& route, Millis client_left, Millis spent) {
    return std::max(0.0, std::min(client_left, route.deadline_ms) - spent - kAnswerMargin);
}

}  // namespace cobaltshift::routing
