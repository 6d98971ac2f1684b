// The sidecar's only clock. It returns Unix milliseconds, so that its times compare with discovery's born_ms,
// but advances with the steady clock: a step of the system clock neither moves time backwards nor fires
// deadlines early.
#pragma once

#include <chrono>

#include "module.hpp"

namespace cobaltshift {

class Clock {
public:
    using Steady = std::chrono::steady_clock;

    Millis now() const { return unix_start_ + Duration(Steady::now() - start_).count(); }
    // The steady-clock time of `at`, rounded up, for timers.
    Steady::time_point point(Millis at) const {
        return start_ + std::chrono::ceil<Steady::duration>(Duration(at - unix_start_));
    }

private:
    using Duration = std::chrono::duration<double, std::milli>;
    Steady::time_point start_ = Steady::now();
    Millis unix_start_ = Duration(std::chrono::system_clock::now().time_since_epoch()).count();
};

}  // namespace cobaltshift
