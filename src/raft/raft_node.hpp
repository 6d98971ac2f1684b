// One member of a group that agrees on a log: Raft (Ongaro and Ousterhout 2014) with pre-vote, check-quorum,
// reads by read-index, hand-over of the lead and one change of members at a time. Entry type of the package:
// RaftNode. Called by lease::Office and control::Replica, in the programs and in simulated worlds alike; free
// of I/O. docs/design/agree.md, docs/design/control-safety.md.
//
// Events go in with their time: on_message(), tick(), propose(), confirm(). After each, while has_ready():
// take_ready(), carry it out in its order, and say persisted(). The order is the whole promise: what is to be
// kept is written and synced before anything of `messages` leaves and before persisted(). A disk that can't
// be written ends the node: it is made anew from what the disk holds.
//
// Invariants (Ongaro's names), and the file that keeps each:
//   one vote a term          a vote leaves after it is kept, and a node that lost its disk is another member
//                            (election.cpp)
//   leader append-only       a leader never drops entries of its own log (raft_node.cpp, truncate())
//   log matching             an entry is taken only behind the one that the leader has before it
//                            (replication.cpp, on_append())
//   leader completeness      only a log as new as a majority's is voted for; commits count entries of the own
//                            term (election.cpp, replication.cpp)
//   committed stays          a committed entry is never replaced: Broken if a message asks for it
//   one change at a time     no change of members while one is not committed, none before an own entry is
//                            (membership.cpp)
//   a snapshot is whole      it takes effect after its last piece and its digest (snapshot_transfer.cpp)
#pragma once

#include <map>
#include <optional>
#include <stdexcept>

#include "raft/snapshot_transfer.hpp"
#include "raft/types.hpp"
#include "random.hpp"

namespace cobaltshift::check {
struct Describe;  // of the explicit-state checker (sim/check): reads all that a core knows
}

namespace cobaltshift::raft {

// What can't be if everybody keeps to the protocol: the node must stop, and say so.
struct Broken : std::logic_error {
    using std::logic_error::logic_error;
};

struct Settings {
    std::uint64_t fleet = 0;
    std::uint32_t number = 0;   // this one's
    std::uint32_t keepers = 3;  // numbers that may be members: 0 to keepers - 1
    Millis heartbeat = 100;     // of a leader, and the longest wait of a batch for the round before it
    Millis election = 1000;     // without a leader, before one stands: up to twice as long, drawn
    std::size_t batch_bytes = 256 * 1024;        // in one message
    std::size_t window_bytes = 4 * 1024 * 1024;  // sent to one member and not yet acknowledged
};

struct Committed {
    Index index;
    Entry entry;
};

// To be done, in this order.
struct Ready {
    // 1. Keep, and sync; `from`: entries kept from it on are replaced by `entries` (0: none are).
    std::optional<Stored> vote;        // its term and voted alone
    std::optional<Snapshot> snapshot;  // replaces all that was kept; `entries` are all that follow it
    Index from = 0;
    std::vector<Entry> entries;
    bool writes() const { return vote || snapshot || from > 0; }
    // 2. Say persisted(), then send.
    std::vector<Message> messages;
    // 3. Apply: first the state as of `restored`, where given, then these.
    std::optional<Snapshot> restored;
    std::vector<Committed> committed;
    // 4. Questions that have been answered by a majority: what was committed before each was asked is
    // applied.
    std::vector<std::uint64_t> confirmed;
    bool retired = false;  // this life is over: the folder is to be emptied, and a new life begun
};

class RaftNode {
public:
    enum class Role { follower, prevoting, candidate, leader };

    // `stored` with an id; `draw` is any number that no other run drew. Throws Broken if the log makes no
    // sense.
    RaftNode(const Settings& settings, Stored stored, Millis now, std::uint64_t draw);

    void tick(Millis now);
    Millis due() const;  // of the next tick
    void on_message(Millis now, const Message& message);

    // For the leader only. The index it will have if it is ever committed; none: not the leader, or too long.
    std::optional<Index> propose(std::string data);
    // A question that needs this keeper to be the leader still: `confirmed` names it once a majority has
    // acknowledged a round begun after now. False: not the leader, or not ready(leads()).
    bool confirm(std::uint64_t question);
    // Drops a member for good or takes one up that asks to join. False: not now (not the leader, a change is
    // on its way, the last member, or this keeper itself).
    bool remove(std::uint32_t number);
    // Hands the lead to the voter that has most of the log: proposals and questions are refused from here on,
    // until another leads or an election's time has passed. False: it does not lead, or nobody is there.
    bool transfer_leadership(Millis now);
    bool transferring_leadership() const { return transfer_to_ != kNobody; }
    // Of a leader: up to where every member that is heard has the log. Compacted further, it would send the
    // rest of them a snapshot. Of others: the end of the log.
    Index held_by_all(Millis now) const;
    // All up to `index` is in `data`, which the caller has applied.
    void compact(Index index, std::string data);

    bool has_ready() const;
    Ready take_ready();
    void persisted();

    MemberId id() const { return id_; }
    const Run& run() const { return run_; }
    Role role() const { return role_; }
    Term term() const { return term_; }
    MemberId voted() const { return voted_; }
    const Snapshot& snapshot() const { return snapshot_; }
    const std::vector<Entry>& log() const { return log_; }  // from first() on
    // Leads, and all that earlier terms committed is committed here.
    bool leads() const { return role_ == Role::leader && commit_ >= term_start_; }
    MemberId leader() const { return leader_; }
    std::optional<std::uint32_t> leader_number() const;
    Index commit() const { return commit_; }
    Index last() const { return snapshot_.index + log_.size(); }
    Index first() const { return snapshot_.index + 1; }
    const Members& members() const { return members_; }
    bool changing() const { return members_at_ > commit_; }
    bool member() const { return find(id_) != nullptr; }
    bool retired() const { return retired_; }
    // Of a leader: how far each member has stored, and when it was last heard.
    struct Peer {
        Index match = 0, next = 1;
        std::size_t out_bytes = 0;  // sent beyond match
        bool match_known = false;   // by a word of its own in this term
        Millis progressed_at = 0;   // when match last grew, or all beyond it was sent anew
        std::uint64_t round = 0;    // the newest acknowledged
        Millis heard = 0;
        bool active = false;                     // heard in this term
        std::uint64_t match_starts = 0;          // the run that told of `match`
        std::optional<SnapshotSender> transfer;  // of what the log no longer holds
    };
    const std::map<MemberId, Peer>& peers() const { return peers_; }

    struct Counts {
        std::uint64_t elections = 0, led = 0, dropped = 0, snapshots_sent = 0, rolled_back = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    friend struct check::Describe;
    struct Seen {  // of another id
        Run run;
        Term term = 0;
    };
    struct Question {
        std::uint64_t number, round;
    };
    const Member* find(MemberId id) const;
    bool voter(MemberId id) const;
    std::size_t majority() const;
    Term term_at(Index index) const;  // of snapshot_.index to last()
    Entry& at(Index index) { return log_[index - first()]; }
    bool as_new(const Message& message) const;
    bool hears_leader(Millis now) const;

    void append(Entry entry);
    void truncate(Index from);
    void read_members();  // the newest in the log
    void follow(Millis now, Term term, MemberId leader);
    void set_election(Millis now);
    enum class Stand { pre_vote, election, by_leaders_wish };
    void stand(Millis now, Stand how);
    void count_votes(Millis now);
    void lead(Millis now);
    void broadcast(Millis now, bool again = false);  // `again`: also what seems lost
    void send_entries(MemberId to, bool even_if_empty);
    Millis resend_after(const Peer& peer) const;
    std::optional<Message> hear_leader(Millis now, const Message& m);
    void on_append(Millis now, const Message& m);
    void send_snapshot(Millis now, MemberId to, Peer& peer);
    void on_snapshot_piece(Millis now, const Message& m);
    void on_snapshot_received(Millis now, const Message& m);
    void install(const Snapshot& snapshot);
    // Of a member's answer to this leader: notes that it was heard. None: it is nobody's, or of another term.
    Peer* hear_member(Millis now, const Message& m);
    void on_timeout_now(Millis now, const Message& m);
    void ask_to_lead();
    void on_appended(Millis now, const Message& m);
    void on_join(Millis now, const Message& m);
    bool rolled_back(const Message& m);
    void maybe_commit();
    void confirm_reads();
    void change(Millis now, const Members& to);
    void reconsider_members(Millis now);
    Message message(Message::Kind kind, MemberId to) const;
    Message reply(Message::Kind kind, const Message& to) const;

    Settings settings_;
    const MemberId id_;
    const Run run_;
    kelplb::Random lots_;
    Term term_;
    MemberId voted_;
    Snapshot snapshot_;
    std::vector<Entry> log_;  // from first() on
    Members members_;
    Index members_at_ = 0;  // of the entry they are from, or the snapshot's
    Index commit_, applied_, kept_;
    Index unkept_from_ = 0;  // the lowest entry to be kept anew; 0: none
    Index keeping_to_ = 0;
    bool taken_ = false, vote_changed_ = false, snapshot_changed_ = false, restored_ = false,
         retired_ = false, retired_told_ = false;

    Role role_ = Role::follower;
    MemberId leader_ = kNobody;
    Millis leader_heard_ = -1e18, election_due_ = 0, heartbeat_due_ = 0, join_due_ = 0, now_ = 0;
    std::map<MemberId, bool> votes_;
    std::map<MemberId, Peer> peers_;
    std::map<MemberId, Seen> seen_;  // bounded by what members and joiners there are
    struct Joiner {
        MemberId id;
        Millis heard;
    };
    std::map<std::uint32_t, Joiner> joiners_;
    SnapshotReceiver receiver_;
    MemberId transfer_to_ = kNobody;  // who is to lead next
    Millis transfer_until_ = 0;
    bool transfer_asked_ = false;
    Index term_start_ = 0;
    Index commit_before_ = 0;  // as of the heartbeat before
    std::uint64_t round_ = 0;  // the newest
    bool round_wanted_ = false;
    std::vector<Question> questions_;
    std::vector<std::uint64_t> confirmed_;
    std::vector<Message> out_;
    Counts counts_;
};

// What the disk of one of the first members holds before its first start: all of `numbers` are members.
Stored bootstrap(std::uint64_t fleet, std::uint32_t number, std::uint32_t keepers);
// What the disk of a later member holds, with an id drawn by the caller (kFirstDrawn or more).
Stored newcomer(std::uint64_t fleet, MemberId id);

}  // namespace cobaltshift::raft
