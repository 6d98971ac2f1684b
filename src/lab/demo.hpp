// Ten seconds that show what the product is for.
#pragma once

#include "lab/scenario.hpp"

namespace cobaltshift::lab {

// Twelve servers in three halls behind four real forwarders, 300 requests a second; a quarter of the servers
// dies and comes back cold.
Result demo(const Run& run);
// Starts a fleet, prints one JSON line with every address and serves until SIGTERM or SIGINT.
int up(std::size_t servers, std::size_t forwarders, std::uint64_t seed);

}  // namespace cobaltshift::lab
