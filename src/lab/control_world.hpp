// `control-world`: drawn days of the control plane in virtual time (sim_mesh/control_day.hpp), with counts of
// what struck, margins of each timed promise, and safeguards taken out that must be found.
#pragma once

#include "lab/scenario.hpp"

namespace cobaltshift::lab {

// 1,000 days (quick) or 20,000. Fails if a day breaks a rule, if too little struck, or if a safeguard that
// was taken out is not found.
Result control_world(const Run& run);

// One day again, with what happened; shrunk first if it breaks a rule. 1 if it does.
int replay_control_day(std::uint64_t seed);

}  // namespace cobaltshift::lab
