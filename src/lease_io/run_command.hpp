// Runs a command only while a lease is held: `cobaltshift lease run`. Entry: run_command().
//
// The command gets the lease's fencing token in COBALTSHIFT_FENCE and the task's name in COBALTSHIFT_TASK,
// to pass to the resource that it acts on, and the note of the previous holder (`lease note`) in
// COBALTSHIFT_NOTE. It runs in a process group of its own. If the lease can't be renewed, the group gets
// SIGTERM `grace` before the lease's end and SIGKILL at the end. If this process is stopped or killed, a
// guard process sends the SIGKILL. One case remains: if all processes of the machine are stopped together
// past the end, the command may run on until the guard is scheduled; then only the fencing check at the
// resource protects it.
#pragma once

#include <string>
#include <vector>

#include "lease_io/settings.hpp"

namespace cobaltshift::lease {

struct RunCommand {
    // Exit codes of this program besides the command's own (128 + n where signal n ended it).
    static constexpr int kNotHeld = 75, kRightEnded = 76, kCantStart = 127;

    std::string task;
    std::vector<std::string> words;  // the command and its arguments
    Millis length = 30000;
    Millis grace = 2000;      // limited to a third of the length
    bool wait = true;         // join the queue; false: exit at once if another holds the task
    Millis wait_at_most = 0;  // 0: no limit
    std::string name;         // display name of this process; empty: host and process id
    std::string next;         // name of the waiter that gets the task afterwards; empty: the first one
};

// Runs the command to its end and returns the exit code. Throws plan::SecretError.
int run_command(const KeepersSettings& settings, RunCommand command);

}  // namespace cobaltshift::lease
