// One line in the log, now and then, that says what a sidecar has done since its start and what it believes:
// sums over a fleet's logs show what no single sidecar can (`deploy/tally.sh`).
#pragma once

#include <string>

#include "metrics/text.hpp"
#include "module.hpp"
#include "net/upstream.hpp"

namespace cobaltshift {

// `name=value` words, 200 characters at most; counts since the start.
std::string tally_line(const kelplb::Balancer::Tally& module, const Upstream::Counts& sockets);
// The same as metrics.
void tally_metrics(const kelplb::Balancer::Tally& module, const Upstream::Counts& sockets, MetricsText& text);

}  // namespace cobaltshift
