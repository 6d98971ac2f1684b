// Effects of many sidecars together, and of messages between them: balancers receive events from the test;
// there is no model of a server.
#include <cmath>

#include "rig.hpp"

namespace kelplb::test {
namespace {

// Many low-traffic sidecars with the same warm servers and one of the given age; each has a few requests,
// answered at once. Returns the number of requests to the cold server, relative to a warm one.
double cold_server_share(std::uint32_t sidecars, int requests_each, ServerId warm, Millis age) {
    double cold = 0, others = 0;
    for (std::uint32_t n = 0; n < sidecars; ++n) {
        Settings s = make_settings({make_class(Effect::once)});
        s.sidecar_count = sidecars;
        Rig rig(s, n + 1);
        rig.apply_list(ListKind::full, make_servers(warm));
        rig.apply_list(ListKind::incremental, {{warm + 1, 0, 0, Phase::on, rig.now - age}});
        for (int i = 0; i < requests_each; ++i) {
            const RequestId id = rig.request();
            if (!rig.outstanding(id)) continue;
            (rig.server_of(id) == warm + 1 ? cold : others) += 1;
            rig.end(id, Outcome::completed, 0.25);  // short, so that the server stays cold
        }
    }
    return cold / (others / warm);
}

TEST(Fleet, ColdServerGetsItsShareFromOneSidecarToAThousand) {
    // A capacity of 0.2 at first; winning ties raises its share to twice that at most.
    for (const auto& [sidecars, each] : {std::pair{1u, 4000}, {30u, 150}, {1000u, 4}}) {
        const double part = cold_server_share(sidecars, each, 40, 0);
        EXPECT_GT(part, 0.1) << sidecars;
        EXPECT_LT(part, 0.6) << sidecars;
    }
}

TEST(Fleet, NewServersAreNotFlooded) {
    // No sidecar has latencies of the new servers: the next requests must not all go there.
    int to_new = 0, all = 0;
    for (std::uint64_t n = 1; n <= 100; ++n) {
        Settings s = make_settings({make_class(Effect::once)});
        s.sidecar_count = 100;
        Rig rig(s, n);
        rig.apply_list(ListKind::full, make_servers(16));
        for (int i = 0; i < 40; ++i) rig.end(rig.request(), Outcome::completed, 60);
        rig.apply_list(ListKind::full, make_servers(20));
        for (int i = 0; i < 4; ++i) {
            const RequestId id = rig.request();
            ++all, to_new += rig.server_of(id) > 16;
            rig.end(id, Outcome::completed, 60);
        }
    }
    EXPECT_LT(to_new, all * 4 / 20 * 1.5);
    EXPECT_GT(to_new, all * 4 / 20 / 4);  // nor must they stay unused
}

TEST(Fleet, ColdServerTooSlowForTheTargetIsNotUsed) {
    // Warm servers take 100 ms, with a latency target of 400 ms. At a fifth of that speed the answer is
    // late; at three fifths it is not.
    const auto sent = [](Millis age) {
        int cold = 0;
        for (std::uint64_t n = 1; n <= 200; ++n) {
            Rig rig(make_settings({make_class(Effect::once)}), n);
            rig.apply_list(ListKind::full, make_servers(10));
            for (int i = 0; i < 40; ++i) rig.end(rig.request(), Outcome::completed, 100);
            rig.apply_list(ListKind::incremental, {{11, 0, 0, Phase::on, rig.now - age}});
            for (int i = 0; i < 5; ++i) {
                const RequestId id = rig.request();
                const bool there = rig.server_of(id) == 11;
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

TEST(Fleet, FastFailuresDoNotCountAsLowLatency) {
    // Fast failures must not count as low latency: such a server would get all requests until the window of
    // each of the hundred sidecars has three failures, that is three hundred requests a server.
    int failed = 0;
    for (std::uint64_t n = 1; n <= 100; ++n) {
        Settings s = make_settings({make_class(Effect::once)});
        s.sidecar_count = 100;
        Rig rig(s, n);
        rig.apply_list(ListKind::full, make_servers(20));
        for (int i = 0; i < 60; ++i) {
            const RequestId id = rig.request();
            const bool bad = rig.server_of(id) <= 3;
            failed += bad;
            rig.end(id, bad ? Outcome::errored : Outcome::completed, bad ? 1 : 60);
            rig.advance(bad ? 59 : 0);
        }
    }
    EXPECT_LT(failed, 100 * 3 * 2);
}

TEST(Fleet, ColdServerDoesNotBypassTheConcurrencyLimit) {
    // Slow answers have lowered the concurrency limit: requests beyond it must not go to the cold server
    // instead.
    Rig rig(make_settings({make_class(Effect::once)}));
    rig.apply_list(ListKind::full, make_servers(4));
    for (int i = 0; i < 60; ++i) rig.complete(rig.burst(40, 5000), 600);
    rig.apply_list(ListKind::incremental, {{9, 0, 0, Phase::on, rig.now}});
    const auto ids = rig.burst(200, 5000);
    const auto cold = std::count_if(
        ids.begin(), ids.end(), [&](RequestId id) { return rig.outstanding(id) && rig.server_of(id) == 9; });
    EXPECT_LT(rig.count_outstanding(ids), 100);
    EXPECT_LT(cold, rig.count_outstanding(ids) / 2);
}

TEST(Fleet, LowTrafficSidecarsSampleServersByRegisteredSize) {
    // No sidecar has outstanding requests, so only the weighted sampling protects the small servers.
    std::map<ServerId, double> load;
    for (std::uint64_t n = 1; n <= 1000; ++n) {
        Rig rig(make_settings({make_class(Effect::once)}), n);
        auto servers = make_servers(20);
        for (ServerInfo& s : servers) s.units = s.id <= 10 ? 3 : 1;
        rig.apply_list(ListKind::full, servers);
        for (int i = 0; i < 4; ++i) {
            const RequestId id = rig.request();
            load[rig.server_of(id) <= 10] += 1;
            rig.end(id, Outcome::completed, 0);
        }
    }
    EXPECT_NEAR(load[true] / load[false], 3, 0.5);
}

TEST(Fleet, InvalidUnitsCountAsOne) {
    Rig rig(make_settings({make_class(Effect::once)}));
    auto servers = make_servers(3);
    servers[0].units = 0, servers[1].units = -2, servers[2].units = std::nan("");
    rig.apply_list(ListKind::full, servers);
    std::set<ServerId> used;
    for (int i = 0; i < 60; ++i) {
        const RequestId id = rig.request();
        used.insert(rig.server_of(id));
        rig.end(id, Outcome::completed, 0);
    }
    EXPECT_EQ(used.size(), 3U);
}

// Whether the connection to a server is closed after an answer, with so many servers and a request every
// `gap`.
bool closes_connection(ServerId servers, Millis gap) {
    Rig rig(make_settings({make_class(Effect::once)}));
    rig.apply_list(ListKind::full, make_servers(servers));
    int closed = 0;
    for (int i = 0; i < 60; ++i) {
        rig.advance(gap);
        rig.end(rig.request(), Outcome::completed, 0);
        closed = rig.count<CloseIdle>();
    }
    return closed > 0;
}

TEST(Fleet, LowTrafficSidecarsCloseConnectionsAndBusyOnesKeepThem) {
    EXPECT_TRUE(closes_connection(50, 500));
    EXPECT_FALSE(closes_connection(50, 20));
    EXPECT_FALSE(closes_connection(5, 500));
}

// For a hundred requests of a low-traffic sidecar: how many connections it opens, and how many stay open, by
// the price of a handshake.
std::pair<int, std::size_t> connections_opened(double fee) {
    Settings s = make_settings({make_class(Effect::once)});
    s.fees.handshake = fee;
    Rig rig(s);
    rig.apply_list(ListKind::full, make_servers(50));
    std::set<ServerId> open;
    int opened = 0;
    for (int i = 0; i < 100; ++i) {
        rig.advance(200);
        const RequestId id = rig.request();
        opened += open.insert(rig.server_of(id)).second;
        rig.end(id, Outcome::completed, 20);
        for (const Action& a : rig.last_actions)
            if (const auto* close = std::get_if<CloseIdle>(&a)) open.erase(close->server);
    }
    return {opened, open.size()};
}

TEST(Fleet, LowTrafficSidecarReusesAFewConnectionsWhereHandshakesAreExpensive) {
    const auto [cheap, none] = connections_opened(0.0);
    EXPECT_GT(cheap, 90);
    EXPECT_EQ(none, 0U);
    const auto [expensive, kept] = connections_opened(0.08);
    EXPECT_LT(expensive, 40);
    EXPECT_LE(kept, 9U) << "the servers' connection tables are shared by all sidecars";
}

TEST(Fleet, RestartedServerHasNoOpenConnections) {
    // Where handshakes are expensive, servers with an open connection are preferred, but not if they have
    // restarted: their connections are closed then.
    const auto used_again = [](bool restart) {
        int again = 0;
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            Settings s = make_settings({make_class(Effect::once)});
            s.fees.handshake = 0.08;
            Rig rig(s, seed);
            rig.apply_list(ListKind::full, make_servers(100));
            std::set<ServerId> open;
            for (int i = 0; i < 30; ++i) {
                rig.advance(200);
                const RequestId id = rig.request();
                rig.end(id, Outcome::completed, 20);
                open.insert(rig.server_of(id));
                for (const Action& a : rig.last_actions)
                    if (const auto* close = std::get_if<CloseIdle>(&a)) open.erase(close->server);
            }
            if (restart)
                for (const ServerId id : open)  // long enough ago to be warm
                    rig.apply_list(ListKind::incremental, {{id, 0, 0, Phase::on, rig.now - 30000}});
            rig.advance(200);
            again += open.count(rig.server_of(rig.request()));
        }
        return again;
    };
    EXPECT_GT(used_again(false), 40);
    EXPECT_LT(used_again(true), 20);
}

// ---- Probes ---------------------------------------------------------------------------------------------

// A low-traffic sidecar (twenty servers, a request every 700 ms) whose last attempts have failed.
Rig after_late_answers(bool may_probe = true, double fee = 0) {
    Settings s = make_settings({make_class(Effect::once)});
    s.may_probe = may_probe;
    s.fees.probe = fee;
    Rig rig(s);
    rig.apply_list(ListKind::full, make_servers(20));
    for (int i = 0; i < 12; ++i) {
        rig.advance(700);
        const RequestId id = rig.request(0, 3000);
        for (const Action& a : std::vector<Action>(rig.last_actions))
            if (const auto* probe = std::get_if<Probe>(&a))
                if (!rig.outstanding(id)) rig.deliver(ProbeEnded{probe->server, Outcome::completed, 1});
        if (rig.outstanding(id)) rig.end(id, i < 10 ? Outcome::completed : Outcome::connection_lost, 10);
    }
    rig.advance(700);
    return rig;
}

std::vector<ServerId> probed_servers(const Rig& rig) {
    std::vector<ServerId> servers;
    for (const Action& a : rig.last_actions)
        if (const auto* probe = std::get_if<Probe>(&a)) servers.push_back(probe->server);
    return servers;
}

TEST(Probes, FirstServerToAnswerItsProbeGetsTheRequest) {
    Rig rig = after_late_answers();
    const RequestId id = rig.request();
    const auto probed = probed_servers(rig);
    ASSERT_EQ(probed.size(), 2U);
    EXPECT_FALSE(rig.outstanding(id));
    rig.deliver(ProbeEnded{probed[1], Outcome::completed, 2});
    ASSERT_TRUE(rig.outstanding(id));
    EXPECT_EQ(rig.server_of(id), probed[1]);
    rig.deliver(ProbeEnded{probed[0], Outcome::completed, 3});
    EXPECT_EQ(rig.attempts(id), 1U) << "the later answer has no effect";
    rig.end(id, Outcome::completed);
}

TEST(Probes, NoProbesWhereTheyCostMoreThanABadAnswer) {
    for (const auto& [fee, probed] : {std::pair{0.0, true}, {0.01, true}, {0.5, false}}) {
        Rig rig = after_late_answers(true, fee);
        rig.request();
        EXPECT_EQ(!probed_servers(rig).empty(), probed) << fee;
    }
}

TEST(Probes, RequestIsSentAlthoughProbesFail) {
    Rig rig = after_late_answers();
    const RequestId id = rig.request();
    for (int round = 0; round < 5 && !rig.outstanding(id); ++round)
        for (const ServerId s : probed_servers(rig)) rig.deliver(ProbeEnded{s, Outcome::timed_out, 100});
    EXPECT_TRUE(rig.outstanding(id));
    rig.end(id, Outcome::completed);
}

TEST(Probes, RequestIsAnsweredInTimeAlthoughProbesNeverEnd) {
    Rig rig = after_late_answers();
    const RequestId id = rig.request();
    EXPECT_FALSE(rig.outstanding(id));
    rig.expect_all_answered();
    EXPECT_TRUE(rig.requests.at(id).refused) << "it was never sent";
}

// The probed servers leave the list before they answer: the request must not wait for them until its
// deadline.
TEST(Probes, RequestIsSentAlthoughProbedServersLeave) {
    Rig rig = after_late_answers();
    const RequestId id = rig.request();
    const auto probed = probed_servers(rig);
    ASSERT_EQ(probed.size(), 2U);
    rig.apply_list(ListKind::incremental,
                   {{probed[0], 0, 0, Phase::off, 0}, {probed[1], 0, 0, Phase::off, 0}});
    for (const ServerId s : probed_servers(rig))
        if (!rig.outstanding(id)) rig.deliver(ProbeEnded{s, Outcome::completed, 2});
    ASSERT_TRUE(rig.outstanding(id));
    rig.end(id, Outcome::completed);
}

TEST(Probes, NoProbesWithoutPermissionOrLateAnswersOrAtABusySidecar) {
    {
        Rig rig = after_late_answers(false);
        rig.request();
        EXPECT_TRUE(probed_servers(rig).empty());
    }
    for (const Millis gap : {700.0, 1.0}) {
        Settings s = make_settings({make_class(Effect::once)});
        s.may_probe = true;
        Rig rig(s);
        rig.apply_list(ListKind::full, make_servers(20));
        for (int i = 0; i < 60; ++i) {
            rig.advance(gap);
            const RequestId id = rig.request();
            EXPECT_TRUE(probed_servers(rig).empty());
            rig.end(id, gap < 10 && i % 10 == 0 ? Outcome::connection_lost : Outcome::completed, 1);
        }
    }
}

TEST(Probes, CollapsedPoolIsNotProbed) {
    Rig rig = after_late_answers();
    for (int i = 0; i < 12; ++i) {
        rig.advance(700);
        const RequestId id = rig.request();
        for (const ServerId s : probed_servers(rig))
            if (!rig.outstanding(id)) rig.deliver(ProbeEnded{s, Outcome::completed, 1});
        if (rig.outstanding(id)) rig.end(id, Outcome::connection_lost, 10);
    }
    rig.advance(700);
    rig.request();
    EXPECT_TRUE(probed_servers(rig).empty());
}

TEST(Probes, ServerDrainingDuringItsProbeGetsNothing) {
    Rig rig = after_late_answers();
    const RequestId id = rig.request();
    const auto probed = probed_servers(rig);
    ASSERT_EQ(probed.size(), 2U);
    rig.apply_list(ListKind::incremental, {{probed[0], 0, 0, Phase::draining, 0}});
    rig.deliver(ProbeEnded{probed[0], Outcome::completed, 2});
    EXPECT_FALSE(rig.outstanding(id));
    rig.deliver(ProbeEnded{probed[1], Outcome::completed, 3});
    EXPECT_TRUE(rig.outstanding(id));
    rig.end(id, Outcome::completed);
}

Rig make_pool(ServerId count) {
    Rig rig(make_settings({make_class(Effect::once)}));
    rig.apply_list(ListKind::full, make_servers(count));
    return rig;
}

// ---- Gossip ---------------------------------------------------------------------------------------------

// A low-traffic sidecar among 160 whose requests end with `outcome`; returns its messages and their peers.
std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> messages_sent(bool may_message_peers,
                                                                               Outcome outcome) {
    Settings s = make_settings({make_class(Effect::once)});
    s.may_message_peers = may_message_peers;
    s.sidecar_count = 160;
    s.sidecar_index = 7;
    Rig rig(s);
    rig.apply_list(ListKind::full, make_servers(20));
    std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> messages;
    for (int i = 0; i < 30; ++i) {
        rig.advance(700);
        const RequestId id = rig.request();
        if (!rig.outstanding(id)) continue;
        rig.end(id, outcome, 10);
        for (const Action& a : rig.last_actions)
            if (const auto* tell = std::get_if<SendToPeer>(&a))
                messages.emplace_back(tell->to.value(), tell->bytes);
    }
    return messages;
}

TEST(Gossip, FailuresAreSentToAFewPeersAndSuccessesToNone) {
    const auto failed = messages_sent(true, Outcome::connection_lost);
    EXPECT_GT(failed.size(), 20U);
    EXPECT_LT(failed.size(), 30U * 160 / 8);
    for (const auto& [peer, bytes] : failed) {
        EXPECT_LT(peer, 160U);
        EXPECT_NE(peer, 7U) << "it must not send to itself";
        EXPECT_EQ(bytes.size(), 4U);
    }
    EXPECT_TRUE(messages_sent(true, Outcome::completed).empty());
    EXPECT_TRUE(messages_sent(false, Outcome::connection_lost).empty()) << "it is not permitted";
}

// The price that one of a hundred sidecars pays for reports to the others, as a share of the result; its
// answers take so long, with a latency target of 400 ms.
double report_cost(Millis latency, double fee) {
    Settings s = make_settings({make_class(Effect::once)});
    s.may_message_peers = true;
    s.sidecar_count = 100;
    s.fees.peer = fee;
    Rig rig(s);
    rig.apply_list(ListKind::full, make_servers(60));
    double bytes = 0;
    const auto count_bytes = [&] {
        for (const Action& a : rig.last_actions)
            if (const auto* tell = std::get_if<SendToPeer>(&a))
                bytes += static_cast<double>(tell->bytes.size());
    };
    int requests = 0;
    std::vector<std::pair<RequestId, Millis>> out;
    for (int tick = 0; tick < 3000; ++tick) {  // of 10 ms
        rig.advance(10);
        if (tick % 5 == 0) out.emplace_back(rig.request(), rig.now), ++requests, count_bytes();
        while (!out.empty() && rig.now >= out.front().second + latency) {
            if (rig.outstanding(out.front().first))
                rig.end(out.front().first, Outcome::completed, 0), count_bytes();
            out.erase(out.begin());
        }
    }
    return bytes * 99 / 256 * fee / requests;
}

TEST(Reports, CostIsBoundedAndHigherInACrowdedPool) {
    const double crowded = report_cost(200, 0.006), idle = report_cost(20, 0.006);
    EXPECT_LT(crowded, 0.034);
    EXPECT_GT(crowded, 0.015) << "with fewer reports they are stale when they are used";
    EXPECT_LT(idle, crowded / 3);
    EXPECT_GT(idle, 0);
    EXPECT_LT(report_cost(200, 0.6), 0.05) << "whatever the price of a message";
}

// How many of 400 requests of a low-traffic sidecar go to server 4 of 20 while eight peers send `bytes`.
int requests_to_server_4(const std::vector<std::uint8_t>& bytes) {
    Settings s = make_settings({make_class(Effect::once)});
    s.may_message_peers = true;
    s.sidecar_count = 100;
    int received = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Rig rig(s, seed);
        rig.apply_list(ListKind::full, make_servers(20));
        for (int i = 0; i < 40; ++i) rig.advance(50), rig.end(rig.request(), Outcome::completed, 100);
        for (int i = 0; i < 20; ++i) {
            for (std::uint32_t peer = 1; peer <= 8; ++peer) rig.deliver(PeerMessage{peer, bytes});
            rig.advance(50);
            const RequestId id = rig.request();
            EXPECT_TRUE(rig.outstanding(id));
            received += rig.server_of(id) == 4;
            rig.end(id, Outcome::completed, 100);
        }
    }
    return received;
}

TEST(Reports, ServerFailingAtPeersIsAvoidedDespiteFewOutstanding) {
    const std::uint8_t tag = 0xF1;
    EXPECT_GT(requests_to_server_4({tag}), 5);
    EXPECT_LT(requests_to_server_4({tag, 0xFF, 0xFB, 2}), 2) << "two recent failures at each of eight peers";
    // If all servers fail alike, no server stands out.
    std::vector<std::uint8_t> all{tag};
    for (std::uint8_t id = 1; id <= 20; ++id)
        all.insert(all.end(), {0xFF, static_cast<std::uint8_t>(~id), 2});
    EXPECT_GT(requests_to_server_4(all), 5);
}

TEST(Reports, FailureIsReported) {
    Settings s = make_settings({make_class(Effect::repeatable)});
    s.may_message_peers = true;
    s.sidecar_count = 100;
    Rig rig(s);
    rig.apply_list(ListKind::full, make_servers(20));
    for (int i = 0; i < 40; ++i) rig.advance(50), rig.end(rig.request(), Outcome::completed, 100);
    rig.advance(50);
    const RequestId id = rig.request();
    const ServerId bad = rig.server_of(id);
    rig.end(id, Outcome::errored, 1);
    rig.advance(60);
    const RequestId next = rig.request();
    bool reported = false;
    for (const Action& a : rig.last_actions)
        if (const auto* tell = std::get_if<SendToPeer>(&a); tell && !tell->to)
            for (std::size_t i = 1; i + 1 < tell->bytes.size(); i += tell->bytes[0] == 0xF2 ? 2 : 3)
                reported |= tell->bytes[i] == 0xFF && tell->bytes[i + 1] == static_cast<std::uint8_t>(~bad);
    EXPECT_TRUE(reported);
    EXPECT_TRUE(rig.outstanding(next)) << "failures must not make it refuse requests";
}

int sent_to(Rig& rig, ServerId server, int requests) {
    int received = 0;
    for (int i = 0; i < requests; ++i) {
        const RequestId id = rig.request();
        received += rig.server_of(id) == server;
        rig.end(id, Outcome::completed, 0);
    }
    return received;
}

TEST(Gossip, BreaksTiesAgainstAServerAndExpires) {
    Rig rig = make_pool(10);
    rig.deliver(PeerMessage{3, {0, 0, 0, 4}});
    EXPECT_EQ(sent_to(rig, 4, 200), 0) << "the other one of two wins";
    rig.advance(3600000);
    EXPECT_GT(sent_to(rig, 4, 200), 0);
}

TEST(Gossip, ManyOrMalformedMessagesRemoveNoServer) {
    Rig rig = make_pool(10);
    for (int i = 0; i < 1000; ++i)
        for (std::uint8_t s = 1; s <= 10; ++s) rig.deliver(PeerMessage{3, {0, 0, 0, s}});
    rig.deliver(PeerMessage{3, {}});
    rig.deliver(PeerMessage{3, {4}});
    rig.deliver(PeerMessage{3, {0, 0, 0, 0, 4}});
    rig.deliver(PeerMessage{3, std::vector<std::uint8_t>(256, 255)});
    EXPECT_EQ(rig.removals(), 0);
    std::set<ServerId> used;
    for (int i = 0; i < 300; ++i) {
        const RequestId id = rig.request();
        ASSERT_TRUE(rig.outstanding(id));
        used.insert(rig.server_of(id));
        rig.end(id, Outcome::completed, 0);
    }
    EXPECT_GE(used.size(), 9U) << "all are suspected alike, so all are used";
}

// ---- Load shedding --------------------------------------------------------------------------------------

TEST(Fleet, LowTrafficSidecarsShedLoadAtRandom) {
    int sent = 0, requests = 0;
    for (std::uint64_t n = 1; n <= 200; ++n) {
        Settings s = make_settings({make_class(Effect::once)});
        s.sidecar_count = 1000;
        Rig rig(s, n);
        rig.apply_list(ListKind::full, make_servers(20));
        for (int i = 0; i < 40; ++i) {
            rig.advance(500);
            const RequestId id = rig.request();
            while (rig.outstanding(id)) rig.end(id, Outcome::saturated, 1);
            if (i >= 30) ++requests, sent += rig.attempts(id) > 0;
        }
    }
    EXPECT_LT(sent, requests / 2);
    EXPECT_GT(sent, 0) << "some requests are always sent";
}

}  // namespace
}  // namespace kelplb::test
