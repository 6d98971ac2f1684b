// The decision module as the rest of the program uses it: its names without their namespace.
#pragma once

#include "kelplb/balancer.hpp"

namespace cobaltshift {
using namespace kelplb;
}
