// All that a core of leases knows, as one number: two cores with equal ones behave alike from now on. For the
// explicit-state checker alone, which compares states by it. Times count from `now`.
#pragma once

#include "lease/holder.hpp"
#include "lease/office.hpp"

namespace cobaltshift::check {

struct Describe {
    static std::uint64_t of(const raft::RaftNode& keeper, raft::Millis now);
    static std::uint64_t of(const lease::LeaseServer& office, raft::Millis now);
    static std::uint64_t of(const lease::Holder& holder, raft::Millis now);
    // When the holder handed out the question of this number, if that is its newest about the task.
    static raft::Millis asked_at(const lease::Holder& holder, const std::string& task, std::uint64_t number,
                                 raft::Millis otherwise);
    // The guard "a new leader waits out what its predecessor may have granted", taken out.
    static void forget_waits(lease::LeaseServer& office, raft::Millis now);
};

}  // namespace cobaltshift::check
