// An explicit-state check of the control plane: three members and one that may join, two operators and a
// reader, the shipped cores themselves, every way to go wrong up to a number of deviations. The schedule
// without any is fixed: messages arrive at once and in order, time goes on to the next timer, calls come at
// set times. A deviation is one of: a message lost, late, doubled; a member dead (its disk kept), wiped,
// replaced by an empty one at another address, told to stop (it hands over, then is dead for a while); a
// member cut off, deaf, or mute for a while. All schedules with at most so many are played, at every point
// where one fits (delay-bounded search, Emmi, Qadeer and Rakamaric 2011); a state met before with as many
// left is not gone on from. Free of I/O.
//
// In every state: at most one leader a term; what is applied is applied by all in one order; no committed
// entry is replaced. At the end of every schedule: the history of calls is linearizable.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cobaltshift::simmesh {

struct ControlCheck {
    // What is taken out, to see that the check finds it.
    enum class Safeguard : std::uint8_t {
        none,
        majority_for_readings,       // a leader reads out what it holds
        majority_for_refusals,       // a leader refuses by what it holds
        acknowledged_after_commit,   // a leader acknowledges what it proposes
        lost_disk_is_another_member  // who comes back empty is the member that it was
    };
    unsigned deviations = 1;
    std::uint64_t seed = 1;  // of the members' own random numbers
    Safeguard out = Safeguard::none;
    std::uint64_t most_states = 20'000'000;
};

struct ControlChecked {
    std::uint64_t states = 0, steps = 0, schedules = 0, revisited = 0;
    std::map<std::string, std::uint64_t> struck;  // deviations, by kind
    std::string broken;                           // empty: nothing
    std::vector<std::string> trace;               // that led there
    bool complete = true;                         // false: most_states was not enough
};

ControlChecked check(const ControlCheck& what);
const char* name_of(ControlCheck::Safeguard safeguard);

}  // namespace cobaltshift::simmesh
