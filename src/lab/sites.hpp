// The lead of sites on processes: three halls of servers, sidecars that probe them, keepers, and three that
// lead or stand by, with whole halls, processes and links that fail.
#pragma once

#include "lab/scenario.hpp"

namespace cobaltshift::lab {

Result sites(const Run& run);

}  // namespace cobaltshift::lab
