// Snapshot transfer in pieces, and leadership transfer between control nodes.
#include "raft/snapshot_transfer.hpp"

#include <doctest/doctest.h>

#include "replica_world.hpp"

using namespace cobaltshift;
using raft::Snapshot;
using raft::SnapshotPiece;
using raft::SnapshotReceiver;
using raft::SnapshotSender;

namespace {

std::shared_ptr<const Snapshot> a_snapshot(std::size_t bytes, raft::Index index = 9) {
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->index = index, snapshot->term = 3;
    snapshot->members = {{1, 1, true}};
    for (std::size_t i = 0; i < bytes; ++i) snapshot->data += static_cast<char>(i * 131 >> 3);
    return snapshot;
}

std::vector<SnapshotPiece> window(SnapshotSender& sender) {
    std::vector<SnapshotPiece> all;
    while (auto piece = sender.next_piece()) all.push_back(std::move(*piece));
    return all;
}

}  // namespace

TEST_CASE("snapshot transfer: pieces in flight stay within the window and the snapshot arrives intact") {
    const auto snapshot = a_snapshot(5 * raft::kSnapshotPieceBytes + 17);
    SnapshotSender sender(snapshot, 0);
    SnapshotReceiver receiver;
    std::optional<Snapshot> got;
    for (int rounds = 0; !got && rounds < 20; ++rounds) {
        const auto pieces = window(sender);
        REQUIRE(!pieces.empty());
        CHECK(sender.sent() <= sender.acknowledged() + raft::kSnapshotWindowBytes);
        for (const SnapshotPiece& piece : pieces) sender.on_received(rounds, receiver.on_piece(piece));
        got = receiver.take_complete();
    }
    REQUIRE(got);
    CHECK(*got == *snapshot);
    CHECK(receiver.held_bytes() == 0);
}

TEST_CASE("snapshot transfer: lost pieces are sent again from the last byte received, after a time-out") {
    const auto snapshot = a_snapshot(3 * raft::kSnapshotPieceBytes);
    SnapshotSender sender(snapshot, 0);
    SnapshotReceiver receiver;
    sender.on_received(10, receiver.on_piece(window(sender).front()));  // the second piece is lost
    window(sender);                                                     // and the third
    sender.retry_if_stalled(100, 450);
    CHECK(window(sender).empty());
    sender.retry_if_stalled(500, 450);
    for (const SnapshotPiece& piece : window(sender)) {
        CHECK(piece.offset >= raft::kSnapshotPieceBytes);
        receiver.on_piece(piece);
    }
    CHECK(receiver.take_complete() == *snapshot);
}

TEST_CASE("snapshot transfer: a new leader continues where the former one stopped") {
    const auto snapshot = a_snapshot(3 * raft::kSnapshotPieceBytes);
    SnapshotReceiver receiver;
    SnapshotSender former(snapshot, 0), later(snapshot, 0);
    receiver.on_piece(*former.next_piece());
    later.on_received(1, receiver.on_piece(*later.next_piece()));
    CHECK(later.acknowledged() == raft::kSnapshotPieceBytes);
    for (const SnapshotPiece& piece : window(later)) receiver.on_piece(piece);
    CHECK(receiver.take_complete() == *snapshot);
}

TEST_CASE("snapshot transfer: mixed, reordered or corrupt pieces produce no snapshot") {
    const auto snapshot = a_snapshot(2 * raft::kSnapshotPieceBytes), other = a_snapshot(100, 10);
    SnapshotSender sender(snapshot, 0), another(other, 0);
    auto pieces = window(sender);
    SnapshotReceiver receiver;
    CHECK(receiver.on_piece(pieces[1]) == 0);  // the first is missing
    CHECK_FALSE(receiver.take_complete());
    CHECK(receiver.on_piece(pieces[0]) == raft::kSnapshotPieceBytes);
    CHECK(receiver.on_piece(*another.next_piece()) == 100);  // discards the partial snapshot
    CHECK(receiver.take_complete() == *other);
    receiver.on_piece(pieces[0]);
    pieces[1].data[5] ^= 1;
    receiver.on_piece(pieces[1]);
    CHECK_FALSE(receiver.take_complete());
    CHECK(receiver.held_bytes() == 0);
}

TEST_CASE("snapshot transfer: a snapshot without data is sent as one empty piece") {
    auto empty = std::make_shared<Snapshot>();
    empty->index = 4, empty->term = 2;
    SnapshotSender sender(empty, 0);
    SnapshotReceiver receiver;
    receiver.on_piece(*sender.next_piece());
    CHECK_FALSE(sender.next_piece());
    CHECK(receiver.take_complete() == *empty);
}

TEST_CASE("control: a leader that stops transfers the leadership without an election timeout") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        control::ReplicaWorld world(seed);
        const std::uint32_t old = world.await_leader();
        world.run(500);
        REQUIRE(world.hand_over(old));
        CHECK(world.await([&] { return world.leader() != 0 && world.leader() != old; }, 60));
        // A stopping leader answers no reads: it redirects callers or turns them away.
        const auto reply = world.await(world.get(old));
        CHECK((reply.kind == control::Reply::Kind::elsewhere ||
               reply.kind == control::Reply::Kind::unavailable));
    }
}

TEST_CASE("control: a leadership transfer whose message is lost times out and the leader continues") {
    control::ReplicaWorld world(3);
    const std::uint32_t old = world.await_leader();
    world.run(500);
    world.loss = 1;
    REQUIRE(world.hand_over(old));
    world.run(20);
    world.loss = 0;
    REQUIRE(world.await([&] { return world.leader() != 0; }, 2000));
    world.run(700);
    CHECK(world.await(world.get(world.leader())).kind == control::Reply::Kind::no_config);
}

TEST_CASE("control: a single member can't transfer its leadership") {
    control::ReplicaWorld world(4, {}, 1);
    const std::uint32_t only = world.await_leader();
    CHECK_FALSE(world.hand_over(only));
    CHECK(world.await(world.get(only)).kind == control::Reply::Kind::no_config);
}
