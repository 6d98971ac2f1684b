// Tests of src/plan: the binary encoding, Meter, Follower, Pace and Planner.
#include <gtest/gtest.h>

#include <limits>

#include "plan/codec.hpp"
#include "plan/follower.hpp"
#include "plan/meter.hpp"
#include "plan/pace.hpp"
#include "plan/planner.hpp"
#include "random.hpp"

namespace cobaltshift::plan {
namespace {

using kelplb::Outcome;
using kelplb::Phase;
using kelplb::ServerInfo;

std::vector<ServerInfo> infos(ServerId count, Millis born = 0) {
    std::vector<ServerInfo> all;
    for (ServerId i = 1; i <= count; ++i) all.push_back({i, i % 3, 0, Phase::on, born, 1});
    return all;
}

// ---- Encoding
// ----------------------------------------------------------------------------------------------

Report sample_report() {
    Report r{"forwarder-7", 0xfedcba9876543210, 300, true, {}, {5, 0, 1ULL << 40}, {{3, 9}, {0, 0}}};
    ServerReport s;
    s.life = {4000000000U, 1700000000123.0};
    s.attempts = 1000;
    s.outcomes = {900, 50, 0, 3, 0, 1, 0, 0};
    s.late = 20;
    s.outstanding = 46;
    s.removed = true;
    s.latency.add(0.1), s.latency.add(33), s.latency.add(1e9);
    r.servers = {s, s};
    r.servers[1].life.id = 1;
    return r;
}
Plan sample_plan() {
    Plan p{2, {7, 1ULL << 50}, 5000, false, {}};
    ServerPlan s;
    s.life = {17, 0};
    p.servers.push_back(s);
    s = {{18, 99.5}, true, 12, false, 0.25F, 3.5F, 12.5F};
    p.servers.push_back(s);
    return p;
}

TEST(PlanCodec, RoundTrip) {
    std::string why;
    EXPECT_EQ(decode_report(encode(sample_report()), why), sample_report()) << why;
    EXPECT_EQ(decode_plan(encode(sample_plan()), why), sample_plan()) << why;
    Plan same{0, {1, 2}, 100, true, {}};
    EXPECT_EQ(decode_plan(encode(same), why), same) << why;
}

TEST(PlanCodec, TruncatedAndCorruptedMessagesAreRejectedOrDecodeWithinBounds) {
    const std::string report = encode(sample_report()), plan = encode(sample_plan());
    std::string why;
    for (std::size_t n = 0; n < report.size(); ++n)
        EXPECT_FALSE(decode_report(std::string_view(report).substr(0, n), why)) << n;
    for (std::size_t n = 0; n < plan.size(); ++n)
        EXPECT_FALSE(decode_plan(std::string_view(plan).substr(0, n), why)) << n;
    kelplb::Random random(5);
    for (int i = 0; i < 20000; ++i) {
        std::string corrupted = i % 2 ? report : plan;
        for (std::size_t flips = 1 + random.below(4); flips > 0; --flips)
            corrupted[random.below(corrupted.size())] ^= static_cast<char>(1 << random.below(8));
        const auto r = decode_report(corrupted, why);
        const auto p = decode_plan(corrupted, why);
        EXPECT_LE(r ? r->servers.size() : 0, kMaxServers);
        EXPECT_LE(p ? p->servers.size() : 0, kMaxServers);
    }
}

TEST(PlanCodec, InvalidInputsAreRejectedWithTheFieldAtFault) {
    using namespace std::string_literals;
    const std::string full(10, '\xff');
    const std::pair<std::string, const char*> table[] = {
        {"", "kind is cut short"},
        {"\xc2", "kind is another"},
        {"\xc1", "forwarder is cut short"},
        {"\xc1\x00"s, "forwarder is empty"},
        {"\xc1\x41" + std::string(65, 'x'), "forwarder is over its bound"},
        {"\xc1\x20xx", "forwarder is more than follows"},
        {"\xc1\x01x" + full, "incarnation is over 64 bits"},
        {"\xc1\x01x\x01\x01\x02", "full is over its bound"},
        {"\xc1\x01x\x01\x01\x01\xff\xff\x03", "servers is over its bound"},
        {"\xc1\x01x\x01\x01\x01\xff\x1f", "servers is more than follows"},
        {"\xc1\x01x\x01\x01\x01\x00\x41"s, "demand is over its bound"},
        {"\xc1\x01x\x01\x01\x01\x00\x00\x10"s, "seen is over its bound"},
        {"\xc1\x01x\x01\x01\x01\x00\x00\x00!"s, "bytes are left over"},
        {"\xc1\x01x\x01\x01\x01\x00\x00\x00"s, ""},
        {std::string(kMaxMessage + 1, '\xc1'), "the message is too long"},
    };
    for (const auto& [bytes, said] : table) {
        std::string why;
        decode_report(bytes, why);
        EXPECT_EQ(why, said);
    }
}

// ---- Meter -----------------------------------------------------------------------------

TEST(PlanMeter, ReportsOnlyChangesAfterTheLastAcknowledgedReport) {
    Meter meter("f", 1, 2, 2);
    meter.listed(infos(3), true);
    Report first = meter.report(0, {});
    EXPECT_TRUE(first.full);
    EXPECT_EQ(first.servers.size(), 3U);
    meter.sent(2);
    // Not acknowledged: everything is sent again. Each planner's state is separate.
    EXPECT_EQ(meter.report(0, {}).servers.size(), 3U);
    meter.acknowledged(0, 1, false);  // an abandoned report: ignored
    EXPECT_TRUE(meter.report(0, {}).full);
    meter.acknowledged(0, 3, false);
    EXPECT_EQ(meter.report(0, {}).servers.size(), 0U);
    meter.ended(2, Outcome::completed, 12, true);
    const Report delta = meter.report(0, {});
    ASSERT_EQ(delta.servers.size(), 1U);
    EXPECT_EQ(delta.servers[0].attempts, 1U);
    EXPECT_EQ(delta.servers[0].late, 1U);
    EXPECT_EQ(delta.servers[0].outstanding, 0U);
    // If that report is lost, the next one still holds the counters.
    EXPECT_EQ(meter.report(0, {}).servers.size(), 1U);
    EXPECT_TRUE(meter.report(1, {}).full);
    meter.acknowledged(0, 6, true);
    EXPECT_TRUE(meter.report(0, {}).full);
}

TEST(PlanMeter, CountersRestartWithANewIncarnationAndUnlistedServersAreDropped) {
    Meter meter("f", 1, 1, 1);
    meter.listed(infos(2), true);
    meter.sent(1), meter.sent(2);
    meter.listed({{1, 0, 0, Phase::on, 77, 1}, {2, 0, 0, Phase::off, 0, 1}}, false);
    EXPECT_EQ(meter.servers(), 2U);
    meter.ended(1, Outcome::connection_lost, 5, false);  // sent to the former incarnation
    meter.ended(2, Outcome::connection_lost, 5, false);
    EXPECT_EQ(meter.servers(), 1U);
    const Report report = meter.report(0, {});
    ASSERT_EQ(report.servers.size(), 1U);
    EXPECT_EQ(report.servers[0].life.born, 77);
    EXPECT_EQ(report.servers[0].attempts, 0U);
}

// ---- Follower ------------------------------------------------------------------------------

Plan plan_of(std::uint32_t planner, PlanId id, std::vector<ServerPlan> servers, Millis life = 5000) {
    return {planner, id, life, false, std::move(servers)};
}
ServerPlan removed_server(ServerId id, std::uint32_t trial = 0) {
    ServerPlan s;
    s.life = {id, 0};
    s.removed = true;
    s.trial = trial;
    return s;
}
ServerPlan server(ServerId id) {
    ServerPlan s;
    s.life = {id, 0};
    return s;
}
using ApplyResult = Follower::ApplyResult;

TEST(PlanFollower, RefusesOlderPlansAndExtendsOnlyThePlanHeld) {
    Follower f(1);
    EXPECT_EQ(f.apply(0, 0, {0, {1, 5}, 5000, true, {}}), ApplyResult::unknown);
    EXPECT_EQ(f.apply(0, 0, plan_of(0, {2, 5}, {server(1)})), ApplyResult::accepted);
    EXPECT_EQ(f.apply(10, 10, plan_of(0, {2, 4}, {server(1)})), ApplyResult::old);
    EXPECT_EQ(f.apply(10, 10, plan_of(0, {1, 9}, {server(1)})), ApplyResult::old);
    EXPECT_EQ(f.seen()[0], (PlanId{2, 5}));
    EXPECT_EQ(f.apply(4000, 4000, {0, {2, 5}, 5000, true, {}}), ApplyResult::renewed);
    EXPECT_TRUE(f.holds(0, 8999));
    EXPECT_FALSE(f.holds(0, 9000));
    EXPECT_EQ(f.apply(4000, 4000, plan_of(1, {1, 1}, {})), ApplyResult::invalid);  // no such planner
    // A far too high id locks the planner out for kIdentityKept, not forever.
    EXPECT_EQ(f.apply(5000, 5000, plan_of(0, {UINT64_MAX, UINT64_MAX}, {server(1)})), ApplyResult::accepted);
    EXPECT_EQ(f.apply(6000, 6000, plan_of(0, {3, 1}, {server(1)})), ApplyResult::old);
    EXPECT_EQ(f.apply(5000 + Follower::kIdentityKept, 5000 + Follower::kIdentityKept,
                      plan_of(0, {3, 1}, {server(1)})),
              ApplyResult::accepted);
}

TEST(PlanFollower, APlanExpiresCountedFromTheRequest) {
    Follower f(1);
    f.apply(3000, 0, plan_of(0, {1, 1}, {removed_server(1), server(2)}, 5000));
    EXPECT_EQ(f.guidance(3000).until, 5000);
    EXPECT_EQ(f.guidance(4999).servers.size(), 2U);
    EXPECT_TRUE(f.guidance(5000).servers.empty());
    EXPECT_EQ(f.next_end(5000), std::nullopt);
    // A plan that arrives after its expiry only raises the newest id; the plan held before it is dropped as
    // well.
    f.apply(6000, 6000, plan_of(0, {1, 2}, {removed_server(1), server(2)}));
    EXPECT_EQ(f.apply(7000, 1000, plan_of(0, {1, 3}, {server(1), server(2)})), ApplyResult::accepted);
    EXPECT_TRUE(f.guidance(7000).servers.empty());
    EXPECT_EQ(f.apply(7000, 7000, plan_of(0, {1, 2}, {server(1)})), ApplyResult::old);
}

TEST(PlanFollower, ADelayedDuplicateDoesNotShortenThePlanHeld) {
    Follower f(1);
    f.apply(0, 0, plan_of(0, {1, 1}, {removed_server(1), server(2)}));
    f.apply(4000, 4000, plan_of(0, {1, 1}, {removed_server(1), server(2)}));
    EXPECT_EQ(f.apply(6000, 0, plan_of(0, {1, 1}, {server(1), server(2)})), ApplyResult::renewed);
    EXPECT_TRUE(f.holds(0, 8999));
    EXPECT_TRUE(f.guidance(8999).servers.at(0).removed);
}

TEST(PlanFollower, WellFormedButInvalidPlansAreRefused) {
    constexpr float nan = std::numeric_limits<float>::quiet_NaN(),
                    inf = std::numeric_limits<float>::infinity();
    const auto with = [](auto change) {
        Plan plan = plan_of(0, {1, 2}, {server(1), server(2)});
        change(plan);
        return plan;
    };
    const Plan table[] = {
        with([](Plan& p) { p.servers[0].share = nan; }),
        with([](Plan& p) { p.servers[0].share = -0.5F; }),
        with([](Plan& p) { p.servers[0].share = 1e38F; }),
        with([](Plan& p) { p.servers[0].elsewhere = nan; }),
        with([](Plan& p) { p.servers[0].elsewhere = -1; }),
        with([](Plan& p) { p.servers[1].cold_rate = inf; }),
        with([](Plan& p) { p.servers[1].cold_rate = -1; }),
        with([](Plan& p) { p.servers[1].cold_rate = nan; }),
        with([](Plan& p) { p.servers[1].life.born = std::numeric_limits<double>::quiet_NaN(); }),
        with([](Plan& p) { p.servers[1].life = p.servers[0].life; }),
        with([](Plan& p) { p.servers[0].removed = p.servers[1].removed = true; }),
        with([](Plan& p) { p.life = 0; }),
        with([](Plan& p) { p.life = std::nan(""); }),
        with([](Plan& p) { p.life = 1e308; }),
        with([](Plan& p) { p.planner = 9; }),
    };
    Follower f(1);
    ASSERT_EQ(f.apply(0, 0, plan_of(0, {1, 1}, {removed_server(1), server(2)})), ApplyResult::accepted);
    for (const Plan& plan : table) EXPECT_EQ(f.apply(0, 0, plan), ApplyResult::invalid) << &plan - table;
    EXPECT_EQ(f.seen()[0], (PlanId{1, 1}));
    EXPECT_EQ(f.guidance(1).servers.size(), 2U);
}

TEST(PlanFollower, OnlyAdviceOfAMajorityOfConfiguredPlannersCounts) {
    Follower f(3);
    ServerPlan liar = removed_server(1, 4);
    liar.share = 0, liar.elsewhere = 9, liar.cold_rate = 1e5F, liar.preferred = false;
    f.apply(0, 0, plan_of(0, {1, 1}, {liar, server(2)}));
    EXPECT_TRUE(f.guidance(1).servers.empty()) << "one planner of three has no majority";
    ServerPlan honest = server(1);
    honest.cold_rate = 3;
    f.apply(0, 0, plan_of(1, {1, 1}, {honest, server(2)}));
    f.apply(0, 0, plan_of(2, {1, 1}, {server(1), server(2)}));
    const auto g = f.guidance(1);
    ASSERT_EQ(g.servers.size(), 2U);
    EXPECT_FALSE(g.servers[0].removed);
    EXPECT_EQ(g.servers[0].trial, 0U);
    EXPECT_TRUE(g.servers[0].preferred);
    EXPECT_EQ(g.servers[0].share, 1);
    EXPECT_EQ(g.servers[0].elsewhere, 0);
    EXPECT_EQ(g.servers[0].cold_rate, 3);  // what at least two planners grant
    f.apply(2, 2, plan_of(2, {1, 2}, {removed_server(1), server(2)}));
    EXPECT_TRUE(f.guidance(3).servers[0].removed);
    EXPECT_NE(f.guidance(3).servers[0].trial, 0U);
    EXPECT_EQ(f.guidance(5000).servers.size(), 0U) << "only one plan has not expired";
}

TEST(PlanFollower, TheSumOfGrantsInForceIsBoundedDespiteAFaultyMinority) {
    // Two honest planners each grant a total of 1, unevenly spread over 40 forwarders; the third grants 1000
    // to each forwarder.
    kelplb::Random random(11);
    for (int round = 0; round < 200; ++round) {
        std::vector<std::vector<double>> honest(3, std::vector<double>(40));
        for (auto& one : honest) {
            double sum = 0;
            for (double& part : one) sum += part = random.unit() * random.unit() * random.unit();
            for (double& part : one) part /= sum;
        }
        double in_force = 0;
        for (std::size_t i = 0; i < 40; ++i) {
            Follower f(3);
            for (std::uint32_t p = 0; p < 3; ++p) {
                ServerPlan s = server(1);
                s.cold_rate = p == 0 ? 1000.0F : static_cast<float>(honest[p][i]);
                f.apply(0, 0, plan_of(p, {1, 1}, {s}));
            }
            in_force += f.guidance(0).servers.at(0).cold_rate;
        }
        EXPECT_LE(in_force, 2.0 + 1e-4);
    }
}

// ---- Planner ----------------------------------------------------------------------------------------

// One planner and the meters of its forwarders in virtual time.
struct PlannerFixture {
    explicit PlannerFixture(PlannerSettings s = {}, std::size_t count = 10, ServerId servers = 10)
        : settings(s), planner(s, {}, 0) {
        planner.listed(0, infos(servers), true);
        for (std::size_t i = 0; i < count; ++i) {
            meters.emplace_back("f" + std::to_string(i), 1, 1, 1);
            meters.back().listed(infos(servers), true);
        }
        round();
    }
    void round(Millis passed = 1000) {
        now += passed;
        for (Meter& m : meters) {
            const Report r = m.report(0, {});
            const auto taken = planner.report(now, r);
            m.acknowledged(0, r.sequence, taken == Planner::ReportResult::want_full);
        }
        planner.tick(now);
    }
    void serve(Meter& m, ServerId s, Outcome outcome, Millis time = 20, bool late = false) {
        m.arrived(0), m.sent(s), m.ended(s, outcome, time, late);
    }
    void serve_all(ServerId servers, ServerId bad = 0) {
        for (Meter& m : meters)
            for (ServerId s = 1; s <= servers; ++s)
                serve(m, s, s == bad ? Outcome::errored : Outcome::completed);
    }
    const ServerPlan& of(const Plan& plan, ServerId id) {
        return *std::find_if(plan.servers.begin(), plan.servers.end(),
                             [&](const auto& s) { return s.life.id == id; });
    }
    PlannerSettings settings;
    Planner planner;
    std::vector<Meter> meters;
    Millis now = 0;
};

TEST(Planner, PoolsOutcomesThatAreTooFewAtEachForwarder) {
    PlannerFixture fixture;
    fixture.serve_all(10, 4);
    fixture.round();
    EXPECT_FALSE(fixture.planner.removed(4)) << "ten outcomes are under the twenty needed";
    fixture.serve_all(10, 4);
    fixture.round();
    EXPECT_TRUE(fixture.planner.removed(4));
    EXPECT_EQ(fixture.planner.removed(), 1U);
}

TEST(Planner, LostDuplicatedAndReorderedReportsCountOnce) {
    PlannerFixture fixture;
    std::vector<Report> sent;
    for (int i = 0; i < 3; ++i) {
        fixture.serve(fixture.meters[0], 1, Outcome::errored);
        sent.push_back(fixture.meters[0].report(0, {}));
    }
    EXPECT_EQ(fixture.planner.report(1, sent[2]),
              Planner::ReportResult::accepted);  // the first two are delayed or lost
    for (const Report& r : sent) EXPECT_EQ(fixture.planner.report(1, r), Planner::ReportResult::repeated);
    for (int i = 0; i < 16; ++i) fixture.serve(fixture.meters[0], 1, Outcome::errored);
    fixture.round();
    EXPECT_FALSE(fixture.planner.removed(1)) << "nineteen outcomes are under the twenty needed";
    fixture.serve(fixture.meters[0], 1, Outcome::errored);
    fixture.round();
    EXPECT_TRUE(fixture.planner.removed(1));
}

TEST(Planner, NeverRemovesMoreThanTheConfiguredPart) {
    PlannerFixture fixture;
    for (int i = 0; i < 5; ++i) {
        for (Meter& m : fixture.meters)
            for (ServerId s = 1; s <= 10; ++s) fixture.serve(m, s, Outcome::completed, 900, true);
        fixture.round();
    }
    EXPECT_EQ(fixture.planner.removed(), 0U) << "all servers are equally slow";
    for (int i = 0; i < 5; ++i) {
        for (Meter& m : fixture.meters)
            for (ServerId s = 1; s <= 10; ++s)
                fixture.serve(m, s, s <= 6 ? Outcome::errored : Outcome::completed);
        fixture.round();
    }
    EXPECT_LE(fixture.planner.removed(), 3U);
}

// When the list shrinks while servers are removed, the plan could remove too large a part of the rest;
// forwarders would refuse it as invalid.
TEST(Planner, RestoresServersWhenTheListShrinks) {
    PlannerFixture fixture;
    for (int i = 0; i < 4; ++i) {
        for (Meter& m : fixture.meters)
            for (ServerId s = 1; s <= 10; ++s)
                fixture.serve(m, s, s <= 3 ? Outcome::errored : Outcome::completed);
        fixture.round();
    }
    ASSERT_EQ(fixture.planner.removed(), 3U);
    std::vector<ServerInfo> left;
    for (const auto& info : infos(10))
        if (info.id <= 4) left.push_back(info);
    fixture.planner.listed(fixture.now, left, true);
    EXPECT_EQ(fixture.planner.removed(), 1U);
    Follower follower(1);
    const Plan plan = fixture.planner.plan(fixture.now, "f0", {});
    EXPECT_EQ(plan.servers.size(), 4U);
    EXPECT_EQ(follower.apply(fixture.now, fixture.now, plan), Follower::ApplyResult::accepted);
    // The same with single deletions instead of a whole list.
    left[0].phase = left[1].phase = left[2].phase = Phase::off;
    fixture.planner.listed(fixture.now, left, false);
    EXPECT_EQ(fixture.planner.removed(), 0U);
}

TEST(Planner, ARemovalIsPublishedAheadOfTheTickButNotWithinPublishGap) {
    PlannerFixture fixture;
    for (int i = 0; i < 2; ++i) fixture.serve_all(10), fixture.round();
    fixture.now += 200;
    const PlanId before = fixture.planner.id();
    EXPECT_FALSE(fixture.planner.publish_due());
    for (Meter& m : fixture.meters) {
        for (int i = 0; i < 3; ++i) fixture.serve(m, 4, Outcome::errored);
        fixture.planner.report(fixture.now, m.report(0, {}));
    }
    ASSERT_TRUE(fixture.planner.removed(4));
    ASSERT_TRUE(fixture.planner.publish_due());
    EXPECT_LE(*fixture.planner.publish_due(), fixture.now);
    EXPECT_TRUE(fixture.planner.publish(fixture.now));
    EXPECT_GT(fixture.planner.id(), before);
    EXPECT_FALSE(fixture.planner.publish_due()) << "published";
    for (Meter& m : fixture.meters) {
        for (int i = 0; i < 20; ++i) fixture.serve(m, 5, Outcome::errored);
        fixture.planner.report(fixture.now + 1, m.report(0, {}));
    }
    ASSERT_TRUE(fixture.planner.publish_due());
    EXPECT_EQ(*fixture.planner.publish_due(), fixture.now + fixture.settings.publish_gap);
}

TEST(ReportPace, UrgentNewsIsReportedEarlyAndAtMostDoublesTheRate) {
    ReportSchedule pace(1000, 400);
    EXPECT_EQ(pace.due(), 400);
    pace.sent(400, 0.5);
    EXPECT_EQ(pace.due(), 1400);
    EXPECT_TRUE(pace.report_early(410));
    EXPECT_EQ(pace.due(), 450) << "not before the minimum gap";
    EXPECT_FALSE(pace.report_early(420)) << "an early report is due already";
    pace.sent(450, 0.5);
    EXPECT_TRUE(pace.report_early(900));
    EXPECT_EQ(pace.due(), 900);
    pace.sent(900, 0.5);
    // News every millisecond for a minute.
    std::size_t reports = 0;
    for (Millis now = 901; now < 60901; ++now) {
        pace.report_early(now);
        if (pace.due() <= now) pace.sent(now, 0.5), ++reports;
    }
    EXPECT_GE(reports, 60U);
    EXPECT_LE(reports, 125U);
    EXPECT_TRUE(is_urgent(Outcome::errored, false, false));
    EXPECT_TRUE(is_urgent(Outcome::completed, true, false));
    EXPECT_FALSE(is_urgent(Outcome::completed, false, false));
    EXPECT_FALSE(is_urgent(Outcome::errored, false, true)) << "the server is removed already";
    EXPECT_TRUE(is_urgent(Outcome::completed, false, true)) << "a successful trial";
    EXPECT_FALSE(is_urgent(Outcome::cancelled, true, false));
}

TEST(Planner, AssignsATrialToOneForwarderAndReassignsItAfterATimeout) {
    PlannerFixture fixture;
    for (int i = 0; i < 3; ++i) fixture.serve_all(10, 4), fixture.round();
    ASSERT_TRUE(fixture.planner.removed(4));
    const auto forwarders_with_trial = [&] {
        std::vector<std::string> names;
        for (std::size_t f = 0; f < fixture.meters.size(); ++f) {
            const std::string name = "f" + std::to_string(f);
            const Plan plan = fixture.planner.plan(fixture.now, name, {});
            if (fixture.of(plan, 4).trial != 0) names.push_back(name);
        }
        return names;
    };
    const auto serve_others = [&] {
        for (Meter& m : fixture.meters)
            for (ServerId s = 1; s <= 10; ++s)
                if (s != 4) fixture.serve(m, s, Outcome::completed);
    };
    EXPECT_TRUE(forwarders_with_trial().empty());
    for (int i = 0; i < 10; ++i) serve_others(), fixture.round();
    const auto first = forwarders_with_trial();
    ASSERT_EQ(first.size(), 1U);
    const auto trial = [&] {
        return fixture.of(fixture.planner.plan(fixture.now, forwarders_with_trial().at(0), {}), 4).trial;
    };
    const std::uint32_t number = trial();
    for (int i = 0; i < 4; ++i) serve_others(), fixture.round();  // the trial is never sent
    ASSERT_EQ(forwarders_with_trial().size(), 1U);
    EXPECT_NE(trial(), number);
    // A success of another forwarder does not count as the trial; one of the forwarder with the trial does.
    const std::size_t trial_forwarder = std::stoul(forwarders_with_trial().at(0).substr(1));
    fixture.serve(fixture.meters[(trial_forwarder + 1) % 10], 4, Outcome::completed);
    fixture.round(100);
    EXPECT_TRUE(fixture.planner.removed(4));
    fixture.serve(fixture.meters[trial_forwarder], 4, Outcome::completed);
    fixture.round(100);
    EXPECT_FALSE(fixture.planner.removed(4));
}

TEST(Planner, AFailedTrialStartsAnotherBackoff) {
    PlannerFixture fixture;
    for (int i = 0; i < 3; ++i) fixture.serve_all(10, 4), fixture.round();
    for (int i = 0; i < 11; ++i) fixture.serve_all(10, 4), fixture.round();
    // All attempts on the server fail, the trial as well.
    ASSERT_TRUE(fixture.planner.removed(4));
    fixture.serve_all(10, 4), fixture.round();
    for (std::size_t f = 0; f < fixture.meters.size(); ++f)
        EXPECT_EQ(fixture.of(fixture.planner.plan(fixture.now, "f" + std::to_string(f), {}), 4).trial, 0U);
}

TEST(Planner, ANewIncarnationOfAServerHasNoHistory) {
    PlannerFixture fixture;
    for (int i = 0; i < 3; ++i) fixture.serve_all(10, 4), fixture.round();
    ASSERT_TRUE(fixture.planner.removed(4));
    fixture.planner.listed(fixture.now, {{4, 0, 0, Phase::on, 5555, 1}}, false);
    EXPECT_FALSE(fixture.planner.removed(4));
    for (int i = 0; i < 3; ++i)
        fixture.serve_all(10, 4), fixture.round();  // forwarders still report the former incarnation
    EXPECT_FALSE(fixture.planner.removed(4));
}

TEST(Planner, GrantsFollowDemandAndUnexpiredOnesNeverExceedTheSlice) {
    PlannerSettings s;
    s.cold_capacity = 0.2, s.warmup_time = 60000, s.overload_multiple = 2.5;
    PlannerFixture fixture(s);
    for (int i = 0; i < 8; ++i) {
        for (int n = 0; n < 9; ++n)
            for (ServerId id = 1; id <= 10; ++id) fixture.serve(fixture.meters[0], id, Outcome::completed);
        fixture.serve_all(10);
        fixture.round();
    }
    fixture.planner.listed(fixture.now, {{3, 0, 0, Phase::on, 777, 1}}, false);
    fixture.round();
    const auto rate = [&](std::size_t f) {
        return fixture.of(fixture.planner.plan(fixture.now, "f" + std::to_string(f), {}), 3).cold_rate;
    };
    double sum = 0, slice = fixture.planner.granted(fixture.now, 3).slice;
    ASSERT_GT(slice, 0);
    std::vector<double> rates;
    for (std::size_t f = 0; f < 10; ++f) rates.push_back(rate(f)), sum += rates.back();
    EXPECT_GT(rates[0], 4 * rates[1]);
    EXPECT_LE(sum, slice);
    // The demand moves between forwarders: a grant to one is not handed out to another before it has expired.
    kelplb::Random random(3);
    for (int i = 0; i < 40; ++i) {
        const std::size_t busy = random.below(10);
        for (int n = 0; n < 30; ++n) fixture.serve(fixture.meters[busy], 1, Outcome::completed);
        fixture.round(500);
        for (std::size_t f = 0; f < 10; ++f)
            if (random.unit() < 0.6) rate(f);
        const auto granted = fixture.planner.granted(fixture.now, 3);
        EXPECT_LE(granted.rate, granted.slice * (1 + 1e-9)) << i;
    }
}

TEST(Planner, GrantsNothingUntilTheGrantsOfItsFormerInstanceHaveExpired) {
    PlannerSettings s;
    s.cold_capacity = 0.2, s.warmup_time = 60000, s.overload_multiple = 2.5;
    Planner planner(s, {4, 9}, 1000);
    EXPECT_GT(planner.id(), (PlanId{4, 9}));
    auto list = infos(10);
    list[2].online_since = 777;
    planner.listed(1000, list, true);
    Meter meter("f", 1, 1, 1);
    meter.listed(list, true);
    for (Millis now = 1000; now < 9000; now += 500) {
        for (ServerId id = 1; id <= 10; ++id)
            meter.arrived(0), meter.sent(id), meter.ended(id, Outcome::completed, 10, false);
        const Report r = meter.report(0, {});
        planner.report(now, r);
        meter.acknowledged(0, r.sequence, false);
        planner.tick(now);
        const Plan plan = planner.plan(now, "f", {});
        EXPECT_EQ(plan.servers[2].cold_rate > 0, now >= 1000 + s.life) << now;
    }
}

TEST(Planner, LearnsANewerPlanIdFromForwarders) {
    Planner planner({}, {2, 1}, 0);
    planner.tick(0);
    Report r{"f", 1, 1, true, {}, {}, {{9, 55}}};
    planner.report(10, r);
    EXPECT_GT(planner.id(), (PlanId{9, 55}));
}

TEST(Planner, ARestartedForwarderIsAskedForAFullReport) {
    PlannerFixture fixture;
    fixture.serve_all(10);
    fixture.round();
    Report delta{"f0", 99, 7, false, {}, {3}, {}};
    EXPECT_EQ(fixture.planner.report(fixture.now, delta), Planner::ReportResult::want_full);
    EXPECT_EQ(fixture.planner.report(fixture.now, delta), Planner::ReportResult::repeated);
    EXPECT_EQ(fixture.planner.forwarders(), 10U);
}

TEST(Planner, RefusesInvalidReportsAndExcessForwardersAndDropsSilentOnes) {
    PlannerSettings s;
    s.forwarders = 2;
    Planner planner(s, {}, 0);
    planner.listed(0, infos(2), true);
    const auto said = [](const char* name) { return Report{name, 1, 1, true, {}, {}, {}}; };
    EXPECT_EQ(planner.report(0, said("")), Planner::ReportResult::refused);
    EXPECT_EQ(planner.report(0, said(std::string(65, 'x').c_str())), Planner::ReportResult::refused);
    EXPECT_EQ(planner.report(0, said("a")), Planner::ReportResult::accepted);
    EXPECT_EQ(planner.report(0, said("b")), Planner::ReportResult::accepted);
    EXPECT_EQ(planner.report(0, said("c")), Planner::ReportResult::refused);
    Report invalid = said("a");
    invalid.sequence = 2;
    invalid.servers.resize(1);
    invalid.servers[0].life.id = 1;
    invalid.servers[0].attempts = 5, invalid.servers[0].outcomes[0] = 6;  // more outcomes than attempts
    EXPECT_EQ(planner.report(0, invalid), Planner::ReportResult::refused);
    invalid.servers[0].outcomes[0] = 4, invalid.servers[0].late = 5;
    EXPECT_EQ(planner.report(0, invalid), Planner::ReportResult::refused);
    invalid.servers[0].late = 0, invalid.servers[0].life.born = std::nan("");
    EXPECT_EQ(planner.report(0, invalid), Planner::ReportResult::refused);
    planner.tick(20000);
    EXPECT_EQ(planner.forwarders(), 0U);
    EXPECT_EQ(planner.report(20000, said("c")), Planner::ReportResult::accepted);
}

TEST(Planner, SubsetsAreEvenAndChangeLittleWhenAForwarderLeaves) {
    PlannerSettings s;
    s.subset = 8;
    const auto preferred = [&](Planner& planner, std::size_t forwarders) {
        std::vector<std::set<ServerId>> all;
        for (std::size_t f = 0; f < forwarders; ++f) {
            all.emplace_back();
            for (const auto& one : planner.plan(1, "f" + std::to_string(f), {}).servers)
                if (one.preferred) all.back().insert(one.life.id);
        }
        return all;
    };
    Planner planner(s, {}, 0);
    planner.listed(0, infos(64), true);
    for (int f = 0; f < 101; ++f) planner.report(0, {"f" + std::to_string(f), 1, 1, true, {}, {}, {}});
    const auto with = preferred(planner, 101);
    std::map<ServerId, int> by_server;
    std::size_t least = 64, most = 0;
    for (const auto& one : with) {
        least = std::min(least, one.size()), most = std::max(most, one.size());
        for (const ServerId id : one) ++by_server[id];
    }
    EXPECT_GE(least, 1U);
    EXPECT_LE(most, 24U);
    for (const auto& [id, n] : by_server) EXPECT_EQ(n, 13) << id;  // 8 * 101 / 64, rounded up
    Planner without(s, {}, 0);
    without.listed(0, infos(64), true);
    for (int f = 0; f < 100; ++f) without.report(0, {"f" + std::to_string(f), 1, 1, true, {}, {}, {}});
    const auto after = preferred(without, 100);
    std::size_t moved = 0;
    for (std::size_t f = 0; f < 100; ++f)
        for (const ServerId id : after[f]) moved += !with[f].count(id);
    EXPECT_LE(moved, 2 * with[100].size() + 4);
}

TEST(Planner, SlowServersGetASmallerShare) {
    PlannerFixture fixture;
    for (int i = 0; i < 6; ++i) {
        for (Meter& m : fixture.meters)
            for (ServerId s = 1; s <= 10; ++s) fixture.serve(m, s, Outcome::completed, s == 7 ? 300 : 30);
        fixture.round();
    }
    const Plan plan = fixture.planner.plan(fixture.now, "f0", {});
    EXPECT_EQ(fixture.of(plan, 7).share, 0.25F);
    EXPECT_EQ(fixture.of(plan, 6).share, 1.0F);
}

}  // namespace
}  // namespace cobaltshift::plan
