// The plan over real sockets and processes: forwarders and planners that are killed and restarted under load.
#pragma once

#include "lab/scenario.hpp"

namespace cobaltshift::lab {

// 40 light forwarders, 16 servers, 3 planners, 400 requests a second; planners die at random and all at once,
// and servers fail and return cold. Beside it the same without planners.
Result planners(const Run& run);
// The time from a server's first failure to the first request spared, part by part.
Result plan_path(const Run& run);
// One planner before more and more forwarders that are played by one process: CPU, memory, bytes.
Result planner_cost(const Run& run);

}  // namespace cobaltshift::lab
