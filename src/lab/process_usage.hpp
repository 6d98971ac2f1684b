// What a process holds, as the operating system tells. Used by the soak and by the tests that start the
// programs.
#pragma once

#include <sys/types.h>

#include <algorithm>
#include <cstddef>
#include <string>

namespace cobaltshift::lab {

struct ProcessUsage {
    double memory_mb = 0;  // resident, and received by the kernel but not read by the process
    std::size_t descriptors = 0;

    void raise_to(const ProcessUsage& other) {
        memory_mb = std::max(memory_mb, other.memory_mb);
        descriptors = std::max(descriptors, other.descriptors);
    }
};

// Whether the process runs the program with that file name. One that was just started is a copy of this
// process until it does, with what this one holds.
bool runs_program(pid_t pid, const std::string& program);

// Of the process `pid`, whose connections are those of the address `ip`. Its memory is at least the most that
// was resident since its start. Zeros if there is no such process.
ProcessUsage usage_of(pid_t pid, const std::string& ip);

}  // namespace cobaltshift::lab
