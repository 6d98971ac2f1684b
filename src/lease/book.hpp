// The replicated state machine: holders, waiting queues and notes of all tasks. Applying the same operations
// in the same order gives the same state on every replica; it contains no clock. Expiry is an operation too,
// and the leader that proposes it guarantees that the lease's time has passed (office.hpp).
//
// Invariants: each fencing token is granted once and is higher than all before it, including those of
// removed tasks; a release, expiry, revocation or note under a token that is not the task's current one has
// no effect. Notes are thereby fenced like actions on a resource behind a Gate: a holder whose lease has
// ended can't store one, whatever the clocks do.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "lease/types.hpp"

namespace cobaltshift::lease {

// Entry type: LeaseTable. Not thread-safe.
class LeaseTable {
public:
    struct Waiter {
        HolderId holder = 0;
        std::string name;
        Millis length = 0;
    };
    struct Task {
        HolderId holder = 0;
        std::string name;
        Fence fence = 0;
        Millis length = 0;
        bool revoked = false;
        std::deque<Waiter> queue;
    };
    enum class Outcome { granted, queued, refused, full, ended, noted, nothing };
    struct Effect {
        Outcome outcome = Outcome::nothing;
        HolderId to = 0;  // the new holder, if the task was granted
        Fence fence = 0;
    };
    // Applies one committed operation. An operation that doesn't match the current state has no effect.
    Effect apply(const Op& op);

    const std::map<std::string, Task, std::less<>>& tasks() const { return tasks_; }
    // Null: nobody holds the task. Valid until the next apply() or load().
    const Task* find(std::string_view task) const;
    // `holder` and `number` identify the request that stored the note, so that a delayed or repeated request
    // can be distinguished from a newer one under the same lease.
    struct Note {
        std::string text;
        Fence fence = 0;
        HolderId holder = 0;
        std::uint64_t number = 0;
    };
    const std::map<std::string, Note, std::less<>>& notes() const { return notes_; }
    std::string note(std::string_view task) const;  // empty if there is none
    Fence last_fence() const { return fence_; }
    // Hash chain over all operations applied so far: equal on replicas that have applied the same log.
    std::uint64_t digest() const { return digest_; }

    // Serializes the state for a snapshot.
    std::string save() const;
    // Replaces the state by a snapshot's. False: the bytes can't be decoded, and the state is empty.
    bool load(std::string_view bytes);

private:
    Effect note(const Op& op);
    Effect grant_next(std::map<std::string, Task, std::less<>>::iterator at);

    std::map<std::string, Task, std::less<>> tasks_;  // only tasks that are held
    // Notes outlive the lease; at most kMaxNotes. A removed note stays as an empty one until its lease has
    // ended, so that a delayed request under the same lease can't restore it.
    std::map<std::string, Note, std::less<>> notes_;
    std::size_t waiters_ = 0;  // in all queues
    Fence fence_ = 0;
    std::uint64_t digest_ = 0;
};

}  // namespace cobaltshift::lease
