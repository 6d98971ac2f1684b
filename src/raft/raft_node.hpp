// One Raft member (Ongaro and Ousterhout 2014) with pre-vote, check-quorum, linearizable reads by read-index,
// leadership transfer and single-server membership changes. Main type: RaftNode. Used by lease::LeaseServer
// and control::Replica, both in the programs and in simulations. Free of I/O and not thread-safe. See
// docs/design/agree.md and docs/design/control-safety.md.
//
// The caller passes in events with the current time: on_message(), tick(), propose(), confirm_leadership().
// After each one, while has_ready(), it calls take_ready(), carries out the result in the order given there,
// and calls persisted(). Safety depends on that order: the state to persist must be written and synced before
// any of `messages` is sent and before persisted() is called. If a write fails, the node must be discarded
// and created again from what the disk holds.
//
// Invariants, under the names of the Raft paper where it has one, with the file that maintains each:
//   election safety          a vote is sent only after it is persisted, and a node that lost its disk comes
//                            back as another member (election.cpp)
//   leader append-only       a leader never drops entries of its own log (raft_node.cpp, truncate())
//   log matching             an entry is accepted only after the entry that precedes it in the leader's log
//                            (replication.cpp, on_append())
//   leader completeness      votes go only to candidates whose log is at least as up to date; only entries of
//                            the current term are committed by counting (election.cpp, replication.cpp)
//   state machine safety     a committed entry is never replaced; a message that requires it throws
//                            ProtocolViolation
//   one change at a time     no membership change while another is uncommitted, and none before the leader
//                            has committed an entry of its own term (membership.cpp)
//   snapshot integrity       a snapshot is installed only after its last piece has arrived and its digest
//                            matches (snapshot_transfer.cpp)
#pragma once

#include <map>
#include <optional>
#include <stdexcept>

#include "raft/snapshot_transfer.hpp"
#include "raft/types.hpp"
#include "random.hpp"

namespace cobaltshift::check {
struct Describe;  // explicit-state model checker (sim/check): reads the complete state of a node
}

namespace cobaltshift::raft {

// A state that is impossible if all members follow the protocol. The node must stop and report it.
struct ProtocolViolation : std::logic_error {
    using std::logic_error::logic_error;
};

struct Settings {
    std::uint64_t cluster_id = 0;
    std::uint32_t number = 0;        // this member's number
    std::uint32_t member_slots = 3;  // only numbers from 0 to member_slots - 1 may become members
    Millis heartbeat = 100;          // interval of a leader's heartbeats; bounds the wait for the next round
    Millis election = 1000;  // minimum election timeout; the actual one is random, up to twice as long
    std::size_t batch_bytes = 256 * 1024;        // entries in one message
    std::size_t window_bytes = 4 * 1024 * 1024;  // entries in flight to one member, not yet acknowledged
};

struct Committed {
    Index index;
    Entry entry;
};

// Work for the caller, to be done in this order.
struct Ready {
    // 1. Write and sync. Stored entries from index `from` on are replaced by `entries`; with from == 0 the
    // stored entries stay as they are.
    std::optional<PersistentState> vote;  // only `term` and `voted` are set
    std::optional<Snapshot> snapshot;  // replaces the stored log; `entries` is everything after the snapshot
    Index from = 0;
    std::vector<Entry> entries;
    bool writes() const { return vote || snapshot || from > 0; }
    // 2. Call persisted(), then send.
    std::vector<Message> messages;
    // 3. Apply: first load the state from `restored`, if set, then apply `committed`.
    std::optional<Snapshot> restored;
    std::vector<Committed> committed;
    // 4. Ids passed to confirm_leadership() for which a majority has confirmed the leadership. Everything
    // committed before the call has been applied by now.
    std::vector<std::uint64_t> confirmed;
    bool retired = false;  // this member id is dead: clear the folder and start over as a new member
};

class RaftNode {
public:
    enum class Role { follower, prevoting, candidate, leader };

    // `stored` must have an id. `nonce` is a random number that identifies this run and seeds the election
    // timeouts. Throws ProtocolViolation if the stored log is inconsistent.
    RaftNode(const Settings& settings, PersistentState stored, Millis now, std::uint64_t nonce);

    void tick(Millis now);
    Millis due() const;  // time of the next tick()
    void on_message(Millis now, const Message& message);

    // Appends an entry to the leader's log. Returns the index it will have if it is ever committed; none if
    // this member does not lead, a leadership transfer is running, or `data` exceeds kMaxEntryBytes.
    std::optional<Index> propose(std::string data);
    // Read-index: Ready::confirmed will contain `read_id` once a majority has acknowledged a round of
    // messages that was started after this call, which proves that this member still led at the time of the
    // call. False: not leads(), a leadership transfer is running, or too many calls are pending.
    bool confirm_leadership(std::uint64_t read_id);
    // Proposes to remove a member permanently. False: not possible now, because this member does not lead,
    // another change is uncommitted, or it is this member, the last one, or no member.
    bool remove(std::uint32_t number);
    // Starts a leadership transfer to the recently heard voter with the longest matching log. propose() and
    // confirm_leadership() are refused until another member leads or settings.election has passed. False:
    // this member does not lead, or no voter was heard recently.
    bool transfer_leadership(Millis now);
    bool transferring_leadership() const { return transfer_to_ != kNoMember; }
    // On a leader: the lowest match index among the members heard recently. If the log is compacted beyond
    // it, those that lag need a snapshot. On other members: the last index of the log.
    Index replicated_to_all(Millis now) const;
    // Replaces all entries up to `index` by the snapshot `data`. Ignored unless `index` has been applied and
    // is beyond the current snapshot.
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
    const std::vector<Entry>& log() const { return log_; }  // starting at first()
    // True if this member is the leader and has committed an entry of its own term, so that everything
    // committed in earlier terms is known to be committed here.
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
    // Replication progress of another member, as the leader sees it.
    struct Peer {
        Index match = 0, next = 1;
        std::size_t out_bytes = 0;       // in flight: sent beyond `match`
        bool match_known = false;        // the member itself has reported its log in this term
        Millis progressed_at = 0;        // when `match` last grew, or everything beyond it was sent again
        std::uint64_t round = 0;         // newest round that it has acknowledged
        Millis last_contact = 0;         // when its last message arrived
        bool active = false;             // heard from in this term
        std::uint64_t match_starts = 0;  // start counter of the run that reported `match`
        std::optional<SnapshotSender> transfer;  // running snapshot transfer, if the log was compacted
    };
    const std::map<MemberId, Peer>& peers() const { return peers_; }

    struct Counts {
        std::uint64_t elections = 0, led = 0, dropped = 0, snapshots_sent = 0, rolled_back = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    friend struct check::Describe;
    struct KnownRun {  // newest run and term seen of another member id
        Run run;
        Term term = 0;
    };
    struct PendingRead {
        std::uint64_t number, round;
    };
    const Member* find(MemberId id) const;
    bool voter(MemberId id) const;
    std::size_t majority() const;
    Term term_at(Index index) const;  // for snapshot_.index <= index <= last()
    Entry& at(Index index) { return log_[index - first()]; }
    bool is_log_up_to_date(const Message& message) const;
    bool has_live_leader(Millis now) const;

    void append(Entry entry);
    void truncate(Index from);
    void reload_members();  // sets members_ from the newest membership entry, or from the snapshot
    void become_follower(Millis now, Term term, MemberId leader);
    void reset_election_timeout(Millis now);
    enum class Campaign { pre_vote, election, leadership_transfer };
    void start_campaign(Millis now, Campaign how);
    void count_votes(Millis now);
    void become_leader(Millis now);
    // Starts a new round: sends every member entries or a heartbeat. `again`: entries that seem lost are
    // sent again.
    void broadcast(Millis now, bool again = false);
    void send_entries(MemberId to, bool even_if_empty);
    Millis resend_timeout(const Peer& peer) const;
    std::optional<Message> accept_leader_message(Millis now, const Message& m);
    void on_append(Millis now, const Message& m);
    void send_snapshot(Millis now, MemberId to, Peer& peer);
    void on_snapshot_piece(Millis now, const Message& m);
    void on_snapshot_received(Millis now, const Message& m);
    void install(const Snapshot& snapshot);
    // Records contact with the sender of a response to this leader. Null: the sender is no member, its folder
    // was rolled back, or the response belongs to another term.
    Peer* accept_member_response(Millis now, const Message& m);
    void on_timeout_now(Millis now, const Message& m);
    void send_timeout_now();
    void on_appended(Millis now, const Message& m);
    void on_join(Millis now, const Message& m);
    bool is_stale_or_rolled_back(const Message& m);
    void maybe_commit();
    void confirm_reads();
    void propose_members(Millis now, const Members& to);
    void advance_membership(Millis now);
    Message message(Message::Kind kind, MemberId to) const;
    Message reply(Message::Kind kind, const Message& to) const;

    Settings settings_;
    const MemberId id_;
    const Run run_;
    kelplb::Random random_;
    Term term_;
    MemberId voted_;
    Snapshot snapshot_;
    std::vector<Entry> log_;  // starting at first()
    Members members_;
    Index members_at_ = 0;  // index of the entry or snapshot that members_ is from
    Index commit_, applied_, persisted_index_;
    Index unpersisted_from_ = 0;  // lowest index that still has to be persisted; 0: none
    Index persisting_to_ = 0;     // last index covered by the Ready that is being persisted
    bool ready_taken_ = false, vote_changed_ = false, snapshot_changed_ = false, restored_ = false,
         retired_ = false, retired_reported_ = false;

    Role role_ = Role::follower;
    MemberId leader_ = kNoMember;
    Millis last_leader_contact_ = -1e18, election_due_ = 0, heartbeat_due_ = 0, join_due_ = 0, now_ = 0;
    std::map<MemberId, bool> votes_;
    std::map<MemberId, Peer> peers_;
    std::map<MemberId, KnownRun> known_runs_;  // at most kMaxTrackedMembers entries
    struct Joiner {
        MemberId id;
        Millis last_contact;
    };
    std::map<std::uint32_t, Joiner> joiners_;
    SnapshotReceiver receiver_;
    MemberId transfer_to_ = kNoMember;  // target of a running leadership transfer
    Millis transfer_until_ = 0;
    bool transfer_requested_ = false;
    Index term_start_ = 0;
    Index previous_commit_ = 0;  // commit_ as of the previous heartbeat
    std::uint64_t round_ = 0;    // newest round started
    bool round_requested_ = false;
    std::vector<PendingRead> pending_reads_;
    std::vector<std::uint64_t> confirmed_reads_;
    std::vector<Message> out_;
    Counts counts_;
};

// Initial state of one of the first members: all numbers from 0 to member_slots - 1 are voters.
PersistentState bootstrap(std::uint64_t cluster_id, std::uint32_t number, std::uint32_t member_slots);
// Initial state of a member that joins later. `id` is a random number of at least kFirstRandomId.
PersistentState newcomer(std::uint64_t cluster_id, MemberId id);

}  // namespace cobaltshift::raft
