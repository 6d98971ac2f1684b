// Transfer of a snapshot in pieces: the leader has one SnapshotSender for each member that lags behind the
// compacted log, and each member has one SnapshotReceiver. Used by RaftNode. Free of I/O.
//
// Invariants:
//   The sender has at most kSnapshotWindowBytes in flight, so that heartbeats and entries are not delayed
//   behind the snapshot. After a loss it continues from the last acknowledged byte.
//   The receiver holds one snapshot at a time, of at most kMaxSnapshotBytes, and returns it only if its
//   digest is the one announced. A partial snapshot survives a change of leader if the next one sends the
//   same.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>

#include "raft/types.hpp"

namespace cobaltshift::raft {

constexpr std::size_t kSnapshotPieceBytes = 64 * 1024;
constexpr std::size_t kSnapshotWindowBytes = 2 * kSnapshotPieceBytes;

// XXH3 of the snapshot's data. Snapshots with equal index, term, size and digest are treated as identical.
std::uint64_t digest_of(const Snapshot& snapshot);

class SnapshotSender {
public:
    SnapshotSender(std::shared_ptr<const Snapshot> snapshot, Millis now);

    const Snapshot& snapshot() const { return *snapshot_; }
    // The next piece to send. None: everything has been sent, or the window is full.
    std::optional<SnapshotPiece> next_piece();
    // The receiver expects the byte at `offset` next. Offsets past the end are ignored; an offset below the
    // acknowledged one means that it has lost its partial snapshot.
    void on_received(Millis now, std::size_t offset);
    // After `after` ms without progress, next_piece() starts again at the first unacknowledged byte.
    void retry_if_stalled(Millis now, Millis after);

    std::size_t acknowledged() const { return acknowledged_; }
    std::size_t sent() const { return sent_; }

private:
    std::shared_ptr<const Snapshot> snapshot_;
    std::uint64_t digest_ = 0;
    std::size_t acknowledged_ = 0, sent_ = 0;
    bool empty_sent_ = false;  // a snapshot without data is sent as one empty piece
    Millis progressed_at_ = 0;
};

struct PartialSnapshot {
    Snapshot snapshot;  // `data` holds the bytes received so far
    std::uint64_t total = 0, digest = 0;
};

class SnapshotReceiver {
public:
    // Stores the piece if it is the next one and returns the offset of the next byte expected. A piece of
    // another snapshot than the one held discards that one.
    std::size_t on_piece(const SnapshotPiece& piece);
    // Releases the snapshot if it is complete and its digest matches. A complete snapshot with a wrong digest
    // is discarded.
    std::optional<Snapshot> take_complete();

    std::size_t held_bytes() const { return held_ ? held_->snapshot.data.size() : 0; }

private:
    std::optional<PartialSnapshot> held_;
};

}  // namespace cobaltshift::raft
