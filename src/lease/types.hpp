// Requests, responses and log operations of the replicated lease service. A lease gives one holder the
// exclusive right to act on a named task for a limited time. Entry types of the package: LeaseServer (the
// server core of each replica, office.hpp), Holder (the client core, holder.hpp) and Gate (checks fencing
// tokens at the resource that holders act on, gate.hpp).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "raft/types.hpp"

namespace cobaltshift::lease {

using raft::Millis;
// Random id of one incarnation of a holder's process; 0 means none.
using HolderId = std::uint64_t;
// Fencing token of one lease. Tokens increase strictly over all tasks, across any crashes, as long as a
// majority of the replicas keeps its data directories.
using Fence = std::uint64_t;

// Limits of the replicated state; kMaxWaiters counts all queues together. A state at these limits with names
// of full length still fits into one snapshot.
constexpr std::size_t kMaxName = 128, kMaxTasks = 12000, kMaxQueue = 64, kMaxWaiters = 12000,
                      kMaxQuestionBytes = 4096;
// A note is a short printable text that a task's holder stores for the next holder and for anyone who lists
// the task. It takes effect once a majority has persisted it. kMaxNote: size of one note in bytes;
// kMaxNotes: notes of all tasks together.
constexpr std::size_t kMaxNote = 1024, kMaxNotes = 256;
constexpr Millis kMinLeaseLength = 200, kMaxLeaseLength = 3600000;  // limits of a lease's duration, ms

// A request to a replica. Only the leader serves it.
struct Request {
    enum class Kind : std::uint8_t {
        want,     // acquire or renew the lease; with `wait`, join the queue if another holds it
        release,  // end the lease `fence`; `next`: name of the waiter that gets it first, if any
        revoke,   // by an operator: the lease is not renewed any more and runs out
        list,     // tasks whose names start with `task`
        note,     // store `text`, if `fence` is the task's current one; an empty text removes the note
    };
    Kind kind = Kind::want;
    HolderId holder = 0;
    std::uint64_t number = 0;  // request number, increases with each request of this holder
    std::string name;          // display name of the holder
    std::string task;
    Fence fence = 0;
    Millis length = 10000;
    bool wait = false;
    std::string next;
    std::string text;
};

// A replica's response to one request.
struct Response {
    enum class Kind : std::uint8_t {
        held,        // until `length` after the request was sent; `text`: the task's note
        queued,      // at position `place`, counted from 0
        refused,     // the task is held by `by`
        lost,        // the lease that the request refers to has ended
        done,        // the release, revocation or note has been committed
        not_leader,  // not the leader; `place`: number of the leader, or kUnknown
        full,        // the limit of tasks, waiters or notes is reached
        listed,      // `text`: one line per task
    };
    static constexpr std::uint32_t kUnknown = UINT32_MAX;
    Kind kind = Kind::lost;
    HolderId holder = 0;
    std::uint64_t number = 0;  // request number, echoed
    std::string task;
    Fence fence = 0;
    Millis length = 0;
    std::uint32_t place = kUnknown;
    std::string by, text;
};

// An operation of the replicated state machine, stored in the Raft log.
struct Op {
    enum class Kind : std::uint8_t { want, release, lapse, revoke, withdraw, note };
    Kind kind = Kind::want;
    std::string task;
    HolderId holder = 0;
    std::string name;
    Fence fence = 0;
    Millis length = 0;
    bool wait = false;
    std::string next;
    std::string text;
    std::uint64_t number = 0;  // request number of a note
};

// Whether `text` is allowed as a note: at most kMaxNote bytes on one line, without control characters.
inline bool is_valid_note(const std::string& text) {
    if (text.size() > kMaxNote) return false;
    for (const unsigned char c : text)
        if (c < 0x20 || c == 0x7f) return false;
    return true;
}

}  // namespace cobaltshift::lease
