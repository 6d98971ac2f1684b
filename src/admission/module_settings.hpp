// Settings of the balancing library (kelplb) inside the mesh: a fixed set of request classes by effect,
// priority and target latency, with the library's own admission turned off. Entry points: module_settings(),
// class_index_of(). Used by the proxy and by sim_mesh. Pure functions.
#pragma once

#include <cstdint>
#include <optional>

#include "kelplb/balancer.hpp"

namespace cobaltshift::admission {

constexpr kelplb::Millis kWarmUpMs = 3000;  // how long after its start a server counts as warming up

// `zone`: of this proxy; `proxies`: about how many proxies share the servers.
kelplb::Settings module_settings(std::optional<kelplb::ZoneId> zone, std::uint32_t proxies);
// The index into Settings::classes for a request. `once`: it may run at most once; `rank`: priority of its
// route, 0 is the highest. Rank and target are clamped to what the classes cover.
std::uint32_t class_index_of(bool once, int rank, double target_ms);

}  // namespace cobaltshift::admission
