// Validation of kelplb::Settings.
#pragma once

#include "kelplb/balancer.hpp"

namespace kelplb {

// Throws std::invalid_argument naming the first setting that is out of range, infinite or not a number.
void validate(const Settings& settings);

}  // namespace kelplb
