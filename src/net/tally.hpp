// One line in the log, now and then, that says what a sidecar has done since its start and what it believes:
// sums over a fleet's logs show what no single sidecar can (`deploy/tally.sh`).
#pragma once

#include <string>

#include "module.hpp"
#include "net/upstream.hpp"

namespace cobaltshift {

// `name=value` words, 200 characters at most; counts since the start.
std::string tally_line(const kelplb::Balancer::Tally& module, const Upstream::Counts& sockets);

}  // namespace cobaltshift
