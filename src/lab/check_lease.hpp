// `cobaltshift-lab check lease`: every schedule of the cores with a few deviations, and each guard taken out.
#pragma once

#include "lab/scenario.hpp"

namespace cobaltshift::lab {

Result check_lease(const Run& run);

}  // namespace cobaltshift::lab
