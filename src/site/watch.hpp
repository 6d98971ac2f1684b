// What state a site is in, by evidence that is pooled elsewhere: by keepers' leader for the fleet, by a
// forwarder for itself where it hears of none. Entry type: Watch, of one site. Free of I/O.
//
// Invariants: no state is left before its evidence has stood for a stated time, but that people may drain and
// give back at once; a site that was lost is out for `hold` at least, twice as long each time that it is lost
// again soon after its return; nothing is concluded from no evidence at all (too few outcomes): the state
// stays.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "kelplb/balancer.hpp"

namespace cobaltshift::site {

using kelplb::Millis;

enum class State : std::uint8_t {
    whole,
    weakened,   // a part of its servers fails or is gone, or all are slow: it is used, and asked for less
    suspected,  // it looks lost; not long enough yet
    lost,       // its load goes elsewhere
    cut_off,    // alive but apart: serves its own clients, nobody else reaches it
    returning,  // step by step (paced.hpp)
    drained,    // by an operator
};
const char* name_of(State state);
constexpr std::size_t kStates = 7;

struct WatchSettings {
    double lost_share = 0.8;            // of attempts from elsewhere that fail: lost, or cut off
    double weak_share = 0.2;            // that fail, or of servers that are gone: weakened
    double slow_factor = 3;             // answers against usual: weakened (grey)
    double most_silent = 0.2;           // of its forwarders heard of: with fewer, nobody speaks for it
    std::uint64_t least = 20;           // outcomes, to conclude from
    Millis suspect = 300, lose = 1000;  // the evidence stands so long
    Millis recover = 3000;              // good evidence, before it begins to return
    Millis hold = 5000, longest_hold = 300000;  // out at least
    Millis forgive = 300000;                    // whole for so long: the next loss counts as the first
};

// What has been seen of a site lately.
struct Evidence {
    std::uint64_t outside = 0, outside_failed = 0;  // attempts at its servers by forwarders elsewhere
    std::uint64_t inside = 0, inside_failed = 0;    // by its own, as far as they are heard
    double forwarders_heard = 1;                    // of those it usually has
    double servers_listed = 1;                      // of those it usually has
    double slower = 1;                              // its answers against usual
};

class Watch {
public:
    explicit Watch(const WatchSettings& settings = {}) : settings_(settings) {}

    // Returns whether the state has changed.
    bool seen(Millis now, const Evidence& evidence);
    // From where the paced return reports: all of it is back.
    bool returned(Millis now);
    // By people.
    bool drain(Millis now);
    bool give_back(Millis now);

    // Of a predecessor: as it was left, its times begun anew.
    void restore(Millis now, State state, unsigned losses);

    State state() const { return state_; }
    Millis since() const { return since_; }
    Millis held_until() const { return out_since_ + hold_; }  // while it is out
    unsigned losses() const { return losses_; }

private:
    enum class Look { nothing, good, weak, apart, gone };
    Look look(const Evidence& evidence) const;
    Millis hold_after(unsigned losses) const;
    bool turn(Millis now, State state);

    const WatchSettings settings_;
    State state_ = State::whole;
    Millis since_ = 0, look_since_ = 0, out_since_ = 0, hold_ = 0;
    Look look_ = Look::good;
    unsigned losses_ = 0;  // of late
    Millis whole_since_ = 0;
};

}  // namespace cobaltshift::site
