// Shared probing in virtual time: many instances with a giver of rights that keeps its promise, messages
// lost, doubled and late, instances that die and are stopped; and hostile messages, a row each.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <set>

#include "probing/message.hpp"
#include "probing/prober.hpp"
#include "random.hpp"

namespace cobaltshift::probing {
namespace {

constexpr Millis kInterval = 4000, kLength = 800, kMargin = 50, kProbe = 100;

ProberSettings settings(std::uint32_t number, std::uint32_t instances, std::uint32_t shards) {
    ProberSettings s;
    s.number = number, s.instances = instances, s.shards = shards;
    s.interval = kInterval, s.probe = kProbe;
    return s;
}

// Probers with a giver of rights (src/lease proves the real one): one holder a shard, fences that grow, a
// queue.
struct World {
    struct Instance {
        std::unique_ptr<Prober> prober;
        std::uint64_t life = 0;
        Millis stopped = 0, back = 0, renew = 0;
        std::map<std::uint32_t, lease::Holder::Right> rights;
    };
    struct Shard {
        std::size_t holder = SIZE_MAX;
        std::uint64_t life = 0;
        Fence fence = 0;
        Millis lapses = 0;
        std::deque<std::pair<std::size_t, std::uint64_t>> queue;
    };
    struct Message {
        Millis due;
        std::size_t to;
        std::string bytes;
    };
    struct Out {
        Millis due;
        std::size_t from;
        std::uint64_t life;
        ServerId server;
    };

    World(std::uint64_t seed, std::uint32_t instances, std::uint32_t shard_count, std::size_t servers)
        : lots(seed), shards(shard_count), all(instances) {
        for (std::size_t s = 0; s < servers; ++s) list.push_back(static_cast<ServerId>(1000 + 77 * s));
        for (std::size_t i = 0; i < all.size(); ++i) start(i);
    }
    void start(std::size_t i) {
        Instance& one = all[i];
        one.prober = std::make_unique<Prober>(settings(static_cast<std::uint32_t>(i),
                                                       static_cast<std::uint32_t>(all.size()),
                                                       static_cast<std::uint32_t>(shards.size())));
        ++one.life;
        one.rights.clear();
        one.prober->listed(now, list);
    }
    void kill(std::size_t i, Millis down) {
        all[i].prober.reset();
        all[i].back = now + down;
        ++killed;
    }
    bool runs(std::size_t i) const { return all[i].prober && all[i].stopped <= now; }

    void give(std::uint32_t s) {
        Shard& shard = shards[s];
        shard.holder = SIZE_MAX;
        while (!shard.queue.empty()) {
            const auto [i, life] = shard.queue.front();
            shard.queue.pop_front();
            if (!runs(i) || all[i].life != life) continue;
            shard.holder = i, shard.life = life, shard.fence = ++fence;
            shard.lapses = now + kLength * 1.05;
            all[i].rights[s] = {fence, now + kLength - kMargin};
            ++given;
            return;
        }
    }
    void turn(std::size_t i) {
        Instance& one = all[i];
        for (std::uint32_t s = 0; s < shards.size(); ++s) {
            if (!one.prober->wants(s)) continue;
            const auto at = one.rights.find(s);
            const bool held = at != one.rights.end() && at->second.until > now;
            one.prober->right(now, s, held ? std::optional(at->second) : std::nullopt);
        }
        one.prober->tick(now);
        const Prober::Output output = one.prober->take();
        for (const std::uint32_t s : output.want) {
            shards[s].queue.emplace_back(i, one.life);
            if (shards[s].holder == SIZE_MAX) give(s);
        }
        for (const std::uint32_t s : output.give_up) {
            std::erase_if(shards[s].queue, [&](const auto& w) { return w.first == i; });
            one.rights.erase(s);
            if (shards[s].holder == i && shards[s].life == one.life) give(s);
        }
        for (const ServerId server : output.probe) {
            const std::uint32_t s = shard_of(server, static_cast<std::uint32_t>(shards.size()));
            ASSERT_TRUE(one.rights.count(s) && one.rights[s].until >= now + kProbe) << "beyond its right";
            probed[server].push_back(now);
            outs.push_back({now + 5 + 90 * lots.unit(), i, one.life, server});
        }
        for (const std::string& bytes : output.tell) {
            ASSERT_LE(bytes.size(), kMaxMessage);
            for (std::size_t to = 0; to < all.size(); ++to) {
                if (to == i) continue;
                if (lots.unit() < loss) {
                    ++lost;
                    continue;
                }
                for (int copies = lots.unit() < 0.2 ? 2 : 1; copies > 0; --copies)
                    mail.push_back({now + 1 + 300 * lots.unit() * lots.unit(), to, bytes});
            }
        }
        failed += output.failed.size();
    }
    void step() {
        now += 10;
        for (std::size_t i = 0; i < all.size(); ++i) {
            if (!all[i].prober && now >= all[i].back) start(i);
            if (!runs(i)) continue;
            // Renewed by thirds; who was stopped comes too late.
            if (now < all[i].renew) continue;
            all[i].renew = now + kLength / 3;
            for (auto& [s, right] : all[i].rights)
                if (shards[s].holder == i && shards[s].life == all[i].life && shards[s].fence == right.fence)
                    right.until = now + kLength - kMargin, shards[s].lapses = now + kLength * 1.05;
            // Who was passed over while it was silent asks again.
            for (std::uint32_t s = 0; s < shards.size(); ++s) {
                Shard& shard = shards[s];
                const std::pair self(i, all[i].life);
                const bool waits =
                    std::find(shard.queue.begin(), shard.queue.end(), self) != shard.queue.end();
                if (all[i].prober->wants(s) && !waits && std::pair(shard.holder, shard.life) != self)
                    shard.queue.push_back(self);
            }
        }
        for (std::uint32_t s = 0; s < shards.size(); ++s) {
            Shard& shard = shards[s];
            if (shard.holder != SIZE_MAX && now >= shard.lapses) {
                all[shard.holder].rights.erase(s);
                give(s);
            } else if (shard.holder == SIZE_MAX) {
                give(s);
            }
        }
        for (std::size_t m = 0; m < mail.size();) {
            if (mail[m].due > now) {
                ++m;
                continue;
            }
            const Message message = std::move(mail[m]);
            mail.erase(mail.begin() + static_cast<std::ptrdiff_t>(m));
            if (runs(message.to)) all[message.to].prober->heard(now, message.bytes);
        }
        for (std::size_t o = 0; o < outs.size();) {
            if (outs[o].due > now || (all[outs[o].from].prober && !runs(outs[o].from))) {
                ++o;  // who is stopped hears of it when it goes on
                continue;
            }
            const Out out = outs[o];
            outs.erase(outs.begin() + static_cast<std::ptrdiff_t>(o));
            if (runs(out.from) && all[out.from].life == out.life)
                all[out.from].prober->probed(now, out.server, !bad.count(out.server));
        }
        for (std::size_t i = 0; i < all.size(); ++i)
            if (runs(i)) turn(i);
    }
    // No three probes of one server within an interval.
    Millis three_within() const {
        Millis least = 1e18;
        for (const auto& [server, times] : probed)
            for (std::size_t n = 2; n < times.size(); ++n) least = std::min(least, times[n] - times[n - 2]);
        return least;
    }
    Millis longest_gap(Millis from) const {
        Millis longest = 0;
        for (const ServerId server : list) {
            Millis before = from;
            const auto at = probed.find(server);
            if (at != probed.end())
                for (const Millis t : at->second) longest = std::max(longest, t - before), before = t;
            longest = std::max(longest, now - before);
        }
        return longest;
    }

    kelplb::Random lots;
    Millis now = 1000;
    std::vector<Shard> shards;
    std::vector<Instance> all;
    std::vector<ServerId> list;
    std::set<ServerId> bad;
    std::vector<Message> mail;
    std::vector<Out> outs;
    std::map<ServerId, std::vector<Millis>> probed;
    Fence fence = 0;
    double loss = 0;
    std::size_t killed = 0, lost = 0, given = 0, failed = 0;
};

TEST(Probing, EachServerIsProbedOnceAnIntervalByOneWhileAllIsWell) {
    World world(1, 6, 4, 20);
    while (world.now < 41000) world.step();
    for (const ServerId server : world.list) {
        const std::vector<Millis>& times = world.probed[server];
        ASSERT_GE(times.size(), 9u);
        for (std::size_t n = 1; n < times.size(); ++n) EXPECT_NEAR(times[n] - times[n - 1], kInterval, 25);
    }
    for (const World::Instance& one : world.all) {
        EXPECT_EQ(one.prober->known(world.now).good, 20u);  // everybody knows of all
        EXPECT_LT(one.prober->counts().probes, 200u);
    }
}

// Any number of deaths, stops and losses, as often as can be: never three in an interval.
TEST(Probing, HoweverManyDieNoServerIsProbedThriceInAnInterval) {
    std::size_t killed = 0, lost = 0, given = 0, stopped = 0;
    for (std::uint64_t seed = 1; seed <= 120; ++seed) {
        World world(seed, 5, 2, 8);
        world.loss = world.lots.unit();
        Millis next = 1000;
        while (world.now < 40000) {
            if (world.now >= next) {
                const std::size_t i = world.lots.below(world.all.size());
                const std::uint32_t s = static_cast<std::uint32_t>(world.lots.below(2));
                const std::size_t who = world.lots.unit() < 0.7 && world.shards[s].holder != SIZE_MAX
                                            ? world.shards[s].holder
                                            : i;
                if (world.runs(who)) {
                    if (world.lots.unit() < 0.7)
                        world.kill(who, 2000 * world.lots.unit());
                    else
                        world.all[who].stopped = world.now + 3000 * world.lots.unit(), ++stopped;
                }
                next = world.now + 1200 * world.lots.unit();
            }
            world.step();
        }
        ASSERT_GE(world.three_within(), kInterval) << "seed " << seed;
        killed += world.killed, lost += world.lost, given += world.given;
    }
    EXPECT_GT(killed, 2000u);
    EXPECT_GT(stopped, 1000u);
    EXPECT_GT(lost, 10000u);
    EXPECT_GT(given, 3000u);
}

// One holder at a time dies, is stopped, or is lost with all its messages: none is left for two intervals.
TEST(Probing, OneLossAtATimeLeavesNoServerUnprobedForTwoIntervals) {
    std::size_t killed = 0, lost = 0;
    for (std::uint64_t seed = 1; seed <= 120; ++seed) {
        World world(1000 + seed, 5, 2, 8);
        world.loss = 0.6 * world.lots.unit();
        Millis next = 3000;
        while (world.now < 60000) {
            if (world.now >= next) {
                const std::uint32_t s = static_cast<std::uint32_t>(world.lots.below(2));
                const std::size_t who = world.shards[s].holder;
                if (who != SIZE_MAX && world.runs(who)) {
                    if (world.lots.unit() < 0.7)
                        world.kill(who, 1000 + 3000 * world.lots.unit());
                    else
                        world.all[who].stopped = world.now + 3000 * world.lots.unit();
                    next = world.now + 2 * kInterval + 4000 * world.lots.unit();
                }
            }
            world.step();
        }
        ASSERT_LE(world.longest_gap(1000), 2 * kInterval) << "seed " << seed;
        ASSERT_GE(world.three_within(), kInterval) << "seed " << seed;
        killed += world.killed, lost += world.lost;
    }
    EXPECT_GT(killed, 300u);
    EXPECT_GT(lost, 3000u);
}

TEST(Probing, WhoDoesNotStandByComesOnceAllWhoDoAreGoneAndGoesAgain) {
    World world(5, 8, 1, 6);
    while (world.now < 15000) world.step();
    std::size_t asking = 0;
    for (const World::Instance& one : world.all) asking += one.prober->wants(0);
    ASSERT_EQ(asking, 3u);
    // All three, for good.
    for (std::size_t i = 0; i < world.all.size(); ++i)
        if (world.all[i].prober->wants(0)) world.kill(i, 1e9);
    const Millis died = world.now;
    while (world.now < died + 5 * kInterval) world.step();
    for (const ServerId server : world.list)
        EXPECT_GT(world.probed[server].back(), died + kInterval) << "nobody took it over";
    EXPECT_LE(world.longest_gap(1000), 5 * kInterval);
    // They come back: who has come for want of them, and holds nothing, goes.
    for (World::Instance& one : world.all)
        if (!one.prober) one.back = world.now;
    while (world.now < died + 15 * kInterval) world.step();
    asking = 0;
    for (const World::Instance& one : world.all) asking += one.prober->wants(0);
    EXPECT_GE(asking, 3u);
    EXPECT_LE(asking, 4u);  // the one that holds it keeps it
}

TEST(Probing, APlannedEndHandsOverWithItsLastWordAndTheNextKeepsThePace) {
    World world(6, 3, 1, 4);
    while (world.now < 15000) world.step();
    const std::size_t holder = world.shards[0].holder;
    ASSERT_NE(holder, SIZE_MAX);
    world.all[holder].prober->stop(world.now);
    world.turn(holder);
    EXPECT_NE(world.shards[0].holder, holder);
    world.all[holder].stopped = 1e9;  // it says no more
    while (world.now < 30000) world.step();
    for (const auto& [server, times] : world.probed)
        for (std::size_t n = 1; n < times.size(); ++n) EXPECT_NEAR(times[n] - times[n - 1], kInterval, 350);
}

TEST(Probing, WhatFailedIsARumourOnceAtEachAndOnlyWhileItIsFresh) {
    World world(7, 4, 2, 6);
    world.bad.insert(world.list[2]);
    while (world.now < 21000) world.step();
    // Five rounds at four instances, the first blind.
    const std::size_t rounds = world.probed[world.list[2]].size();
    EXPECT_GE(world.failed, 4 * (rounds - 1));
    EXPECT_LE(world.failed, 4 * rounds);
    EXPECT_EQ(world.all[0].prober->known(world.now).bad, 1u);
    EXPECT_EQ(world.all[0].prober->known(world.now + 3 * kInterval).unknown, 6u);  // expired
}

TEST(Probing, NoProbeGoesOutThatCouldEndBeyondItsRight) {
    Prober prober(settings(0, 1, 1));
    prober.listed(0, {1, 2});
    prober.tick(0);
    ASSERT_EQ(prober.take().want, std::vector<std::uint32_t>{0});
    prober.right(0, 0, lease::Holder::Right{1, 10000});
    prober.tick(0);
    EXPECT_TRUE(prober.take().probe.empty());  // blind: half an interval
    prober.right(3000, 0, lease::Holder::Right{1, 3000 + kProbe - 1});
    prober.tick(3000);
    EXPECT_TRUE(prober.take().probe.empty());
    prober.right(3000, 0, lease::Holder::Right{1, 3000 + kProbe});
    prober.tick(3000);
    EXPECT_EQ(prober.take().probe.size(), 2u);
    // Out, it is not sent again; what never went out is not a verdict.
    prober.right(9000, 0, lease::Holder::Right{1, 20000});
    prober.tick(9000);
    EXPECT_TRUE(prober.take().probe.empty());
    prober.probed(9000, 1, std::nullopt);
    EXPECT_EQ(prober.known(9000).unknown, 2u);
}

TEST(Probing, ARightThatComesBackIsTheSameRoundAndTheSameRowOfMessages) {
    Prober prober(settings(0, 2, 1)), other(settings(1, 2, 1));
    for (Prober* one : {&prober, &other}) one->listed(0, {1}), one->tick(0), one->take();
    std::vector<Millis> sent;
    std::size_t heard = 0;
    // Out of reach of keepers, as while they elect, for half a second in every second and a half.
    for (Millis now = 0; now < 30000; now += 10) {
        const bool held = std::fmod(now, 1500) >= 500;
        prober.right(now, 0, held ? std::optional(lease::Holder::Right{3, now + 400}) : std::nullopt);
        prober.tick(now);
        const Prober::Output output = prober.take();
        for (const ServerId server : output.probe) sent.push_back(now), prober.probed(now, server, true);
        for (const std::string& bytes : output.tell) {
            EXPECT_EQ(other.heard(now, bytes), "");
            ++heard;
        }
    }
    ASSERT_GE(sent.size(), 6u);
    for (std::size_t n = 1; n < sent.size(); ++n) EXPECT_LE(sent[n] - sent[n - 1], kInterval + 500);
    EXPECT_GT(heard, 12u);
}

// ---- Hostile messages ------------------------------------------------------------------------------------

TEST(Probing, HostileMessagesAreRefusedEachWithItsReason) {
    Prober prober(settings(0, 4, 8));
    std::vector<ServerId> servers;
    for (ServerId s = 1; s < 200; ++s) servers.push_back(s);
    prober.listed(1000, servers);
    const std::uint32_t shard = shard_of(1, 8);
    const auto told = [&](Fence fence, std::uint64_t sequence) {
        Told t;
        t.shard = shard, t.shards = 8, t.fence = fence, t.sequence = sequence;
        t.results.push_back({1, sequence, false, 100});
        return t;
    };
    EXPECT_EQ(prober.heard(2000, encode(told(5, 2))), "");
    Told other = told(6, 1);
    other.shards = 9;
    Told beyond = told(6, 1);
    beyond.shard = 8;
    std::string bent = encode(told(6, 1));
    bent[bent.size() / 2] ^= 1;
    std::string newer = encode(told(6, 1));
    newer = newer.substr(0, newer.size() - 8);
    newer[1] = 9;
    Told crowd = told(6, 1);
    crowd.results.assign(kMostResults + 1, {1, 1, false, 1});
    const std::pair<std::string, const char*> table[] = {
        {encode(told(5, 2)), "told already"},
        {encode(told(5, 1)), "told already"},
        {encode(told(4, 9)), "a right that is over"},
        {encode(told(0, 1)), "under no right"},
        {encode(told(6, 0)), "under no right"},
        {encode(other), "another count of shards"},
        {encode(beyond), "no such shard"},
        {encode(told(6, 1)).substr(1), "checksum"},
        {bent, "checksum"},
        {std::string(), "checksum"},
        {std::string(5000, 'x'), "too long"},
        {encode(crowd), "too many results"},
    };
    for (const auto& [bytes, said] : table)
        EXPECT_NE(prober.heard(2100, bytes).find(said), std::string::npos) << prober.heard(2100, bytes);
    EXPECT_GE(prober.counts().refused, std::size(table));
    // Of servers that are not listed, of another shard, or too old: nothing is made of it.
    Told strange = told(6, 1);
    strange.results = {{777777, 1, false, 0}, {1, 1, false, 3 * kInterval}};
    for (ServerId s = 2; s < 200; ++s)
        if (shard_of(s, 8) != shard) strange.results.push_back({s, 1, false, 0}), s = 200;
    prober.take();
    EXPECT_EQ(prober.heard(2200, encode(strange)), "");
    EXPECT_TRUE(prober.take().failed.empty());
    // Whoever believes that it holds the shard lets go on hearing of a later right.
    prober.tick(2200);
    prober.right(2200, shard, lease::Holder::Right{7, 9000});
    EXPECT_TRUE(prober.holds(shard));
    EXPECT_EQ(prober.heard(2300, encode(told(8, 1))), "");
    EXPECT_FALSE(prober.holds(shard));
    prober.right(2300, shard, lease::Holder::Right{7, 9000});
    EXPECT_FALSE(prober.holds(shard));
    // Random bytes, whole and sealed ones cut anywhere.
    kelplb::Random lots(3);
    const std::string good = encode(told(9, 1));
    for (std::size_t n = 0; n < good.size(); ++n) EXPECT_NE(prober.heard(2400, good.substr(0, n)), "");
    for (int n = 0; n < 20000; ++n) {
        std::string bytes(lots.below(80), ' ');
        for (char& c : bytes) c = static_cast<char>(lots.below(256));
        EXPECT_NE(prober.heard(2400, bytes), "");
    }
}

TEST(Probing, AMessageOfAsManyResultsAsMayBeGoesIntoADatagram) {
    Told told;
    told.shard = 255, told.shards = 256, told.fence = UINT64_MAX, told.sequence = UINT64_MAX;
    told.results.assign(kMostResults, {UINT32_MAX, UINT32_MAX, true, kOldest});
    EXPECT_LE(encode(told).size(), kMaxMessage);
    std::string why;
    const auto back = decode(encode(told), why);
    ASSERT_TRUE(back) << why;
    EXPECT_EQ(back->results.size(), kMostResults);
    EXPECT_EQ(back->results[0].age, kOldest);
}

}  // namespace
}  // namespace cobaltshift::probing
