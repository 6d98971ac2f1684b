// `request-world`: drawn days of the data plane in virtual time (sim_mesh/request_day.hpp), over the shipped
// code, with counts of what struck and safeguards taken out that must be found.
#pragma once

#include "lab/scenario.hpp"

namespace cobaltshift::lab {

// 1,000 days (quick) or 20,000. Fails if a day breaks a rule, if too little struck, or if a safeguard that
// was taken out is not found.
Result request_world(const Run& run);

// One day again; shrunk first if it breaks a rule. Prints it as a scenario. 1 if it breaks one.
int replay_request_day(std::uint64_t seed);

}  // namespace cobaltshift::lab
