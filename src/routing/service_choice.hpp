// The service that a request is sent to and the time it may take, both derived from its route. Pure
// functions, called by proxy::Outbound and sim_mesh.
#pragma once

#include <algorithm>
#include <string>

#include "config/configuration.hpp"
#include "module.hpp"

namespace cobaltshift::routing {

// Subtracted from the client's deadline: the answer must have arrived by then, not be on its way.
constexpr Millis kAnswerMarginMs = 8;

// Chooses by the weights of the route's split. `random_unit`: uniform in [0, 1).
inline const std::string& choose_service(const config::Route& route, double random_unit) {
    double total = 0;
    for (const auto& share : route.split) total += share.weight;
    double left = random_unit * total;
    const std::string* chosen = &route.split.front().service;
    for (const auto& share : route.split) {
        if (share.weight <= 0) continue;
        chosen = &share.service;
        if (left < share.weight) break;
        left -= share.weight;
    }
    return *chosen;
}

// The time left for a request, in ms. Its client waits `client_left` from the request's first byte, which
// arrived `spent` ago.
inline Millis time_left(const config::Route& route, Millis client_left, Millis spent) {
    return std::max(0.0, std::min(client_left, route.deadline_ms) - spent - kAnswerMarginMs);
}

}  // namespace cobaltshift::routing
