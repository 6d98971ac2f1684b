#include "lab/statistics.hpp"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <cmath>
#include <numeric>

#include "sim/stream.hpp"

namespace cobaltshift::lab {

Interval bootstrap(std::size_t units, const std::function<double(const std::vector<std::size_t>&)>& statistic,
                   double level, std::size_t resamples, std::uint64_t seed) {
    Interval interval;
    if (units == 0) return interval;
    std::vector<std::size_t> all(units);
    std::iota(all.begin(), all.end(), 0);
    interval.value = interval.low = interval.high = statistic(all);
    if (units == 1 || !std::isfinite(interval.value)) return interval;
    interval.known = true;

    sim::Stream lots(seed, "bootstrap");
    std::vector<double> drawn;
    std::vector<std::size_t> some(units);
    for (std::size_t i = 0; i < resamples; ++i) {
        for (auto& unit : some) unit = lots.below(units);
        if (const double value = statistic(some); std::isfinite(value)) drawn.push_back(value);
    }
    if (drawn.empty()) return interval;
    std::sort(drawn.begin(), drawn.end());
    // Bias: how far the sample's own value is from the middle of those drawn; ties count half.
    const auto [first, last] = std::equal_range(drawn.begin(), drawn.end(), interval.value);
    const double below =
        (static_cast<double>(first - drawn.begin()) + static_cast<double>(last - first) / 2) /
        static_cast<double>(drawn.size());
    const boost::math::normal normal;
    const double edge = 0.5 / static_cast<double>(drawn.size());
    const double bias = boost::math::quantile(normal, std::clamp(below, edge, 1 - edge));
    // Acceleration by the jackknife: how the statistic's spread changes with its value.
    std::vector<double> without;
    for (std::size_t left_out = 0; left_out < units; ++left_out) {
        std::vector<std::size_t> rest;
        for (std::size_t unit = 0; unit < units; ++unit)
            if (unit != left_out) rest.push_back(unit);
        without.push_back(statistic(rest));
    }
    const double mean = std::accumulate(without.begin(), without.end(), 0.0) / static_cast<double>(units);
    double squares = 0, cubes = 0;
    for (const double value : without) {
        squares += std::pow(mean - value, 2);
        cubes += std::pow(mean - value, 3);
    }
    const double acceleration = squares > 0 ? cubes / (6 * std::pow(squares, 1.5)) : 0;
    const auto at = [&](double part) {
        const double z = bias + boost::math::quantile(normal, part);
        const double moved = boost::math::cdf(normal, bias + z / (1 - acceleration * z));
        const double place = moved * static_cast<double>(drawn.size() - 1);
        return drawn[static_cast<std::size_t>(std::clamp(place, 0.0, static_cast<double>(drawn.size() - 1)))];
    };
    interval.low = at((1 - level) / 2);
    interval.high = at((1 + level) / 2);
    return interval;
}

Interval part_removed(const std::vector<Pair>& pairs, std::uint64_t seed) {
    return bootstrap(
        pairs.size(),
        [&](const std::vector<std::size_t>& units) {
            double without = 0, with = 0;
            for (const std::size_t unit : units) without += pairs[unit].without, with += pairs[unit].with;
            return 1 - with / without;  // no number where nothing was lost
        },
        0.95, 4000, seed);
}

}  // namespace cobaltshift::lab
