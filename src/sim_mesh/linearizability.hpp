// Whether what operators and readers of a configuration were told can be explained by one configuration that
// changes at single moments, each between a call and its answer (linearizability, Herlihy and Wing 1990).
// Entry type: check_linearizable(). Called by drawn days of the control plane, by tests, and by the lab over
// what real processes answered. Free of I/O.
//
// The search is Wing and Gong's (1993) in the just-in-time form of Lowe (2017): events in their order; a set
// of configurations, each one possible past; at each answer those that can't explain it are dropped. A change
// without a clear answer may have taken effect at any moment after its call, or never.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cobaltshift::simmesh {

struct Operation {
    enum class Kind : std::uint8_t { change, read };
    enum class Answer : std::uint8_t {
        none,     // no clear answer: it may have taken effect, or may yet
        taken,    // of a change: it is in force, or was
        stale,    // of a change: another edition than its base is current (`seen_edition`)
        invalid,  // of a change: it is not, and will not be, in force
        value,    // of a reading: `seen_change`, 0 if nothing was there
    };
    Kind kind = Kind::read;
    double called = 0, returned = 0;  // by one clock; `returned` is not looked at where there is no answer
    std::uint64_t change = 0;  // of a change: which, over 0; the same one sent again has the same number
    std::uint64_t base = 0, edition = 0;  // of a change
    bool valid = true;                    // of a change
    Answer answer = Answer::none;
    std::uint64_t seen_edition = 0, seen_change = 0;
    std::string who;  // for people
};

struct Linearizability {
    bool holds = true;
    std::string why;                 // which answer nothing explains
    std::size_t configurations = 0;  // the most at a time
    bool complete = true;            // false: more than `most_configurations` would have been needed
};

Linearizability check_linearizable(const std::vector<Operation>& history,
                                   std::size_t most_configurations = 20'000);

}  // namespace cobaltshift::simmesh
