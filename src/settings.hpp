// Whether settings make sense. Nothing here decides anything about a request.
#pragma once

#include "kelplb/balancer.hpp"

namespace kelplb {

// Throws std::invalid_argument naming the first setting that makes no sense.
void validate(const Settings& settings);

}  // namespace kelplb
