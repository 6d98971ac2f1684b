#include "sim/workload.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace cobaltshift::sim {

Workload::Workload(const Case& day) {
    law = static_cast<Law>(day.count("arrivals.law", 0));
    sizes = static_cast<Sizes>(day.count("sizes.law", 0));
    clients = day.count("clients", 0);
    const auto set = [&](const char* name, double& value) { value = day.get(name, value); };
    set("arrivals.burst_every_ms", burst_every), set("arrivals.burst_length_ms", burst_length);
    set("arrivals.burst_multiple", burst_multiple);
    set("arrivals.day_ms", day_length), set("arrivals.depth", depth);
    set("sizes.tail_index", tail_index), set("clients.zipf", zipf);
    set("client.aim_ms", aim), set("client.patience_ms", patience);
    set("class.safe", safe), set("class.once", once), set("class.keyed", keyed);
}

double Workload::size(Stream& lots, double mean) const {
    switch (sizes) {
        case Sizes::exponential:
            return lots.exponential(mean);
        case Sizes::fixed:
            return mean;
        case Sizes::pareto:
            break;
    }
    // The cut takes from the mean what the least value gives back: bounded Pareto's mean, for index over 1.
    const double a = tail_index, ratio = std::pow(0.01 * (a - 1) / a, a - 1);
    const double least = mean * (a - 1) / a / (1 - ratio / a);
    return std::min(100 * mean, lots.pareto(a, least));
}

Arrivals::Arrivals(const Workload& what, double rate, Stream moments, Stream bursts)
    : what_(what), rate_(rate), base_(rate), greatest_(rate), moments_(moments), bursts_(bursts) {
    if (what_.law == Workload::Law::bursts) {
        what_.burst_every = std::max(what_.burst_every, 2 * what_.burst_length);
        base_ = rate / (1 + (what_.burst_multiple - 1) * what_.burst_length / what_.burst_every);
        greatest_ = base_ * std::max(1.0, what_.burst_multiple);
    } else if (what_.law == Workload::Law::daily) {
        greatest_ = rate * (1 + what_.depth);
    }
}

double Arrivals::rate_at(Millis t) {
    if (what_.law == Workload::Law::daily)
        return rate_ * (1 + what_.depth * std::sin(2 * std::numbers::pi * t / what_.day_length));
    if (what_.law != Workload::Law::bursts) return rate_;
    while (t >= burst_until_) {
        burst_from_ = burst_until_ + bursts_.exponential(what_.burst_every - what_.burst_length);
        burst_until_ = burst_from_ + what_.burst_length;
    }
    return t >= burst_from_ ? base_ * what_.burst_multiple : base_;
}

Millis Arrivals::next() {
    if (what_.law == Workload::Law::even) return at_ += 1 / rate_;
    do at_ += moments_.exponential(1 / greatest_);
    while (what_.law != Workload::Law::poisson && moments_.unit() * greatest_ >= rate_at(at_));
    return at_;
}

Zipf::Zipf(std::size_t n, double exponent) {
    double sum = 0;
    for (std::size_t i = 0; i < n; ++i)
        sums_.push_back(sum += std::pow(static_cast<double>(i + 1), -exponent));
}

std::size_t Zipf::draw(Stream& lots) const {
    const double lot = lots.unit() * sums_.back();
    const auto at = std::upper_bound(sums_.begin(), sums_.end(), lot);
    return std::min(static_cast<std::size_t>(at - sums_.begin()), sums_.size() - 1);
}

std::vector<double> unlike_parts(Stream& lots, std::size_t n, double skew) {
    std::vector<double> parts;
    for (std::size_t i = 0; i < n; ++i)
        parts.push_back(std::min(8.0, std::pow(1 - lots.unit(), -0.5 * skew)));
    return parts;
}

}  // namespace cobaltshift::sim
