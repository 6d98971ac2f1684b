// How sure a figure is: bootstrap intervals, bias-corrected and accelerated (BCa, Efron 1987), over whole
// units (a day, a pair of runs), so that what belongs together is drawn together.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

namespace cobaltshift::lab {

struct Interval {
    double value = 0;          // of the sample itself
    double low = 0, high = 0;  // equal to it where there is nothing to tell them apart
    bool known = false;        // two units or more
};

// `statistic` takes the numbers of the units drawn, each below `units`, some more than once. `level` over 0
// and under 1. The same seed gives the same interval. A statistic that is no number for some draws is left
// out of them.
Interval bootstrap(std::size_t units, const std::function<double(const std::vector<std::size_t>&)>& statistic,
                   double level = 0.95, std::size_t resamples = 4000, std::uint64_t seed = 1);

// Of paired losses: the part of the first that the second is free of, over all pairs together.
struct Pair {
    double without = 0, with = 0;
};
Interval part_removed(const std::vector<Pair>& pairs, std::uint64_t seed = 1);

}  // namespace cobaltshift::lab
