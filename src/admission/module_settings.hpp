// How the decision module is set in the mesh: its classes, fixed by kind, rank and aim, and what of it is off
// there. Entries: module_settings(), class_of(). Used by the proxy and by the world of scenarios; free of
// I/O.
#pragma once

#include <cstdint>
#include <optional>

#include "kelplb/balancer.hpp"

namespace cobaltshift::admission {

constexpr kelplb::Millis kWarmWithin = 3000;  // from its start a server is taken to be slow so long

// `proxies`: how many share the servers, about.
kelplb::Settings module_settings(std::optional<kelplb::ZoneId> zone, std::uint32_t proxies);
// Of a request that may run `once` only, on a route of this rank (0 highest) and target in ms.
std::uint32_t class_of(bool once, int rank, double target_ms);

}  // namespace cobaltshift::admission
