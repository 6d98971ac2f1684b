// Bootstrap intervals: known cases, samples with nothing in them, and whether they hold what they say.
#include "lab/statistics.hpp"

#include <gtest/gtest.h>

#include <cmath>

#include "sim/stream.hpp"

namespace cobaltshift::lab {
namespace {

Interval of_mean(const std::vector<double>& sample, std::uint64_t seed = 1, std::size_t resamples = 1000) {
    return bootstrap(
        sample.size(),
        [&](const std::vector<std::size_t>& units) {
            double sum = 0;
            for (const std::size_t unit : units) sum += sample[unit];
            return sum / static_cast<double>(units.size());
        },
        0.95, resamples, seed);
}

TEST(Bootstrap, SaysNothingOfNothingOfOneAndOfNoNumber) {
    EXPECT_FALSE(of_mean({}).known);
    EXPECT_FALSE(of_mean({3}).known);
    EXPECT_EQ(of_mean({3}).value, 3);
    EXPECT_FALSE(of_mean({3, std::nan("")}).known);
    const Interval same = of_mean({5, 5, 5, 5});
    EXPECT_TRUE(same.known);
    EXPECT_EQ(same.low, 5);
    EXPECT_EQ(same.high, 5);
    EXPECT_FALSE(part_removed({}).known);
    EXPECT_FALSE(part_removed({{0, 0}, {0, 0}}).known) << "nothing was lost";
    // One pair without loss must not spoil the others.
    const Interval some = part_removed({{0, 0}, {10, 5}, {20, 11}, {30, 14}});
    EXPECT_NEAR(some.value, 0.5, 1e-9);
    EXPECT_GT(some.low, 0.4);
    EXPECT_LT(some.high, 0.6);
}

TEST(Bootstrap, IsTheSameForOneSeed) {
    const std::vector<double> sample{1, 4, 2, 8, 5, 7};
    EXPECT_EQ(of_mean(sample, 3).low, of_mean(sample, 3).low);
    EXPECT_NE(of_mean(sample, 3).low, of_mean(sample, 4).low);
}

// 400 samples of 30 exponential draws each: the mean is within the interval about as often as it says. Skewed
// enough that an interval without the corrections does worse.
TEST(Bootstrap, HoldsTheTruthAboutAsOftenAsItSays) {
    sim::Stream lots(11, "samples");
    int held = 0;
    for (int i = 0; i < 400; ++i) {
        std::vector<double> sample(30);
        for (double& value : sample) value = lots.exponential(10);
        const Interval interval = of_mean(sample, static_cast<std::uint64_t>(i), 500);
        held += interval.low <= 10 && 10 <= interval.high;
        EXPECT_LE(interval.low, interval.value);
        EXPECT_GE(interval.high, interval.value);
    }
    EXPECT_GE(held, 360);
    EXPECT_LE(held, 395);
}

}  // namespace
}  // namespace cobaltshift::lab
