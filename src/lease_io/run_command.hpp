// A command that runs only while a right is held: `cobaltshift lease run`. Entry: run_command().
//
// The command gets the right's fence in COBALTSHIFT_FENCE and its name in COBALTSHIFT_TASK, to pass on to
// whatever it acts upon, and what its predecessor has left for it (`lease note`) in COBALTSHIFT_NOTE. It is
// in a process group of its own. Where the right can't be renewed the group is asked to end (SIGTERM) `grace`
// before the right's end and killed at it; if this process is stopped or killed itself, a guard process does
// the latter. What remains: all of the machine's processes stopped together past the end, until the guard
// runs again; there only the target's gate refuses.
#pragma once

#include <string>
#include <vector>

#include "lease_io/settings.hpp"

namespace cobaltshift::lease {

struct RunCommand {
    // Exit codes of this program besides the command's own (128 + n where signal n ended it).
    static constexpr int kNotHeld = 75, kRightEnded = 76, kCantStart = 127;

    std::string task;
    std::vector<std::string> words;  // of the command
    Millis length = 30000;
    Millis grace = 2000;      // at most a third of the length
    bool wait = true;         // in the queue; else it is over at once where another holds it
    Millis wait_at_most = 0;  // 0: for ever
    std::string name;         // of this process, for people; empty: host and process id
    std::string next;         // who of those who wait is to have it afterwards; empty: the first
};

// Returns the exit code. Throws plan::SecretError.
int run_command(const KeepersSettings& settings, RunCommand command);

}  // namespace cobaltshift::lease
