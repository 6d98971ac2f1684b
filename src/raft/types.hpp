// What keepers agree on and what they say to one another. Entry type of the package: RaftNode (keeper.hpp).
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cobaltshift::raft {

using Millis = double;  // of the keeper's own steady clock; never compared with another's
using Term = std::uint64_t;
using Index = std::uint64_t;  // of an entry, from 1

// Of one life of a keeper: a folder's. Founders have their number + 1, later lives a drawn one from
// kFirstDrawn on. Whoever lost its folder is somebody else: it can't vote as the one it was.
using MemberId = std::uint64_t;
constexpr MemberId kNobody = 0, kFirstDrawn = 1ULL << 32;

constexpr std::size_t kMaxMembers = 9, kMaxEntryBytes = 1024 * 1024, kMaxSnapshotBytes = 8 * 1024 * 1024,
                      kMaxEntriesInMessage = 4096, kMaxMessageBytes = 2 * 1024 * 1024;

struct Member {
    MemberId id = kNobody;
    std::uint32_t number = 0;  // its place in everybody's settings
    bool voter = true;         // else it is catching up
    bool operator==(const Member&) const = default;
};
using Members = std::vector<Member>;

struct Entry {
    enum class Kind : std::uint8_t { nothing, data, members };
    Term term = 0;
    Kind kind = Kind::nothing;
    std::string data;  // of `members`: encode(Members)
    bool operator==(const Entry&) const = default;
};

// All that the entries up to `index` have led to.
struct Snapshot {
    Index index = 0;
    Term term = 0;
    Members members;
    std::string data;
    bool operator==(const Snapshot&) const = default;
};

// A part of a snapshot on its way.
struct SnapshotPiece {
    Index index = 0;
    Term term = 0;
    Members members;
    std::uint64_t offset = 0, total = 0;  // of the data, in bytes
    std::uint64_t digest = 0;             // of the whole data
    std::string data;
};

// One run of a keeper's process: its folder's count of starts, and a drawn number.
struct Run {
    std::uint64_t starts = 0, draw = 0;
    bool operator==(const Run&) const = default;
};

struct Message {
    enum class Kind : std::uint8_t {
        ask_prevote,  // index, log_term: the sender's last entry; term: the one it would stand for
        prevote,      // ok; term: the one asked for, or a refuser's own
        ask_vote,     // index, log_term: the sender's last entry; ok: by the leader's own wish (timeout_now)
        vote,         // ok
        append,       // index, log_term: the entry before `entries`; commit, round
        appended,     // ok: all up to index is stored; else index is where the leader may try; last, round
        snapshot,     // no longer spoken; its number stays taken
        join,         // to nobody in particular: the sender is new and would be a member
        gone,         // the receiver, in the run named, is no member, or has an older folder than it had
        snapshot_piece,     // piece, round
        snapshot_received,  // index: the snapshot's; offset: the byte wanted next; round
        timeout_now,        // the receiver is to stand for election at once, by the leader's own wish
    };
    Kind kind = Kind::append;
    std::uint64_t fleet = 0;  // messages of another fleet are dropped
    MemberId from = kNobody, to = kNobody;
    std::uint32_t number = 0;     // the sender's
    std::uint32_t to_number = 0;  // the receiver's place: for whoever carries it, not on the wire
    Run run;                      // the sender's; of `gone`: the receiver's
    Term term = 0;
    Index index = 0, commit = 0, last = 0;
    Term log_term = 0;
    std::uint64_t round = 0;
    bool ok = false;
    std::uint64_t offset = 0;
    std::vector<Entry> entries;
    std::shared_ptr<const SnapshotPiece> piece;
};

// What a keeper's folder holds.
struct Stored {
    std::uint64_t fleet = 0;
    MemberId id = kNobody;
    std::uint64_t starts = 0;
    Term term = 0;
    MemberId voted = kNobody;
    Snapshot snapshot;
    std::vector<Entry> entries;  // from snapshot.index + 1 on
};

}  // namespace cobaltshift::raft
