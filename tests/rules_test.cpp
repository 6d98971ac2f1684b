// Rules 1 to 3 on every action, over seeded random but legal event sequences, and each rule's temptation.
// The sequences pick outcomes at random; no server is modelled here.
#include "rig.hpp"

namespace kelplb::test {
namespace {

class Dice {
public:
    explicit Dice(std::uint64_t seed) : state_(seed * 2654435761u + 1) {}
    std::uint32_t below(std::uint32_t n) {
        state_ = state_ * 6364136223846793005u + 1442695040888963407u;
        return static_cast<std::uint32_t>(state_ >> 33) % n;
    }

private:
    std::uint64_t state_;
};

Settings mixed(bool parallel) {
    Settings s = make_settings({make_class(Effect::repeatable), make_class(Effect::once),
                                make_class(Effect::by_key, DedupScope::all, 700),
                                make_class(Effect::by_key, DedupScope::zone, 700),
                                make_class(Effect::by_key, DedupScope::cell, 700)});
    s.parallel_tries = parallel;
    s.may_probe = s.may_tell = true;
    s.siblings = 100;
    return s;
}

void end_random(Rig& rig, Dice& dice) {
    std::vector<std::pair<RequestId, std::uint32_t>> out;
    for (const auto& [id, r] : rig.requests)
        for (std::uint32_t i = 0; i < r.sent.size(); ++i)
            if (r.sent[i].out) out.emplace_back(id, i);
    if (out.empty()) return;
    const auto [id, attempt] = out[dice.below(static_cast<std::uint32_t>(out.size()))];
    static const Outcome outcomes[] = {Outcome::completed, Outcome::completed,          Outcome::completed,
                                       Outcome::errored,   Outcome::saturated,          Outcome::overdue,
                                       Outcome::severed,   Outcome::refused_connection, Outcome::superseded};
    const bool closed = rig.closed(rig.requests.at(id));
    rig.end_attempt(id, attempt, closed ? Outcome::recalled : outcomes[dice.below(9)]);
}

void change_list(Rig& rig, Dice& dice) {
    const ServerId id = 1 + dice.below(10);
    const Phase phases[] = {Phase::on, Phase::on, Phase::fading, Phase::off};
    const Millis since = dice.below(2) ? rig.now - dice.below(5000) : 0;
    if (dice.below(5)) {
        rig.list(ListKind::incremental, {{id, id % 3, id % 2, phases[dice.below(4)], since}});
    } else {
        std::vector<ServerInfo> infos;
        for (ServerId s = 1; s <= 10; ++s)
            if (dice.below(3)) infos.push_back({s, s % 3, s % 2, Phase::on, 0});
        rig.list(dice.below(4) ? ListKind::full : ListKind::failed, infos);
    }
}

void random_life(Rig& rig, Dice& dice, int steps) {
    rig.give(Started{});
    rig.list(ListKind::saved, make_servers(6));
    for (int i = 0; i < steps; ++i) {
        const std::uint32_t what = dice.below(100);
        if (what < 45) {
            rig.request(dice.below(6), 20 + dice.below(1500));  // class 5 is unknown
        } else if (what < 85) {
            end_random(rig, dice);
        } else if (what < 88) {
            change_list(rig, dice);
        } else if (what < 90 && !rig.requests.empty()) {
            auto at = rig.requests.begin();
            std::advance(at, dice.below(static_cast<std::uint32_t>(rig.requests.size())));
            if (!rig.closed(at->second)) {
                at->second.gone = true;
                rig.give(ClientGone{at->first});
            }
        } else if (what < 92) {  // probes and peers may say anything
            const Outcome said[] = {Outcome::completed, Outcome::overdue, Outcome::saturated};
            for (ServerId s = 1; s <= 10; ++s)
                if (dice.below(2)) rig.give(ProbeEnded{s, said[dice.below(3)], Millis(dice.below(100))});
            rig.give(PeerMessage{dice.below(200), {0, 0, 0, std::uint8_t(dice.below(14))}});
        } else {
            rig.pass(dice.below(what == 99 ? 4000 : 60));
        }
        for (auto at = rig.requests.begin(); at != rig.requests.end();)  // keeps the rig quick
            at = rig.closed(at->second) && !rig.out(at->first) ? rig.requests.erase(at) : std::next(at);
    }
}

TEST(Rules, HoldOverRandomLegalLives) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(seed);
        Rig rig(mixed(seed % 2), seed);
        Dice dice(seed);
        random_life(rig, dice, 1500);
        rig.settle();
        if (::testing::Test::HasFailure()) return;
    }
}

TEST(Rules, SameEventsGiveTheSameActions) {
    std::vector<std::string> traces;
    for (int run = 0; run < 2; ++run) {
        Rig rig(mixed(false), 5);
        Dice dice(5);
        std::string trace;
        rig.list(ListKind::full, make_servers(6));
        for (int i = 0; i < 500; ++i) {
            const RequestId id = rig.request(dice.below(5));
            trace += rig.out(id) ? std::to_string(rig.where(id)) + "," : "-,";
            end_random(rig, dice);
            rig.now += 1;
        }
        traces.push_back(trace);
    }
    EXPECT_EQ(traces[0], traces[1]);
}

TEST(Rules, MemoryStaysBoundedOverALongLife) {
    Rig rig(mixed(false), 3);
    Dice dice(3);
    ServerId fresh = 100;
    for (int round = 0; round < 60; ++round) {
        random_life(rig, dice, 300);
        rig.list(ListKind::full, {{fresh, 0, 0, Phase::on, 0}, {fresh + 1, 1, 1, Phase::on, 0}});
        fresh += 2;
        rig.pass(10000);
    }
    rig.settle();
    EXPECT_EQ(rig.balancer.held().requests, 0U);
    EXPECT_LE(rig.balancer.held().servers, 2U);
    EXPECT_LE(rig.balancer.held().timers, 1U);
}

// ---- One temptation each --------------------------------------------------------------------------------

Rig three(RequestClass kind, std::uint64_t seed = 1) {
    Rig rig(make_settings({kind}), seed);
    rig.list(ListKind::full, make_servers(3));
    return rig;
}

TEST(Rule2, OnceIsNeverSentAgainNorRefusedAfterAPossibleRun) {
    for (const Outcome outcome : {Outcome::errored, Outcome::overdue, Outcome::severed}) {
        Rig rig = three(make_class(Effect::once));
        const RequestId id = rig.request();
        rig.end(id, outcome);
        EXPECT_EQ(rig.sends(id), 1U);
        EXPECT_EQ(rig.requests.at(id).answers, 1);
        EXPECT_FALSE(rig.requests.at(id).refused);
    }
}

TEST(Rule2, UnknownClassIsTreatedAsOnce) {
    Rig rig = three(make_class(Effect::repeatable));
    const RequestId id = rig.request(9);
    rig.end(id, Outcome::errored);
    EXPECT_EQ(rig.sends(id), 1U);
    EXPECT_FALSE(rig.requests.at(id).refused);
}

TEST(Rule2, RepeatableIsSentAgainAfterAnything) {
    for (const Outcome outcome : {Outcome::errored, Outcome::severed, Outcome::saturated}) {
        Rig rig = three(make_class(Effect::repeatable));
        const RequestId id = rig.request();
        rig.end(id, outcome);
        EXPECT_EQ(rig.sends(id), 2U);
    }
}

TEST(Rule2, ByKeyStaysInItsZoneAndWindow) {
    Rig rig(make_settings({make_class(Effect::by_key, DedupScope::zone, 300)}));
    rig.list(ListKind::full, make_servers(9));
    for (int i = 0; i < 30; ++i) {
        const RequestId id = rig.request();
        const ServerId first = rig.where(id);
        rig.end(id, i % 2 ? Outcome::errored : Outcome::severed, i % 3 ? 10 : 400);
        if (i % 3) {
            EXPECT_EQ(rig.where(id) % 3, first % 3);
        } else {
            EXPECT_EQ(rig.sends(id), 1U) << "the window has passed";
        }
        while (rig.out(id)) rig.end(id, Outcome::completed, 1);
    }
}

TEST(Rule2, ByKeyZoneIsNotRefusedAfterAPossibleRunButByKeyAllIs) {
    for (const DedupScope scope : {DedupScope::zone, DedupScope::all}) {
        Rig rig(make_settings({make_class(Effect::by_key, scope)}));
        rig.list(ListKind::full, make_servers(1));
        const RequestId id = rig.request(0, 300);
        rig.end(id, Outcome::errored, 10);
        while (rig.out(id)) rig.end(id, Outcome::errored, 10);
        rig.settle();
        EXPECT_EQ(rig.requests.at(id).refused, scope == DedupScope::all);
    }
}

TEST(Rule3, NothingIsSentToADrainingServer) {
    Rig rig = three(make_class(Effect::repeatable));
    rig.list(ListKind::incremental, {{1, 0, 0, Phase::fading, 0}});
    for (int i = 0; i < 50; ++i) {
        const RequestId id = rig.request();
        EXPECT_NE(rig.where(id), 1U);
        rig.end(id, Outcome::completed);
    }
}

TEST(Rule1, AHeldRequestIsAnsweredInTime) {
    Rig rig(make_settings({make_class(Effect::once)}));
    const RequestId id = rig.request(0, 50);
    EXPECT_EQ(rig.requests.at(id).answers, 0);
    rig.settle();
    EXPECT_EQ(rig.requests.at(id).answers, 1);
    EXPECT_TRUE(rig.requests.at(id).refused) << "it never went out, so trying again is harmless";
}

}  // namespace
}  // namespace kelplb::test
