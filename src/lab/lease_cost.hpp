// What keepers and rights cost, on processes: rights and entries a second, syncs, CPU, time without a leader.
#pragma once

#include "lab/scenario.hpp"

namespace cobaltshift::lab {

Result lease_cost(const Run& run);

}  // namespace cobaltshift::lab
