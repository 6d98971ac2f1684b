// Data types of the Raft implementation: members, log entries, snapshots, messages and persistent state. The
// main type of the library is RaftNode (raft_node.hpp). Free of I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cobaltshift::raft {

using Millis = double;  // milliseconds on this member's monotonic clock; never compared across members
using Term = std::uint64_t;
using Index = std::uint64_t;  // position of an entry in the log, starting at 1

// Identifies one incarnation of a member, that is, one data folder. Initial members use their number + 1;
// every later incarnation gets a random id of at least kFirstRandomId. A member that lost its folder comes
// back under a new id, because it no longer knows which votes it has cast.
using MemberId = std::uint64_t;
constexpr MemberId kNoMember = 0, kFirstRandomId = 1ULL << 32;

constexpr std::size_t kMaxMembers = 9, kMaxEntryBytes = 1024 * 1024, kMaxSnapshotBytes = 8 * 1024 * 1024,
                      kMaxEntriesInMessage = 4096, kMaxMessageBytes = 2 * 1024 * 1024;

struct Member {
    MemberId id = kNoMember;
    std::uint32_t number = 0;  // stable address of the member: the same for all of its incarnations
    bool voter = true;         // false: a learner that is still catching up
    bool operator==(const Member&) const = default;
};
using Members = std::vector<Member>;

struct Entry {
    enum class Kind : std::uint8_t { nothing, data, members };
    Term term = 0;
    Kind kind = Kind::nothing;
    std::string data;  // for Kind::members: encode(Members)
    bool operator==(const Entry&) const = default;
};

// State of the replicated state machine after applying all entries up to and including `index`.
struct Snapshot {
    Index index = 0;
    Term term = 0;
    Members members;
    std::string data;
    bool operator==(const Snapshot&) const = default;
};

// One chunk of a snapshot in transfer.
struct SnapshotPiece {
    Index index = 0;
    Term term = 0;
    Members members;
    std::uint64_t offset = 0, total = 0;  // position of this chunk and size of the whole data, in bytes
    std::uint64_t digest = 0;             // XXH3 of the whole data
    std::string data;
};

// Identifies one process run of a member: the start counter stored in its folder and a random number.
struct Run {
    std::uint64_t starts = 0, nonce = 0;
    bool operator==(const Run&) const = default;
};

struct Message {
    enum class Kind : std::uint8_t {
        request_prevote,    // index, log_term: the sender's last entry; term: the one it would campaign in
        prevote_response,   // ok; term: the requested one if granted, else the responder's own
        request_vote,       // index, log_term: the sender's last entry; ok: leadership transfer (timeout_now)
        vote_response,      // ok
        append,             // index, log_term: the entry before `entries`; commit, round
        append_response,    // ok: stored up to index; else index is a hint where to continue; last, round
        snapshot,           // obsolete and rejected; the number stays reserved
        join,               // without a receiver id: the sender is new and asks to become a member
        not_a_member,       // the receiver's run is not that of a member, or its folder was rolled back
        snapshot_piece,     // piece, round
        snapshot_received,  // index: of the snapshot; offset: next byte expected; round
        timeout_now,        // leadership transfer: the receiver starts an election at once
    };
    Kind kind = Kind::append;
    std::uint64_t cluster_id = 0;  // messages of another cluster are dropped
    MemberId from = kNoMember, to = kNoMember;
    std::uint32_t number = 0;     // the sender's member number
    std::uint32_t to_number = 0;  // the receiver's member number, for the transport; not on the wire
    Run run;                      // the sender's; in `not_a_member`: the receiver's
    Term term = 0;
    Index index = 0, commit = 0, last = 0;
    Term log_term = 0;
    std::uint64_t round = 0;
    bool ok = false;
    std::uint64_t offset = 0;
    std::vector<Entry> entries;
    std::shared_ptr<const SnapshotPiece> piece;
};

// A member's persistent state, as read from its data folder.
struct PersistentState {
    std::uint64_t cluster_id = 0;
    MemberId id = kNoMember;
    std::uint64_t starts = 0;
    Term term = 0;
    MemberId voted = kNoMember;
    Snapshot snapshot;
    std::vector<Entry> entries;  // starting at snapshot.index + 1
};

}  // namespace cobaltshift::raft
