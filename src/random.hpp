// SplitMix64: the same numbers with every standard library, so that the same seed and events give the same
// actions. Not for cryptography; not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>

namespace kelplb {

class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }  // in [0, 1)
    // In [0, n); 0 if n is 0.
    std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }

private:
    std::uint64_t next() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
        z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
        return z ^ (z >> 31);
    }
    std::uint64_t state_;
};

}  // namespace kelplb
