// How the load of a site comes back: by steps of a part, each earned by success and time, one taken back
// where its servers can't bear it. Led by one process under a right (src/lease); what it has come to is left
// as the right's note, and whoever leads next goes on from there. Entry type: Paced. Free of I/O.
//
// Invariants: the part never rises by more than one step at a time, nor before the step's time is over and
// enough outcomes have come under it, nor on outcomes of an earlier step; who takes over begins the step that
// was noted anew; a step that was taken back takes twice as long the next time, up to a bound.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kelplb/balancer.hpp"

namespace cobaltshift::site {

using kelplb::Millis;

struct PacedSettings {
    std::vector<double> steps{0.05, 0.1, 0.2,
                              0.4,  0.7, 1};  // parts of the site's load; ascending, the last is 1
    Millis hold = 5000;                       // of each step, at least
    double good = 0.95;                       // share of successes that earns the next
    double bad = 0.8;                         // under which the step is taken back
    std::uint64_t least = 50;                 // outcomes, to conclude from
    unsigned longest = 8;                     // times the hold
};
// What makes no sense of it; empty: nothing.
std::string complaint(const PacedSettings& settings);

class Paced {
public:
    explicit Paced(const PacedSettings& settings) : settings_(settings) {}

    void begin(Millis now);
    // Where a predecessor has come to; false: no such step, and begin() is what is left.
    bool resume(Millis now, std::size_t step, unsigned slower);

    // The present step is known to others only from now on: its time counts from here.
    void known(Millis now) { since_ = now; }
    // Outcomes at its servers since the last call, of attempts that began under the present step.
    void seen(std::uint64_t all, std::uint64_t good);
    enum class Turn { none, forth, back, done };
    Turn tick(Millis now);

    std::size_t step() const { return step_; }
    double part() const { return settings_.steps[step_]; }
    bool done() const { return done_; }
    unsigned slower() const { return slower_; }

    // From the first step to all, if nothing goes wrong.
    static Millis least_time(const PacedSettings& settings);

private:
    void enter(Millis now, std::size_t step);

    const PacedSettings settings_;
    std::size_t step_ = 0;
    Millis since_ = 0;
    std::uint64_t all_ = 0, good_ = 0;
    unsigned slower_ = 1;
    bool done_ = false;
};

}  // namespace cobaltshift::site
