// A control node's replica of the configuration: a replicated state machine over Raft (raft::RaftNode) with
// linearizable reads by read-index. On the leader it also holds the operator requests that wait for an
// answer. Main type: Replica, used by ControlNode (control_io) and by simulations. Free of I/O and not
// thread-safe.
//
// The caller passes in events with the current time. After each one, while has_output(), it calls
// take_output() and carries out the result in order: write and sync, persisted(), send, apply, reply.
// raft/raft_node.hpp says why the order matters.
//
// Invariants:
//   A change is reported as taken only after it is committed and applied here. A configuration, a stale
//   version and an invalid change are reported only after a majority has confirmed that this node still
//   leads, because a partitioned leader may judge by an outdated state. At most one change is in flight; the
//   next one is validated against its result. Every request gets exactly one reply, within `reply_timeout`.
#pragma once

#include <deque>
#include <map>
#include <memory>

#include "config/config_state_machine.hpp"
#include "config/startup_confirmation.hpp"
#include "raft/raft_node.hpp"

namespace cobaltshift::check {
struct DescribeReplica;  // explicit-state model checker in sim_mesh: reads the complete state of a replica
}

namespace cobaltshift::control {

using raft::Millis;

// Limit of the bytes in flight to one member. A link of 6.4 Mbit/s transfers them in well under an election
// timeout.
constexpr std::size_t kWindowBytes = 128 * 1024;

struct ReplicaSettings {
    raft::Settings consensus{.batch_bytes = kWindowBytes / 2, .window_bytes = kWindowBytes};
    // A waiting request gets `unavailable` after this time.
    Millis reply_timeout = 900;
    // Requests are redirected only to a leader that was heard from within this time.
    Millis leader_contact_max_age = 500;
    // A voter that has been silent for `remove_silent_after` is removed, if at least `min_live_voters` voters
    // were heard from within `live_within`.
    Millis remove_silent_after = 2500;
    Millis live_within = 1000;
    std::size_t min_live_voters = 3;
    // Time without a leader after which a member asks all known nodes whether it is still a member.
    Millis leaderless_after = 1500;
    // A checkpoint of the state is made after this many entries or bytes of entries. The log is compacted up
    // to the last checkpoint but one, so that a member that lags slightly gets entries instead of a snapshot.
    std::size_t checkpoint_entries = 64;
    std::size_t checkpoint_bytes = 256 * 1024;
    // Compaction is postponed up to this log size while a reachable member lags behind the checkpoint.
    std::size_t lagging_log_bytes = 4 * 1024 * 1024;
    // One change over this size is evaluated at a time; between two of them messages are sent and received.
    std::size_t large_change_bytes = 64 * 1024;
    std::size_t max_waiting = 256;  // waiting requests; further ones get `unavailable` at once
};

// Initial persistent state of a founding member. A member's number is its IPv4 address in host byte order.
raft::PersistentState bootstrap(std::uint64_t cluster_id, std::uint32_t own,
                                const std::vector<std::uint32_t>& founders);

struct Reply {
    enum class Kind : std::uint8_t { config, no_config, taken, stale, invalid, elsewhere, unavailable };
    std::uint64_t client = 0;  // as passed to change() or read()
    Kind kind = Kind::unavailable;
    config::Edition edition = 0;                           // taken: of the change; stale: the current one
    std::uint32_t leader = 0;                              // elsewhere: IPv4 address in host byte order
    std::vector<std::string> complaints;                   // invalid: the validation errors
    std::shared_ptr<const config::Configuration> current;  // config: what was read
};

// Converts the reply to a read() into the answer for a starting node that asks for the current edition.
config::CurrentAnswer current_answer(const Reply& reply);

struct Output {
    raft::Ready ready;
    std::vector<raft::Message> to_all;  // to every known control node; like ready.messages, after persisted()
    std::vector<Reply> replies;
    std::shared_ptr<const config::Configuration> newest;  // current configuration, if this output changed it
};

class Replica {
public:
    // Throws raft::ProtocolViolation if the stored state is inconsistent or its snapshot can't be decoded.
    Replica(const ReplicaSettings& settings, raft::PersistentState stored, Millis now, std::uint64_t nonce);

    void tick(Millis now);
    Millis due() const;  // time of the next tick()
    // `forwarded`: received through another node, so that it must not be forwarded again.
    void on_message(Millis now, const raft::Message& message, bool forwarded);
    void change(Millis now, std::uint64_t client, config::Change change);
    void read(Millis now, std::uint64_t client);
    // Starts a leadership transfer before a planned stop. Requests that arrive later are turned away. True:
    // the transfer was started; RaftNode::leads() becomes false once another member leads.
    bool hand_over(Millis now);

    bool has_output() const {
        return raft_.has_ready() || !replies_.empty() || !forwarded_.empty() || !to_all_.empty();
    }
    Output take_output(Millis now);
    void persisted();
    std::size_t waiting() const { return waiting_.size(); }

    const raft::RaftNode& raft() const { return raft_; }
    const config::ConfigStateMachine& state_machine() const { return state_machine_; }

    struct Counts {
        std::uint64_t evaluated = 0;  // large changes that were parsed
        std::uint64_t taken = 0, refused = 0, reads = 0, late = 0, removals = 0, compactions = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    friend struct check::DescribeReplica;
    struct Waiting {
        std::uint64_t client = 0;
        bool is_change = false;
        config::Change change;
        Millis until = 0;
        std::uint64_t question = 0;  // id of the read-index request; 0: none
        bool confirmed = false;      // a majority has confirmed the leadership since it was requested
        // What speaks against a change, as long as the edition is the one that it was evaluated against.
        std::shared_ptr<const config::ChangeOutcome> refusal;  // null: not evaluated, or nothing does
        config::Edition evaluated_against = 0;
        raft::Index index = 0;  // log index of a proposed change; 0: not proposed yet
    };
    std::uint32_t recent_leader(Millis now) const;  // IPv4 address of a recently heard leader; 0: none
    void enqueue(Millis now, Waiting waiting);
    void answer(Waiting& waiting, Reply reply);
    void process_waiting(Millis now);
    bool try_answer(Waiting& waiting);
    std::shared_ptr<const config::ChangeOutcome> evaluate(Waiting& waiting);
    void remove_silent_member(Millis now);
    void apply(const raft::Ready& ready, Output& output);
    void checkpoint(Millis now);

    const ReplicaSettings settings_;
    raft::RaftNode raft_;
    config::ConfigStateMachine state_machine_;
    raft::Index applied_ = 0;
    std::size_t checkpoint_bytes_ = 0;  // entries applied since the newest checkpoint
    std::size_t log_bytes_ = 0;         // entries in the log
    struct Checkpoint {
        raft::Index index = 0;
        std::string state;
    };
    std::optional<Checkpoint> checkpoint_;  // the newest one, to which the log has not been compacted yet
    Millis now_ = 0, last_leader_contact_ = -1e18, membership_query_due_ = 0, last_silence_check_ = 0;
    bool evaluated_large_ = false;          // a large change, since process_waiting() began
    std::optional<Millis> evaluation_due_;  // of large changes that had to wait
    bool change_in_flight_ = false;         // a change is in flight
    raft::Term term_ = 0;                   // the term it was proposed in
    std::deque<Waiting> waiting_;
    std::uint64_t next_question_ = 1;
    std::vector<Reply> replies_;
    std::vector<raft::Message> forwarded_, to_all_;
    Counts counts_;
};

}  // namespace cobaltshift::control
