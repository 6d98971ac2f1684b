#include "raft/snapshot_transfer.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "raft/raft_node.hpp"

namespace cobaltshift::raft {

std::uint64_t digest_of(const Snapshot& snapshot) {
    return XXH3_64bits(snapshot.data.data(), snapshot.data.size());
}

// ---- Sending ---------------------------------------------------------------------------------------------

SnapshotSender::SnapshotSender(std::shared_ptr<const Snapshot> snapshot, Millis now)
    : snapshot_(std::move(snapshot)), digest_(digest_of(*snapshot_)), progressed_at_(now) {}

std::optional<SnapshotPiece> SnapshotSender::next_piece() {
    const std::string& data = snapshot_->data;
    if (data.empty() ? empty_sent_ : sent_ >= data.size()) return {};
    if (sent_ >= acknowledged_ + kSnapshotWindowBytes) return {};
    const std::size_t size = std::min(kSnapshotPieceBytes, data.size() - sent_);
    SnapshotPiece piece;
    piece.index = snapshot_->index;
    piece.term = snapshot_->term;
    piece.members = snapshot_->members;
    piece.offset = sent_;
    piece.total = data.size();
    piece.digest = digest_;
    piece.data = data.substr(sent_, size);
    sent_ += size;
    empty_sent_ = true;
    return piece;
}

void SnapshotSender::on_received(Millis now, std::size_t offset) {
    if (offset > snapshot_->data.size()) return;
    if (offset < acknowledged_) {  // the receiver has lost its partial snapshot
        acknowledged_ = sent_ = offset;
        progressed_at_ = now;
    } else if (offset > acknowledged_) {
        acknowledged_ = offset;
        sent_ = std::max(sent_, offset);
        progressed_at_ = now;
    }
}

void SnapshotSender::retry_if_stalled(Millis now, Millis after) {
    if (now < progressed_at_ + after) return;
    sent_ = acknowledged_;
    empty_sent_ = false;
    progressed_at_ = now;
}

// ---- Receiving -------------------------------------------------------------------------------------------

std::size_t SnapshotReceiver::on_piece(const SnapshotPiece& piece) {
    const bool same = held_ && held_->snapshot.index == piece.index && held_->snapshot.term == piece.term &&
                      held_->total == piece.total && held_->digest == piece.digest;
    if (!same) {
        held_.emplace();
        held_->snapshot.index = piece.index;
        held_->snapshot.term = piece.term;
        held_->snapshot.members = piece.members;
        held_->total = piece.total;
        held_->digest = piece.digest;
    }
    std::string& data = held_->snapshot.data;
    const bool fits = piece.data.size() <= held_->total - std::min<std::uint64_t>(data.size(), held_->total);
    if (piece.offset == data.size() && fits) data += piece.data;
    return data.size();
}

std::optional<Snapshot> SnapshotReceiver::take_complete() {
    if (!held_ || held_->snapshot.data.size() < held_->total) return {};
    const PartialSnapshot held = *std::exchange(held_, std::nullopt);
    if (digest_of(held.snapshot) != held.digest) return {};
    return held.snapshot;
}

// ---- RaftNode --------------------------------------------------------------------------------------------

// Sends as many pieces as the window allows to a member that needs entries which were compacted.
void RaftNode::send_snapshot(Millis now, MemberId to, Peer& peer) {
    if (!peer.transfer || peer.transfer->snapshot().index != snapshot_.index) {
        peer.transfer.emplace(std::make_shared<const Snapshot>(snapshot_), now);
        ++counts_.snapshots_sent;
    }
    peer.transfer->retry_if_stalled(now, settings_.election);
    while (auto piece = peer.transfer->next_piece()) {
        Message m = message(Message::Kind::snapshot_piece, to);
        m.round = round_;
        m.piece = std::make_shared<const SnapshotPiece>(std::move(*piece));
        out_.push_back(std::move(m));
    }
}

void RaftNode::on_snapshot_piece(Millis now, const Message& m) {
    auto accepted = accept_leader_message(now, m);
    if (!accepted) return;
    Message& answer = *accepted;
    if (m.piece->index <= commit_) {  // everything in it is committed here already
        answer.ok = true;
        answer.index = commit_;
        out_.push_back(std::move(answer));
        return;
    }
    const std::size_t wanted = receiver_.on_piece(*m.piece);
    if (const auto whole = receiver_.take_complete()) {
        install(*whole);
        answer.ok = true;
        answer.index = commit_;
        answer.last = last();
        out_.push_back(std::move(answer));
        return;
    }
    answer.kind = Message::Kind::snapshot_received;
    answer.index = m.piece->index;
    answer.offset = wanted;
    out_.push_back(std::move(answer));
}

void RaftNode::install(const Snapshot& snapshot) {
    const bool log_continues = snapshot.index <= last() && term_at(snapshot.index) == snapshot.term;
    if (log_continues)
        log_.erase(log_.begin(),
                   log_.begin() + static_cast<std::ptrdiff_t>(snapshot.index - snapshot_.index));
    else
        log_.clear();
    snapshot_ = snapshot;
    snapshot_changed_ = restored_ = true;
    commit_ = applied_ = snapshot.index;
    // Persisting the snapshot replaces the stored log, so the remaining entries are written again.
    persisted_index_ = snapshot.index;
    unpersisted_from_ = log_.empty() ? 0 : first();
    reload_members();
}

void RaftNode::on_snapshot_received(Millis now, const Message& m) {
    Peer* peer = accept_member_response(now, m);
    if (!peer) return;
    if (peer->transfer && peer->transfer->snapshot().index == m.index) {
        peer->transfer->on_received(now, m.offset);
        send_snapshot(now, m.from, *peer);
    }
    confirm_reads();
}

}  // namespace cobaltshift::raft
