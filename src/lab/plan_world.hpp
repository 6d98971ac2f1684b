// What the plan is worth and that it breaks no rule, in the fault world's virtual time.
#pragma once

#include "lab/scenario.hpp"

namespace cobaltshift::lab {

// Many seeds, three to five planners, ten to sixty forwarders, every fault drawn: no rule is broken.
Result plan_world(const Run& run);
// The same arrivals and troubles with planners and without, and with planners dead, lying and split.
Result plan_gain(const Run& run);

}  // namespace cobaltshift::lab
