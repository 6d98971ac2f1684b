// The sidecar's only clock: Unix milliseconds, so that discovery's born_ms compares, but driven by the steady
// clock, so that a step of the system's time can neither run time backwards nor fire deadlines early.
#pragma once

#include <chrono>

#include "module.hpp"

namespace cobaltshift {

class Clock {
public:
    using Steady = std::chrono::steady_clock;

    Millis now() const { return unix_start_ + Duration(Steady::now() - start_).count(); }
    Steady::time_point point(Millis at) const {
        return start_ + std::chrono::ceil<Steady::duration>(Duration(at - unix_start_));
    }

private:
    using Duration = std::chrono::duration<double, std::milli>;
    Steady::time_point start_ = Steady::now();
    Millis unix_start_ = Duration(std::chrono::system_clock::now().time_since_epoch()).count();
};

}  // namespace cobaltshift
