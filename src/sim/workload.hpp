// What clients ask, and when: arrivals by a law, sizes by a law, clients unlike one another, classes. Drawn
// from streams alone, the same for the world and for load on sockets. Entry types: Workload (as a case sets
// it) and Arrivals.
#pragma once

#include <vector>

#include "sim/case.hpp"
#include "sim/stream.hpp"

namespace cobaltshift::sim {

struct Workload {
    enum class Law { poisson, even, bursts, daily };
    enum class Sizes { exponential, fixed, pareto };
    Workload() = default;
    explicit Workload(const Case& day);  // from `arrivals.*`, `sizes.*`, `clients.*`, `client.*`, `class.*`

    Law law = Law::poisson;
    // Bursts: begin on average this far apart (at least twice their length), last so long, and bring so many
    // times what comes between them. The mean over all stays as asked for.
    Millis burst_every = 5000, burst_length = 500;
    double burst_multiple = 5;
    // Daily: a sine round the mean, `depth` (0 to 1) of it up and down.
    Millis day_length = 60000;
    double depth = 0.5;
    Sizes sizes = Sizes::exponential;
    double tail_index = 1.5;  // of Pareto's law, over 1; sizes are cut at 100 times the mean
    std::size_t clients = 0;  // 0: no clients of their own, forwarders' parts by `skew`
    double zipf = 1;          // the n-th client asks n^-zipf times as often as the first
    Millis aim = 200, patience = 1000;
    double safe = 0.8, once = 0.1, keyed = 0.1;  // shares of the classes

    // A size with this mean.
    double size(Stream& lots, double mean) const;
};

// Moments of arrival, one after another. Those that vary in rate are thinned from a Poisson process at the
// greatest rate (Lewis and Shedler 1979), so that they are exact whatever the rate does between two of them.
class Arrivals {
public:
    // `rate` a millisecond, over 0. The streams are its own.
    Arrivals(const Workload& what, double rate, Stream moments, Stream bursts);
    // The next one after the last; the first is after time 0.
    Millis next();
    double rate_at(Millis t);  // t never before one asked for earlier

private:
    Workload what_;
    double rate_, base_, greatest_;
    Stream moments_, bursts_;
    Millis at_ = 0, burst_from_ = 0, burst_until_ = 0;
};

// One of n, the i-th with weight (i + 1)^-exponent.
class Zipf {
public:
    Zipf(std::size_t n, double exponent);
    std::size_t draw(Stream& lots) const;

private:
    std::vector<double> sums_;
};

// How unlike n forwarders are in their parts of the load, by `skew` from 0 (alike): a heavy tail, cut so that
// none has it all.
std::vector<double> unlike_parts(Stream& lots, std::size_t n, double skew);

}  // namespace cobaltshift::sim
