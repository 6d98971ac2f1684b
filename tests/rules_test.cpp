// Rules 1 to 3: checked on every action over seeded random sequences of valid events, and one test for each
// situation in which a rule could be broken. Outcomes are random; there is no model of a server.
#include "rig.hpp"

namespace kelplb::test {
namespace {

class TestRandom {
public:
    explicit TestRandom(std::uint64_t seed) : state_(seed * 2654435761u + 1) {}
    std::uint32_t below(std::uint32_t n) {
        state_ = state_ * 6364136223846793005u + 1442695040888963407u;
        return static_cast<std::uint32_t>(state_ >> 33) % n;
    }

private:
    std::uint64_t state_;
};

Settings mixed_settings(bool parallel) {
    Settings s = make_settings({make_class(Effect::repeatable), make_class(Effect::once),
                                make_class(Effect::by_key, DedupScope::all, 700),
                                make_class(Effect::by_key, DedupScope::zone, 700),
                                make_class(Effect::by_key, DedupScope::cell, 700)});
    s.parallel_attempts = parallel;
    s.may_probe = s.may_message_peers = true;
    s.sidecar_count = 100;
    return s;
}

void end_random(Rig& rig, TestRandom& random) {
    std::vector<std::pair<RequestId, std::uint32_t>> out;
    for (const auto& [id, r] : rig.requests)
        for (std::uint32_t i = 0; i < r.sent.size(); ++i)
            if (r.sent[i].outstanding) out.emplace_back(id, i);
    if (out.empty()) return;
    const auto [id, attempt] = out[random.below(static_cast<std::uint32_t>(out.size()))];
    static const Outcome outcomes[] = {
        Outcome::completed,       Outcome::completed,          Outcome::completed,
        Outcome::errored,         Outcome::saturated,          Outcome::timed_out,
        Outcome::connection_lost, Outcome::refused_connection, Outcome::not_sent};
    const bool closed = rig.answered(rig.requests.at(id));
    rig.end_attempt(id, attempt, closed ? Outcome::cancelled : outcomes[random.below(9)]);
}

void change_list(Rig& rig, TestRandom& random) {
    const ServerId id = 1 + random.below(10);
    const Phase phases[] = {Phase::on, Phase::on, Phase::draining, Phase::off};
    const Millis since = random.below(2) ? rig.now - random.below(5000) : 0;
    if (random.below(5)) {
        rig.apply_list(ListKind::incremental, {{id, id % 3, id % 2, phases[random.below(4)], since}});
    } else {
        std::vector<ServerInfo> infos;
        for (ServerId s = 1; s <= 10; ++s)
            if (random.below(3)) infos.push_back({s, s % 3, s % 2, Phase::on, 0});
        rig.apply_list(random.below(4) ? ListKind::full : ListKind::failed, infos);
    }
}

void run_random_events(Rig& rig, TestRandom& random, int steps) {
    rig.deliver(Started{});
    rig.apply_list(ListKind::saved, make_servers(6));
    for (int i = 0; i < steps; ++i) {
        const std::uint32_t step = random.below(100);
        if (step < 45) {
            rig.request(random.below(6), 20 + random.below(1500));  // class 5 is unknown
        } else if (step < 85) {
            end_random(rig, random);
        } else if (step < 88) {
            change_list(rig, random);
        } else if (step < 90 && !rig.requests.empty()) {
            auto at = rig.requests.begin();
            std::advance(at, random.below(static_cast<std::uint32_t>(rig.requests.size())));
            if (!rig.answered(at->second)) {
                at->second.gone = true;
                rig.deliver(ClientGone{at->first});
            }
        } else if (step < 92) {  // arbitrary probe results and peer messages
            const Outcome said[] = {Outcome::completed, Outcome::timed_out, Outcome::saturated};
            for (ServerId s = 1; s <= 10; ++s)
                if (random.below(2))
                    rig.deliver(ProbeEnded{s, said[random.below(3)], Millis(random.below(100))});
            rig.deliver(PeerMessage{random.below(200), {0, 0, 0, std::uint8_t(random.below(14))}});
        } else {
            rig.advance(random.below(step == 99 ? 4000 : 60));
        }
        for (auto at = rig.requests.begin(); at != rig.requests.end();)  // keeps the test fast
            at = rig.answered(at->second) && !rig.outstanding(at->first) ? rig.requests.erase(at)
                                                                         : std::next(at);
    }
}

TEST(Rules, HoldForRandomValidEvents) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(seed);
        Rig rig(mixed_settings(seed % 2), seed);
        TestRandom random(seed);
        run_random_events(rig, random, 1500);
        rig.expect_all_answered();
        if (::testing::Test::HasFailure()) return;
    }
}

TEST(Rules, SameEventsGiveTheSameActions) {
    std::vector<std::string> traces;
    for (int run = 0; run < 2; ++run) {
        Rig rig(mixed_settings(false), 5);
        TestRandom random(5);
        std::string trace;
        rig.apply_list(ListKind::full, make_servers(6));
        for (int i = 0; i < 500; ++i) {
            const RequestId id = rig.request(random.below(5));
            trace += rig.outstanding(id) ? std::to_string(rig.server_of(id)) + "," : "-,";
            end_random(rig, random);
            rig.now += 1;
        }
        traces.push_back(trace);
    }
    EXPECT_EQ(traces[0], traces[1]);
}

TEST(Rules, MemoryStaysBoundedInALongRun) {
    Rig rig(mixed_settings(false), 3);
    TestRandom random(3);
    ServerId fresh = 100;
    for (int round = 0; round < 60; ++round) {
        run_random_events(rig, random, 300);
        rig.apply_list(ListKind::full, {{fresh, 0, 0, Phase::on, 0}, {fresh + 1, 1, 1, Phase::on, 0}});
        fresh += 2;
        rig.advance(10000);
    }
    rig.expect_all_answered();
    EXPECT_EQ(rig.balancer.held().requests, 0U);
    EXPECT_LE(rig.balancer.held().servers, 2U);
    EXPECT_LE(rig.balancer.held().timers, 1U);
}

// ---- Single situations ----------------------------------------------------------------------------------

Rig make_pool(RequestClass kind, std::uint64_t seed = 1) {
    Rig rig(make_settings({kind}), seed);
    rig.apply_list(ListKind::full, make_servers(3));
    return rig;
}

TEST(Rule2, OnceIsNeitherResentNorRefusedAfterAPossibleRun) {
    for (const Outcome outcome : {Outcome::errored, Outcome::timed_out, Outcome::connection_lost}) {
        Rig rig = make_pool(make_class(Effect::once));
        const RequestId id = rig.request();
        rig.end(id, outcome);
        EXPECT_EQ(rig.attempts(id), 1U);
        EXPECT_EQ(rig.requests.at(id).answers, 1);
        EXPECT_FALSE(rig.requests.at(id).refused);
    }
}

TEST(Rule2, UnknownClassIsTreatedAsOnce) {
    Rig rig = make_pool(make_class(Effect::repeatable));
    const RequestId id = rig.request(9);
    rig.end(id, Outcome::errored);
    EXPECT_EQ(rig.attempts(id), 1U);
    EXPECT_FALSE(rig.requests.at(id).refused);
}

TEST(Rule2, RepeatableIsResentAfterAnyFailure) {
    for (const Outcome outcome : {Outcome::errored, Outcome::connection_lost, Outcome::saturated}) {
        Rig rig = make_pool(make_class(Effect::repeatable));
        const RequestId id = rig.request();
        rig.end(id, outcome);
        EXPECT_EQ(rig.attempts(id), 2U);
    }
}

TEST(Rule2, ByKeyIsResentOnlyInItsZoneAndWindow) {
    Rig rig(make_settings({make_class(Effect::by_key, DedupScope::zone, 300)}));
    rig.apply_list(ListKind::full, make_servers(9));
    for (int i = 0; i < 30; ++i) {
        const RequestId id = rig.request();
        const ServerId first = rig.server_of(id);
        rig.end(id, i % 2 ? Outcome::errored : Outcome::connection_lost, i % 3 ? 10 : 400);
        if (i % 3) {
            EXPECT_EQ(rig.server_of(id) % 3, first % 3);
        } else {
            EXPECT_EQ(rig.attempts(id), 1U) << "the deduplication window has passed";
        }
        while (rig.outstanding(id)) rig.end(id, Outcome::completed, 1);
    }
}

TEST(Rule2, AfterAPossibleRunByKeyIsRefusedOnlyIfItsScopeIsAll) {
    for (const DedupScope scope : {DedupScope::zone, DedupScope::all}) {
        Rig rig(make_settings({make_class(Effect::by_key, scope)}));
        rig.apply_list(ListKind::full, make_servers(1));
        const RequestId id = rig.request(0, 300);
        rig.end(id, Outcome::errored, 10);
        while (rig.outstanding(id)) rig.end(id, Outcome::errored, 10);
        rig.expect_all_answered();
        EXPECT_EQ(rig.requests.at(id).refused, scope == DedupScope::all);
    }
}

TEST(Rule3, NothingIsSentToADrainingServer) {
    Rig rig = make_pool(make_class(Effect::repeatable));
    rig.apply_list(ListKind::incremental, {{1, 0, 0, Phase::draining, 0}});
    for (int i = 0; i < 50; ++i) {
        const RequestId id = rig.request();
        EXPECT_NE(rig.server_of(id), 1U);
        rig.end(id, Outcome::completed);
    }
}

TEST(Rule1, HeldRequestIsAnsweredInTime) {
    Rig rig(make_settings({make_class(Effect::once)}));
    const RequestId id = rig.request(0, 50);
    EXPECT_EQ(rig.requests.at(id).answers, 0);
    rig.expect_all_answered();
    EXPECT_EQ(rig.requests.at(id).answers, 1);
    EXPECT_TRUE(rig.requests.at(id).refused) << "it was never sent, so a retry is harmless";
}

}  // namespace
}  // namespace kelplb::test
