// Days drawn from a seed: what is wrong, with whom, when and for how long.
#pragma once

#include "sim/case.hpp"

namespace cobaltshift::sim {

struct Troubles {
    // Parts of the servers.
    double crash_part = 0.25, error_part = 0.15, pause_part = 0.25;
    bool drains = true;
    // Of the planners and the way to them, from 5 s to three quarters of the day.
    bool planners_fail = false, planners_dead = false, planners_split = false, lossy = false,
         restarts = false;
    std::size_t liars = 0;
};

// Fills in `faults` for a case whose sizes, length and seed are set.
void draw_faults(Case& day, const Troubles& troubles);
// Sizes, load and troubles all drawn: a day of the fault world.
Case drawn_day(std::uint64_t seed);

}  // namespace cobaltshift::sim
