// `check control`: every schedule of the control plane with few deviations (sim_mesh/control_check.hpp), and
// each safeguard taken out, which must be found.
#pragma once

#include "lab/scenario.hpp"

namespace cobaltshift::lab {

Result check_control(const Run& run);

}  // namespace cobaltshift::lab
