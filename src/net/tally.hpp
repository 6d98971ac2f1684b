// A periodic log line with a sidecar's counters and its current view of the fleet. `deploy/tally.sh` sums
// these lines over a fleet's logs, which shows what no single sidecar can.
#pragma once

#include <string>

#include "metrics/text.hpp"
#include "module.hpp"
#include "net/upstream.hpp"

namespace cobaltshift {

// Space-separated `name=value` pairs, at most 200 characters; counters run from the start of the process.
std::string tally_line(const kelplb::Balancer::Tally& module, const Upstream::Counts& sockets);
// The same values as metrics.
void tally_metrics(const kelplb::Balancer::Tally& module, const Upstream::Counts& sockets, MetricsText& text);

}  // namespace cobaltshift
