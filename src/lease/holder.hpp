// Client core of the lease service: acquires, renews and releases the leases of one process. Code that acts
// on a task calls right() immediately before each action; it returns nothing from the lease's end less the
// margin on. Entry type: Holder. Does no I/O. Not thread-safe. Times are milliseconds on the caller's
// monotonic clock.
//
// Invariants: a lease counts from when its request was handed out, never from when the response arrived; a
// response to any but the newest request about a task changes nothing; from give_up() on right() returns
// nothing, whether or not the release reaches a replica. A note is known to be stored only once a replica
// has confirmed it; until then it may or may not have been stored.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "lease/types.hpp"
#include "random.hpp"

namespace cobaltshift::check {
struct Describe;  // reads the private state for the explicit-state checker (sim/check)
}

namespace cobaltshift::lease {

struct HolderSettings {
    HolderId id = 0;              // random, new for each run of the process
    std::string name;             // display name
    std::uint32_t keepers = 3;    // number of replicas
    Millis margin = 100;          // a lease is given up this long before its duration is over
    Millis answer = 500;          // response timeout, after which the next replica is tried
    Millis longest_pause = 2000;  // longest back-off between requests while no replica responds
    Millis poll = 2000;           // interval of requests while waiting in a queue
};

class Holder {
public:
    struct Right {
        Fence fence = 0;
        Millis until = 0;  // by this holder's own clock
    };
    // A request to be sent to replica `keeper`.
    struct Ask {
        std::uint32_t keeper = 0;
        Request question;
    };
    enum class State { idle, asking, waiting, held, releasing };

    // `draw` seeds the random number generator.
    Holder(const HolderSettings& settings, std::uint64_t draw);

    // Acquires the task and keeps renewing it until give_up(). `length` (ms) is clamped to its range;
    // `wait`: join the queue if another holds the task.
    void want(Millis now, const std::string& task, Millis length, bool wait);
    // Releases the task; right() returns nothing from now on. `next`: name of the waiter that gets it first,
    // if it is queued.
    void give_up(Millis now, const std::string& task, const std::string& next = "");

    // Stores `text` as the task's note under the lease held now, repeating the request until it is answered
    // or the lease has ended. A later note replaces one that is still pending. False: no lease is held, or
    // `text` is not allowed.
    bool leave_note(Millis now, const std::string& task, const std::string& text);
    // State of the last note. not_left: refused, or the lease ended before a response came; then it may have
    // been stored.
    enum class Note { none, on_its_way, left, not_left };
    Note note_state(const std::string& task) const;
    // The task's note as far as known: received with the grant, or stored by this holder afterwards.
    std::string note(const std::string& task) const;

    void tick(Millis now);
    Millis due() const;  // when tick() must be called next; 1e18: never
    // Handles a response. One that doesn't belong to the newest request about its task is ignored.
    void heard(Millis now, const Response& answer);
    std::vector<Ask> take();  // requests to be sent

    // The lease, if it may still be acted upon at `now`.
    std::optional<Right> right(Millis now, const std::string& task) const;
    State state(const std::string& task) const;
    // The last response about the task, for display; null: the task is unknown.
    const Response* last(const std::string& task) const;

    struct Counts {
        std::uint64_t questions = 0, unanswered = 0, gained = 0, renewed = 0, lost = 0, ended = 0, noted = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    friend struct check::Describe;
    struct Wanted {
        Millis length = 0;
        bool wait = false, releasing = false, outstanding = false;
        std::string next;
        Right right;           // expired if until <= now
        bool counted = false;  // in `gained`, for this fencing token
        std::uint64_t number = 0;
        Millis asked_at = 0, due = 0, pause = 0, release_until = 0;
        Response last;
        bool queued = false;
        std::string note;  // known to be stored
    };
    struct PendingNote {
        Note state = Note::none;
        Fence fence = 0;
        std::string text;
        std::uint64_t number = 0;
        Millis due = 0;
    };
    void tick_note(Millis now, const std::string& task, PendingNote& noting);
    void on_note_answer(Millis now, const Response& answer, PendingNote& noting);
    void ask(Millis now, const std::string& task, Wanted& one);

    HolderSettings settings_;
    kelplb::Random random_;
    std::uint32_t keeper_;  // replica believed to be the leader
    std::uint64_t next_number_ = 1;
    std::map<std::string, Wanted> wanted_;
    std::map<std::string, PendingNote> notes_;
    std::vector<Ask> out_;
    Counts counts_;
};

}  // namespace cobaltshift::lease
