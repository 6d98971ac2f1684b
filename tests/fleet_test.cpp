// What many sidecars do together: several balancers are given events by hand; no server is modelled.
#include <cmath>

#include "rig.hpp"

namespace kelplb::test {
namespace {

// Many light sidecars, each with the same warm servers and one that has just started; each has a few
// requests, answered at once. Returns what share of a warm server's sends the cold one got.
double cold_part(std::uint32_t sidecars, int requests_each, ServerId warm, Millis age) {
    double cold = 0, others = 0;
    for (std::uint32_t n = 0; n < sidecars; ++n) {
        Settings s = make_settings({make_class(Effect::once)});
        s.siblings = sidecars;
        Rig rig(s, n + 1);
        rig.list(ListKind::full, make_servers(warm));
        rig.list(ListKind::incremental, {{warm + 1, 0, 0, Phase::on, rig.now - age}});
        for (int i = 0; i < requests_each; ++i) {
            const RequestId id = rig.request();
            if (!rig.out(id)) continue;
            (rig.where(id) == warm + 1 ? cold : others) += 1;
            rig.end(id, Outcome::completed, 0.25);  // so that it does not grow warm meanwhile
        }
    }
    return cold / (others / warm);
}

TEST(Fleet, ColdFeedIsAShareOfAWarmServersFromOneSidecarToAThousand) {
    // 0.2 of its capacity at first, and no more than twice that from winning ties.
    for (const auto& [sidecars, each] : {std::pair{1u, 4000}, {30u, 150}, {1000u, 4}}) {
        const double part = cold_part(sidecars, each, 40, 0);
        EXPECT_GT(part, 0.1) << sidecars;
        EXPECT_LT(part, 0.6) << sidecars;
    }
}

TEST(Fleet, ServersThatJoinAreNotWhereAllGoAtOnce) {
    // Nobody has met them: each sidecar's next requests must not all go there to find out how quick they are.
    int joined = 0, all = 0;
    for (std::uint64_t n = 1; n <= 100; ++n) {
        Settings s = make_settings({make_class(Effect::once)});
        s.siblings = 100;
        Rig rig(s, n);
        rig.list(ListKind::full, make_servers(16));
        for (int i = 0; i < 40; ++i) rig.end(rig.request(), Outcome::completed, 60);
        rig.list(ListKind::full, make_servers(20));
        for (int i = 0; i < 4; ++i) {
            const RequestId id = rig.request();
            ++all, joined += rig.where(id) > 16;
            rig.end(id, Outcome::completed, 60);
        }
    }
    EXPECT_LT(joined, all * 4 / 20 * 1.5);
    EXPECT_GT(joined, all * 4 / 20 / 4);  // nor are they left alone
}

TEST(Fleet, AColdServerThatCannotAnswerInTimeIsLeftAloneUntilItCan) {
    // Warm ones take 100 ms of 400. At a fifth of that speed the answer is late; at three fifths it is not.
    const auto sent = [](Millis age) {
        int cold = 0;
        for (std::uint64_t n = 1; n <= 200; ++n) {
            Rig rig(make_settings({make_class(Effect::once)}), n);
            rig.list(ListKind::full, make_servers(10));
            for (int i = 0; i < 40; ++i) rig.end(rig.request(), Outcome::completed, 100);
            rig.list(ListKind::incremental, {{11, 0, 0, Phase::on, rig.now - age}});
            for (int i = 0; i < 5; ++i) {
                const RequestId id = rig.request();
                const bool there = rig.where(id) == 11;
                cold += there;
                rig.end(id, Outcome::completed, there ? 167 : 100);
            }
        }
        return cold;
    };
    EXPECT_EQ(sent(0), 0);
    EXPECT_GT(sent(10000), 20);
    EXPECT_LT(sent(10000), 200 * 5 / 11 * 1.5);
}

TEST(Fleet, WhatFailsFastDoesNotPassForQuick) {
    // Failures leave no answer's time behind. Taken for the quickest, such a server gets all that come until
    // its window has seen three; with a hundred sidecars that is three hundred requests a server.
    int failed = 0;
    for (std::uint64_t n = 1; n <= 100; ++n) {
        Settings s = make_settings({make_class(Effect::once)});
        s.siblings = 100;
        Rig rig(s, n);
        rig.list(ListKind::full, make_servers(20));
        for (int i = 0; i < 60; ++i) {
            const RequestId id = rig.request();
            const bool bad = rig.where(id) <= 3;
            failed += bad;
            rig.end(id, bad ? Outcome::errored : Outcome::completed, bad ? 1 : 60);
            rig.pass(bad ? 59 : 0);
        }
    }
    EXPECT_LT(failed, 100 * 3 * 2);
}

TEST(Fleet, AColdServerIsNoWayRoundAFullRoom) {
    // Slow answers have shut the room: what finds none must not go to the one cold server instead.
    Rig rig(make_settings({make_class(Effect::once)}));
    rig.list(ListKind::full, make_servers(4));
    for (int i = 0; i < 60; ++i) rig.serve(rig.burst(40, 5000), 600);
    rig.list(ListKind::incremental, {{9, 0, 0, Phase::on, rig.now}});
    const auto ids = rig.burst(200, 5000);
    const auto cold = std::count_if(ids.begin(), ids.end(),
                                    [&](RequestId id) { return rig.out(id) && rig.where(id) == 9; });
    EXPECT_LT(rig.still_out(ids), 100);
    EXPECT_LT(cold, rig.still_out(ids) / 2);
}

TEST(Fleet, LightSidecarsDrawServersByTheirRegisteredSize) {
    // Every queue of their own is empty, so nothing but the draw can spare the small servers.
    std::map<ServerId, double> load;
    for (std::uint64_t n = 1; n <= 1000; ++n) {
        Rig rig(make_settings({make_class(Effect::once)}), n);
        auto servers = make_servers(20);
        for (ServerInfo& s : servers) s.units = s.id <= 10 ? 3 : 1;
        rig.list(ListKind::full, servers);
        for (int i = 0; i < 4; ++i) {
            const RequestId id = rig.request();
            load[rig.where(id) <= 10] += 1;
            rig.end(id, Outcome::completed, 0);
        }
    }
    EXPECT_NEAR(load[true] / load[false], 3, 0.5);
}

TEST(Fleet, UnitsThatMakeNoSenseCountAsOne) {
    Rig rig(make_settings({make_class(Effect::once)}));
    auto servers = make_servers(3);
    servers[0].units = 0, servers[1].units = -2, servers[2].units = std::nan("");
    rig.list(ListKind::full, servers);
    std::set<ServerId> met;
    for (int i = 0; i < 60; ++i) {
        const RequestId id = rig.request();
        met.insert(rig.where(id));
        rig.end(id, Outcome::completed, 0);
    }
    EXPECT_EQ(met.size(), 3U);
}

// Whether the connection to the server is closed after an answer, with `servers` of them and a request every
// `gap`.
bool closes(ServerId servers, Millis gap) {
    Rig rig(make_settings({make_class(Effect::once)}));
    rig.list(ListKind::full, make_servers(servers));
    int closed = 0;
    for (int i = 0; i < 60; ++i) {
        rig.pass(gap);
        rig.end(rig.request(), Outcome::completed, 0);
        closed = rig.count<CloseIdle>();
    }
    return closed > 0;
}

TEST(Fleet, LightSidecarsDoNotFillConnectionTablesAndBusyOnesKeepTheirs) {
    EXPECT_TRUE(closes(50, 500));
    EXPECT_FALSE(closes(50, 20));
    EXPECT_FALSE(closes(5, 500));
}

// How many connections a light sidecar opens for a hundred requests, and keeps, by the price of one.
std::pair<int, std::size_t> opened(double fee) {
    Settings s = make_settings({make_class(Effect::once)});
    s.fees.handshake = fee;
    Rig rig(s);
    rig.list(ListKind::full, make_servers(50));
    std::set<ServerId> open;
    int fresh = 0;
    for (int i = 0; i < 100; ++i) {
        rig.pass(200);
        const RequestId id = rig.request();
        fresh += open.insert(rig.where(id)).second;
        rig.end(id, Outcome::completed, 20);
        for (const Action& a : rig.last)
            if (const auto* close = std::get_if<CloseIdle>(&a)) open.erase(close->server);
    }
    return {fresh, open.size()};
}

TEST(Fleet, WhereConnectionsAreDearALightSidecarKeepsAFewAndAsksThereFirst) {
    const auto [cheap, none] = opened(0.0);
    EXPECT_GT(cheap, 90);
    EXPECT_EQ(none, 0U);
    const auto [dear, kept] = opened(0.08);
    EXPECT_LT(dear, 40);
    EXPECT_LE(kept, 9U) << "servers' tables are shared by all";
}

TEST(Fleet, AServersConnectionsGoWithItsProcess) {
    // Where connections are dear, servers with an open one are asked first; not those that have started anew
    // since.
    const auto asked_again = [](bool restart) {
        int again = 0;
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            Settings s = make_settings({make_class(Effect::once)});
            s.fees.handshake = 0.08;
            Rig rig(s, seed);
            rig.list(ListKind::full, make_servers(100));
            std::set<ServerId> open;
            for (int i = 0; i < 30; ++i) {
                rig.pass(200);
                const RequestId id = rig.request();
                rig.end(id, Outcome::completed, 20);
                open.insert(rig.where(id));
                for (const Action& a : rig.last)
                    if (const auto* close = std::get_if<CloseIdle>(&a)) open.erase(close->server);
            }
            if (restart)
                for (const ServerId id : open)  // long enough ago to be warm
                    rig.list(ListKind::incremental, {{id, 0, 0, Phase::on, rig.now - 30000}});
            rig.pass(200);
            again += open.count(rig.where(rig.request()));
        }
        return again;
    };
    EXPECT_GT(asked_again(false), 40);
    EXPECT_LT(asked_again(true), 20);
}

// ---- Probe race -----------------------------------------------------------------------------------------

// A light sidecar (twenty servers, a request every 700 ms) whose last attempts have come too late.
Rig troubled(bool may_probe = true, double fee = 0) {
    Settings s = make_settings({make_class(Effect::once)});
    s.may_probe = may_probe;
    s.fees.probe = fee;
    Rig rig(s);
    rig.list(ListKind::full, make_servers(20));
    for (int i = 0; i < 12; ++i) {
        rig.pass(700);
        const RequestId id = rig.request(0, 3000);
        for (const Action& a : std::vector<Action>(rig.last))
            if (const auto* probe = std::get_if<Probe>(&a))
                if (!rig.out(id)) rig.give(ProbeEnded{probe->server, Outcome::completed, 1});
        if (rig.out(id)) rig.end(id, i < 10 ? Outcome::completed : Outcome::severed, 10);
    }
    rig.pass(700);
    return rig;
}

std::vector<ServerId> probed(const Rig& rig) {
    std::vector<ServerId> servers;
    for (const Action& a : rig.last)
        if (const auto* probe = std::get_if<Probe>(&a)) servers.push_back(probe->server);
    return servers;
}

TEST(Race, TheServerThatAnswersItsProbeFirstGetsTheRequest) {
    Rig rig = troubled();
    const RequestId id = rig.request();
    const auto asked = probed(rig);
    ASSERT_EQ(asked.size(), 2U);
    EXPECT_FALSE(rig.out(id));
    rig.give(ProbeEnded{asked[1], Outcome::completed, 2});
    ASSERT_TRUE(rig.out(id));
    EXPECT_EQ(rig.where(id), asked[1]);
    rig.give(ProbeEnded{asked[0], Outcome::completed, 3});
    EXPECT_EQ(rig.sends(id), 1U) << "the later answer sends nothing";
    rig.end(id, Outcome::completed);
}

TEST(Race, ProbesThatCostMoreThanABadAnswerAreNotSent) {
    for (const auto& [fee, asked] : {std::pair{0.0, true}, {0.01, true}, {0.5, false}}) {
        Rig rig = troubled(true, fee);
        rig.request();
        EXPECT_EQ(!probed(rig).empty(), asked) << fee;
    }
}

TEST(Race, WhereNoProbeIsAnsweredTheRequestStillGoesOut) {
    Rig rig = troubled();
    const RequestId id = rig.request();
    for (int round = 0; round < 5 && !rig.out(id); ++round)
        for (const ServerId s : probed(rig)) rig.give(ProbeEnded{s, Outcome::overdue, 100});
    EXPECT_TRUE(rig.out(id));
    rig.end(id, Outcome::completed);
}

TEST(Race, ProbesThatNeverEndLeaveARequestAnsweredInTime) {
    Rig rig = troubled();
    const RequestId id = rig.request();
    EXPECT_FALSE(rig.out(id));
    rig.settle();
    EXPECT_TRUE(rig.requests.at(id).refused) << "it never went out";
}

// The servers asked go before they answer: the request must not wait for them until its deadline.
TEST(Race, ServersThatGoUnaskedLeaveTheRequestToOthers) {
    Rig rig = troubled();
    const RequestId id = rig.request();
    const auto asked = probed(rig);
    ASSERT_EQ(asked.size(), 2U);
    rig.list(ListKind::incremental, {{asked[0], 0, 0, Phase::off, 0}, {asked[1], 0, 0, Phase::off, 0}});
    for (const ServerId s : probed(rig))
        if (!rig.out(id)) rig.give(ProbeEnded{s, Outcome::completed, 2});
    ASSERT_TRUE(rig.out(id));
    rig.end(id, Outcome::completed);
}

TEST(Race, NoProbesWhereNotAllowedNorWhileAllComesInTimeNorAtABusySidecar) {
    {
        Rig rig = troubled(false);
        rig.request();
        EXPECT_TRUE(probed(rig).empty());
    }
    for (const Millis gap : {700.0, 1.0}) {
        Settings s = make_settings({make_class(Effect::once)});
        s.may_probe = true;
        Rig rig(s);
        rig.list(ListKind::full, make_servers(20));
        for (int i = 0; i < 60; ++i) {
            rig.pass(gap);
            const RequestId id = rig.request();
            EXPECT_TRUE(probed(rig).empty());
            rig.end(id, gap < 10 && i % 10 == 0 ? Outcome::severed : Outcome::completed, 1);
        }
    }
}

TEST(Race, ACollapsedPoolIsNotProbed) {
    Rig rig = troubled();
    for (int i = 0; i < 12; ++i) {
        rig.pass(700);
        const RequestId id = rig.request();
        for (const ServerId s : probed(rig))
            if (!rig.out(id)) rig.give(ProbeEnded{s, Outcome::completed, 1});
        if (rig.out(id)) rig.end(id, Outcome::severed, 10);
    }
    rig.pass(700);
    rig.request();
    EXPECT_TRUE(probed(rig).empty());
}

TEST(Race, AServerThatDrainedMeanwhileGetsNothing) {
    Rig rig = troubled();
    const RequestId id = rig.request();
    const auto asked = probed(rig);
    ASSERT_EQ(asked.size(), 2U);
    rig.list(ListKind::incremental, {{asked[0], 0, 0, Phase::fading, 0}});
    rig.give(ProbeEnded{asked[0], Outcome::completed, 2});
    EXPECT_FALSE(rig.out(id));
    rig.give(ProbeEnded{asked[1], Outcome::completed, 3});
    EXPECT_TRUE(rig.out(id));
    rig.end(id, Outcome::completed);
}

Rig pool_of(ServerId count) {
    Rig rig(make_settings({make_class(Effect::once)}));
    rig.list(ListKind::full, make_servers(count));
    return rig;
}

// ---- Gossip ---------------------------------------------------------------------------------------------

// A light sidecar among 160 whose requests all fail; returns the messages it tells, by peer.
std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> told(bool may_tell, Outcome outcome) {
    Settings s = make_settings({make_class(Effect::once)});
    s.may_tell = may_tell;
    s.siblings = 160;
    s.my_number = 7;
    Rig rig(s);
    rig.list(ListKind::full, make_servers(20));
    std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> messages;
    for (int i = 0; i < 30; ++i) {
        rig.pass(700);
        const RequestId id = rig.request();
        if (!rig.out(id)) continue;
        rig.end(id, outcome, 10);
        for (const Action& a : rig.last)
            if (const auto* tell = std::get_if<TellPeer>(&a))
                messages.emplace_back(tell->to.value(), tell->bytes);
    }
    return messages;
}

TEST(Gossip, FailuresAreToldToAFewOtherPeersAndSuccessesToNone) {
    const auto failed = told(true, Outcome::severed);
    EXPECT_GT(failed.size(), 20U);
    EXPECT_LT(failed.size(), 30U * 160 / 8);
    for (const auto& [peer, bytes] : failed) {
        EXPECT_LT(peer, 160U);
        EXPECT_NE(peer, 7U) << "not itself";
        EXPECT_EQ(bytes.size(), 4U);
    }
    EXPECT_TRUE(told(true, Outcome::completed).empty());
    EXPECT_TRUE(told(false, Outcome::severed).empty()) << "where it is not allowed";
}

// What one of a hundred sidecars spends on telling all the others what it has out, as a part of the result;
// its answers take so long, at an aim of 400 ms.
double spent_on_telling(Millis answers_take, double fee) {
    Settings s = make_settings({make_class(Effect::once)});
    s.may_tell = true;
    s.siblings = 100;
    s.fees.peer = fee;
    Rig rig(s);
    rig.list(ListKind::full, make_servers(60));
    double bytes = 0;
    const auto told = [&] {
        for (const Action& a : rig.last)
            if (const auto* tell = std::get_if<TellPeer>(&a))
                bytes += static_cast<double>(tell->bytes.size());
    };
    int asked = 0;
    std::vector<std::pair<RequestId, Millis>> out;
    for (int tick = 0; tick < 3000; ++tick) {  // of 10 ms
        rig.pass(10);
        if (tick % 5 == 0) out.emplace_back(rig.request(), rig.now), ++asked, told();
        while (!out.empty() && rig.now >= out.front().second + answers_take) {
            if (rig.out(out.front().first)) rig.end(out.front().first, Outcome::completed, 0), told();
            out.erase(out.begin());
        }
    }
    return bytes * 99 / 256 * fee / asked;
}

TEST(Telling, CostsWhatItIsWorthMoreInACrowdThanInAnIdlePool) {
    const double crowded = spent_on_telling(200, 0.006), idle = spent_on_telling(20, 0.006);
    EXPECT_LT(crowded, 0.034);
    EXPECT_GT(crowded, 0.015) << "seldom told, what others have out is old when it is used";
    EXPECT_LT(idle, crowded / 3);
    EXPECT_GT(idle, 0);
    EXPECT_LT(spent_on_telling(200, 0.6), 0.05) << "whatever a message costs";
}

// How many of 400 requests of a thin sidecar go to server 4 of 20, of which others say what is in `bytes`.
int drawn_to_the_fourth(const std::vector<std::uint8_t>& bytes) {
    Settings s = make_settings({make_class(Effect::once)});
    s.may_tell = true;
    s.siblings = 100;
    int met = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Rig rig(s, seed);
        rig.list(ListKind::full, make_servers(20));
        for (int i = 0; i < 40; ++i) rig.pass(50), rig.end(rig.request(), Outcome::completed, 100);
        for (int i = 0; i < 20; ++i) {
            for (std::uint32_t peer = 1; peer <= 8; ++peer) rig.give(PeerMessage{peer, bytes});
            rig.pass(50);
            const RequestId id = rig.request();
            EXPECT_TRUE(rig.out(id));
            met += rig.where(id) == 4;
            rig.end(id, Outcome::completed, 100);
        }
    }
    return met;
}

TEST(Telling, AServerThatFailsAtOthersIsLeftAloneThoughItHasLittleOut) {
    const std::uint8_t tag = 0xF1;
    EXPECT_GT(drawn_to_the_fourth({tag}), 5);
    EXPECT_LT(drawn_to_the_fourth({tag, 0xFF, 0xFB, 2}), 2) << "two failed of late at each of eight others";
    // If they failed everywhere alike, that tells nothing of one.
    std::vector<std::uint8_t> all{tag};
    for (std::uint8_t id = 1; id <= 20; ++id)
        all.insert(all.end(), {0xFF, static_cast<std::uint8_t>(~id), 2});
    EXPECT_GT(drawn_to_the_fourth(all), 5);
}

TEST(Telling, AFailureCountsAgainstItsServerAndIsTold) {
    Settings s = make_settings({make_class(Effect::repeatable)});
    s.may_tell = true;
    s.siblings = 100;
    Rig rig(s);
    rig.list(ListKind::full, make_servers(20));
    for (int i = 0; i < 40; ++i) rig.pass(50), rig.end(rig.request(), Outcome::completed, 100);
    rig.pass(50);
    const RequestId id = rig.request();
    const ServerId bad = rig.where(id);
    rig.end(id, Outcome::errored, 1);
    rig.pass(60);
    const RequestId next = rig.request();
    bool told = false;
    for (const Action& a : rig.last)
        if (const auto* tell = std::get_if<TellPeer>(&a); tell && !tell->to)
            for (std::size_t i = 1; i + 1 < tell->bytes.size(); i += tell->bytes[0] == 0xF2 ? 2 : 3)
                told |= tell->bytes[i] == 0xFF && tell->bytes[i + 1] == static_cast<std::uint8_t>(~bad);
    EXPECT_TRUE(told);
    EXPECT_TRUE(rig.out(next)) << "it turns nothing away";
}

int sent_to(Rig& rig, ServerId server, int requests) {
    int met = 0;
    for (int i = 0; i < requests; ++i) {
        const RequestId id = rig.request();
        met += rig.where(id) == server;
        rig.end(id, Outcome::completed, 0);
    }
    return met;
}

TEST(Gossip, ItBreaksTiesAgainstAServerAndIsForgotten) {
    Rig rig = pool_of(10);
    rig.give(PeerMessage{3, {0, 0, 0, 4}});
    EXPECT_EQ(sent_to(rig, 4, 200), 0) << "of two, the other one wins";
    rig.pass(3600000);
    EXPECT_GT(sent_to(rig, 4, 200), 0);
}

TEST(Gossip, ALoudPeerEjectsNobodyAndMalformedMessagesDoNothing) {
    Rig rig = pool_of(10);
    for (int i = 0; i < 1000; ++i)
        for (std::uint8_t s = 1; s <= 10; ++s) rig.give(PeerMessage{3, {0, 0, 0, s}});
    rig.give(PeerMessage{3, {}});
    rig.give(PeerMessage{3, {4}});
    rig.give(PeerMessage{3, {0, 0, 0, 0, 4}});
    rig.give(PeerMessage{3, std::vector<std::uint8_t>(256, 255)});
    EXPECT_EQ(rig.removals(), 0);
    std::set<ServerId> met;
    for (int i = 0; i < 300; ++i) {
        const RequestId id = rig.request();
        ASSERT_TRUE(rig.out(id));
        met.insert(rig.where(id));
        rig.end(id, Outcome::completed, 0);
    }
    EXPECT_GE(met.size(), 9U) << "all doubted alike: all are used";
}

// ---- Shedding -------------------------------------------------------------------------------------------

TEST(Fleet, LightSidecarsShedByLotWhenThePoolIsFull) {
    int sent = 0, asked = 0;
    for (std::uint64_t n = 1; n <= 200; ++n) {
        Settings s = make_settings({make_class(Effect::once)});
        s.siblings = 1000;
        Rig rig(s, n);
        rig.list(ListKind::full, make_servers(20));
        for (int i = 0; i < 40; ++i) {
            rig.pass(500);
            const RequestId id = rig.request();
            while (rig.out(id)) rig.end(id, Outcome::saturated, 1);
            if (i >= 30) ++asked, sent += rig.sends(id) > 0;
        }
    }
    EXPECT_LT(sent, asked / 2);
    EXPECT_GT(sent, 0) << "never shut altogether";
}

}  // namespace
}  // namespace kelplb::test
