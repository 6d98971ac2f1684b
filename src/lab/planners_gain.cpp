// What planners are worth on real sockets: two fleets side by side in the same seconds, with the same
// arrivals, the same work and the same troubles, one with planners and one without. Every request that was
// not served in time is put down to what it met, and to how long that had been going on: advice can only help
// with what has lasted for longer than it takes to hear of it.
#include <algorithm>
#include <cmath>
#include <list>

#include "lab/fleet.hpp"
#include "lab/planner_children.hpp"
#include "lab/planners.hpp"
#include "lab/statistics.hpp"

namespace cobaltshift::lab {

namespace {

constexpr std::size_t kServers = 16, kForwarders = 40;
constexpr double kRate = 400;
constexpr Millis kToolLate = 50;  // of the load tool itself: no fault of anything else

// The world's day (src/sim/days.cpp) on sockets.
struct Troubles {
    struct Crash {
        std::size_t server;
        Millis at, down;
    };
    struct Errors {
        std::size_t server;
        Millis at, length;
        double share;
    };
    struct Pause {
        std::size_t server;
        Millis at, length;
    };
    std::vector<Crash> crashes;
    std::vector<Errors> errors;
    std::vector<Pause> pauses;

    Troubles(std::uint64_t seed, Millis span) {
        kelplb::Random random(seed * 13 + 5);
        std::vector<std::size_t> all(kServers);
        for (std::size_t i = 0; i < all.size(); ++i) all[i] = i;
        for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[random.below(i)]);
        const auto take = [&](std::size_t n) {
            std::vector<std::size_t> some(all.end() - static_cast<std::ptrdiff_t>(n), all.end());
            all.resize(all.size() - n);
            return some;
        };
        const Millis crash_at = span * (0.2 + 0.1 * random.unit()), down = 3000 + 5000 * random.unit();
        for (const std::size_t n : take(4)) crashes.push_back({n, crash_at, down});
        const Millis errors_at = span * (0.4 + 0.1 * random.unit());
        for (const std::size_t n : take(2))
            errors.push_back({n, errors_at, span * 0.3, 0.4 + 0.6 * random.unit()});
        const Millis first = span * (0.1 + 0.1 * random.unit()), every = 1500 + 1500 * random.unit();
        for (const std::size_t n : take(4))
            for (Millis t = first + every * random.unit(); t < span * 0.75; t += every)
                pauses.push_back({n, t, 100 + 400 * random.unit()});
    }
    // When the trouble that a request met there began; none: it is not one that lasts.
    std::optional<Millis> since(Trouble trouble, std::size_t server, Millis at) const {
        if (trouble == Trouble::error)
            for (const Errors& e : errors)
                if (e.server == server) return e.at;
        if (trouble == Trouble::pause)
            for (const Pause& p : pauses)
                if (p.server == server && at >= p.at - 50 && at < p.at + p.length + 50) return p.at;
        if (trouble == Trouble::crash || trouble == Trouble::cold)
            for (const Crash& c : crashes)
                if (c.server == server) return trouble == Trouble::crash ? c.at : c.at + c.down;
        return {};
    }
};

// One of the two.
struct Side {
    Side(asio::io_context& io, const Clock& clock, std::uint64_t seed, bool planned)
        : planners(io, folder), fleet(io, clock, options(seed, planned)), load(io, clock, what(seed)) {
        fleet.on_front([this](std::size_t number, tcp::endpoint at) { load.front(number, at); });
        load.on_lost([this](const Load::Lost& one) { lost.push_back(one); });
        if (!planned) return;
        for (std::size_t p = 0; p < kPlanners; ++p)
            planners.start(p, fleet.discovery().at(), Archive::Options{});
    }
    Fleet::Options options(std::uint64_t seed, bool planned) const {
        Fleet::Options o;
        o.servers = kServers;
        o.forwarders = kForwarders;
        o.seed = seed;
        o.sockets = 256;
        if (planned) o.settings_file = planners.forwarders_settings();
        return o;
    }
    static Load::Options what(std::uint64_t seed) {
        Load::Options o;
        o.rate = kRate;
        o.seed = seed;
        return o;
    }
    Folder folder;
    PlannerChildren planners;
    Fleet fleet;
    Load load;
    std::vector<Load::Lost> lost;
    bool over = false;
};

struct Tally {
    std::size_t asked = 0, lost = 0, doubled = 0, unanswered = 0, attempts = 0;
    // Lost by cause, and by how long the cause had lasted.
    std::map<std::string, std::array<std::size_t, 6>> causes;
    std::map<long, std::size_t> seconds;
    double cold_peak = 0;
    std::vector<Millis> times;
    double loss() const { return static_cast<double>(lost) / std::max(1.0, static_cast<double>(asked)); }
};
constexpr std::array<Millis, 5> kAges{500, 1000, 2000, 5000, 1e18};
const char* const kAgeNames[] = {"<0.5 s", "<1 s", "<2 s", "<5 s", "later", "no age"};

void book(Tally& tally, const Side& side, const Troubles& troubles, Millis start) {
    for (const auto& [name, t] : side.load.tallies()) {
        tally.asked += t.asked, tally.unanswered += t.unanswered;
        tally.lost += t.asked - t.in_time;
        tally.times.insert(tally.times.end(), t.times.begin(), t.times.end());
    }
    tally.doubled += side.fleet.ledger().doubled();
    tally.attempts += side.fleet.attempts();
    tally.cold_peak = std::max(tally.cold_peak, side.fleet.cold_peak());
    for (const Load::Lost& one : side.lost) {
        const Ledger::Met met = side.fleet.ledger().met(one.target);
        ++tally.seconds[static_cast<long>((one.began - start) / 1000)];
        std::string cause = name_of(met.trouble);
        std::size_t age = kAges.size();
        if (met.trouble == Trouble::none && one.lag > kToolLate) cause = "load tool late";
        if (const auto began = troubles.since(met.trouble, met.server, met.at - start))
            for (age = 0; met.at - start - *began >= kAges[age];) ++age;
        if (one.status != 200 && met.trouble == Trouble::none && one.lag <= kToolLate)
            cause = one.status == 503 ? "turned away by the forwarder" : "no server reached";
        ++tally.causes[cause][age];
    }
}

void play(std::uint64_t seed, Millis length, std::array<Tally, 2>& tallies, int& worst_exit, bool& finished) {
    asio::io_context io(1);
    const Clock clock;
    const Troubles troubles(seed, length);
    std::array<std::unique_ptr<Side>, 2> sides;
    for (const bool planned : {false, true})
        sides[planned] = std::make_unique<Side>(io, clock, seed, planned);
    std::list<asio::steady_timer> timers;
    const auto at = [&](Millis when, std::function<void()> what) {
        timers.emplace_back(io);
        timers.back().expires_after(std::chrono::microseconds(static_cast<long>(when * 1000)));
        timers.back().async_wait([what](error_code ec) {
            if (!ec) what();
        });
    };
    Millis start = 0;
    std::size_t ready = 0;
    const auto begin = [&] {
        if (++ready < sides.size()) return;
        // A moment in which planners and forwarders find each other.
        at(2500, [&] {
            start = clock.now();
            for (auto& side : sides) {
                Fleet& fleet = side->fleet;
                for (const auto& c : troubles.crashes)
                    at(c.at, [&fleet, c] { fleet.crash(c.server, c.down); });
                for (const auto& e : troubles.errors) {
                    at(e.at, [&fleet, e] { fleet.server(e.server).fail_share(e.share); });
                    at(e.at + e.length, [&fleet, e] { fleet.server(e.server).fail_share(0); });
                }
                for (const auto& p : troubles.pauses) {
                    at(p.at, [&fleet, p] { fleet.server(p.server).freeze(true); });
                    at(p.at + p.length, [&fleet, p] { fleet.server(p.server).freeze(false); });
                }
                side->load.run(length);
            }
        });
    };
    for (auto& side : sides) {
        side->load.when_over([&, one = side.get()] {
            one->over = true;
            if (sides[0]->over && sides[1]->over) io.stop();
        });
        side->fleet.start(begin);
    }
    asio::steady_timer guard(io);
    guard.expires_after(std::chrono::milliseconds(static_cast<long>(length + 40000)));
    guard.async_wait([&](error_code ec) {
        if (!ec) io.stop();
    });
    io.run();
    for (auto& side : sides) worst_exit = std::max({worst_exit, side->fleet.stop(), side->planners.stop()});
    finished = finished && sides[0]->over && sides[1]->over;
    for (const bool planned : {false, true}) book(tallies[planned], *sides[planned], troubles, start);
}

Millis percentile(std::vector<Millis> times, double p) {
    if (times.empty()) return 0;
    const auto at = times.begin() + static_cast<std::ptrdiff_t>(p * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), at, times.end());
    return *at;
}

}  // namespace

Result planners_gain(const Run& run) {
    const std::size_t runs = run.quick ? 1 : 6;
    const Millis length = run.quick ? 20000 : 60000;
    const char* const names[] = {"without", "with"};
    Result result;
    result.columns({"run", "way", "asked", "lost", "in time %", "attempts", "p50 ms", "p99 ms", "removed"});
    std::array<Tally, 2> all;
    std::vector<double> gains;
    std::vector<Pair> pairs;
    int worst_exit = 0;
    bool finished = true;
    for (std::size_t r = 0; r < runs; ++r) {
        std::array<Tally, 2> two;
        play(run.seed * 100 + r, length, two, worst_exit, finished);
        const double gain = 1 - two[1].loss() / std::max(1e-9, two[0].loss());
        gains.push_back(gain);
        pairs.push_back({two[0].loss(), two[1].loss()});
        for (const std::size_t w : {0, 1}) {
            const Tally& t = two[w];
            result.row({std::to_string(r + 1), names[w], std::to_string(t.asked), std::to_string(t.lost),
                        shown(100 * (1 - t.loss()), 2), std::to_string(t.attempts),
                        shown(percentile(t.times, 0.5), 1), shown(percentile(t.times, 0.99), 1),
                        w == 1 ? shown(100 * gain, 1) + " %" : ""});
            all[w].asked += t.asked, all[w].lost += t.lost, all[w].doubled += t.doubled;
            all[w].unanswered += t.unanswered, all[w].attempts += t.attempts;
            all[w].cold_peak = std::max(all[w].cold_peak, t.cold_peak);
            all[w].times.insert(all[w].times.end(), t.times.begin(), t.times.end());
            for (const auto& [cause, ages] : t.causes)
                for (std::size_t i = 0; i < ages.size(); ++i) all[w].causes[cause][i] += ages[i];
            for (const auto& [second, n] : t.seconds) all[w].seconds[second] += n;
        }
    }
    // By cause and age, without | with.
    std::map<std::string, int> causes;
    for (const Tally& t : all)
        for (const auto& [cause, ages] : t.causes) causes[cause] = 0;
    std::string head = "lost by what it met, and how long that had lasted (without/with):";
    result.note(head);
    for (const auto& [cause, unused] : causes) {
        std::string line = "  " + cause + std::string(cause.size() < 30 ? 30 - cause.size() : 1, ' ');
        for (std::size_t i = 0; i <= kAges.size(); ++i) {
            const std::size_t a = all[0].causes[cause][i], b = all[1].causes[cause][i];
            if (a + b > 0)
                line += std::string(kAgeNames[i]) + " " + std::to_string(a) + "/" + std::to_string(b) + "   ";
        }
        result.note(line);
    }
    std::string seconds = "lost by second (without/with):";
    const long last = std::max(all[0].seconds.empty() ? 0 : all[0].seconds.rbegin()->first,
                               all[1].seconds.empty() ? 0 : all[1].seconds.rbegin()->first);
    for (long s = 0; s <= last; ++s)
        seconds += " " + std::to_string(all[0].seconds[s]) + "/" + std::to_string(all[1].seconds[s]);
    result.note(seconds);
    const auto [least, most] = std::minmax_element(gains.begin(), gains.end());
    const double pooled = 1 - all[1].loss() / std::max(1e-9, all[0].loss());
    result.figure("in time without", 1 - all[0].loss());
    result.figure("in time with", 1 - all[1].loss());
    result.figure("least part of the loss removed in one run", *least);
    result.figure("greatest part of the loss removed in one run", *most);
    result.note("part of the loss removed: from " + shown(100 * *least, 1) + " % to " +
                shown(100 * *most, 1) + " % in " + std::to_string(runs) + " runs");
    const Interval sure = part_removed(pairs, run.seed);
    if (sure.known) {
        result.note("95 % interval: " + shown(100 * sure.low, 1) + " to " + shown(100 * sure.high, 1));
        result.at_least("part of the loss removed, lower end of its interval", sure.low, 0);
    }
    if (run.quick)
        result.figure("part of the loss removed", pooled);
    else
        result.at_least("part of the loss removed", pooled, 0.3);
    result.at_least("all ended within the guard", finished, 1);
    result.at_most("requests without a final answer",
                   static_cast<double>(all[0].unanswered + all[1].unanswered), 0);
    result.at_most("doubled effects", static_cast<double>(all[0].doubled + all[1].doubled), 0);
    result.at_most("work sent to a cold server, over what fells it", all[1].cold_peak, 1);
    result.at_most("worst exit code", worst_exit, 0);
    return result;
}

}  // namespace cobaltshift::lab
