// Draws by name: each part of a model has a stream of its own, so that one more draw in one part moves no
// other. PCG (O'Neill 2014, pcg64: 128 bits of state and a stream number) seeded by the day's seed, its
// stream number the name's XXH3; conversions are our own, as the standard's distributions differ between
// libraries.
#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <pcg_random.hpp>
#include <string_view>

namespace cobaltshift::sim {

class Stream {
public:
    Stream(std::uint64_t seed, std::string_view name);

    double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }  // in [0, 1)
    // Below n, n over 0; every value alike (rejection, not a remainder's bias).
    std::uint64_t below(std::uint64_t n);
    bool chance(double p) { return unit() < p; }
    double between(double low, double high) { return low + (high - low) * unit(); }
    double exponential(double mean) { return -mean * std::log1p(-unit()); }
    // Pareto with this tail index, over 0, and least value: heavy-tailed below 2.
    double pareto(double index, double least) { return least * std::pow(1 - unit(), -1 / index); }

private:
    pcg64 engine_;
};

}  // namespace cobaltshift::sim
