// Transfer of a snapshot in pieces, one sender for each member that lags behind the log, one receiver in each
// member. Entry types: SnapshotSender, SnapshotReceiver. Called by RaftNode; free of I/O.
//
// Invariants:
//   the sender has at most kSnapshotWindowBytes out that are not acknowledged, so that heartbeats and entries
//   pass between pieces; it goes on from the last acknowledged byte, also after loss
//   the receiver holds one snapshot at a time, of kMaxSnapshotBytes at most, and hands out none whose digest
//   is not the one announced; what it holds of the same snapshot is kept across changes of the leader
#pragma once

#include <cstddef>
#include <memory>
#include <optional>

#include "raft/types.hpp"

namespace cobaltshift::raft {

constexpr std::size_t kSnapshotPieceBytes = 64 * 1024;
constexpr std::size_t kSnapshotWindowBytes = 2 * kSnapshotPieceBytes;

// XXH3 of a snapshot's data: two snapshots of one index, term and digest are the same bytes.
std::uint64_t digest_of(const Snapshot& snapshot);

class SnapshotSender {
public:
    SnapshotSender(std::shared_ptr<const Snapshot> snapshot, Millis now);

    const Snapshot& snapshot() const { return *snapshot_; }
    // The next piece inside the window; none: all is out, or the window is full.
    std::optional<SnapshotPiece> next_piece();
    // The receiver wants the byte at `offset` next. Offsets past the end are ignored.
    void on_received(Millis now, std::size_t offset);
    // Without progress for `after` ms, what is not acknowledged is sent again by next_piece().
    void retry_if_stalled(Millis now, Millis after);

    std::size_t acknowledged() const { return acknowledged_; }
    std::size_t sent() const { return sent_; }

private:
    std::shared_ptr<const Snapshot> snapshot_;
    std::uint64_t digest_ = 0;
    std::size_t acknowledged_ = 0, sent_ = 0;
    bool empty_sent_ = false;  // a snapshot without data goes out as one empty piece
    Millis progressed_at_ = 0;
};

struct PartialSnapshot {
    Snapshot snapshot;  // its data as far as it has come
    std::uint64_t total = 0, digest = 0;
};

class SnapshotReceiver {
public:
    // The byte that is wanted next. A piece of another snapshot than the one held begins anew.
    std::size_t on_piece(const SnapshotPiece& piece);
    // The snapshot, once it is complete and its digest is the announced one; it is held no longer then. One
    // that is complete and of another digest is dropped.
    std::optional<Snapshot> take_complete();

    std::size_t held_bytes() const { return held_ ? held_->snapshot.data.size() : 0; }

private:
    std::optional<PartialSnapshot> held_;
};

}  // namespace cobaltshift::raft
