// `soak`: real control nodes and proxies as processes on loopback addresses, with stand-in servers and
// clients that keep their connections until the process behind them is gone, under signals, restarts and
// changes of configuration that come in series and overlap. Entry: soak(). docs/operate/lab.md.
#pragma once

#include "lab/scenario.hpp"

namespace cobaltshift::lab {

Result soak(const Run& run);

}  // namespace cobaltshift::lab
