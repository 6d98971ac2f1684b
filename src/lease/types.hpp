// Rights to act: what is asked of keepers, what they answer, and what they keep. Entry types of the package:
// Office (a keeper's whole, office.hpp), Holder (who acts, holder.hpp), Gate (what is acted upon, gate.hpp).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "agree/types.hpp"

namespace cobaltshift::lease {

using agree::Millis;
using HolderId = std::uint64_t;  // of one run of a holder's process, drawn; 0: nobody
// Of one right. Over all tasks they only grow, whatever crashes, as long as a majority keeps its folders.
using Fence = std::uint64_t;

// kMaxWaiters: in all queues together. With names of full length a book still goes into one snapshot.
constexpr std::size_t kMaxName = 128, kMaxTasks = 12000, kMaxQueue = 64, kMaxWaiters = 12000,
                      kMaxQuestionBytes = 1024;
constexpr Millis kShortest = 200, kLongest = 3600000;  // a right's length

struct Question {
    enum class Kind : std::uint8_t {
        want,     // the right, or its renewal; `wait`: or a place in the queue
        release,  // of `fence`; `next`: the name of who waits and is to have it now
        revoke,   // by an operator: the right is not renewed, and ends
        list,     // tasks whose name begins with `task`
    };
    Kind kind = Kind::want;
    HolderId holder = 0;
    std::uint64_t number = 0;  // grows with each question of this holder
    std::string name;          // of the holder, for people
    std::string task;
    Fence fence = 0;
    Millis length = 10000;
    bool wait = false;
    std::string next;
};

struct Answer {
    enum class Kind : std::uint8_t {
        held,       // until `length` after the question was sent
        queued,     // `place` from 0 on
        refused,    // `by` holds it
        lost,       // what the question speaks of is over
        done,       // released, revoked
        elsewhere,  // ask keeper `place`, if known (else kUnknown)
        full,       // no room for another task or another in the queue
        listed,     // `text`
    };
    static constexpr std::uint32_t kUnknown = UINT32_MAX;
    Kind kind = Kind::lost;
    HolderId holder = 0;
    std::uint64_t number = 0;  // the question's
    std::string task;
    Fence fence = 0;
    Millis length = 0;
    std::uint32_t place = kUnknown;
    std::string by, text;
};

// What goes into the log.
struct Op {
    enum class Kind : std::uint8_t { want, release, lapse, revoke, withdraw };
    Kind kind = Kind::want;
    std::string task;
    HolderId holder = 0;
    std::string name;
    Fence fence = 0;
    Millis length = 0;
    bool wait = false;
    std::string next;
};

}  // namespace cobaltshift::lease
