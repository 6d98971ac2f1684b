// One hub's replica of the configuration: the agreement (raft::RaftNode), the state machine that it leads to,
// and, while this hub leads, the operator's calls that wait. Entry type: Replica, called by
// control_io::ControlNode on the hubs and by tests; free of I/O. Standard terms: replicated state machine
// over Raft, linearizable reads by read-index.
//
// Events go in with their time; after each, while ready(): take(), carry it out in its order (keep and sync,
// stored(), send, answer). See agree/raft.hpp for why.
//
// Invariants: 200 leaves only for a change that is committed and applied here, or for a reading after a
// majority's word that this hub leads still; so do 400 and 412, as a hub that was cut off knows no better;
// one change at a time is on its way, judged against all before it; whoever waits is answered once, within
// `answer_within`.
#pragma once

#include <deque>
#include <map>

#include "config/config_state_machine.hpp"
#include "config/startup_confirmation.hpp"
#include "raft/raft_node.hpp"

namespace cobaltshift::check {
struct DescribeReplica;  // of the explicit-state check (sim_mesh/control_check): reads all that a replica
                         // knows
}

namespace cobaltshift::control {

using raft::Millis;

// Sent to one member and not yet acknowledged: a link of 6.4 Mbit/s carries it well within an election's
// time.
constexpr std::size_t kWindowBytes = 128 * 1024;

struct ReplicaSettings {
    raft::Settings agree{.batch_bytes = kWindowBytes / 2, .window_bytes = kWindowBytes};
    Millis answer_within = 900;   // of a call that waits
    Millis leader_fresh = 500;    // heard within: callers are sent there
    Millis removed_after = 2500;  // a member unheard so long is dropped,
    Millis heard_within = 1000;   // if so many voters remain that were heard within this:
    std::size_t least_voters = 3;
    Millis lost_after = 1500;  // without a leader: asks all hubs known whether it is a member still
    // A checkpoint of the state is taken after so many entries, or so many bytes of them. The log is
    // compacted to the checkpoint before the newest, so that a member that lags a little is sent entries, not
    // a snapshot.
    std::size_t checkpoint_entries = 64;
    std::size_t checkpoint_bytes = 256 * 1024;
    // The log may grow to this while a member that is heard lags behind the checkpoint.
    std::size_t lagging_log_bytes = 4 * 1024 * 1024;
    std::size_t most_waiting = 256;  // calls; further ones are sent away
};

// A member's number is its IPv4 in host order. What the three founders' folders hold before their first
// start.
raft::Stored bootstrap(std::uint64_t fleet, std::uint32_t own, const std::vector<std::uint32_t>& founders);

struct Reply {
    enum class Kind : std::uint8_t { config, nothing_yet, taken, stale, invalid, elsewhere, unavailable };
    std::uint64_t client = 0;
    Kind kind = Kind::unavailable;
    config::Edition edition = 0;                           // taken: the change's; stale: the current one
    std::uint32_t leader = 0;                              // elsewhere: its IPv4
    std::vector<std::string> complaints;                   // invalid
    std::shared_ptr<const config::Configuration> current;  // config
};

// Of a reading, as a node that starts asks for it.
config::CurrentAnswer current_answer(const Reply& reply);

struct Output {
    raft::Ready ready;
    std::vector<raft::Message> to_all;  // for every hub known, with the same promise as ready.messages
    std::vector<Reply> replies;
    std::shared_ptr<const config::Configuration> newest;  // applied with this, if any
};

class Replica {
public:
    // Throws raft::Broken, also where a snapshot is no state machine.
    Replica(const ReplicaSettings& settings, raft::Stored stored, Millis now, std::uint64_t draw);

    void tick(Millis now);
    Millis due() const;  // of the next tick
    // `passed_on`: by another hub; goes no further.
    void on_message(Millis now, const raft::Message& message, bool passed_on);
    void change(Millis now, std::uint64_t client, config::Change change);
    void read(Millis now, std::uint64_t client);
    // This member is about to stop: the lead goes to another. Calls that come later are sent away. True:
    // asked; leads() turns false once another leads.
    bool hand_over(Millis now);

    bool has_output() const {
        return raft_.has_ready() || !replies_.empty() || !passed_on_.empty() || !to_all_.empty();
    }
    Output take_output(Millis now);
    void persisted();
    std::size_t waiting() const { return waiting_.size(); }

    const raft::RaftNode& raft() const { return raft_; }
    const config::ConfigStateMachine& state_machine() const { return state_machine_; }

    struct Counts {
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
        std::uint64_t question = 0;  // to the majority; 0: none
        bool confirmed = false;
        raft::Index index = 0;  // of a change on its way; 0: not yet
    };
    std::uint32_t fresh_leader(Millis now) const;  // 0: none
    void wait(Millis now, Waiting waiting);
    void answer(Waiting& waiting, Reply reply);
    void look(Millis now);
    bool look_at(Waiting& waiting);
    void look_after_silent(Millis now);
    void apply(const raft::Ready& ready, Output& output);
    void checkpoint(Millis now);

    const ReplicaSettings settings_;
    raft::RaftNode raft_;
    config::ConfigStateMachine state_machine_;
    raft::Index applied_ = 0;
    std::size_t checkpoint_bytes_ = 0, log_bytes_ = 0;  // of entries since the newest checkpoint; in the log
    struct Checkpoint {
        raft::Index index = 0;
        std::string state;
    };
    std::optional<Checkpoint> checkpoint_;  // the newest; the log still holds what led to it
    Millis now_ = 0, leader_heard_ = -1e18, lost_at_ = 0, looked_at_ = 0;
    bool busy_ = false;    // a change is on its way
    raft::Term term_ = 0;  // in which it is
    std::deque<Waiting> waiting_;
    std::uint64_t next_question_ = 1;
    std::vector<Reply> replies_;
    std::vector<raft::Message> passed_on_, to_all_;
    Counts counts_;
};

}  // namespace cobaltshift::control
