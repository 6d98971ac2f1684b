// A keeper's whole: the agreement, the book that it leads to, and, while this keeper leads, who asks and
// whose time is over. Entry type of a keeper's process (keeper_io) and of its model in the world; free of
// I/O.
//
// Why no two holders act at once, and no clock is compared with another's: a holder counts its right from
// before it asked. The leader counts from after a majority has answered that it still led after it was asked,
// and lets the right lapse only once `wait_for(length)` has passed on its own steady clock: the length,
// stretched by the drift that either clock may have. A new leader knows of no renewal its predecessor
// confirmed, so it counts anew from when it has committed an entry of its own: later than any majority's word
// to the predecessor. A renewal writes nothing: it rides on the next round of heartbeats, together with all
// others that wait.
//
// Invariants: a lapse is proposed only after that wait, and a right whose lapse is on its way is not renewed;
// an answer `held` leaves only after a majority's word (renewals) or after its grant is committed.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "lease/book.hpp"
#include "raft/raft_node.hpp"

namespace cobaltshift::check {
struct Describe;  // of the explicit-state checker (sim/check): reads all that a core knows
}

namespace cobaltshift::lease {

struct OfficeSettings {
    raft::Settings agree;
    double drift = 0.025;          // of any steady clock against true time, as a part; 0 to 0.2
    Millis waiter_silence = 8000;  // who waits and asks no more leaves the queue; half, when its turn comes
    std::size_t compact_after = 4096;  // entries
    std::size_t questions = 50000;     // open at a time
};

class Office {
public:
    using Client = std::uint64_t;  // whoever is to be answered, as the caller numbers them
    struct Reply {
        Client client;
        Answer answer;
    };
    // In this order: keep and sync what `ready` has to be kept, stored(), send, answer.
    struct Output {
        raft::Ready ready;
        std::vector<Reply> replies;
    };

    // `settings.agree.keepers` and `drift` within their ranges; see raft::RaftNode for the rest.
    Office(const OfficeSettings& settings, raft::Stored stored, Millis now, std::uint64_t draw);

    void heard(Millis now, const raft::Message& message);
    void asked(Millis now, Client client, const Question& question);
    void tick(Millis now);
    Millis due() const;
    bool ready() const { return keeper_.has_ready() || !replies_.empty(); }
    // Applies what is committed; nothing else may come between take() and stored().
    Output take(Millis now);
    void stored() { keeper_.persisted(); }

    const raft::RaftNode& keeper() const { return keeper_; }
    raft::RaftNode& keeper() { return keeper_; }
    const Book& book() const { return book_; }
    raft::Index applied() const { return applied_; }

    // How long after a right was last given it may still be acted upon, by a clock that is as fast as
    // allowed.
    static Millis wait_for(Millis length, double drift) { return length * (1 + drift) / (1 - drift); }

    struct Counts {
        std::uint64_t questions = 0, grants = 0, renewals = 0, lapses = 0, elsewhere = 0, dropped = 0,
                      notes = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    friend struct check::Describe;
    struct Asker {
        Client client = 0;
        std::uint64_t number = 0;
    };
    struct Renewal {
        Client client;
        HolderId holder;
        std::uint64_t number;
        std::string task;
        Fence fence;
    };
    struct Held {  // while this keeper leads
        Fence fence = 0;
        Millis until = 0;
        bool lapsing = false;
    };
    struct Heard {
        Millis at = 0;
        Asker asker;
    };
    void say(Client client, const Question& question, Answer answer);
    void want(Millis now, Client client, const Question& question);
    bool note(Client client, const Question& question);
    bool propose(Op op);
    void withdraw_silent(Millis now, const std::string& task, Millis silence);
    void confirmed(Millis now, std::uint64_t question);
    void apply(Millis now, const raft::Committed& one);
    void begin_to_lead(Millis now);
    void end_to_lead();
    void give(Millis now, const std::string& task, const Book::Task& held);
    void set_until(const std::string& task, Held& held, Millis until);
    void forget(const std::string& task);
    std::string listed(const std::string& prefix, Millis now) const;

    OfficeSettings settings_;
    raft::RaftNode keeper_;
    Book book_;
    raft::Index applied_ = 0;
    bool leads_ = false;
    raft::Term led_term_ = 0;
    Millis now_ = 0;
    std::map<std::string, Held> held_;
    std::set<std::pair<Millis, std::string>> lapses_;
    std::map<std::pair<std::string, HolderId>, Heard> asking_;  // whose `want` is in the log or in a queue
    std::map<std::pair<std::string, HolderId>, Asker> ending_;  // whose release or revocation is in the log
    std::map<std::pair<std::string, HolderId>, Asker> noting_;  // whose note is in the log
    std::map<std::uint64_t, Renewal> renewals_;                 // by number of question to the majority
    struct Read {
        Client client;
        Question question;
    };
    std::map<std::uint64_t, Read> reads_;  // lists, by the same: none is told what may be stale
    std::map<HolderId, std::pair<std::uint64_t, Millis>>
        newest_;  // the highest number of each holder, and when
    std::uint64_t next_question_ = 1;
    Millis waiters_due_ = 0;
    std::vector<Reply> replies_;
    Counts counts_;
};

}  // namespace cobaltshift::lease
