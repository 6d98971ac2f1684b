// Keepers and holders as processes, links and machines failing at random: no two ever act at once.
#pragma once

#include "lab/scenario.hpp"

namespace cobaltshift::lab {

Result leases(const Run& run);

}  // namespace cobaltshift::lab
