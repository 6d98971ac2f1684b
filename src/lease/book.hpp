// Who holds what and who waits: the state machine on the keepers' log. The same operations in the same order
// lead to the same book on every keeper; it knows no time. Lapses are operations too, and their leader
// answers for it that the time is over (office.hpp).
//
// Invariants: a fence is given once, and each is higher than all before it, also of tasks long forgotten; a
// release, lapse, revocation or note under a fence that is not the task's changes nothing. So notes are as
// good as an act upon a target with a gate: none is left by whose right is over, whatever clocks do.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "lease/types.hpp"

namespace cobaltshift::lease {

class Book {
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
        HolderId to = 0;  // who has been granted it, if anybody
        Fence fence = 0;
    };
    Effect apply(const Op& op);

    const std::map<std::string, Task, std::less<>>& tasks() const { return tasks_; }
    const Task* find(std::string_view task) const;
    // Whose question left it tells one that comes late, or twice, from a newer one of the same right.
    struct Note {
        std::string text;
        Fence fence = 0;
        HolderId holder = 0;
        std::uint64_t number = 0;
    };
    const std::map<std::string, Note, std::less<>>& notes() const { return notes_; }
    std::string note(std::string_view task) const;  // empty: none
    Fence last_fence() const { return fence_; }
    // Of all operations ever applied, in their order: equal on keepers that have applied the same.
    std::uint64_t digest() const { return digest_; }

    std::string save() const;
    // False: not a book; it is then empty.
    bool load(std::string_view bytes);

private:
    Effect note(const Op& op);
    Effect grant_next(std::map<std::string, Task, std::less<>>::iterator at);

    std::map<std::string, Task, std::less<>> tasks_;  // those held; a task nobody holds is not kept
    // Kept though nobody holds the task, kMaxNotes of them. One taken away stays as an empty one until its
    // right is over.
    std::map<std::string, Note, std::less<>> notes_;
    std::size_t waiters_ = 0;  // in all queues
    Fence fence_ = 0;
    std::uint64_t digest_ = 0;
};

}  // namespace cobaltshift::lease
