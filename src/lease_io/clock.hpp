// The clock that rights are counted on: of this machine alone, since it started, with the time in which it
// was suspended. std::chrono::steady_clock leaves that time out on Linux: whoever slept through a right's end
// would take it for held.
#pragma once

#include <time.h>

#include "raft/types.hpp"

namespace cobaltshift::lease {

inline raft::Millis own_clock() {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

}  // namespace cobaltshift::lease
