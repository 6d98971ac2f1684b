// How much is turned away, in the order of ranked(): a level common to the fleet, raised quickly and let down
// slowly. Entry type: LevelPace, of whoever sets the level. Free of I/O.
//
// Invariants: a level is let down by one at a time, and only after all has been well for its time; what had
// to be raised again soon after it was let down waits twice as long the next time, up to a bound, so that the
// level can't swing with the load it lets in.
#pragma once

#include <algorithm>
#include <cstddef>

#include "kelplb/balancer.hpp"

namespace cobaltshift::site {

using kelplb::Millis;

struct LevelSettings {
    std::size_t highest = 8;      // all but what stands first is turned away
    double over = 1, well = 0.9;  // the fullest site's use over its bound: to raise; to let down
    Millis raise = 200;           // between two raises: what the last one does must show first
    Millis let_down = 3000, longest = 60000;
};

class LevelPace {
public:
    explicit LevelPace(const LevelSettings& settings = {}) : settings_(settings), wait_(settings.let_down) {}

    // `use`: of the fullest site, over its bound. Returns whether the level has changed.
    bool seen(Millis now, double use) {
        if (use >= settings_.well)
            well_since_ = -1;
        else if (well_since_ < 0)
            well_since_ = now;
        if (use > settings_.over) {
            if (level_ >= settings_.highest || now < changed_ + settings_.raise) return false;
            const bool soon = let_down_ >= 0 && now < let_down_ + wait_;
            wait_ = soon ? std::min(2 * wait_, settings_.longest) : settings_.let_down;
            // Far over: more than one at once.
            const auto steps = static_cast<std::size_t>(std::min(3.0, 1 + 4 * (use - settings_.over)));
            level_ = std::min(settings_.highest, level_ + steps);
            changed_ = now;
            return true;
        }
        if (level_ == 0 || well_since_ < 0 || now < std::max(well_since_, changed_) + wait_) return false;
        --level_;
        changed_ = let_down_ = now;
        return true;
    }
    std::size_t level() const { return level_; }
    Millis wait() const { return wait_; }

private:
    const LevelSettings settings_;
    std::size_t level_ = 0;
    Millis changed_ = -1e18, well_since_ = -1, let_down_ = -1, wait_;
};

}  // namespace cobaltshift::site
