// The monotonic clock that leases are timed with: milliseconds from this machine's boot, including the time
// for which it was suspended. std::chrono::steady_clock excludes that time on Linux, so a machine that was
// suspended past a lease's end would still consider it held.
#pragma once

#include <time.h>

#include "raft/types.hpp"

namespace cobaltshift::lease {

inline raft::Millis boottime_now() {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

}  // namespace cobaltshift::lease
