// Many Stations in virtual time: who learns what, when, and what it costs.
#include <doctest/doctest.h>

#include <functional>

#include "gossip_world.hpp"

using namespace cobaltshift;
using registry::Standing;
using test::NewsWorld;

namespace {

constexpr double kMinute = 60'000;

NewsWorld settled(std::size_t nodes, std::uint64_t seed, double loss = 0) {
    NewsWorld world(nodes, seed, loss);
    world.start_all();
    const auto whole = world.run_until(world.now + 20'000, [&] { return world.whole(); });
    REQUIRE(whole);
    world.run(world.now + 3000);
    return world;
}

void rest(std::size_t nodes) {
    NewsWorld world = settled(nodes, 5);
    const auto sent = world.sent(), bytes = world.bytes(), wakes = world.wakes();
    const double began = world.now;
    world.run(world.now + (nodes > 100 ? kMinute / 3 : kMinute));
    const double node_seconds = (world.now - began) / 1000 * static_cast<double>(nodes);
    const double datagrams = static_cast<double>(world.sent() - sent) / node_seconds;
    MESSAGE(nodes << " nodes at rest, a node and second: " << datagrams << " datagrams sent, "
                  << static_cast<double>(world.bytes() - bytes) / node_seconds << " bytes, "
                  << static_cast<double>(world.wakes() - wakes) / node_seconds << " wake-ups");
    CHECK(datagrams < 6);
    CHECK(world.whole());
}

}  // namespace

TEST_CASE("all learn of all, whatever the number") {
    for (const std::size_t nodes : {15, 30, 60, 300}) {
        NewsWorld world(nodes, nodes);
        const double began = world.now;
        world.start_all();
        const auto whole = world.run_until(world.now + 20'000, [&] { return world.whole(); });
        REQUIRE(whole);
        MESSAGE(nodes << " nodes started at once know one another after " << *whole - began
                      << " ms; largest datagram " << world.largest << " bytes; sent a node "
                      << static_cast<double>(world.sent()) / static_cast<double>(nodes));
        CHECK(*whole - began < 4000);
        world.run(world.now + 2000);
        for (const auto& node : world.nodes) CHECK(node.gossip->joined());
        CHECK(world.largest <= gossip::kMostBytes);
        CHECK(world.torn == 0);
    }
}

TEST_CASE("at rest the load of a node does not grow with the fleet") {
    for (const std::size_t nodes : {15, 30, 60, 300}) rest(nodes);
}

TEST_CASE("news reaches all soon, without loss and with a tenth lost") {
    for (const std::size_t nodes : {15, 30, 60, 300})
        for (const double loss : {0.0, 0.1}) {
            NewsWorld world = settled(nodes, 11 + nodes);
            world.loss = loss;
            double worst = 0, sum = 0;
            const auto sent = world.sent();
            const double began = world.now;
            const int times = 30;
            for (int i = 0; i < times; ++i) {
                const std::size_t who = 3 + static_cast<std::size_t>(i * 7) % (nodes - 3);
                const double told = world.now;
                world.tell(who, [](auto& record) { record.server.value().capacity += 1; });
                const auto known = world.run_until(told + 5000, [&] { return world.all_know(who); });
                REQUIRE(known);
                worst = std::max(worst, *known - told);
                sum += *known - told;
                world.run(world.now + 300);
            }
            const double rest = 4 * (world.now - began) / 1000 * static_cast<double>(nodes);
            MESSAGE(nodes << " nodes, loss " << loss << ": news known to all after " << sum / times
                          << " ms on average, " << worst << " ms at worst; "
                          << (static_cast<double>(world.sent() - sent) - rest) / times /
                                 static_cast<double>(nodes)
                          << " datagrams a node and news more than at rest");
            CHECK(worst < (loss > 0 ? 2000 : 300));
        }
}

TEST_CASE("a change of call_seq alone is nobody's news") {
    NewsWorld world = settled(15, 2);
    const auto seq = world.nodes[5].gossip->self().seq;
    world.tell(5, [](auto& record) { record.server->call_seq += 1; });
    CHECK(world.nodes[5].gossip->self().seq == seq);
}

TEST_CASE("nobody is removed falsely at five percent loss") {
    NewsWorld world = settled(60, 3, 0.05);
    std::size_t gone = 0, suspected = 0;
    world.changed = [&](std::size_t at, std::uint32_t ip) {
        const auto* entry = world.nodes[at].gossip->registry().find(ip);
        gone += entry && entry->standing == Standing::gone;
        suspected += entry && entry->standing == Standing::suspect;
    };
    world.run(world.now + 10 * kMinute);
    MESSAGE("60 nodes, 10 minutes, 5 % lost: suspicions seen " << suspected << ", removals seen " << gone);
    CHECK(gone == 0);
    CHECK(world.run_until(world.now + 3000, [&] { return world.whole(); }));
}

TEST_CASE("a killed node is gone for all within four seconds, nine times in ten") {
    for (const std::size_t nodes : {15, 30, 60, 300}) {
        NewsWorld world = settled(nodes, 20 + nodes, 0.01);
        double worst = 0, sum = 0;
        int longer = 0;
        const int times = 10;
        for (int i = 0; i < times; ++i) {
            const std::size_t who = 3 + static_cast<std::size_t>(i);
            const double killed = world.now;
            world.kill(who);
            const auto known =
                world.run_until(killed + 20'000, [&] { return world.all_hold(who, Standing::gone); });
            REQUIRE(known);
            worst = std::max(worst, *known - killed);
            sum += *known - killed;
            longer += *known - killed > 4000;
            world.run(world.now + 500);
        }
        MESSAGE(nodes << " nodes: a killed one is gone for all after " << sum / times << " ms on average, "
                      << worst << " ms at worst");
        // Who is probed when is drawn, so that there is a tail.
        CHECK(longer <= 1);
        CHECK(worst < 5500);
        CHECK(sum / times < 2600);
    }
}

TEST_CASE("a node that is doubted by a connection is gone sooner") {
    NewsWorld world = settled(30, 4);
    world.kill(9);
    const double killed = world.now;
    world.nodes[12].gossip->unreachable(world.now, NewsWorld::ip_of(9));
    const auto gone = world.run_until(killed + 5000, [&] { return world.all_hold(9, Standing::gone); });
    REQUIRE(gone);
    CHECK(*gone - killed < 2200);
}

TEST_CASE("a half that was cut off for six seconds is back within three") {
    for (const std::size_t nodes : {15, 30, 60}) {
        NewsWorld world = settled(nodes, 30 + nodes);
        const auto first = [](std::size_t i) { return i % 2 == 0; };
        world.cut_apart(first, true);
        world.run(world.now + 6000);
        CHECK(world.standing(0, 1) != Standing::alive);
        // Own halves stay whole.
        CHECK(world.standing(0, 2) == Standing::alive);
        CHECK(world.standing(1, 3) == Standing::alive);
        world.cut_apart(first, false);
        const double healed = world.now;
        std::size_t own_half = 0;
        world.changed = [&](std::size_t at, std::uint32_t ip) {
            const auto* entry = world.nodes[at].gossip->registry().find(ip);
            own_half += entry && entry->standing == Standing::gone && first(at) == first(world.place(ip));
        };
        const auto whole = world.run_until(healed + 20'000, [&] { return world.whole(); });
        REQUIRE(whole);
        MESSAGE(nodes << " nodes: whole again " << *whole - healed << " ms after a cut through half");
        CHECK(*whole - healed < 3000);
        CHECK(own_half == 0);
    }
}

TEST_CASE("halves that forgot each other find each other by the seeds") {
    NewsWorld world = settled(15, 6);
    const auto first = [](std::size_t i) { return i % 2 == 0; };
    world.cut_apart(first, true);
    world.run(world.now + 3 * kMinute);
    world.cut_apart(first, false);
    const double healed = world.now;
    const auto whole = world.run_until(healed + 30'000, [&] { return world.whole(); });
    REQUIRE(whole);
    CHECK(*whole - healed < 10'000);
}

TEST_CASE("who is cut off declares nobody gone, and is gone for the others") {
    NewsWorld world = settled(30, 7);
    for (const int way : {0, 1, 2}) {  // both ways; it can't be heard; it can't hear
        const auto one = [](std::size_t i) { return i == 10; };
        for (std::size_t other = 0; other < 30; ++other) {
            if (other == 10) continue;
            if (way != 2) world.cut(10, other, true);
            if (way != 1) world.cut(other, 10, true);
        }
        const double began = world.now;
        std::size_t removed_by_it = 0, removed_others = 0;
        world.changed = [&](std::size_t at, std::uint32_t ip) {
            const auto* entry = world.nodes[at].gossip->registry().find(ip);
            if (!entry || entry->standing != Standing::gone) return;
            removed_by_it += at == 10;
            removed_others += at != 10 && ip != NewsWorld::ip_of(10);
        };
        CAPTURE(way);
        CHECK(world.run_until(began + 5000, [&] { return world.all_hold(10, Standing::gone); }));
        world.run(began + 10'000);
        CHECK(removed_by_it == 0);
        CHECK(removed_others == 0);
        world.cut_apart(one, false);
        CHECK(world.run_until(world.now + 5000, [&] { return world.whole(); }));
        world.run(world.now + 3000);
    }
}

TEST_CASE("a frozen node that thaws removes nobody, and its old news does not win") {
    NewsWorld world = settled(30, 8);
    world.freeze(12);
    world.run(world.now + 5000);
    CHECK(world.all_hold(12, Standing::gone));
    world.tell(5, [](auto& record) { record.server->edition = "v2"; });
    world.tell(6, [](auto& record) { record.leaving = true; });
    world.kill(7);
    world.run(world.now + 4000);
    world.start(7);
    world.run(world.now + 1000);
    const auto seventh = world.nodes[7].gossip->self();
    std::size_t removed = 0;
    world.changed = [&](std::size_t at, std::uint32_t ip) {
        const auto* entry = world.nodes[at].gossip->registry().find(ip);
        removed += entry && entry->standing == Standing::gone;
    };
    world.thaw(12);
    const auto whole = world.run_until(world.now + 5000, [&] { return world.whole(); });
    CHECK(whole);
    CHECK(removed == 0);
    CHECK(world.nodes[20].gossip->registry().find(NewsWorld::ip_of(5))->record.server->edition == "v2");
    CHECK(world.nodes[12].gossip->registry().find(NewsWorld::ip_of(6))->record.leaving);
    CHECK(registry::same_age(world.nodes[12].gossip->registry().find(NewsWorld::ip_of(7))->record, seventh));
}

TEST_CASE("a node that restarts at once is told its last life and rises above it") {
    NewsWorld world = settled(15, 9);
    for (int i = 0; i < 12; ++i) {  // lives are drawn: half of them lower
        const auto before = world.nodes[8].gossip->self();
        world.kill(8);
        world.run(world.now + 300);
        world.start(8);
        const double began = world.now;
        const auto known = world.run_until(began + 3000, [&] { return world.all_know(8); });
        REQUIRE(known);
        CHECK(*known - began < 1000);
        CHECK(world.nodes[8].gossip->self().life > before.life);
        world.run(world.now + 500);
        CHECK(world.nodes[8].gossip->joined());
    }
}

TEST_CASE("half of all killed at once, then all at once") {
    NewsWorld world = settled(30, 10, 0.01);
    for (std::size_t i = 1; i < 30; i += 2) world.kill(i);
    double at = world.now;
    const auto smaller = world.run_until(at + 20'000, [&] { return world.whole(); });
    REQUIRE(smaller);
    MESSAGE("30 nodes, half killed: known to all that live after " << *smaller - at << " ms");
    CHECK(*smaller - at < 8000);
    for (std::size_t i = 1; i < 30; i += 2) world.start(i);
    at = world.now;
    const auto back = world.run_until(at + 20'000, [&] { return world.whole(); });
    REQUIRE(back);
    MESSAGE("30 nodes, half back: whole after " << *back - at << " ms");
    CHECK(*back - at < 3000);
    for (std::size_t i = 0; i < 30; ++i) world.kill(i);
    world.run(world.now + 700);
    world.start_all();
    at = world.now;
    const auto anew = world.run_until(at + 20'000, [&] { return world.whole(); });
    REQUIRE(anew);
    MESSAGE("30 nodes, all restarted at once: whole after " << *anew - at << " ms");
    CHECK(*anew - at < 3000);
}

TEST_CASE("half killed and back within a second") {
    NewsWorld world = settled(30, 12, 0.01);
    for (std::size_t i = 0; i < 30; i += 2) world.kill(i);  // two seeds of three with them
    world.run(world.now + 800);
    for (std::size_t i = 0; i < 30; i += 2) world.start(i);
    const double at = world.now;
    const auto whole = world.run_until(at + 20'000, [&] { return world.whole(); });
    REQUIRE(whole);
    CHECK(*whole - at < 3000);
}

TEST_CASE("with all seeds dead the others go on, and a restarted one is found again") {
    NewsWorld world = settled(15, 13);
    for (std::size_t i = 0; i < 3; ++i) world.kill(i);
    world.run(world.now + 6000);
    CHECK(world.whole());
    world.kill(9);
    world.run(world.now + 5000);
    world.start(9);  // no seed to ask: those who remember it ask it
    const auto whole = world.run_until(world.now + 10'000, [&] { return world.whole(); });
    CHECK(whole);
}

TEST_CASE("a higher edition is heard of at once, and again with each probe") {
    NewsWorld world = settled(15, 14);
    std::vector<std::size_t> told(15);
    world.edition = [&](std::size_t at, std::uint64_t edition) { told[at] += edition == 9; };
    world.tell(4, [](auto& record) { record.config_edition = 9; });
    world.run(world.now + 300);
    for (std::size_t i = 0; i < 15; ++i) CHECK((told[i] > 0) == (i != 4));
    const auto first = told;
    world.run(world.now + 20'000);
    for (std::size_t i = 0; i < 15; ++i)
        if (i != 4) CHECK(told[i] > first[i]);
}

TEST_CASE("a server's warm-up counts down wherever it is held") {
    NewsWorld world = settled(15, 15);
    world.tell(5, [](auto& record) { record.server.value().warmup_left_s = 4; });
    world.run(world.now + 1500);
    world.start(7);  // learns it from others, later
    world.run(world.now + 1000);
    const auto* entry = world.nodes[7].gossip->registry().find(NewsWorld::ip_of(5));
    REQUIRE(entry);
    const double left = registry::Registry::handed_on(world.now, *entry).server->warmup_left_s;
    CHECK(left > 1.3);
    CHECK(left < 1.7);
}

TEST_CASE("the tree comes to rest: news is sent once to each, and announced") {
    NewsWorld world = settled(60, 16);
    for (int i = 0; i < 10; ++i) {
        world.tell(5, [](auto& record) { record.server.value().capacity += 1; });
        world.run(world.now + 500);
    }
    std::uint64_t twice = 0;
    for (const auto& node : world.nodes) twice += node.gossip->counts().twice;
    world.tell(9, [](auto& record) { record.server.value().capacity += 1; });
    world.run(world.now + 500);
    std::uint64_t after = 0;
    std::size_t eager = 0;
    for (const auto& node : world.nodes) {
        after += node.gossip->counts().twice;
        for (const auto& link : node.gossip->links()) eager += link.eager;
    }
    CHECK(after - twice <= 3);
    CHECK(eager <= 2 * 59 + 10);  // a tree has 59 edges, of two ends each
}

TEST_CASE("one that leaves and says so is gone for all at once") {
    NewsWorld world = settled(30, 17);
    world.tell(9, [](auto& record) { record.leaving = true; });
    world.run(world.now + 1000);
    world.leave(9);
    const double left = world.now;
    const auto gone = world.run_until(left + 5000, [&] { return world.all_hold(9, Standing::gone); });
    REQUIRE(gone);
    CHECK(*gone - left < 300);
}

TEST_CASE("one told gone whose suspicion was never heard of is asked first") {
    NewsWorld world = settled(15, 18);
    std::size_t removed = 0;
    world.changed = [&](std::size_t at, std::uint32_t ip) {
        const auto* entry = world.nodes[at].gossip->registry().find(ip);
        removed += entry && entry->standing == Standing::gone;
    };
    const auto& ninth = world.nodes[9].gossip->self();
    const auto& third = world.nodes[3].gossip->self();
    gossip::Message message;
    message.kind = gossip::Kind::news;
    message.from = {third.ip, third.life, third.seq, 0, 0};
    message.keys = {{ninth.ip, ninth.life, ninth.seq, Standing::gone}};
    world.hear(5, message);
    CHECK(world.standing(5, 9) == Standing::suspect);
    CHECK(world.run_until(world.now + 500, [&] { return world.whole(); }));
    world.run(world.now + 5000);
    CHECK(removed == 0);
    CHECK(world.whole());
}

TEST_CASE("an answer from one that is gone makes us ask it, and only it can say that it lives") {
    NewsWorld world = settled(15, 19);
    world.freeze(9);
    world.run(world.now + 5000);
    REQUIRE(world.standing(5, 9) == Standing::gone);
    const auto sent = world.nodes[5].sent;
    for (int i = 0; i < 3; ++i) world.reachable(5, 9);
    CHECK(world.nodes[5].sent == sent + 1);
    CHECK(world.standing(5, 9) == Standing::gone);
    world.thaw(9);
    CHECK(world.run_until(world.now + 500, [&] { return world.standing(5, 9) == Standing::alive; }));
}

TEST_CASE("two that can't reach each other hear by others that both live") {
    NewsWorld world = settled(15, 20);
    world.cut(5, 9, true);
    world.cut(9, 5, true);
    std::size_t suspected = 0;
    world.changed = [&](std::size_t at, std::uint32_t ip) {
        const auto* entry = world.nodes[at].gossip->registry().find(ip);
        suspected += entry && entry->standing != Standing::alive;
    };
    world.run(world.now + kMinute);
    CHECK(suspected == 0);
}

TEST_CASE("a probe tells its target how it stands, and that says otherwise in its answer") {
    NewsWorld world = settled(15, 21);
    const auto ninth = world.nodes[9].gossip->self();
    const auto& third = world.nodes[3].gossip->self();
    gossip::Message message;
    message.kind = gossip::Kind::probe;
    message.from = {third.ip, third.life, third.seq, 0, world.nodes[3].gossip->registry().digest()};
    message.target = {ninth.ip, ninth.life, ninth.seq, Standing::suspect};
    world.hear(9, message);
    CHECK(world.nodes[9].gossip->self().seq == ninth.seq + 1);
    CHECK(world.nodes[9].gossip->self().life == ninth.life);
    CHECK(world.run_until(world.now + 300, [&] { return world.all_know(9); }));
    message.target = {ninth.ip, ninth.life + 5, 1, Standing::alive};  // of a life that it knows nothing of
    world.hear(9, message);
    CHECK(world.nodes[9].gossip->self().life == ninth.life + 6);
}
