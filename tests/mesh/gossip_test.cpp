// Gossip among many nodes in virtual time: what they learn, how fast, and how many datagrams it takes.
#include <doctest/doctest.h>

#include <functional>

#include "gossip_world.hpp"

using namespace cobaltshift;
using registry::MemberState;
using test::GossipWorld;

namespace {

constexpr double kMinute = 60'000;

GossipWorld converged_world(std::size_t nodes, std::uint64_t seed, double loss = 0) {
    GossipWorld world(nodes, seed, loss);
    world.start_all();
    const auto converged_at = world.run_until(world.now + 20'000, [&] { return world.converged(); });
    REQUIRE(converged_at);
    world.run(world.now + 3000);
    return world;
}

void check_idle_load(std::size_t nodes) {
    GossipWorld world = converged_world(nodes, 5);
    const auto sent = world.sent(), bytes = world.bytes(), wakes = world.wakes();
    const double began = world.now;
    world.run(world.now + (nodes > 100 ? kMinute / 3 : kMinute));
    const double node_seconds = (world.now - began) / 1000 * static_cast<double>(nodes);
    const double datagrams = static_cast<double>(world.sent() - sent) / node_seconds;
    MESSAGE(nodes << " idle nodes, per node and second: " << datagrams << " datagrams sent, "
                  << static_cast<double>(world.bytes() - bytes) / node_seconds << " bytes, "
                  << static_cast<double>(world.wakes() - wakes) / node_seconds << " wake-ups");
    CHECK(datagrams < 6);
    CHECK(world.converged());
}

}  // namespace

TEST_CASE("gossip: all nodes learn of all others, for any cluster size") {
    for (const std::size_t nodes : {15, 30, 60, 300}) {
        GossipWorld world(nodes, nodes);
        const double began = world.now;
        world.start_all();
        const auto converged_at = world.run_until(world.now + 20'000, [&] { return world.converged(); });
        REQUIRE(converged_at);
        MESSAGE(nodes << " nodes started at once converged after " << *converged_at - began
                      << " ms; largest datagram " << world.largest_datagram
                      << " bytes; datagrams sent per node "
                      << static_cast<double>(world.sent()) / static_cast<double>(nodes));
        CHECK(*converged_at - began < 4000);
        world.run(world.now + 2000);
        for (const auto& node : world.nodes) CHECK(node.gossip->joined());
        CHECK(world.largest_datagram <= gossip::kMaxDatagramBytes);
        CHECK(world.undecodable == 0);
    }
}

TEST_CASE("gossip: the load of an idle node does not grow with the cluster") {
    for (const std::size_t nodes : {15, 30, 60, 300}) check_idle_load(nodes);
}

TEST_CASE("gossip: updates reach all nodes soon, without loss and with 10 % loss") {
    for (const std::size_t nodes : {15, 30, 60, 300})
        for (const double loss : {0.0, 0.1}) {
            GossipWorld world = converged_world(nodes, 11 + nodes);
            world.loss = loss;
            double worst = 0, total = 0;
            const auto sent = world.sent();
            const double began = world.now;
            const int times = 30;
            for (int i = 0; i < times; ++i) {
                const std::size_t sender = 3 + static_cast<std::size_t>(i * 7) % (nodes - 3);
                const double sent_at = world.now;
                world.update(sender, [](auto& record) { record.server.value().capacity += 1; });
                const auto known_at =
                    world.run_until(sent_at + 5000, [&] { return world.all_current(sender); });
                REQUIRE(known_at);
                worst = std::max(worst, *known_at - sent_at);
                total += *known_at - sent_at;
                world.run(world.now + 300);
            }
            const double idle_datagrams = 4 * (world.now - began) / 1000 * static_cast<double>(nodes);
            MESSAGE(nodes << " nodes, loss " << loss << ": updates reached all nodes after " << total / times
                          << " ms on average, " << worst << " ms at worst; "
                          << (static_cast<double>(world.sent() - sent) - idle_datagrams) / times /
                                 static_cast<double>(nodes)
                          << " datagrams per node and update more than when idle");
            CHECK(worst < (loss > 0 ? 2000 : 300));
        }
}

TEST_CASE("gossip: a change of call_seq alone is not sent") {
    GossipWorld world = converged_world(15, 2);
    const auto seq = world.nodes[5].gossip->self().seq;
    world.update(5, [](auto& record) { record.server->call_seq += 1; });
    CHECK(world.nodes[5].gossip->self().seq == seq);
}

TEST_CASE("gossip: no live node is removed at 5 % loss") {
    GossipWorld world = converged_world(60, 3, 0.05);
    std::size_t gone = 0, suspected = 0;
    world.on_change = [&](std::size_t at, std::uint32_t ip) {
        const auto* entry = world.nodes[at].gossip->registry().find(ip);
        gone += entry && entry->state == MemberState::gone;
        suspected += entry && entry->state == MemberState::suspect;
    };
    world.run(world.now + 10 * kMinute);
    MESSAGE("60 nodes, 10 minutes, 5 % loss: suspicions seen " << suspected << ", removals seen " << gone);
    CHECK(gone == 0);
    CHECK(world.run_until(world.now + 3000, [&] { return world.converged(); }));
}

TEST_CASE("gossip: a killed node is gone on all others within 4 s in nine of ten runs") {
    for (const std::size_t nodes : {15, 30, 60, 300}) {
        GossipWorld world = converged_world(nodes, 20 + nodes, 0.01);
        double worst = 0, total = 0;
        int slow = 0;
        const int times = 10;
        for (int i = 0; i < times; ++i) {
            const std::size_t victim = 3 + static_cast<std::size_t>(i);
            const double killed = world.now;
            world.kill(victim);
            const auto gone_at =
                world.run_until(killed + 20'000, [&] { return world.all_see(victim, MemberState::gone); });
            REQUIRE(gone_at);
            worst = std::max(worst, *gone_at - killed);
            total += *gone_at - killed;
            slow += *gone_at - killed > 4000;
            world.run(world.now + 500);
        }
        MESSAGE(nodes << " nodes: a killed node is gone on all others after " << total / times
                      << " ms on average, " << worst << " ms at worst");
        // The probe order is random, so the time to detection has a tail.
        CHECK(slow <= 1);
        CHECK(worst < 5500);
        CHECK(total / times < 2600);
    }
}

TEST_CASE("gossip: a hint from a connection speeds up the removal of a dead node") {
    GossipWorld world = converged_world(30, 4);
    world.kill(9);
    const double killed = world.now;
    world.nodes[12].gossip->unreachable(world.now, GossipWorld::ip_of(9));
    const auto gone = world.run_until(killed + 5000, [&] { return world.all_see(9, MemberState::gone); });
    REQUIRE(gone);
    CHECK(*gone - killed < 2200);
}

TEST_CASE("gossip: after a partition of 6 s both halves converge within 3 s") {
    for (const std::size_t nodes : {15, 30, 60}) {
        GossipWorld world = converged_world(nodes, 30 + nodes);
        const auto first = [](std::size_t i) { return i % 2 == 0; };
        world.partition(first, true);
        world.run(world.now + 6000);
        CHECK(world.state(0, 1) != MemberState::alive);
        // Within each half the nodes still see each other alive.
        CHECK(world.state(0, 2) == MemberState::alive);
        CHECK(world.state(1, 3) == MemberState::alive);
        world.partition(first, false);
        const double healed = world.now;
        std::size_t own_half = 0;
        world.on_change = [&](std::size_t at, std::uint32_t ip) {
            const auto* entry = world.nodes[at].gossip->registry().find(ip);
            own_half += entry && entry->state == MemberState::gone && first(at) == first(world.index_of(ip));
        };
        const auto converged_at = world.run_until(healed + 20'000, [&] { return world.converged(); });
        REQUIRE(converged_at);
        MESSAGE(nodes << " nodes: converged " << *converged_at - healed
                      << " ms after a partition into halves healed");
        CHECK(*converged_at - healed < 3000);
        CHECK(own_half == 0);
    }
}

TEST_CASE("gossip: halves that have purged each other rejoin through the seeds") {
    GossipWorld world = converged_world(15, 6);
    const auto first = [](std::size_t i) { return i % 2 == 0; };
    world.partition(first, true);
    world.run(world.now + 3 * kMinute);
    world.partition(first, false);
    const double healed = world.now;
    const auto converged_at = world.run_until(healed + 30'000, [&] { return world.converged(); });
    REQUIRE(converged_at);
    CHECK(*converged_at - healed < 10'000);
}

TEST_CASE("gossip: an isolated node declares no other gone, and is gone for the others") {
    GossipWorld world = converged_world(30, 7);
    for (const int direction : {0, 1, 2}) {  // both directions, outgoing only, incoming only
        const auto one = [](std::size_t i) { return i == 10; };
        for (std::size_t other = 0; other < 30; ++other) {
            if (other == 10) continue;
            if (direction != 2) world.cut(10, other, true);
            if (direction != 1) world.cut(other, 10, true);
        }
        const double began = world.now;
        std::size_t removed_by_it = 0, removed_others = 0;
        world.on_change = [&](std::size_t at, std::uint32_t ip) {
            const auto* entry = world.nodes[at].gossip->registry().find(ip);
            if (!entry || entry->state != MemberState::gone) return;
            removed_by_it += at == 10;
            removed_others += at != 10 && ip != GossipWorld::ip_of(10);
        };
        CAPTURE(direction);
        CHECK(world.run_until(began + 5000, [&] { return world.all_see(10, MemberState::gone); }));
        world.run(began + 10'000);
        CHECK(removed_by_it == 0);
        CHECK(removed_others == 0);
        world.partition(one, false);
        CHECK(world.run_until(world.now + 5000, [&] { return world.converged(); }));
        world.run(world.now + 3000);
    }
}

TEST_CASE("gossip: a node that was frozen removes no other, and its outdated records do not win") {
    GossipWorld world = converged_world(30, 8);
    world.freeze(12);
    world.run(world.now + 5000);
    CHECK(world.all_see(12, MemberState::gone));
    world.update(5, [](auto& record) { record.server->edition = "v2"; });
    world.update(6, [](auto& record) { record.leaving = true; });
    world.kill(7);
    world.run(world.now + 4000);
    world.start(7);
    world.run(world.now + 1000);
    const auto seventh = world.nodes[7].gossip->self();
    std::size_t removed = 0;
    world.on_change = [&](std::size_t at, std::uint32_t ip) {
        const auto* entry = world.nodes[at].gossip->registry().find(ip);
        removed += entry && entry->state == MemberState::gone;
    };
    world.thaw(12);
    const auto converged_at = world.run_until(world.now + 5000, [&] { return world.converged(); });
    CHECK(converged_at);
    CHECK(removed == 0);
    CHECK(world.nodes[20].gossip->registry().find(GossipWorld::ip_of(5))->record.server->edition == "v2");
    CHECK(world.nodes[12].gossip->registry().find(GossipWorld::ip_of(6))->record.leaving);
    CHECK(registry::same_version(world.nodes[12].gossip->registry().find(GossipWorld::ip_of(7))->record,
                                 seventh));
}

TEST_CASE("gossip: a node that restarts at once learns its last incarnation and takes a higher one") {
    GossipWorld world = converged_world(15, 9);
    for (int i = 0; i < 12; ++i) {  // incarnations start at random: about half of them lower than before
        const auto before = world.nodes[8].gossip->self();
        world.kill(8);
        world.run(world.now + 300);
        world.start(8);
        const double began = world.now;
        const auto known = world.run_until(began + 3000, [&] { return world.all_current(8); });
        REQUIRE(known);
        CHECK(*known - began < 1000);
        CHECK(world.nodes[8].gossip->self().incarnation > before.incarnation);
        world.run(world.now + 500);
        CHECK(world.nodes[8].gossip->joined());
    }
}

// What a proxy promised its server must outlive the proxy: the others' record of it is its only memory.
TEST_CASE("gossip: a restarted node is told its former record before it replaces it, with loss too") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GossipWorld world = converged_world(15, seed);
        world.loss = 0.1;
        for (int i = 0; i < 3; ++i) {
            world.update(8, [](registry::NodeRecord& own) {
                own.server = registry::ServerRecord{"i-closing", "huvo11a", "v1", 8080, 18, true};
            });
            world.run(world.now + 1500);
            world.kill(8);
            world.run(world.now + 300);
            world.start(8);
            const auto settled = world.run_until(
                world.now + 3000, [&] { return world.nodes[8].gossip->former_self_settled(); });
            REQUIRE(settled);
            const auto& former = world.nodes[8].gossip->former_self();
            REQUIRE(former);
            REQUIRE(former->server);
            CHECK(former->server->instance_id == "i-closing");
            CHECK(former->server->closing);
            world.run(world.now + 500);
        }
    }
}

TEST_CASE("gossip: half of the nodes killed at once, then all") {
    GossipWorld world = converged_world(30, 10, 0.01);
    for (std::size_t i = 1; i < 30; i += 2) world.kill(i);
    double at = world.now;
    const auto survivors_converged_at = world.run_until(at + 20'000, [&] { return world.converged(); });
    REQUIRE(survivors_converged_at);
    MESSAGE("30 nodes, half killed: seen by all others after " << *survivors_converged_at - at << " ms");
    CHECK(*survivors_converged_at - at < 8000);
    for (std::size_t i = 1; i < 30; i += 2) world.start(i);
    at = world.now;
    const auto restarted_converged_at = world.run_until(at + 20'000, [&] { return world.converged(); });
    REQUIRE(restarted_converged_at);
    MESSAGE("30 nodes, half restarted: converged after " << *restarted_converged_at - at << " ms");
    CHECK(*restarted_converged_at - at < 3000);
    for (std::size_t i = 0; i < 30; ++i) world.kill(i);
    world.run(world.now + 700);
    world.start_all();
    at = world.now;
    const auto all_converged_at = world.run_until(at + 20'000, [&] { return world.converged(); });
    REQUIRE(all_converged_at);
    MESSAGE("30 nodes, all restarted at once: converged after " << *all_converged_at - at << " ms");
    CHECK(*all_converged_at - at < 3000);
}

TEST_CASE("gossip: half of the nodes killed and restarted within a second") {
    GossipWorld world = converged_world(30, 12, 0.01);
    for (std::size_t i = 0; i < 30; i += 2) world.kill(i);  // among them two of the three seeds
    world.run(world.now + 800);
    for (std::size_t i = 0; i < 30; i += 2) world.start(i);
    const double at = world.now;
    const auto converged_at = world.run_until(at + 20'000, [&] { return world.converged(); });
    REQUIRE(converged_at);
    CHECK(*converged_at - at < 3000);
}

TEST_CASE("gossip: with all seeds dead the others go on, and a restarted node is found") {
    GossipWorld world = converged_world(15, 13);
    for (std::size_t i = 0; i < 3; ++i) world.kill(i);
    world.run(world.now + 6000);
    CHECK(world.converged());
    world.kill(9);
    world.run(world.now + 5000);
    world.start(9);  // no seed to ask: the nodes that still have it as gone probe it
    const auto converged_at = world.run_until(world.now + 10'000, [&] { return world.converged(); });
    CHECK(converged_at);
}

TEST_CASE("gossip: a newer configuration edition is reported at once, and again with each probe") {
    GossipWorld world = converged_world(15, 14);
    std::vector<std::size_t> reports(15);
    world.on_edition = [&](std::size_t at, std::uint64_t edition) { reports[at] += edition == 9; };
    world.update(4, [](auto& record) { record.config_edition = 9; });
    world.run(world.now + 300);
    for (std::size_t i = 0; i < 15; ++i) CHECK((reports[i] > 0) == (i != 4));
    const auto first = reports;
    world.run(world.now + 20'000);
    for (std::size_t i = 0; i < 15; ++i)
        if (i != 4) CHECK(reports[i] > first[i]);
}

TEST_CASE("gossip: a server's warm-up counts down on every node that holds its record") {
    GossipWorld world = converged_world(15, 15);
    world.update(5, [](auto& record) { record.server.value().warmup_left_s = 4; });
    world.run(world.now + 1500);
    world.start(7);  // learns the record later, from other nodes
    world.run(world.now + 1000);
    const auto* entry = world.nodes[7].gossip->registry().find(GossipWorld::ip_of(5));
    REQUIRE(entry);
    const double warmup_left_s = registry::Registry::current_record(world.now, *entry).server->warmup_left_s;
    CHECK(warmup_left_s > 1.3);
    CHECK(warmup_left_s < 1.7);
}

TEST_CASE("gossip: the broadcast tree settles: each node gets an update pushed once") {
    GossipWorld world = converged_world(60, 16);
    for (int i = 0; i < 10; ++i) {
        world.update(5, [](auto& record) { record.server.value().capacity += 1; });
        world.run(world.now + 500);
    }
    std::uint64_t duplicates_before = 0;
    for (const auto& node : world.nodes) duplicates_before += node.gossip->counts().duplicates;
    world.update(9, [](auto& record) { record.server.value().capacity += 1; });
    world.run(world.now + 500);
    std::uint64_t duplicates_after = 0;
    std::size_t eager = 0;
    for (const auto& node : world.nodes) {
        duplicates_after += node.gossip->counts().duplicates;
        for (const auto& link : node.gossip->links()) eager += link.eager;
    }
    CHECK(duplicates_after - duplicates_before <= 3);
    CHECK(eager <= 2 * 59 + 10);  // a spanning tree has 59 edges, each with two ends
}

TEST_CASE("gossip: a node that leaves and said so is gone on all others at once") {
    GossipWorld world = converged_world(30, 17);
    world.update(9, [](auto& record) { record.leaving = true; });
    world.run(world.now + 1000);
    world.leave(9);
    const double left = world.now;
    const auto gone = world.run_until(left + 5000, [&] { return world.all_see(9, MemberState::gone); });
    REQUIRE(gone);
    CHECK(*gone - left < 300);
}

TEST_CASE("gossip: a node reported gone without a known suspicion is asked first") {
    GossipWorld world = converged_world(15, 18);
    std::size_t removed = 0;
    world.on_change = [&](std::size_t at, std::uint32_t ip) {
        const auto* entry = world.nodes[at].gossip->registry().find(ip);
        removed += entry && entry->state == MemberState::gone;
    };
    const auto& ninth = world.nodes[9].gossip->self();
    const auto& third = world.nodes[3].gossip->self();
    gossip::Message message;
    message.kind = gossip::Kind::push;
    message.from = {third.ip, third.incarnation, third.seq, 0, 0};
    message.keys = {{ninth.ip, ninth.incarnation, ninth.seq, MemberState::gone}};
    world.receive(5, message);
    CHECK(world.state(5, 9) == MemberState::suspect);
    CHECK(world.run_until(world.now + 500, [&] { return world.converged(); }));
    world.run(world.now + 5000);
    CHECK(removed == 0);
    CHECK(world.converged());
}

TEST_CASE("gossip: an answer from a gone node triggers a probe; only its own record revives it") {
    GossipWorld world = converged_world(15, 19);
    world.freeze(9);
    world.run(world.now + 5000);
    REQUIRE(world.state(5, 9) == MemberState::gone);
    const auto sent = world.nodes[5].sent;
    for (int i = 0; i < 3; ++i) world.reachable(5, 9);
    CHECK(world.nodes[5].sent == sent + 1);
    CHECK(world.state(5, 9) == MemberState::gone);
    world.thaw(9);
    CHECK(world.run_until(world.now + 500, [&] { return world.state(5, 9) == MemberState::alive; }));
}

TEST_CASE("gossip: two nodes that cannot reach each other stay alive through indirect probes") {
    GossipWorld world = converged_world(15, 20);
    world.cut(5, 9, true);
    world.cut(9, 5, true);
    std::size_t suspected = 0;
    world.on_change = [&](std::size_t at, std::uint32_t ip) {
        const auto* entry = world.nodes[at].gossip->registry().find(ip);
        suspected += entry && entry->state != MemberState::alive;
    };
    world.run(world.now + kMinute);
    CHECK(suspected == 0);
}

TEST_CASE("gossip: a probe tells its target the state it is in, and the target refutes it") {
    GossipWorld world = converged_world(15, 21);
    const auto ninth = world.nodes[9].gossip->self();
    const auto& third = world.nodes[3].gossip->self();
    gossip::Message message;
    message.kind = gossip::Kind::probe;
    message.from = {third.ip, third.incarnation, third.seq, 0, world.nodes[3].gossip->registry().digest()};
    message.target = {ninth.ip, ninth.incarnation, ninth.seq, MemberState::suspect};
    world.receive(9, message);
    CHECK(world.nodes[9].gossip->self().seq == ninth.seq + 1);
    CHECK(world.nodes[9].gossip->self().incarnation == ninth.incarnation);
    CHECK(world.run_until(world.now + 300, [&] { return world.all_current(9); }));
    // An incarnation that the node does not know.
    message.target = {ninth.ip, ninth.incarnation + 5, 1, MemberState::alive};
    world.receive(9, message);
    CHECK(world.nodes[9].gossip->self().incarnation == ninth.incarnation + 6);
}
