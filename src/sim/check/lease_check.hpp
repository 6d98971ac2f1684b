// An explicit-state check of leases: three keepers and two holders, the cores themselves, every way to go
// wrong up to a number of deviations. The schedule without any is fixed: messages arrive at once, in order,
// and time goes on to the next timer. A deviation is one of: a message lost, doubled, late; a keeper dead
// (its disk kept) and back; a keeper cut off, from all or from keepers only; a holder cut off; a holder
// stopped in the middle of an act. All schedules with at most so many are played, at every point where one
// fits (delay-bounded search, after Emmi, Qadeer and Rakamaric 2011); a state met before with as many left is
// not gone on from. Free of I/O.
//
// In every state: at most one holder is inside its right, by true time; what the gate lets pass comes under
// fences that never fall; at most one leader a term; what is applied is applied by all in one order.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cobaltshift::check {

struct LeaseCheck {
    unsigned deviations = 1;
    std::uint64_t seed = 1;   // of the cores' own lots: elections, pauses
    bool from_start = false;  // from before the first election, else from a held right with one who waits
    std::uint64_t most_states = 50'000'000;
    // Guards taken out: all must be found.
    enum class Guard {
        none,
        vote_not_written,
        no_drift,
        no_wait_of_a_new_leader,
        no_gate,
        right_from_answer
    };
    Guard out = Guard::none;
};

struct LeaseChecked {
    std::uint64_t states = 0, steps = 0, schedules = 0, revisited = 0;
    std::map<std::string, std::uint64_t> struck;  // deviations, by kind
    std::uint64_t stale_refused = 0;
    std::string broken;              // empty: nothing
    std::vector<std::string> trace;  // that led there
    bool whole = true;               // false: most_states was not enough
};

LeaseChecked check(const LeaseCheck& what);

const char* name_of(LeaseCheck::Guard guard);

}  // namespace cobaltshift::check
