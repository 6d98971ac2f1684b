// What a request costs one forwarder: requests a second of one core, CPU, system calls and instructions a
// request, memory of a connection, and the time it adds. Straight to a bare server against through a real
// forwarder process, in alternating slices of one run.
#pragma once

#include "lab/scenario.hpp"

namespace cobaltshift::lab {

Result cost(const Run& run);
// Instructions a request against what docs/measured/cost.md records, with a bound: for CI.
Result cost_instructions(const Run& run);
// So many requests, one after another, through a sidecar in this process and thread, and no more: for
// callgrind, whose count of instructions repeats. Exit code 0, or 1 if one was not served.
int cost_script(std::size_t requests);

}  // namespace cobaltshift::lab
