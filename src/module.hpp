// Makes the names of the decision module (namespace kelplb) visible in the rest of the program.
#pragma once

#include "kelplb/balancer.hpp"

namespace cobaltshift {
using namespace kelplb;
}
