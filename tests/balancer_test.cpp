// The balancer's mechanisms, one behaviour per test: each test fails if the behaviour is removed from the
// module.
#include <cmath>
#include <stdexcept>

#include "rig.hpp"

namespace kelplb::test {
namespace {

// `count` warm servers and one class of requests.
Rig make_pool(ServerId count, std::uint64_t seed = 1, Effect effect = Effect::once) {
    Rig rig(make_settings({make_class(effect)}), seed);
    rig.apply_list(ListKind::full, make_servers(count));
    return rig;
}

// Sends requests one after another: those at `bad` servers end with `outcome`, the others complete. Returns
// the number at bad servers.
int run_requests(Rig& rig, int requests, const std::set<ServerId>& bad, Outcome outcome, Millis gap = 10) {
    int sent_to_bad = 0;
    for (int i = 0; i < requests; ++i) {
        const RequestId id = rig.request();
        if (!rig.outstanding(id)) continue;
        const bool failing = bad.count(rig.server_of(id)) > 0;
        sent_to_bad += failing;
        rig.end(id, failing ? outcome : Outcome::completed, gap);
    }
    return sent_to_bad;
}

TEST(OutlierEjection, FailingServerIsRemovedForTheBackoff) {
    Rig rig = make_pool(4);
    EXPECT_GT(run_requests(rig, 120, {1}, Outcome::errored), 0);
    EXPECT_EQ(rig.removals(), 1);
    EXPECT_EQ(run_requests(rig, 120, {1}, Outcome::errored), 0) << "nothing is sent to it within the backoff";
}

TEST(OutlierEjection, ThreeFailuresInTwentyRemoveAndTwoDoNot) {
    for (const int failures : {2, 3}) {
        Rig rig = make_pool(4);
        run_requests(rig, 400, {}, Outcome::completed);  // full windows of successes
        int failures_left = failures;
        while (failures_left > 0) {
            const RequestId id = rig.request();
            const bool fail = rig.server_of(id) == 1;
            rig.end(id, fail ? Outcome::errored : Outcome::completed, 10);
            failures_left -= fail;
        }
        EXPECT_EQ(rig.removals(), failures == 3 ? 1 : 0) << failures;
    }
}

TEST(OutlierEjection, OldOutcomesLeaveTheWindow) {
    Rig rig = make_pool(4);
    int failed = 0;
    for (int i = 0, on_one = 0; i < 3000; ++i) {
        const RequestId id = rig.request();
        const bool fail =
            rig.server_of(id) == 1 && on_one++ % 15 == 0;  // at most two failures in any 20 outcomes
        failed += fail;
        rig.end(id, fail ? Outcome::errored : Outcome::completed, 10);
    }
    EXPECT_GT(failed, 20);
    EXPECT_EQ(rig.removals(), 0);
}

TEST(OutlierEjection, LateAnswersCountAsFailures) {
    Rig rig = make_pool(8);
    for (int round = 0; round < 20 && rig.removals() == 0; ++round) {
        const auto ids = rig.burst(32, 5000);  // several to each server at once
        rig.now += 10;
        for (const RequestId id : ids)
            if (rig.outstanding(id) && rig.server_of(id) != 1) rig.end(id, Outcome::completed, 0);
        rig.now += 690;
        for (const RequestId id : ids)
            if (rig.outstanding(id)) rig.end(id, Outcome::completed, 0);
    }
    EXPECT_EQ(rig.removals(), 1);
    EXPECT_NE(rig.server_of(rig.request()), 1U);
}

TEST(OutlierEjection, FailuresAtAllServersRemoveNone) {
    Rig rig = make_pool(6);
    for (int i = 0; i < 600; ++i) {
        const RequestId id = rig.request();
        if (rig.outstanding(id)) rig.end(id, i % 3 ? Outcome::completed : Outcome::errored, 10);
    }
    EXPECT_EQ(rig.removals(), 0) << "every third request fails at every server: no server stands out";
}

TEST(OutlierEjection, PanicThresholdKeepsHalfOfThePool) {
    Rig rig = make_pool(6);
    for (ServerId bad = 1; bad <= 5; ++bad) {  // one after the other, so that each is the only failing one
        run_requests(rig, 60, {bad}, Outcome::errored);
        EXPECT_EQ(rig.removals(), std::min<int>(3, static_cast<int>(bad)));
    }
}

TEST(OutlierEjection, CertainFailureNeedsNoFullWindow) {
    Rig rig = make_pool(4);
    const int sent_to_bad = run_requests(rig, 200, {1}, Outcome::connection_lost);
    EXPECT_EQ(rig.removals(), 1);
    EXPECT_EQ(sent_to_bad, 3) << "with three failures a window of 20 is below 0.9, whatever follows";
}

// ---- Half-open trial ------------------------------------------------------------------------------------

// Has server 1 removed and its backoff pass; returns the request that is its trial.
RequestId start_trial(Rig& rig) {
    run_requests(rig, 120, {1}, Outcome::errored);
    EXPECT_EQ(rig.removals(), 1);
    rig.advance(10001);
    RequestId id = 0;
    for (int i = 0; i < 200; ++i) {
        id = rig.request();
        if (rig.server_of(id) == 1) return id;
        rig.end(id, Outcome::completed, 10);
    }
    ADD_FAILURE() << "no trial request";
    return id;
}

TEST(HalfOpenTrial, OneRequestAtATimeAndSuccessRestoresTheServer) {
    Rig rig = make_pool(4);
    const RequestId id = start_trial(rig);
    for (int i = 0; i < 50; ++i) {
        const RequestId other = rig.request();
        EXPECT_NE(rig.server_of(other), 1U) << "only one trial at a time";
        rig.end(other, Outcome::completed, 1);
    }
    rig.end(id, Outcome::completed, 1);
    EXPECT_EQ(rig.logs.back(), "restored after a trial");
    EXPECT_GT(run_requests(rig, 100, {1}, Outcome::completed), 0);
}

TEST(HalfOpenTrial, SuccessClearsTheWindow) {
    Rig rig = make_pool(4);
    rig.end(start_trial(rig), Outcome::completed, 1);
    int failures_left = 2;
    while (failures_left > 0) {
        const RequestId id = rig.request();
        const bool fail = rig.server_of(id) == 1;
        rig.end(id, fail ? Outcome::errored : Outcome::completed, 10);
        failures_left -= fail;
    }
    EXPECT_EQ(rig.removals(), 1) << "two failures of 20 are tolerated: the window was cleared";
}

TEST(HalfOpenTrial, FailureStartsAnotherBackoff) {
    Rig rig = make_pool(4);
    rig.end(start_trial(rig), Outcome::errored, 1);
    EXPECT_EQ(run_requests(rig, 100, {1}, Outcome::errored), 0);
    rig.advance(10001);
    EXPECT_GT(run_requests(rig, 100, {1}, Outcome::errored), 0);
}

TEST(HalfOpenTrial, InconclusiveTrialIsRepeated) {
    Rig rig = make_pool(4);
    const RequestId id = start_trial(rig);
    rig.requests.at(id).gone = true;
    rig.deliver(ClientGone{id});
    rig.end(id, Outcome::cancelled, 1);
    EXPECT_GT(run_requests(rig, 200, {1}, Outcome::completed), 0) << "the trial is still due";
}

// ---- Server choice --------------------------------------------------------------------------------------

TEST(ServerChoice, ServerWithFewerOutstandingOfTwoIsUsed) {
    Rig rig = make_pool(2);
    const RequestId first = rig.request();
    for (int i = 0; i < 20; ++i) {
        const RequestId id = rig.request();
        EXPECT_NE(rig.server_of(id), rig.server_of(first));
        rig.end(id, Outcome::completed, 1);
    }
}

TEST(ServerChoice, OnlyTwoServersAreCompared) {
    Rig rig = make_pool(10);
    std::vector<RequestId> busy;
    for (int i = 0; i < 200; ++i) busy.push_back(rig.request(0, 100000));
    std::map<ServerId, int> load;
    for (const RequestId id : busy) ++load[rig.server_of(id)];
    EXPECT_EQ(load.size(), 10U);
    int most = 0, least = 1000;
    for (const auto& [server, n] : load) most = std::max(most, n), least = std::min(least, n);
    EXPECT_GT(most - least, 1) << "always choosing the least loaded of all servers gives less spread";
    EXPECT_LT(most - least, 8) << "choosing one at random gives more";
}

TEST(ServerChoice, RetryGoesToAServerNotYetTried) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Rig rig = make_pool(3, seed, Effect::repeatable);
        const RequestId id = rig.request();
        const ServerId first = rig.server_of(id);
        rig.end(id, Outcome::errored, 10);
        ASSERT_EQ(rig.attempts(id), 2U);
        EXPECT_NE(rig.server_of(id), first);
    }
}

// ---- Slow start -----------------------------------------------------------------------------------------

TEST(SlowStart, ColdServerGetsAReducedShareUntilItIsWarm) {
    Rig rig = make_pool(4);
    run_requests(rig, 1000, {}, Outcome::completed);
    rig.apply_list(ListKind::incremental, {{9, 0, 0, Phase::on, rig.now}});
    std::map<ServerId, int> load;
    for (int i = 0; i < 400; ++i) {
        const RequestId id = rig.request();
        ++load[rig.server_of(id)];
        rig.end(id, Outcome::completed, 10);
    }
    EXPECT_GT(load[9], 0);
    EXPECT_LT(load[9], load[1] * 0.65) << "at four seconds of age: a third of its capacity, with a margin";
    rig.advance(21000);
    load.clear();
    for (int i = 0; i < 400; ++i) {
        const RequestId id = rig.request();
        ++load[rig.server_of(id)];
        rig.end(id, Outcome::completed, 10);
    }
    EXPECT_GT(load[9], 50);
}

// ---- Retry budget, admission, list ----------------------------------------------------------------------

TEST(RetryBudget, BoundsAttemptsAtAFailingPool) {
    Rig rig = make_pool(6, 1, Effect::repeatable);
    std::size_t sends = 0;
    const int requests = 500;
    for (int i = 0; i < requests; ++i) {
        const RequestId id = rig.request();
        while (rig.outstanding(id)) rig.end(id, Outcome::errored, 2);
        sends += rig.attempts(id);
    }
    EXPECT_GT(sends, requests * 1.1);
    EXPECT_LT(sends, requests * 1.3);
}

TEST(Admission, SlowAnswersLimitOutstandingRequests) {
    Rig rig = make_pool(4);
    for (int i = 0; i < 60; ++i) rig.complete(rig.burst(40, 5000), 600);  // 1.5 times the latency target
    const auto ids = rig.burst(200, 5000);
    EXPECT_LT(rig.count_outstanding(ids), 100);
    EXPECT_GE(rig.count_outstanding(ids), 1) << "the limit never falls to zero";
}

// A refusal tells the client when to retry: shortly under overload, after the backoff if no server is live.
TEST(Admission, RefusalTellsWhenToRetry) {
    Rig overloaded = make_pool(4);
    for (int i = 0; i < 60; ++i) overloaded.complete(overloaded.burst(40, 5000), 600);
    overloaded.retry_delays.clear();
    overloaded.burst(200, 5000);
    overloaded.advance(100);
    EXPECT_GE(overloaded.retry_delays.size(), 100U);
    for (const Millis retry_delay : overloaded.retry_delays) {
        EXPECT_GT(retry_delay, 100);
        EXPECT_LE(retry_delay, 600);
    }
    Rig empty = make_pool(1);
    empty.apply_list(ListKind::incremental, {{1, 0, 0, Phase::draining, 0}});
    empty.request();
    empty.advance(100);
    EXPECT_EQ(empty.retry_delays, std::vector<Millis>{10000});
}

// Time-outs of clients that wait for less time than an answer is expected to take must not count against the
// servers: no refusal, removal, probe or gossip follows. Every answer takes 100 ms here; a fifth of the
// clients wait for 30 ms.
TEST(Admission, EarlyClientTimeoutsDoNotCountAgainstServers) {
    Settings settings = make_settings();
    settings.sidecar_count = 300, settings.may_message_peers = settings.may_probe = true;
    Rig rig(settings);
    rig.apply_list(ListKind::full, make_servers(40));
    int gossiped = 0, probes = 0;  // messages to single peers: gossip of failures
    const auto count_gossiped = [&] {
        for (const Action& a : rig.last_actions)
            if (const auto* tell = std::get_if<SendToPeer>(&a)) gossiped += tell->to.has_value();
    };
    for (int i = 0; i < 1000; ++i) {
        const RequestId id = rig.request(0, i % 5 == 4 && i > 50 ? 30 : 1000);
        count_gossiped();
        probes += rig.count<Probe>();
        ASSERT_TRUE(rig.outstanding(id)) << "request " << i << " is refused";
        rig.end(id, i % 5 == 4 && i > 50 ? Outcome::timed_out : Outcome::completed,
                i % 5 == 4 && i > 50 ? 30 : 100);
        count_gossiped();
    }
    EXPECT_LT(rig.balancer.tally().latency_ratio, 0.3);
    EXPECT_GT(rig.balancer.tally().on_time_share, 0.99);
    EXPECT_EQ(rig.removals(), 0);
    EXPECT_EQ(probes, 0);
    EXPECT_EQ(gossiped, 0);
}

// A stalled server must be found even if clients wait for less time than the latency target.
TEST(Window, StalledServerIsAvoidedDespiteShortClientTimeouts) {
    Rig rig = make_pool(4, 1, Effect::repeatable);
    for (int i = 0; i < 100; ++i) rig.end(rig.request(0, 100), Outcome::completed, 10);
    int sent_to_stalled = 0;
    for (int i = 0; i < 100; ++i) {
        const RequestId id = rig.request(0, 100);
        const bool stalled = rig.server_of(id) == 2;
        sent_to_stalled += stalled;
        rig.end(id, stalled ? Outcome::timed_out : Outcome::completed, stalled ? 100 : 10);
    }
    EXPECT_LT(sent_to_stalled, 8) << "an even share of 100 requests is 25";
}

TEST(Admission, FastAnswersLimitNothing) {
    Rig rig = make_pool(4);
    for (int i = 0; i < 60; ++i) rig.complete(rig.burst(40, 5000), 20);
    EXPECT_EQ(rig.count_outstanding(rig.burst(200, 5000)), 200);
}

TEST(List, SubscribesAtTheStartWhereConfigured) {
    for (const bool on_request : {false, true}) {
        Settings s = make_settings();
        s.subscribe_to_list = on_request;
        Rig rig(s);
        rig.deliver(Started{});
        EXPECT_EQ(rig.count<Subscribe>(), on_request ? 1 : 0);
    }
}

TEST(List, FailedCallsAreRetriedWithBackoffAndJitter) {
    std::set<Millis> waits;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Settings s = make_settings();
        s.subscribe_to_list = true;
        Rig rig(s, seed);
        rig.deliver(Started{});
        Millis last_wait = 0, total = 0;
        for (int i = 0; i < 3; ++i) {
            rig.apply_list(ListKind::failed, {});
            ASSERT_EQ(rig.timers.size(), 1U);
            last_wait = rig.timers.begin()->first - rig.now;
            if (i == 0) waits.insert(last_wait);
            total += last_wait;
            rig.now += last_wait;
            const TimerToken token = rig.timers.begin()->second;
            rig.timers.clear();
            rig.deliver(TimerFired{token});
            EXPECT_EQ(rig.count<Subscribe>(), 1);
        }
        EXPECT_GE(total, 3000);
        EXPECT_LE(last_wait, 6000);
    }
    EXPECT_EQ(waits.size(), 5U) << "the waits must be jittered by seed";
}

TEST(List, FailedCallKeepsTheLastList) {
    Rig rig = make_pool(2);
    rig.apply_list(ListKind::failed, {});
    EXPECT_TRUE(rig.outstanding(rig.request()));
}

TEST(List, HeldRequestsAreSentWhenAServerAppears) {
    Rig rig(make_settings());
    rig.apply_list(ListKind::saved, {});
    const RequestId id = rig.request();
    EXPECT_FALSE(rig.outstanding(id));
    rig.now += 5;
    rig.apply_list(ListKind::full, make_servers(2));
    EXPECT_TRUE(rig.outstanding(id));
}

// ---- Bad input ------------------------------------------------------------------------------------------

TEST(Settings, InvalidSettingIsNamed) {
    const auto error_for = [](auto change) -> std::string {
        Settings s = make_settings();
        change(s);
        try {
            Balancer b(s, 1);
        } catch (const std::invalid_argument& error) {
            return error.what();
        }
        return "accepted";
    };
    const auto expect_named = [&](auto change, const std::string& name) {
        EXPECT_NE(error_for(change).find(name), std::string::npos) << error_for(change);
    };
    expect_named([](Settings& s) { s.classes.clear(); }, "classes");
    expect_named([](Settings& s) { s.classes[0].latency_target = 0; }, "classes[0].aim");
    expect_named([](Settings& s) { s.classes[0].latency_target = NAN; }, "classes[0].aim");
    expect_named([](Settings& s) { s.classes[0].worth = -1; }, "classes[0].worth");
    expect_named([](Settings& s) { s.classes[0].dedup_window = -1; }, "classes[0].dedup_window");
    expect_named([](Settings& s) { s.classes[0].latency_target_stretch = INFINITY; },
                 "classes[0].aim_stretch");
    expect_named([](Settings& s) { s.sidecar_count = 0; }, "siblings");
    expect_named([](Settings& s) { s.max_attempts = 0; }, "max_attempts");
    expect_named([](Settings& s) { s.warmup_time = -1; }, "warm_within");
    expect_named([](Settings& s) { s.overload_multiple = 0.5; }, "fall_multiple");
    expect_named([](Settings& s) { s.cold_capacity = 1.5; }, "cold_from");
    expect_named([](Settings& s) { s.fees.cross_zone = -0.1; }, "fees.cross_zone");
    EXPECT_EQ(error_for([](Settings&) {}), "accepted");
}

TEST(Events, AboutUnknownOrFinishedObjectsHaveNoEffect) {
    Rig rig = make_pool(2);
    const RequestId id = rig.request();
    rig.end(id, Outcome::completed, 10);
    const auto expect_no_actions = [&](const Event& event) {
        std::vector<Action> actions;
        rig.balancer.handle(rig.now, event, actions);
        EXPECT_TRUE(actions.empty());
    };
    expect_no_actions(AttemptEnded{id, 0, Outcome::errored, 5, true});
    expect_no_actions(AttemptEnded{999, 0, Outcome::errored, 5, false});
    expect_no_actions(ClientGone{id});
    expect_no_actions(ClientGone{999});
    expect_no_actions(FirstByte{999, 0});
    expect_no_actions(TimerFired{12345});
    expect_no_actions(ProbeEnded{77, Outcome::completed, 1});
    expect_no_actions(PeerMessage{3, {1, 2, 3}});
    const RequestId open = rig.request();
    expect_no_actions(AttemptEnded{open, 7, Outcome::errored, 5, false});
    rig.end(open, Outcome::completed, 10);
}

TEST(Events, TimeThatGoesBackIsIgnored) {
    Rig rig = make_pool(2);
    const RequestId id = rig.request(0, 1000);
    std::vector<Action> actions;
    rig.balancer.handle(rig.now - 5000, RequestArrived{777, 0, 1000}, actions);
    for (const Action& a : actions)
        if (const auto* timer = std::get_if<SetTimer>(&a)) {
            EXPECT_EQ(timer->at, rig.now + 1000);
        }
    EXPECT_FALSE(actions.empty());
    rig.end(id, Outcome::completed, 10);
}

}  // namespace
}  // namespace kelplb::test
