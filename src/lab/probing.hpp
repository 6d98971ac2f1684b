// Shared probing on processes: twelve sidecars under load with three keepers, servers that record who probed
// them when, and sidecars, keepers and links that fail.
#pragma once

#include "lab/scenario.hpp"

namespace cobaltshift::lab {

Result probing(const Run& run);

}  // namespace cobaltshift::lab
