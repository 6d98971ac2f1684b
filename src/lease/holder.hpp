// Who acts: the rights of one process, asked for, renewed ahead of their end, and given back. Whoever is to
// act asks right() just before; it never says yes past the end less the margin. Entry type: Holder; free of
// I/O.
//
// Invariants: a right counts from when the question was handed out that its answer belongs to, never from
// when the answer came; an answer to any other question than the newest about the task changes nothing; what
// is given up is not acted upon from that moment on, whatever becomes of the message that says so. A note is
// known to be left only once a keeper has said so; until then it may have been, or not.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "lease/types.hpp"
#include "random.hpp"

namespace cobaltshift::check {
struct Describe;  // of the explicit-state checker (sim/check): reads all that a core knows
}

namespace cobaltshift::lease {

struct HolderSettings {
    HolderId id = 0;   // drawn for each run of the process
    std::string name;  // for people
    std::uint32_t keepers = 3;
    Millis margin = 100;          // a right ends so long before its length is over
    Millis answer = 500;          // without an answer so long, another keeper is asked
    Millis longest_pause = 2000;  // between questions while nobody answers
    Millis poll = 2000;           // of who waits in a queue
};

class Holder {
public:
    struct Right {
        Fence fence = 0;
        Millis until = 0;  // by this holder's own clock
    };
    struct Ask {
        std::uint32_t keeper = 0;
        Question question;
    };
    enum class State { idle, asking, waiting, held, releasing };

    Holder(const HolderSettings& settings, std::uint64_t draw);

    // Wants the task from now on, until give_up(). `length` within its range; `wait`: stands in the queue.
    void want(Millis now, const std::string& task, Millis length, bool wait);
    // Not acted upon from now on. `next`: who of those who wait is to have it.
    void give_up(Millis now, const std::string& task, const std::string& next = "");

    // Leaves `text` (fit_for_a_note()) for the task, under the right held now; asked again until it is
    // answered or the right is over. A later one takes the place of one still on its way. False: no right.
    bool leave_note(Millis now, const std::string& task, const std::string& text);
    enum class Note { none, on_its_way, left, not_left };  // of the last one; not_left: nobody may know
    Note note_state(const std::string& task) const;
    // What is left for the task, as far as is known: as given with the right, or by this holder since.
    std::string note(const std::string& task) const;

    void tick(Millis now);
    Millis due() const;
    // Whatever does not belong to the newest question about its task is dropped.
    void heard(Millis now, const Answer& answer);
    std::vector<Ask> take();  // questions to be sent

    std::optional<Right> right(Millis now, const std::string& task) const;
    State state(const std::string& task) const;
    // The last answer about it, for people.
    const Answer* last(const std::string& task) const;

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
        Right right;           // until <= now: none
        bool counted = false;  // in `gained`, for this fence
        std::uint64_t number = 0;
        Millis asked_at = 0, due = 0, pause = 0, release_until = 0;
        Answer last;
        bool queued = false;
        std::string note;  // known to be left
    };
    struct Noting {
        Note state = Note::none;
        Fence fence = 0;
        std::string text;
        std::uint64_t number = 0;
        Millis due = 0;
    };
    void tick_note(Millis now, const std::string& task, Noting& noting);
    void heard_note(Millis now, const Answer& answer, Noting& noting);
    void ask(Millis now, const std::string& task, Wanted& one);

    HolderSettings settings_;
    kelplb::Random lots_;
    std::uint32_t keeper_;  // believed to lead
    std::uint64_t next_number_ = 1;
    std::map<std::string, Wanted> wanted_;
    std::map<std::string, Noting> notes_;
    std::vector<Ask> out_;
    Counts counts_;
};

}  // namespace cobaltshift::lease
