// Durations to three significant digits, in bounded memory: Boost.Histogram with a log axis from 1 us to
// 1,000 s, bins 0.1 % wide, counts that widen themselves as they need (unlimited_storage). Merged and kept as
// the bins that are not empty.
#pragma once

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdint>
#include <utility>
#include <vector>

namespace cobaltshift::lab {

class Histogram {
public:
    Histogram()
        : bins_(boost::histogram::make_histogram_with(boost::histogram::unlimited_storage<>(), axis())) {}

    // In ms. Those out of range count in the first or last bin: a count is never lost.
    void add(double ms, double count = 1) {
        at_bin(bin_of(ms), count);
        total_ += count;
        least_ = std::min(least_, ms), most_ = std::max(most_, ms);
    }
    void merge(const Histogram& other) {
        // Bin by bin: in Boost 1.74's own += GCC 12 sees an index that is not set, with -O1 and sanitizers.
        for (int i = 0; i < kBins; ++i)
            if (const double n = other.bins_.at(i); n > 0) at_bin(i, n);
        total_ += other.total_;
        least_ = std::min(least_, other.least_), most_ = std::max(most_, other.most_);
    }
    double count() const { return total_; }
    // The middle of the bin in which the p-th part of all (0 to 1) lies; 0 of none. The two ends are exact.
    double percentile(double p) const {
        if (total_ <= 0) return 0;
        if (p >= 1) return most_;
        const double rank = std::max(1.0, std::ceil(p * total_));
        double seen = 0;
        for (int i = 0; i < kBins; ++i)
            if ((seen += bins_.at(i)) >= rank) return std::clamp(middle(i), least_, most_);
        return most_;
    }
    // Of all, how much is at most so long.
    double share_within(double ms) const {
        if (total_ <= 0) return 1;
        double seen = 0;
        for (int i = 0, last = bin_of(ms); i <= last; ++i) seen += bins_.at(i);
        return seen / total_;
    }
    // Bin and count, of those that are not empty, and back. A bin out of range is left out: false.
    std::vector<std::pair<int, double>> sparse() const {
        std::vector<std::pair<int, double>> all;
        for (int i = 0; i < kBins; ++i)
            if (const double n = bins_.at(i); n > 0) all.emplace_back(i, n);
        return all;
    }
    bool add_bin(int bin, double count) {
        if (bin < 0 || bin >= kBins || !(count > 0) || !(count < 1e15)) return false;
        add(middle(bin), std::floor(count));
        return true;
    }

private:
    static constexpr int kBins = 20734;  // ln(1e9) / ln(1.001)
    static constexpr double kLeast = 0.001, kMost = 1e6;
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    static Axis axis() { return Axis(kBins, kLeast, kMost); }
    static int bin_of(double ms) {
        static const Axis bins = axis();
        return std::clamp(bins.index(ms > 0 ? ms : kLeast), 0, kBins - 1);
    }
    static double middle(int bin) {
        static const Axis bins = axis();
        return std::sqrt(bins.bin(bin).lower() * bins.bin(bin).upper());
    }
    void at_bin(int bin, double count) { bins_.at(bin) += count; }

    boost::histogram::histogram<std::tuple<Axis>, boost::histogram::unlimited_storage<>> bins_;
    double total_ = 0, least_ = 1e300, most_ = 0;
};

}  // namespace cobaltshift::lab
