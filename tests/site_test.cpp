// The loss of a whole site: the spill plan by hand and over drawn fleets, states by their evidence, the paced
// return and who takes it over, levels; and the plan's file, a row for each thing that makes no sense.
#include <gtest/gtest.h>

#include <cmath>
#include <map>

#include "random.hpp"
#include "site/lead.hpp"
#include "site/levels.hpp"
#include "site/paced.hpp"
#include "site/spill.hpp"
#include "site/watch.hpp"
#include "site_io/plan_check.hpp"

namespace cobaltshift::site {
namespace {

// Sites of 100 requests a second each at work of 10 ms, 5 ms apart.
Fleet fleet_of(std::size_t sites, double bound = 0.8) {
    Fleet fleet;
    fleet.bound = bound;
    for (std::size_t s = 0; s < sites; ++s)
        fleet.sites.push_back({std::string(1, static_cast<char>('a' + s)), 1000, 1});
    fleet.round_trip.assign(sites, std::vector<Millis>(sites, 5));
    for (std::size_t s = 0; s < sites; ++s) fleet.round_trip[s][s] = 0;
    return fleet;
}
std::size_t add_class(Fleet& fleet, double worth, bool kept = false, Millis aim = 100, Millis answer = 50) {
    Class c;
    c.name = "class " + std::to_string(fleet.classes.size());
    c.worth = worth, c.work = 10, c.aim = aim, c.answer = answer, c.kept = kept;
    fleet.classes.push_back(c);
    return fleet.classes.size() - 1;
}
void ask(Fleet& fleet, std::size_t site, std::size_t of_class, double rate, std::size_t tenant = SIZE_MAX) {
    fleet.demands.push_back({site, of_class, tenant, rate});
}
double refused(const Fleet& fleet, const Spill& out, std::size_t of_class) {
    double sum = 0;
    for (std::size_t d = 0; d < fleet.demands.size(); ++d)
        if (fleet.demands[d].of_class == of_class) sum += out.refused[d];
    return sum;
}

TEST(Spill, WithoutALossAllStaysAtHome) {
    Fleet fleet = fleet_of(3);
    const auto c = add_class(fleet, 1);
    for (std::size_t s = 0; s < 3; ++s) ask(fleet, s, c, 20 + 25.0 * static_cast<double>(s));
    const Spill out = spill(fleet, {});
    ASSERT_EQ(out.flows.size(), 3u);
    for (const auto& flow : out.flows) EXPECT_EQ(flow.to, fleet.demands[flow.demand].site);
    EXPECT_NEAR(out.use[2], 0.7, 1e-6);
    EXPECT_NEAR(out.worth_served, out.worth_asked, 1e-6);
}

TEST(Spill, ALostSitesLoadGoesWhereThereIsRoomNotWhereItIsNear) {
    Fleet fleet = fleet_of(3);
    const auto c = add_class(fleet, 1);
    fleet.round_trip[0][1] = fleet.round_trip[1][0] = 1;  // b is nearest to a, and nearly full
    ask(fleet, 0, c, 40), ask(fleet, 1, c, 75), ask(fleet, 2, c, 20);
    const Spill out = spill(fleet, {0});
    EXPECT_NEAR(out.use[1], 0.75, 1e-3);
    EXPECT_NEAR(out.use[2], 0.6, 1e-3);
    EXPECT_NEAR(refused(fleet, out, c), 0, 1e-3);
    // Equal spare room, equal parts.
    fleet.demands[1].rate = 20;
    const Spill even = spill(fleet, {0});
    EXPECT_NEAR(even.use[1], 0.4, 1e-3);
    EXPECT_NEAR(even.use[2], 0.4, 1e-3);
    // Half of its clients have gone with it.
    fleet.sites[0].follows = 0.5;
    EXPECT_NEAR(spill(fleet, {0}).use[2], 0.3, 1e-3);
}

TEST(Spill, WhatIsWorthLeastIsTurnedAwayFirstButKeptAndGuaranteedStandBeforeIt) {
    Fleet fleet = fleet_of(2);
    const auto dear = add_class(fleet, 5), cheap = add_class(fleet, 1), kept = add_class(fleet, 0.1, true);
    fleet.tenants = {{"small", 10}, {"large", 0}};
    for (std::size_t s = 0; s < 2; ++s) {
        ask(fleet, s, dear, 25), ask(fleet, s, kept, 10);
        ask(fleet, s, cheap, 10, 0), ask(fleet, s, cheap, 20, 1);
    }
    // 130 asked, 80 served: 20 kept, 10 guaranteed, then 50 of the dear ones.
    const Spill out = spill(fleet, {1});
    EXPECT_NEAR(out.use[0], 0.8, 1e-6);
    EXPECT_NEAR(refused(fleet, out, kept), 0, 1e-3);
    EXPECT_NEAR(refused(fleet, out, dear), 0, 1e-3);
    EXPECT_NEAR(refused(fleet, out, cheap), 50, 1e-3);
    double small = 0, large = 0;
    for (std::size_t d = 0; d < fleet.demands.size(); ++d) {
        if (fleet.demands[d].tenant == 0) small += out.refused[d];
        if (fleet.demands[d].tenant == 1) large += out.refused[d];
    }
    EXPECT_NEAR(small, 10, 1e-3);  // of 20, 10 are guaranteed
    EXPECT_NEAR(large, 40, 1e-3);
}

TEST(Spill, WhatCanCrossMakesRoomForWhatCannot) {
    Fleet fleet = fleet_of(3);
    const auto roams = add_class(fleet, 5),
               stays = add_class(fleet, 1, false, 52, 50);  // 2 ms left: none of 5
    ask(fleet, 0, roams, 70), ask(fleet, 0, stays, 40);
    ask(fleet, 1, roams, 10), ask(fleet, 2, roams, 10), ask(fleet, 2, stays, 10);
    const Spill out = spill(fleet, {1});
    // The dearer one moves aside to c: both are served.
    EXPECT_NEAR(refused(fleet, out, roams), 0, 1e-3);
    EXPECT_NEAR(refused(fleet, out, stays), 0, 1e-3);
    EXPECT_LE(out.use[0], 0.8 + 1e-6);
    // Its own site lost, it is refused though others have room.
    EXPECT_NEAR(refused(fleet, spill(fleet, {2}), stays), 10, 1e-3);
}

TEST(Spill, NoRoomAnywhereServesTheWorthiestInEqualPartsOfThoseAlike) {
    Fleet fleet = fleet_of(4);
    const auto dear = add_class(fleet, 3), cheap = add_class(fleet, 1);
    for (std::size_t s = 0; s < 4; ++s) ask(fleet, s, dear, 100), ask(fleet, s, cheap, 100);
    const Spill out = spill(fleet, {3});
    EXPECT_NEAR(refused(fleet, out, cheap), 400, 1e-2);
    EXPECT_NEAR(refused(fleet, out, dear), 160, 1e-2);
    for (std::size_t s = 0; s < 3; ++s) EXPECT_NEAR(out.use[s], 0.8, 1e-6);
    const Spill none = spill(fleet, {0, 1, 2, 3});
    EXPECT_NEAR(none.worth_served, 0, 1e-9);
    EXPECT_TRUE(spill(fleet_of(1), {0}).flows.empty());
    EXPECT_TRUE(losses(fleet_of(1)).empty());
    EXPECT_EQ(losses(fleet_of(5)).size(), 15u);
}

// Drawn fleets, 3 to 6 sites of very different size, at 40 to 200 % of what they can do.
TEST(Spill, OverDrawnFleetsEveryInvariantHolds) {
    std::size_t crossed = 0, refusals = 0, far = 0, levelled = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        kelplb::Random lots(seed);
        Fleet fleet = fleet_of(3 + lots.below(4), 0.6 + 0.4 * lots.unit());
        const std::size_t sites = fleet.sites.size(), classes = 1 + lots.below(4);
        for (Site& site : fleet.sites) site.capacity = 200 + 5000 * lots.unit() * lots.unit();
        for (std::size_t a = 0; a < sites; ++a)
            for (std::size_t b = 0; b < a; ++b)
                fleet.round_trip[a][b] = fleet.round_trip[b][a] = 60 * lots.unit();
        for (std::size_t c = 0; c < classes; ++c) {
            add_class(fleet, 0.5 + static_cast<double>(lots.below(5)), lots.unit() < 0.2, 100,
                      40 + 40 * lots.unit());
            fleet.classes[c].work = 5 + 20 * lots.unit();
        }
        const double load = 0.4 + 1.6 * lots.unit();
        for (std::size_t s = 0; s < sites; ++s)
            for (std::size_t c = 0; c < classes; ++c)
                ask(fleet, s, c,
                    load * lots.unit() * 2 * fleet.sites[s].capacity / fleet.classes[c].work /
                        static_cast<double>(classes));
        for (const auto& lost : losses(fleet)) {
            if (lost.size() == 2 && lots.unit() < 0.7) continue;
            const Spill out = spill(fleet, lost);
            const auto is_lost = [&](std::size_t s) {
                return std::find(lost.begin(), lost.end(), s) != lost.end();
            };
            std::vector<double> served(fleet.demands.size());
            std::map<std::pair<std::size_t, std::size_t>, double> at;  // class and site
            for (const auto& flow : out.flows) {
                const Demand& demand = fleet.demands[flow.demand];
                ASSERT_FALSE(is_lost(flow.to));
                ASSERT_TRUE(fleet.bears(demand.of_class, demand.site, flow.to));
                served[flow.demand] += flow.rate;
                at[{demand.of_class, flow.to}] += flow.rate;
                if (flow.to == demand.site) continue;
                ++crossed;
                // Max-min: what crosses to one site is not better off in an emptier one.
                for (std::size_t other = 0; other < sites; ++other) {
                    if (is_lost(other) || other == demand.site || flow.rate < 1e-2) continue;
                    if (!fleet.bears(demand.of_class, demand.site, other)) {
                        ++far;
                        continue;
                    }
                    ++levelled;
                    ASSERT_LE(out.use[flow.to], out.use[other] + 2e-3) << "seed " << seed;
                }
            }
            for (std::size_t s = 0; s < sites; ++s)
                ASSERT_LE(out.use[s], fleet.bound + 1e-4) << "seed " << seed;
            for (std::size_t d = 0; d < fleet.demands.size(); ++d) {
                const Demand& demand = fleet.demands[d];
                ASSERT_NEAR(served[d] + out.refused[d], demand.rate, 1e-3 * (1 + demand.rate))
                    << "seed " << seed;
                if (out.refused[d] < 1e-2) continue;
                ++refusals;
                // Refused: wherever it may go it is full, and with nothing that stands behind it.
                const auto rank = [&](std::size_t c) {
                    const Class& k = fleet.classes[c];
                    return std::pair(k.kept ? 0 : 1, -k.worth / k.work);
                };
                for (std::size_t s = 0; s < sites; ++s) {
                    if (is_lost(s) || !fleet.bears(demand.of_class, demand.site, s)) continue;
                    ASSERT_GE(out.use[s], fleet.bound - 1e-3) << "seed " << seed;
                    for (std::size_t c = 0; c < classes; ++c)
                        if (rank(c) > rank(demand.of_class)) {
                            const double behind = at.count({c, s}) ? at.at({c, s}) : 0;
                            ASSERT_LT(behind, 1e-2) << "seed " << seed;
                        }
                }
            }
        }
    }
    EXPECT_GT(crossed, 5000u);
    EXPECT_GT(refusals, 5000u);
    EXPECT_GT(far, 500u);
    EXPECT_GT(levelled, 5000u);
}

// ---- States ----------------------------------------------------------------------------------------------

Evidence good() {
    Evidence e;
    e.outside = e.inside = 100;
    return e;
}
Evidence gone() {
    Evidence e = good();
    e.outside_failed = 95, e.inside = 0, e.forwarders_heard = 0;
    return e;
}
// Seen every 100 ms for so long.
void see(Watch& watch, Millis& now, const Evidence& evidence, Millis length) {
    for (const Millis end = now + length; now < end; now += 100) watch.seen(now, evidence);
}

TEST(Watch, ALossIsSuspectedThenSureAndComesBackOnlyAfterItsTime) {
    Watch watch;
    Millis now = 1000;
    see(watch, now, good(), 5000);
    EXPECT_EQ(watch.state(), State::whole);
    see(watch, now, gone(), 300);
    EXPECT_EQ(watch.state(), State::whole) << "a moment is nothing";
    see(watch, now, gone(), 200);
    EXPECT_EQ(watch.state(), State::suspected);
    see(watch, now, gone(), 800);
    EXPECT_EQ(watch.state(), State::lost);
    see(watch, now, good(), 2000);
    EXPECT_EQ(watch.state(), State::lost);
    see(watch, now, good(), 4000);
    EXPECT_EQ(watch.state(), State::returning);
    EXPECT_TRUE(watch.returned(now));
    EXPECT_EQ(watch.state(), State::whole);
}

TEST(Watch, OneThatFlapsIsHeldOutLongerEachTimeAndForgivenAfterLongGood) {
    Watch watch;
    Millis now = 1000, before = 0;
    for (int flap = 0; flap < 8; ++flap) {
        see(watch, now, gone(), 3000);
        ASSERT_EQ(watch.state(), State::lost) << flap;
        const Millis held = watch.held_until() - watch.since();
        EXPECT_GE(held, std::min(2 * before, 300000.0));
        before = held;
        see(watch, now, good(), held + 4000);
        ASSERT_EQ(watch.state(), State::returning) << flap;
        // Every other time it goes again in the middle of its return.
        if (flap % 2) watch.returned(now);
    }
    EXPECT_EQ(before, 300000);
    watch.returned(now);
    see(watch, now, good(), 400000);
    see(watch, now, gone(), 3000);
    EXPECT_EQ(watch.losses(), 1u);
}

TEST(Watch, EachEvidenceHasItsState) {
    struct Row {
        const char* what;
        State state;
        Evidence evidence;
    };
    const auto with = [](auto change) {
        Evidence e = good();
        change(e);
        return e;
    };
    const Row table[] = {
        {"all well", State::whole, good()},
        {"a third fails", State::weakened, with([](Evidence& e) { e.outside_failed = 33; })},
        {"slow by five times, not gone", State::weakened, with([](Evidence& e) { e.slower = 5; })},
        {"half of its servers are gone from the list", State::weakened,
         with([](Evidence& e) { e.servers_listed = 0.5; })},
        {"gone, forwarders and all", State::lost, gone()},
        {"listed, and silent", State::lost,
         with([](Evidence& e) { e.outside_failed = e.inside_failed = 100; })},
        {"cut off from the others, not from its own", State::cut_off,
         with([](Evidence& e) { e.outside_failed = 98; })},
        {"its forwarders are lost, its servers alive", State::whole,
         with([](Evidence& e) { e.inside = 0, e.forwarders_heard = 0; })},
        {"nobody elsewhere asks it, its own find it dead", State::lost,
         with([](Evidence& e) { e.outside = 0, e.inside_failed = 100; })},
        {"nobody asks, and discovery has withdrawn all", State::lost,
         with([](Evidence& e) { e.outside = e.inside = 0, e.servers_listed = 0; })},
        {"nobody asks and nothing is known", State::whole,
         with([](Evidence& e) { e.outside = e.inside = 0; })},
        {"too few to conclude from", State::whole,
         with([](Evidence& e) { e.outside = 19, e.outside_failed = 19, e.inside = 0; })},
    };
    for (const Row& row : table) {
        Watch watch;
        Millis now = 1000;
        see(watch, now, good(), 1000);
        see(watch, now, row.evidence, 5000);
        EXPECT_EQ(watch.state(), row.state) << row.what << ": " << name_of(watch.state());
    }
}

TEST(Watch, PeopleDrainAndGiveBackAndNothingElseEndsADrain) {
    Watch watch;
    Millis now = 1000;
    EXPECT_FALSE(watch.give_back(now));
    EXPECT_TRUE(watch.drain(now));
    see(watch, now, gone(), 5000);
    see(watch, now, good(), 50000);
    EXPECT_EQ(watch.state(), State::drained);
    EXPECT_TRUE(watch.give_back(now));
    EXPECT_EQ(watch.state(), State::returning);
    see(watch, now, gone(), 1000);
    EXPECT_EQ(watch.state(), State::lost) << "what returns may be lost again";
}

// ---- The return ------------------------------------------------------------------------------------------

TEST(Paced, EachStepIsEarnedByTimeAndSuccessOfItsOwn) {
    const PacedSettings settings;
    Paced paced(settings);
    Millis now = 0;
    paced.begin(now);
    EXPECT_EQ(paced.part(), 0.05);
    paced.seen(1000, 1000);
    EXPECT_EQ(paced.tick(4999), Paced::Turn::none) << "its time";
    EXPECT_EQ(paced.tick(5000), Paced::Turn::forth);
    EXPECT_EQ(paced.tick(50000), Paced::Turn::none) << "nothing of its own yet";
    paced.seen(49, 49);
    EXPECT_EQ(paced.tick(50000), Paced::Turn::none) << "too few";
    paced.seen(100, 88);
    EXPECT_EQ(paced.tick(50000), Paced::Turn::none) << "neither good nor bad";
    paced.seen(100, 70);
    EXPECT_EQ(paced.tick(50001), Paced::Turn::back) << "taken back at once";
    EXPECT_EQ(paced.step(), 0u);
    paced.seen(100, 100);
    EXPECT_EQ(paced.tick(59999), Paced::Turn::none) << "twice as long this time";
    EXPECT_EQ(paced.tick(60001), Paced::Turn::forth);
    now = 60001;
    Paced::Turn last = Paced::Turn::none;
    for (int i = 0; i < 20 && last != Paced::Turn::done; ++i)
        paced.seen(100, 100), last = paced.tick(now += 10000);
    EXPECT_EQ(last, Paced::Turn::done);
    EXPECT_EQ(paced.part(), 1);
    EXPECT_EQ(paced.tick(now + 1e6), Paced::Turn::none);
    EXPECT_EQ(Paced::least_time(settings), 30000);
}

TEST(Paced, WhoTakesOverBeginsTheNotedStepAnew) {
    Paced first(PacedSettings{}), second(PacedSettings{});
    first.begin(0);
    for (Millis now = 5000; now <= 15000; now += 5000) first.seen(100, 100), first.tick(now);
    first.seen(100, 10), first.tick(15001);
    EXPECT_EQ(first.step(), 2u);
    EXPECT_EQ(first.slower(), 2u);
    ASSERT_TRUE(second.resume(20000, first.step(), first.slower()));
    second.seen(100, 100);
    EXPECT_EQ(second.tick(29999), Paced::Turn::none);
    EXPECT_EQ(second.tick(30000), Paced::Turn::forth);
    Paced other{PacedSettings{}};
    EXPECT_FALSE(other.resume(0, 6, 1));
    EXPECT_FALSE(other.resume(0, 2, 0));
    EXPECT_FALSE(other.resume(0, 2, 9));
    const std::pair<std::vector<double>, const char*> table[] = {
        {{0.1, 1}, ""}, {{}, "end with 1"}, {{0.5}, "end with 1"}, {{0.5, 0.4, 1}, "rise"}, {{0, 1}, "rise"}};
    for (const auto& [steps, said] : table) {
        PacedSettings s;
        s.steps = steps;
        EXPECT_NE(complaint(s).find(said), std::string::npos);
        EXPECT_EQ(complaint(s).empty(), std::string(said).empty());
    }
}

// Against servers that bear what they bear: the return ends at what they can do and never runs far beyond it.
TEST(Paced, OverDrawnServersTheReturnNeverRunsAhead) {
    std::size_t done = 0, back = 0, takeovers = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        kelplb::Random lots(seed);
        const PacedSettings settings;
        auto paced = std::make_unique<Paced>(settings);
        paced->begin(0);
        const double bears = 0.3 + lots.unit();  // part of the load, once warm
        double highest = 0;
        for (Millis now = 0; now < 300000; now += 200) {
            const double warm = std::min(1.0, 0.2 + now / 20000);
            const double part = paced->part(), can = bears * warm;
            const auto all = static_cast<std::uint64_t>(40 * part + 1);
            paced->seen(all,
                        static_cast<std::uint64_t>(static_cast<double>(all) * std::min(1.0, can / part)));
            const std::size_t before = paced->step();
            const Paced::Turn turn = paced->tick(now);
            ASSERT_LE(paced->step(), before + 1);
            back += turn == Paced::Turn::back;
            highest = std::max(highest, paced->part());
            if (turn == Paced::Turn::done) {
                ++done;
                break;
            }
            if (lots.unit() < 0.002) {
                auto next = std::make_unique<Paced>(settings);
                ASSERT_TRUE(next->resume(now, paced->step(), paced->slower()));
                paced = std::move(next);
                ++takeovers;
            }
        }
        // One step beyond what they bear is how it is found out.
        if (bears < 0.38) {
            ASSERT_LE(highest, 0.7) << "seed " << seed;
        }
    }
    EXPECT_GT(done, 50u);
    EXPECT_GT(back, 100u);
    EXPECT_GT(takeovers, 100u);
}

// ---- Levels ----------------------------------------------------------------------------------------------

TEST(Levels, AreRaisedQuicklyLetDownSlowlyAndDoNotSwing) {
    LevelPace pace;
    Millis now = 0;
    EXPECT_FALSE(pace.seen(now, 0.99));
    EXPECT_TRUE(pace.seen(now, 1.2));
    EXPECT_FALSE(pace.seen(now + 100, 1.2)) << "what the first one does must show first";
    EXPECT_TRUE(pace.seen(now + 200, 2));
    EXPECT_EQ(pace.level(), 4u);
    for (now = 1000; now < 60000; now += 100) {
        const std::size_t before = pace.level();
        pace.seen(now, 0.5);
        ASSERT_GE(pace.level() + 1, before);
        if (now < 3900) {
            ASSERT_EQ(pace.level(), 4u);
        }
    }
    EXPECT_EQ(pace.level(), 0u);
    // A load that fits only while the level is up: let down less and less often.
    LevelPace swinging;
    std::size_t changes = 0;
    for (now = 0; now < 600000; now += 100) changes += swinging.seen(now, swinging.level() == 0 ? 1.1 : 0.85);
    EXPECT_LE(changes, 30u);
    EXPECT_EQ(swinging.wait(), 60000);
}

// ---- Who leads
// ---------------------------------------------------------------------------------------------

LeadSettings lead_settings() {
    LeadSettings s;
    s.watch.least = 3;
    s.paced.steps = {0.2, 0.5, 1};
    s.paced.hold = 1000;
    s.paced.least = 4;
    return s;
}
// Two sites of four servers; each verdict comes once a second.
struct Sites {
    explicit Sites(std::size_t leads) {
        for (std::size_t l = 0; l < leads; ++l) {
            all.push_back(std::make_unique<Lead>(lead_settings()));
            list(*all.back());
        }
    }
    void list(Lead& lead) const {
        std::map<ServerId, std::string> servers;
        for (ServerId s = 0; s < 8; ++s) servers[s] = s < 4 ? "north" : "coast";
        lead.listed(now, servers);
    }
    // All hear of probes; who leads leaves its notes, unless `lossy`: then one in three may have been left.
    void pass(Millis length) {
        for (const Millis end = now + length; now < end; now += 50) {
            if (std::fmod(now, 250) == 0)
                for (auto& one : all)
                    if (one) {
                        const auto s = static_cast<ServerId>(std::fmod(now / 250, 4));
                        one->verdict(now, s, !north_dead), one->verdict(now, s + 4, true);
                    }
            for (auto& one : all) {
                if (!one || !one->leads()) continue;
                const auto next = one->tick(now);
                if (!next) continue;
                const double lot = lossy ? lots.unit() : 0;
                if (lot < 0.8) {
                    const auto before = Book::read(note), after = Book::read(*next);
                    ASSERT_TRUE(after) << *next;
                    if (before) {
                        EXPECT_GT(after->version, before->version) << *next << " after " << note;
                    }
                    note = *next, notes.push_back(note);
                }
                if (lot < 0.6)
                    one->left(now);
                else
                    one->not_left();
            }
        }
    }
    State north() const { return Book::read(note)->sites.at("north").state; }
    std::size_t step() const { return Book::read(note)->sites.at("north").step; }

    kelplb::Random lots{1};
    Millis now = 1000;
    bool north_dead = false, lossy = false;
    std::vector<std::unique_ptr<Lead>> all;
    std::string note;
    std::vector<std::string> notes;
};

TEST(Lead, ALossItsReturnAndATakeOverInTheMiddleOfIt) {
    Sites sites(2);
    EXPECT_TRUE(sites.all[0]->begin(sites.now, ""));
    sites.pass(3000);
    EXPECT_EQ(sites.note, "v2 coast=whole north=whole");
    sites.north_dead = true;
    sites.pass(4000);
    EXPECT_EQ(sites.north(), State::lost);
    EXPECT_EQ(Book::read(sites.note)->sites.at("coast").state, State::whole);
    sites.north_dead = false;
    while (sites.notes.size() < 100 && (sites.north() != State::returning || sites.step() < 1))
        sites.pass(50);
    // The leader dies; who stood by goes on with the step that was noted, and begins its time anew.
    sites.all[0].reset();
    const std::size_t before = sites.notes.size();
    EXPECT_TRUE(sites.all[1]->begin(sites.now, sites.note));
    const Millis taken = sites.now;
    while (sites.north() == State::returning && sites.step() == 1 && sites.now < taken + 20000)
        sites.pass(50);
    EXPECT_GE(sites.now, taken + 1000);
    EXPECT_EQ(sites.step(), 2u);
    EXPECT_EQ(sites.notes.size(), before + 1);
    sites.pass(5000);
    EXPECT_EQ(sites.north(), State::whole);
    // Who does not lead says nothing, whatever it sees.
    sites.all[1]->end();
    sites.north_dead = true;
    const std::size_t silent = sites.notes.size();
    sites.pass(5000);
    EXPECT_EQ(sites.notes.size(), silent);
}

TEST(Lead, NothingIsDecidedWhileANoteIsOnItsWayAndAStepsTimeBeginsWhenItIsLeft) {
    Sites sites(1);
    Lead& lead = *sites.all[0];
    lead.begin(sites.now, "v1 coast=whole north=returning:0:1:1");
    std::optional<std::string> note;
    const auto pass = [&](Millis length) {
        for (const Millis end = sites.now + length; sites.now < end && !note; sites.now += 50) {
            for (ServerId s = 0; s < 8; ++s) lead.verdict(sites.now, s, true);
            note = lead.tick(sites.now);
        }
    };
    pass(3000);
    ASSERT_TRUE(note);
    EXPECT_EQ(*note, "v3 coast=whole north=returning:1:1:1");
    note.reset();
    pass(10000);
    EXPECT_FALSE(note) << *note;  // long past the step's time
    lead.left(sites.now);
    const Millis left = sites.now;
    pass(5000);
    ASSERT_TRUE(note);
    EXPECT_EQ(*note, "v4 coast=whole north=returning:2:1:1");
    EXPECT_GE(sites.now - left, 1000);
    // Nobody knows whether it is left: the same again, before anything else, under a later version.
    lead.not_left();
    lead.ordered("coast", true);
    EXPECT_EQ(lead.tick(sites.now), "v5 coast=whole north=returning:2:1:1");
    lead.left(sites.now);
    EXPECT_EQ(lead.tick(sites.now), "v6 coast=drained north=returning:2:1:1");
}

TEST(Lead, PeopleDrainASiteAndAnotherLeaderKeepsItSo) {
    Sites sites(2);
    sites.all[0]->begin(sites.now, "");
    sites.pass(1000);
    sites.all[0]->ordered("north", true), sites.all[0]->ordered("nowhere", true);
    sites.pass(1000);
    EXPECT_EQ(sites.north(), State::drained);
    sites.all[0].reset();
    sites.all[1]->begin(sites.now, sites.note);
    sites.pass(3000);
    EXPECT_EQ(sites.north(), State::drained);
    sites.all[1]->ordered("north", false);
    sites.pass(100);
    EXPECT_EQ(sites.north(), State::returning);
    EXPECT_EQ(sites.step(), 0u);
    sites.pass(8000);
    EXPECT_EQ(sites.north(), State::whole);
}

// Notes that may or may not be left, leaders that change at any moment: versions grow, and steps come in
// order.
TEST(Lead, WhateverBecomesOfNotesAndLeadersVersionsGrowAndNoStepIsPassedOver) {
    std::size_t taken = 0, steps = 0, returns = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        Sites sites(1);
        sites.lots = kelplb::Random(seed);
        sites.lossy = true;
        sites.all[0]->begin(sites.now, "");
        while (sites.now < 90000) {
            sites.pass(100 + 50 * static_cast<double>(sites.lots.below(60)));
            if (sites.lots.unit() < 0.3) sites.north_dead = !sites.north_dead && sites.lots.unit() < 0.5;
            if (sites.lots.unit() < 0.3) {
                sites.all[0] = std::make_unique<Lead>(lead_settings());
                sites.list(*sites.all[0]);
                EXPECT_TRUE(sites.all[0]->begin(sites.now, sites.note));
                ++taken;
            }
        }
        std::optional<Book> before;
        for (const std::string& note : sites.notes) {
            const auto book = Book::read(note);
            ASSERT_TRUE(book);
            if (before && before->sites.count("north")) {
                const Book::Entry &was = before->sites.at("north"), &is = book->sites.at("north");
                if (is.state == State::returning && was.state == State::returning) {
                    ASSERT_LE(is.step, was.step + 1) << "seed " << seed << ": " << note;
                    steps += is.step > was.step;
                }
                if (is.state == State::returning && was.state != State::returning) {
                    ASSERT_EQ(is.step, 0u) << note;
                }
                if (is.state == State::whole && was.state == State::returning) {
                    ASSERT_EQ(was.step, 2u);
                    ++returns;
                }
            }
            before = book;
        }
    }
    EXPECT_GT(taken, 1000u);
    EXPECT_GT(steps, 250u);
    EXPECT_GT(returns, 100u);
}

TEST(Lead, ANoteThatIsNoneIsRefused) {
    const char* table[] = {"",
                           "3",
                           "v",
                           "vx",
                           "v-1",
                           "v1 north",
                           "v1 =whole",
                           "v1 north=asleep",
                           "v1 north=lost:1",
                           "v1 north=lost:0:0:0",
                           "v1 north=lost:0:1:x",
                           "v1 north=lost:0:1:-1",
                           "v1 no/rth=whole",
                           "v1 north=whole north=lost",
                           "v1 north=returning:99999:1:0",
                           "v1 north=lost:0:1:1:1",
                           "v99999999999999999999999"};
    for (const char* text : table) EXPECT_FALSE(Book::read(text)) << text;
    std::string many = "v1";
    for (int n = 0; n < 17; ++n) many += " s" + std::to_string(n) + "=whole";
    EXPECT_FALSE(Book::read(many));
    Book book;
    book.version = 7;
    book.sites["a-1"] = {State::returning, 2, 4, 1};
    book.sites["b_2.c"] = {State::cut_off, 0, 1, 0};
    ASSERT_TRUE(Book::read(book.text()));
    EXPECT_EQ(*Book::read(book.text()), book);
    // The longest there may be goes into a note.
    Book full;
    full.version = UINT64_MAX;
    for (std::size_t n = 0; n < kMostLed; ++n)
        full.sites[std::string(kMaxSiteName - 2, 's') + std::to_string(10 + n)] = {State::returning, 50, 8,
                                                                                   1000};
    EXPECT_LE(full.text().size(), 1024u);
    Lead lead(lead_settings());
    EXPECT_FALSE(lead.begin(0, "nonsense"));
    EXPECT_TRUE(lead.leads());
}

// ---- The plan's file -------------------------------------------------------------------------------------

const std::string kGood = R"(
[[site]]
name = "a"
servers = 2
slots = 2
[[site]]
name = "b"
servers = 2
slots = 2
[[class]]
name = "listen"
work_ms = 10
aim_ms = 100
kept = true
[[distance]]
from = "a"
to = "b"
round_trip_ms = 5
[[demand]]
site = "a"
class = "listen"
per_s = 100
)";

std::string complaint_of(const std::string& text) {
    try {
        read_plan(text, "x.toml");
    } catch (const SettingsError& error) {
        return error.what();
    }
    return "none";
}
std::string changed(const std::string& from, const std::string& to) {
    std::string text = kGood;
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

TEST(PlanFile, WhatMakesNoSenseIsNamedByFileLineAndKey) {
    const std::pair<std::string, const char*> table[] = {
        {kGood, "none"},
        {"", "x.toml: site is missing"},
        {"site = 3", "x.toml:1: site is not a list of tables"},
        {changed("name = \"b\"", "name = \"a\""), "x.toml:7: site.name is there twice"},
        {changed("name = \"a\"", "name = \"\""), "x.toml:3: site.name is empty"},
        {changed("servers = 2", "servers = -1"), "x.toml:4: site.servers is not between"},
        {changed("slots = 2", "slot = 2"), "site.slots is missing"},
        {changed("slots = 2", "slots = 2\ncolour = 1"), "x.toml:6: site.colour is not known"},
        {changed("work_ms = 10", "work_ms = 0"), "x.toml:12: class.work_ms is not between"},
        {changed("aim_ms = 100", "aim_ms = 5"), "class.answer_ms is over aim_ms"},
        {changed("kept = true", "kept = 1"), "x.toml:14: class.kept is neither true nor false"},
        {changed("kept = true", "effect = \"twice\""), "x.toml:14: class.effect is none of"},
        {changed("to = \"b\"", "to = \"a\""), "x.toml:17: distance.to is the same site"},
        {changed("to = \"b\"", "to = \"c\""), "x.toml:17: distance.to names no site"},
        {changed("[[distance]]\nfrom = \"a\"\nto = \"b\"\nround_trip_ms = 5\n", ""),
         "x.toml: distance is missing between a and b"},
        {kGood + "[[distance]]\nfrom = \"b\"\nto = \"a\"\nround_trip_ms = 5\n",
         "x.toml:25: distance.to has a distance from there already"},
        {changed("class = \"listen\"", "class = \"sing\""), "x.toml:21: demand.class names no class"},
        {changed("per_s = 100", "per_s = nan"), "x.toml:22: demand.per_s is not between"},
        {changed("per_s = 100", "per_s = 100\ntenant = \"x\""), "x.toml:23: demand.tenant names no tenant"},
        {"bound = 2\n" + kGood, "x.toml:1: bound is not between"},
        {kGood + "[return]\nsteps = [0.5, 0.2, 1]\n",
         "x.toml:24: return.steps make no sense: steps do not rise"},
        {kGood + "[return]\nsteps = []\n", "return.steps has not 1 to 50 entries"},
        {kGood + "[elsewhere]\n", "x.toml:23: elsewhere is not known"},
        {"\xff", "x.toml:1: "},
    };
    for (const auto& [text, said] : table)
        EXPECT_NE(complaint_of(text).find(said), std::string::npos) << said << " <- " << complaint_of(text);
}

TEST(PlanFile, AKeptClassThatWouldBeRefusedIsSaid) {
    const PlanChecked fits = check_plan(read_plan(kGood, "x.toml"), true);
    EXPECT_TRUE(fits.broken.empty());
    EXPECT_EQ(fits.json["losses"].size(), 3u);
    EXPECT_NEAR(fits.json["losses"][1]["use"]["b"].get<double>(), 0.25, 1e-3);
    const PlanChecked over = check_plan(read_plan(changed("per_s = 100", "per_s = 400"), "x.toml"), false);
    ASSERT_EQ(over.broken.size(), 2u) << "with one of them lost, not with both there";
    EXPECT_NE(over.broken[0].find("lost a: 60/s of the kept class listen from a"), std::string::npos)
        << over.broken[0];
    const PlanChecked example = check_plan(load_plan(COBALTSHIFT_DEPLOY "/sites.example.toml"), false);
    EXPECT_TRUE(example.broken.empty());
    EXPECT_GT(example.json["losses"].size(), 3u);
}

}  // namespace
}  // namespace cobaltshift::site
