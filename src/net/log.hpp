// The log on standard error: one line a message, and bounded, since files and pipes count as memory and a
// failing neighbour must not fill them.
#pragma once

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>

namespace cobaltshift {

inline void log_line(const std::string& text) {
    using Clock = std::chrono::steady_clock;
    constexpr double kBurst = 100, kPerSecond = 2;
    static double allowance = kBurst;
    static Clock::time_point last = Clock::now();
    static std::size_t dropped = 0;
    const Clock::time_point now = Clock::now();
    allowance = std::min(kBurst, allowance + kPerSecond * std::chrono::duration<double>(now - last).count());
    last = now;
    if (allowance < 1) {
        ++dropped;
        return;
    }
    allowance -= 1;
    if (dropped > 0) std::cerr << "cobaltshift: " << dropped << " lines left out\n";
    dropped = 0;
    std::string line = text.substr(0, 200);
    std::replace_if(
        line.begin(), line.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
    std::cerr << "cobaltshift: " << line << std::endl;
}

}  // namespace cobaltshift
