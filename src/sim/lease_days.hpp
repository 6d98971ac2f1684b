// Days of keepers, holders and tasks, drawn from a seed.
#pragma once

#include "sim/case.hpp"

namespace cobaltshift::sim {

// Troubles from 2 s to 20 s of a day of 40 s; then all are well again, so that everything must be held at the
// end.
Case drawn_lease_day(std::uint64_t seed);

}  // namespace cobaltshift::sim
