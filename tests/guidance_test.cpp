// Guidance in the decision module: what it restricts, what it must not permit, and that without it the
// actions are the same.
#include <cmath>
#include <limits>
#include <sstream>

#include "random.hpp"
#include "rig.hpp"

namespace kelplb::test {
namespace {

std::string to_text(const std::vector<Action>& actions) {
    std::ostringstream out;
    out.precision(17);
    for (const Action& action : actions)
        std::visit(
            [&](const auto& a) {
                using A = std::decay_t<decltype(a)>;
                out << typeid(A).name() << ' ';
                if constexpr (std::is_same_v<A, Send>)
                    out << a.id << ' ' << a.server << ' ' << a.attempt_deadline;
                if constexpr (std::is_same_v<A, Refuse>) out << a.id << ' ' << a.retry_in;
                if constexpr (std::is_same_v<A, Fail>) out << a.id;
                if constexpr (std::is_same_v<A, Cancel>) out << a.id << ' ' << a.attempt;
                if constexpr (std::is_same_v<A, SetTimer>) out << a.at << ' ' << a.token;
                if constexpr (std::is_same_v<A, Log>) out << a.text;
                out << '\n';
            },
            action);
    return out.str();
}

// The actions of a run with events of all kinds, chosen at random by the seed; `extra` is called after each
// step.
std::string run_stream(std::uint64_t seed,
                       const std::function<void(Balancer&, Millis, std::vector<Action>&)>& extra) {
    Settings s =
        make_settings({make_class(Effect::repeatable), make_class(Effect::once), make_class(Effect::by_key)});
    Balancer balancer(s, seed);
    Random random(seed + 99);
    Millis now = 1000;
    std::vector<Action> actions;
    std::string all;
    auto servers = make_servers(8);
    balancer.handle(now, ServerList{ListKind::full, servers}, actions);
    std::vector<std::pair<RequestId, std::uint32_t>> out;
    std::map<RequestId, std::uint32_t> attempts;
    RequestId next = 1;
    for (int i = 0; i < 4000; ++i) {
        now += 10 * random.unit();
        actions.clear();
        if (i % 700 == 699) {
            servers[random.below(8)].online_since = now;
            balancer.handle(now, ServerList{ListKind::full, servers}, actions);
        } else if (out.size() < 30 && random.unit() < 0.5) {
            balancer.handle(
                now, RequestArrived{next++, static_cast<std::uint32_t>(random.below(3)), 800, 0, false},
                actions);
        } else if (!out.empty()) {
            const std::size_t pick = random.below(out.size());
            const auto [id, attempt] = out[pick];
            out.erase(out.begin() + static_cast<std::ptrdiff_t>(pick));
            const auto outcome =
                random.unit() < 0.8 ? Outcome::completed : static_cast<Outcome>(random.below(6));
            balancer.handle(
                now, AttemptEnded{id, attempt, outcome, 500 * random.unit(), outcome == Outcome::completed},
                actions);
        }
        for (const Action& a : actions)
            if (const auto* send = std::get_if<Send>(&a)) out.emplace_back(send->id, attempts[send->id]++);
        all += to_text(actions);
        std::vector<Action> none;
        extra(balancer, now, none);
        EXPECT_TRUE(none.empty());
    }
    return all;
}

TEST(Guidance, WithoutAnyOrOnceExpiredEveryActionIsTheSame) {
    const auto no_guidance = [](Balancer&, Millis, std::vector<Action>&) {};
    const auto expired = [](Balancer& b, Millis now, std::vector<Action>& actions) {
        Guidance g{now, {}};  // expires on arrival
        for (ServerId id = 1; id <= 8; ++id) g.servers.push_back({id, 0, true, 7, false, 0.1, 50, 1000});
        b.handle(now, g, actions);
    };
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const std::string without = run_stream(seed, no_guidance);
        EXPECT_GT(without.size(), 50000U);
        EXPECT_EQ(without, run_stream(seed, expired)) << seed;
    }
}

TEST(Guidance, InvalidValuesChangeNothing) {
    const double nan = std::nan(""), inf = std::numeric_limits<double>::infinity();
    const auto invalid = [&](Balancer& b, Millis now, std::vector<Action>& actions) {
        Guidance g{now + 1e6, {}};
        for (ServerId id = 1; id <= 8; ++id) {
            g.servers.push_back({id, 12345, true, 0, false, 0, 9, 9});    // another process
            g.servers.push_back({id + 500, 0, true, 0, false, 0, 9, 9});  // in no list
            g.servers.push_back({id, 0, false, 0, true, nan, nan, nan});
            g.servers.push_back({id, 0, false, 0, true, -1, inf, 1e308});
            g.servers.push_back({id, 0, false, 0, true, 1e308, -inf, -5});
        }
        b.handle(now, g, actions);
    };
    const auto no_guidance = [](Balancer&, Millis, std::vector<Action>&) {};
    EXPECT_EQ(run_stream(3, no_guidance), run_stream(3, invalid));
}

struct Counts {
    std::map<ServerId, int> sends;
    int all = 0;
};
Counts send_requests(Rig& rig, int requests, Millis gap = 5) {
    Counts counts;
    for (int i = 0; i < requests; ++i) {
        rig.advance(gap);
        const RequestId id = rig.request();
        if (!rig.outstanding(id)) continue;
        ++counts.sends[rig.server_of(id)], ++counts.all;
        rig.end(id, Outcome::completed, 1);
    }
    return counts;
}

TEST(Guidance, RemovedServerIsNotUsedUntilTheGuidanceExpires) {
    Rig rig(make_settings());
    rig.apply_list(ListKind::full, make_servers(4));
    rig.deliver(Guidance{rig.now + 2000, {{2, 0, true}}});
    const Counts guided = send_requests(rig, 100);
    EXPECT_EQ(guided.all, 100);
    EXPECT_EQ(guided.sends.count(2), 0U);
    rig.advance(2000);
    EXPECT_GT(send_requests(rig, 100).sends[2], 5);
}

TEST(Guidance, IsNotFollowedWhereItLeavesNoServer) {
    // Guidance removes over half of the servers: slowness of all must not empty the pool.
    Rig rig(make_settings());
    rig.apply_list(ListKind::full, make_servers(4));
    rig.deliver(Guidance{rig.now + 10000, {{1, 0, true}, {2, 0, true}, {3, 0, true}}});
    EXPECT_EQ(send_requests(rig, 100).sends.size(), 4U);
    // Half are removed, and the other half has failed this request already: it is sent nevertheless.
    Rig other(make_settings());
    other.apply_list(ListKind::full, make_servers(2));
    other.deliver(Guidance{other.now + 10000, {{2, 0, true}}});
    const RequestId id = other.request();
    EXPECT_EQ(other.server_of(id), 1U);
    other.end(id, Outcome::refused_connection, 1);
    EXPECT_TRUE(other.outstanding(id));
    other.end(id, Outcome::completed, 1);
}

TEST(Guidance, TrialIsSentOnceForItsNumber) {
    Rig rig(make_settings());
    rig.apply_list(ListKind::full, make_servers(4));
    for (const std::uint64_t trial : {5U, 5U, 6U}) {
        const bool again = trial == 5U && rig.next_id > 1;
        rig.deliver(Guidance{rig.now + 10000, {{2, 0, true, trial}}});
        EXPECT_EQ(send_requests(rig, 60).sends[2], again ? 0 : 1) << trial;
    }
}

TEST(Guidance, OwnTrialWaitsWhileGuidanceRemovesTheServer) {
    Rig rig(make_settings());
    rig.apply_list(ListKind::full, make_servers(4));
    while (rig.balancer.removed().empty()) {
        const RequestId id = rig.request();
        if (!rig.outstanding(id)) continue;
        rig.end(id, rig.server_of(id) == 3 ? Outcome::errored : Outcome::completed, 1);
        if (rig.outstanding(id)) rig.end(id, Outcome::completed, 1);
    }
    ASSERT_EQ(rig.balancer.removed(), std::vector<ServerId>{3});
    rig.advance(10000);
    rig.deliver(Guidance{rig.now + 2000, {{3, 0, true}}});
    EXPECT_EQ(send_requests(rig, 50).sends.count(3), 0U);
    rig.advance(2000);  // the guidance has expired: the module's own trial is due
    EXPECT_GT(send_requests(rig, 50).sends[3], 0);
}

TEST(Guidance, SharesAndOutstandingElsewhereNeverExcludeAServer) {
    Rig rig(make_settings());
    rig.apply_list(ListKind::full, make_servers(4));
    rig.deliver(Guidance{rig.now + 1e6, {{1, 0, false, 0, true, 0.0}}});
    const Counts shared = send_requests(rig, 2000);
    EXPECT_LT(shared.sends.at(1), 400);  // 500 without guidance
    EXPECT_GT(shared.sends.at(1), 20);
    rig.deliver(
        Guidance{rig.now + 1e6,
                 {{1, 0, false, 0, true, 1, 9}, {2, 0, false, 0, true, 1, 9}, {3, 0, false, 0, true, 1, 9}}});
    const Counts tied = send_requests(rig, 1000);
    EXPECT_GT(tied.sends.at(4), 400);
}

TEST(Guidance, PreferredServersAreUsedWhileAnyMayBe) {
    Rig rig(make_settings());
    rig.apply_list(ListKind::full, make_servers(4));
    const auto outside = [](ServerId id) { return ServerGuidance{id, 0, false, 0, false}; };
    rig.deliver(Guidance{rig.now + 1e6, {outside(1), outside(2)}});
    const Counts counts = send_requests(rig, 100);
    EXPECT_EQ(counts.sends.count(1) + counts.sends.count(2), 0U);
    rig.apply_list(ListKind::incremental, {{3, 0, 1, Phase::draining, 0}, {4, 1, 0, Phase::draining, 0}});
    EXPECT_EQ(send_requests(rig, 100).all, 100);
}

TEST(Guidance, GrantedRateIsBoundedAndHoldsForOneProcess) {
    const auto cold = [](double rate, Millis start_offset) {
        Settings s = make_settings();
        s.cold_capacity = 0.2;
        s.warmup_time = 1e9;  // the server stays cold, at a fifth of its capacity
        Rig rig(s);
        rig.apply_list(ListKind::full, make_servers(2));
        const Millis born = rig.now;
        rig.apply_list(ListKind::incremental, {{3, 0, 0, Phase::on, born}});
        rig.deliver(Guidance{rig.now + 1e9, {{3, born + start_offset, false, 0, true, 1, 0, rate}}});
        return send_requests(rig, 10000, 4).sends[3];  // about 200 per second, 67 for each server
    };
    const int without = cold(0, 0);
    EXPECT_EQ(cold(10, 1), without);  // granted to another process
    EXPECT_GT(cold(5, 0), without + 50);
    // An excessive rate: capped at 0.375 of the collapse multiple, 2, in addition to the module's own 1.
    EXPECT_GT(cold(1e5, 0), without * 1.5);
    EXPECT_LT(cold(1e5, 0), without * 2);
}

}  // namespace
}  // namespace kelplb::test
