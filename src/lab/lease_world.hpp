// Keepers and holders in virtual time under every fault, many seeds over all cores.
#pragma once

#include "lab/scenario.hpp"

namespace cobaltshift::lab {

Result lease_world(const Run& run);

}  // namespace cobaltshift::lab
