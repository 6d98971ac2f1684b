// Core of a lease replica: a Raft node, the replicated state and, on the leader, the pending requests and
// the expiry timers. Used by the replica's process (lease_io) and by its model in the simulator; does no
// I/O. Not thread-safe. Times are milliseconds on the caller's monotonic clock. Entry type: LeaseServer.
//
// Why two holders never act at the same time, although no clock is compared with another's: a holder counts
// its lease from before it sent the request. The leader counts from after a majority has confirmed, in
// response to a message sent after the request arrived, that it still leads. It proposes the expiry only
// once `wait_for(length)` has passed on its own monotonic clock: the lease's duration, extended by the drift
// that either clock may have. A new leader doesn't know which renewals its predecessor confirmed, so it
// restarts the count of each lease once it has committed an entry of its own term, which is later than any
// confirmation that a majority gave to the predecessor. A renewal writes nothing to the log: it is confirmed
// by the next round of heartbeats, together with all other pending renewals.
//
// Invariants: an expiry is proposed only after that wait, and a lease with a proposed expiry is not renewed;
// the response `held` is sent only after a majority's confirmation (renewals) or after the grant is
// committed.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "lease/book.hpp"
#include "raft/raft_node.hpp"

namespace cobaltshift::check {
struct Describe;  // reads the private state for the explicit-state checker (sim/check)
}

namespace cobaltshift::lease {

struct LeaseServerSettings {
    raft::Settings agree;
    double drift = 0.025;  // largest rate error of a monotonic clock, as a fraction; 0 to 0.2
    // A waiter that has sent no request for this long (ms) is removed from its queue; half of this suffices
    // when it would be granted the task next.
    Millis waiter_silence = 8000;
    std::size_t compact_after = 4096;  // log entries
    std::size_t questions = 50000;     // limit of pending renewals, and of pending reads
};

class LeaseServer {
public:
    using Client = std::uint64_t;  // caller's id for the connection that a response goes to
    struct Reply {
        Client client;
        Response answer;
    };
    // The caller persists and syncs what `ready` holds, then calls stored(), then sends its messages, then
    // the replies.
    struct Output {
        raft::Ready ready;
        std::vector<Reply> replies;
    };

    // `settings` must be within their ranges. `draw` seeds the random number generator. Throws like
    // raft::RaftNode's constructor.
    LeaseServer(const LeaseServerSettings& settings, raft::PersistentState stored, Millis now,
                std::uint64_t draw);

    // Handles a Raft message.
    void heard(Millis now, const raft::Message& message);
    // Handles a client's request. A replica that doesn't lead answers with the leader's number. Requests that
    // are repeated, delayed or over a limit get no response; clients retry.
    void asked(Millis now, Client client, const Request& question);
    void tick(Millis now);
    Millis due() const;  // when tick() must be called next
    bool ready() const { return keeper_.has_ready() || !replies_.empty(); }
    // Applies committed entries and returns the pending output. No other call is allowed between take() and
    // stored(). Throws if an entry or a snapshot can't be decoded.
    Output take(Millis now);
    void stored() { keeper_.persisted(); }

    const raft::RaftNode& keeper() const { return keeper_; }
    raft::RaftNode& keeper() { return keeper_; }
    const LeaseTable& book() const { return book_; }
    raft::Index applied() const { return applied_; }

    // How long the leader waits, on its own clock, after it granted or renewed a lease until it has ended on
    // the holder's clock, for the worst combination of both clocks' drift.
    static Millis wait_for(Millis length, double drift) { return length * (1 + drift) / (1 - drift); }

    struct Counts {
        std::uint64_t questions = 0, grants = 0, renewals = 0, lapses = 0, not_leader = 0, dropped = 0,
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
    struct Held {  // the leader's timer of one lease
        Fence fence = 0;
        Millis until = 0;      // when the expiry may be proposed
        bool lapsing = false;  // the expiry has been proposed
    };
    struct Heard {  // the latest `want` of a waiter or applicant
        Millis at = 0;
        Asker asker;
    };
    void reply(Client client, const Request& question, Response answer);
    void want(Millis now, Client client, const Request& question);
    bool note(Client client, const Request& question);
    bool propose(Op op);
    void withdraw_silent(Millis now, const std::string& task, Millis silence);
    void on_leadership_confirmed(Millis now, std::uint64_t question);
    void apply(Millis now, const raft::Committed& one);
    void on_leadership_gained(Millis now);
    void on_leadership_lost();
    void restart_timer(Millis now, const std::string& task, const LeaseTable::Task& held);
    void extend_timer(const std::string& task, Held& held, Millis until);
    void remove_timer(const std::string& task);
    std::string list_tasks(const std::string& prefix, Millis now) const;

    LeaseServerSettings settings_;
    raft::RaftNode keeper_;
    LeaseTable book_;
    raft::Index applied_ = 0;
    bool leads_ = false;
    raft::Term led_term_ = 0;
    Millis now_ = 0;
    std::map<std::string, Held> held_;
    std::set<std::pair<Millis, std::string>> lapses_;
    std::map<std::pair<std::string, HolderId>, Heard> asking_;         // `want` in the log or queued
    std::map<std::pair<std::string, HolderId>, Asker> ending_;         // release or revocation in the log
    std::map<std::pair<std::string, HolderId>, Asker> pending_notes_;  // note in the log
    std::map<std::uint64_t, Renewal> renewals_;                        // by read id
    struct Read {
        Client client;
        Request question;
    };
    std::map<std::uint64_t, Read> pending_reads_;  // by read id; answered only once leadership is confirmed
    // Highest request number of each holder, and when it arrived.
    std::map<HolderId, std::pair<std::uint64_t, Millis>> newest_;
    std::uint64_t next_question_ = 1;
    Millis waiters_due_ = 0;
    std::vector<Reply> replies_;
    Counts counts_;
};

}  // namespace cobaltshift::lease
