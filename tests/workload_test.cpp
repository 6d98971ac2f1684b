// Arrivals, sizes and clients hold what their laws say, whatever the law; and the histogram that measures
// them.
#include "sim/workload.hpp"

#include <gtest/gtest.h>

#include <cmath>

#include "lab/histogram.hpp"

namespace cobaltshift::sim {
namespace {

std::vector<Millis> drawn(const Workload& what, double rate, Millis until, std::uint64_t seed = 1) {
    Arrivals arrivals(what, rate, Stream(seed, "moments"), Stream(seed, "bursts"));
    std::vector<Millis> all;
    for (Millis at; (at = arrivals.next()) < until;) all.push_back(at);
    return all;
}

TEST(Workload, EveryLawKeepsTheRateAskedFor) {
    for (const auto law :
         {Workload::Law::poisson, Workload::Law::even, Workload::Law::bursts, Workload::Law::daily}) {
        Workload what;
        what.law = law;
        const auto all = drawn(what, 0.4, 3e6);
        EXPECT_TRUE(std::is_sorted(all.begin(), all.end()));
        EXPECT_NEAR(static_cast<double>(all.size()), 1.2e6, law == Workload::Law::bursts ? 40000 : 6000)
            << static_cast<int>(law);
        EXPECT_EQ(all, drawn(what, 0.4, 3e6));
    }
}

// Counts in windows of 100 ms: as unlike one another as the law says (variance over mean).
TEST(Workload, BurstsAreBurstsAndEvenIsEven) {
    const auto unevenness = [](Workload::Law law) {
        Workload what;
        what.law = law;
        std::vector<double> counts(10000);
        for (const Millis at : drawn(what, 0.4, 1e6)) ++counts[static_cast<std::size_t>(at / 100)];
        double mean = 0, squares = 0;
        for (const double n : counts) mean += n / 10000;
        for (const double n : counts) squares += (n - mean) * (n - mean) / 10000;
        return squares / mean;
    };
    EXPECT_LT(unevenness(Workload::Law::even), 0.1);
    EXPECT_NEAR(unevenness(Workload::Law::poisson), 1, 0.1);
    EXPECT_GT(unevenness(Workload::Law::bursts), 10);
}

TEST(Workload, SizesKeepTheirMeanAndTheirTail) {
    for (const auto sizes : {Workload::Sizes::exponential, Workload::Sizes::fixed, Workload::Sizes::pareto})
        for (const double index : {1.2, 1.5, 3.0}) {
            Workload what;
            what.sizes = sizes, what.tail_index = index;
            Stream lots(3, "sizes");
            double sum = 0, most = 0;
            for (int i = 0; i < 400000; ++i) {
                const double size = what.size(lots, 20);
                sum += size, most = std::max(most, size);
            }
            EXPECT_NEAR(sum / 400000, 20, 0.6) << static_cast<int>(sizes) << " " << index;
            EXPECT_LE(most, 2000);
            const bool heavy = sizes == Workload::Sizes::pareto && index < 2;
            EXPECT_EQ(most > 1500, heavy);
        }
}

TEST(Workload, ZipfsFirstAsksMostAndNoneIsOutOfRange) {
    const Zipf zipf(1000, 1);
    Stream lots(1, "zipf");
    std::vector<int> counts(1000);
    for (int i = 0; i < 100000; ++i) ++counts.at(zipf.draw(lots));
    EXPECT_NEAR(counts[0], 100000 / 7.485, 600);  // the 1000th harmonic number
    EXPECT_NEAR(counts[9], counts[0] / 10.0, 150);
}

TEST(Histogram, KeepsThreeDigitsOverNineDecadesAndLosesNoCount) {
    lab::Histogram all;
    EXPECT_EQ(all.percentile(0.5), 0);
    EXPECT_EQ(all.count(), 0);
    for (double ms = 0.002; ms < 9e5; ms *= 7.3) {
        lab::Histogram one;
        one.add(ms);
        EXPECT_EQ(one.percentile(0.5), ms) << "one value is known as it is";
        one.add(ms * 3), one.add(ms * 3);
        EXPECT_NEAR(one.percentile(0.3), ms, ms * 0.0006);
        EXPECT_EQ(one.percentile(1), ms * 3);
        all.merge(one);
    }
    all.add(-1), all.add(0), all.add(1e9), all.add(std::nan(""));
    double kept = 0;
    for (const auto& [bin, count] : all.sparse()) kept += count;
    EXPECT_EQ(kept, all.count());
    lab::Histogram back;
    for (const auto& [bin, count] : all.sparse()) EXPECT_TRUE(back.add_bin(bin, count));
    EXPECT_EQ(back.sparse(), all.sparse());
    EXPECT_FALSE(back.add_bin(-1, 1));
    EXPECT_FALSE(back.add_bin(20734, 1));
    EXPECT_FALSE(back.add_bin(5, std::nan("")));
    EXPECT_FALSE(back.add_bin(5, 1e300));
}

TEST(Histogram, TenMillionAreAsGoodAsOne) {
    lab::Histogram h;
    for (int i = 1; i <= 1000; ++i) h.add(i, 10000);
    EXPECT_EQ(h.count(), 1e7);
    EXPECT_NEAR(h.percentile(0.5), 500, 0.5);
    EXPECT_NEAR(h.percentile(0.999), 999, 1);
    EXPECT_NEAR(h.share_within(200), 0.2, 0.001);
}

}  // namespace
}  // namespace cobaltshift::sim
