// Rights to act: what is asked of keepers, what they answer, and what they keep. Entry types of the package:
// Office (a keeper's whole, office.hpp), Holder (who acts, holder.hpp), Gate (what is acted upon, gate.hpp).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "raft/types.hpp"

namespace cobaltshift::lease {

using raft::Millis;
using HolderId = std::uint64_t;  // of one run of a holder's process, drawn; 0: nobody
// Of one right. Over all tasks they only grow, whatever crashes, as long as a majority keeps its folders.
using Fence = std::uint64_t;

// kMaxWaiters: in all queues together. With names of full length a book still goes into one snapshot.
constexpr std::size_t kMaxName = 128, kMaxTasks = 12000, kMaxQueue = 64, kMaxWaiters = 12000,
                      kMaxQuestionBytes = 4096;
// A few bytes that a task's holder leaves for whoever has it next, and for all who ask: printable, kept by a
// majority before they count.
constexpr std::size_t kMaxNote = 1024, kMaxNotes = 256;
constexpr Millis kShortest = 200, kLongest = 3600000;  // a right's length

struct Question {
    enum class Kind : std::uint8_t {
        want,     // the right, or its renewal; `wait`: or a place in the queue
        release,  // of `fence`; `next`: the name of who waits and is to have it now
        revoke,   // by an operator: the right is not renewed, and ends
        list,     // tasks whose name begins with `task`
        note,     // `text` is left under `fence`, if that is the task's; empty: taken away
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
    std::string text;
};

struct Answer {
    enum class Kind : std::uint8_t {
        held,       // until `length` after the question was sent; `text`: the note left for the task
        queued,     // `place` from 0 on
        refused,    // `by` holds it
        lost,       // what the question speaks of is over
        done,       // released, revoked, noted
        elsewhere,  // ask keeper `place`, if known (else kUnknown)
        full,       // no room for another task, another in the queue, another note
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
    std::uint64_t number = 0;  // of the question that a note came in
};

// What a note may hold: text for people and programs, of one line.
inline bool fit_for_a_note(const std::string& text) {
    if (text.size() > kMaxNote) return false;
    for (const unsigned char c : text)
        if (c < 0x20 || c == 0x7f) return false;
    return true;
}

}  // namespace cobaltshift::lease
