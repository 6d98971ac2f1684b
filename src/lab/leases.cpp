#include "lab/leases.hpp"

#include <algorithm>
#include <numeric>

#include "lab/lease_fleet.hpp"

namespace cobaltshift::lab {

namespace {

// What is done to the fleet, drawn. Each fault is counted where it truly struck.
class Troubles {
public:
    Troubles(asio::io_context& io, LeaseFleet& fleet, std::uint64_t seed, Millis length)
        : io_(io), fleet_(fleet), lots_(seed, "troubles"), end_(length), timer_(io), holders_timer_(io) {
        table_ = {
            {"leader killed", [this] { return kill(fleet_.leader()); }},
            {"keeper killed", [this] { return kill(any_keeper()); }},
            {"keeper's folder lost", [this] { return lose(true); }},
            {"keeper's folder spoilt", [this] { return lose(false); }},
            {"keeper stopped", [this] { return stop(any_keeper()); }},
            {"leader stopped", [this] { return stop(fleet_.leader()); }},
            {"leader cut off", [this] { return cut(fleet_.leader(), true, true, false); }},
            {"leader deaf", [this] { return cut(fleet_.leader(), true, false, false); }},
            {"leader mute", [this] { return cut(fleet_.leader(), false, true, false); }},
            {"leader cut off from keepers only", [this] { return cut(fleet_.leader(), true, true, true); }},
            {"keepers split", [this] { return split(); }},
            {"links lossy", [this] { return lossy(); }},
            {"links slow", [this] { return slow(); }},
            {"connections reset", [this] { return reset(); }},
            {"connections reset in a frame", [this] { return reset_inside(); }},
            {"answers lost", [this] { return answers_lost(); }},
            {"machine stopped", [this] { return stop_acting(true); }},
            {"runner alone stopped", [this] { return stop_acting(false); }},
            {"machine cut off", [this] { return cut_acting(); }},
            {"machine killed", [this] { return kill_machine(); }},
            {"majority of keepers down", [this] { return majority_down(); }},
        };
    }

    void start() { next(), at_holders(); }
    void over() { end_ = 0, timer_.cancel(), holders_timer_.cancel(); }
    double count(const std::string& name) const {
        const auto at = struck_.find(name);
        return at == struck_.end() ? 0 : static_cast<double>(at->second);
    }
    std::vector<std::string> names() const {
        std::vector<std::string> all;
        for (const auto& [name, what] : table_) all.push_back(name);
        return all;
    }

private:
    using Fault = std::function<bool()>;

    // One of those that have struck least and can strike now: a short run is to have met all.
    void next() {
        timer_.expires_after(std::chrono::milliseconds(static_cast<long>(lots_.between(600, 1200))));
        timer_.async_wait([this](error_code ec) {
            if (ec || end_ == 0) return;
            std::vector<std::pair<std::size_t, std::uint64_t>> order;
            for (const auto& [name, what] : table_) order.emplace_back(struck_[name], lots_.below(1 << 20));
            std::vector<std::size_t> picks(table_.size());
            std::iota(picks.begin(), picks.end(), 0);
            std::sort(picks.begin(), picks.end(),
                      [&](std::size_t a, std::size_t b) { return order[a] < order[b]; });
            for (const std::size_t pick : picks)
                if (table_[pick].second()) {
                    ++struck_[table_[pick].first];
                    break;
                }
            next();
        });
    }
    // What proves most comes more often: a machine that can't renew while its command acts on, and one
    // stopped past its right that goes on in the middle of its act.
    void at_holders() {
        holders_timer_.expires_after(std::chrono::milliseconds(static_cast<long>(lots_.between(400, 900))));
        holders_timer_.async_wait([this](error_code ec) {
            if (ec || end_ == 0) return;
            const double lot = lots_.unit();
            if (lot < 0.5)
                struck_["machine stopped"] += stop_acting(true);
            else if (lot < 0.65)
                struck_["runner alone stopped"] += stop_acting(false);
            else
                struck_["machine cut off"] += cut_acting();
            at_holders();
        });
    }
    void later(Millis after, std::function<void()> what) {
        timers_.emplace_back(io_);
        timers_.back().expires_after(std::chrono::milliseconds(static_cast<long>(after)));
        timers_.back().async_wait([what = std::move(what)](error_code ec) {
            if (!ec) what();
        });
    }
    std::optional<std::size_t> any_keeper() { return lots_.below(fleet_.options().keepers); }

    bool kill(std::optional<std::size_t> k) {
        if (!k || !fleet_.keeper_runs(*k)) return false;
        fleet_.kill_keeper(*k);
        later(lots_.between(100, 1500), [this, k = *k] { fleet_.start_keeper(k); });
        return true;
    }
    bool lose(bool wholly) {
        const auto k = any_keeper();
        if (!k || !fleet_.keeper_runs(*k) || !fleet_.others_whole(*k)) return false;
        fleet_.kill_keeper(*k);
        wholly ? fleet_.wipe_keeper(*k) : fleet_.spoil_keeper(*k);
        later(lots_.between(50, 300), [this, k = *k] { fleet_.start_keeper(k); });
        return true;
    }
    bool stop(std::optional<std::size_t> k) {
        if (!k || !fleet_.keeper_runs(*k)) return false;
        fleet_.stop_keeper(*k, true);
        later(lots_.between(300, 1200), [this, k = *k] { fleet_.stop_keeper(k, false); });
        return true;
    }
    bool cut(std::optional<std::size_t> k, bool in, bool out, bool keepers_only) {
        if (!k) return false;
        const std::string name = "keeper-" + std::to_string(*k);
        const auto hold = [this, name, in, out, keepers_only](bool on) {
            fleet_.links().set(
                [&](const std::string& link) {
                    return link.ends_with(">" + name) && (!keepers_only || link.starts_with("keeper"));
                },
                [&](LinkFaults& f) {
                    if (in) f.hold_there = on;
                    if (out) f.hold_back = on;
                });
            fleet_.links().set([&](const std::string& link) { return link.starts_with(name + ">"); },
                               [&](LinkFaults& f) {
                                   if (out) f.hold_there = on;
                                   if (in) f.hold_back = on;
                               });
        };
        hold(true);
        later(lots_.between(300, 1200), [hold] { hold(false); });
        return true;
    }
    bool split() {
        std::set<std::string> side;
        for (std::size_t k = 0; k < fleet_.options().keepers; ++k)
            if (lots_.chance(0.5)) side.insert("keeper-" + std::to_string(k));
        for (std::size_t m = 0; m < fleet_.options().machines; ++m)
            if (lots_.chance(0.5)) side.insert("machine-" + std::to_string(m));
        const auto hold = [this, side](bool on) {
            fleet_.links().set(
                [&](const std::string& link) {
                    const auto at = link.find('>');
                    return side.count(link.substr(0, at)) != side.count(link.substr(at + 1));
                },
                [&](LinkFaults& f) { f.hold_there = f.hold_back = on; });
        };
        hold(true);
        later(lots_.between(300, 1200), [hold] { hold(false); });
        return true;
    }
    bool lossy() {
        const auto all = [](const std::string&) { return true; };
        fleet_.links().set(all, [&](LinkFaults& f) {
            f.lost = lots_.between(0, 0.4), f.doubled = lots_.between(0, 0.4),
            f.swapped = lots_.between(0, 0.4);
        });
        later(lots_.between(500, 1200), [this, all] {
            fleet_.links().set(all, [](LinkFaults& f) { f.lost = f.doubled = f.swapped = 0; });
        });
        return true;
    }
    // Each way by itself: a right counted from its answer would run long where that alone is slow.
    bool slow() {
        const auto all = [](const std::string&) { return true; };
        fleet_.links().set(all, [&](LinkFaults& f) {
            f.delay_there = lots_.chance(0.4) ? lots_.between(5, 100) : 0;
            f.delay_back = lots_.chance(0.4) ? lots_.between(5, 350) : 0;
        });
        later(lots_.between(500, 1200), [this, all] {
            fleet_.links().set(all, [](LinkFaults& f) { f.delay_there = f.delay_back = 0; });
        });
        return true;
    }
    // From all keepers, so that its right runs out while it acts; sometimes after its answers have been slow.
    bool cut_acting() {
        const auto m = fleet_.acting(lots_.below(fleet_.options().tasks));
        if (!m || !fleet_.leader()) return false;
        const auto its = [name = "machine-" + std::to_string(*m) + ">"](const std::string& link) {
            return link.starts_with(name);
        };
        const auto cut = [this, its] {
            fleet_.links().set(its, [](LinkFaults& f) { f.hold_there = f.hold_back = true; });
            later(lots_.between(1, 2.5) * fleet_.options().length,
                  [this, its] { fleet_.links().set(its, [](LinkFaults& f) { f = {}; }); });
        };
        if (lots_.chance(0.5)) {
            fleet_.links().set(its, [&](LinkFaults& f) { f.delay_back = 350; });
            later(lots_.between(400, 900), cut);
        } else {
            cut();
        }
        return true;
    }
    bool reset() {
        return fleet_.links().reset([&](const std::string&) { return lots_.chance(0.3); }) > 0;
    }
    bool reset_inside() {
        return fleet_.links().reset_after([&](const std::string&) { return lots_.chance(0.3); },
                                          1 + lots_.below(400)) > 0;
    }
    bool answers_lost() {
        const auto holders = [](const std::string& link) { return link.starts_with("machine"); };
        fleet_.links().set(holders, [&](LinkFaults& f) { f.hold_back = lots_.chance(0.7); });
        later(lots_.between(300, 1200),
              [this, holders] { fleet_.links().set(holders, [](LinkFaults& f) { f.hold_back = false; }); });
        return true;
    }
    bool stop_acting(bool all) {
        if (!fleet_.leader()) return false;  // nobody would succeed it: nothing would be tried
        const std::size_t first = lots_.below(fleet_.options().tasks);
        for (std::size_t t = 0; t < fleet_.options().tasks; ++t)
            if (const auto m = fleet_.acting((first + t) % fleet_.options().tasks)) {
                fleet_.stop_machine(*m, all, lots_.between(1.5, 3) * fleet_.options().length);
                return true;
            }
        return false;
    }
    bool kill_machine() {
        const auto m = fleet_.acting(lots_.below(fleet_.options().tasks));
        if (!m) return false;
        fleet_.kill_machine(*m);
        return true;
    }
    bool majority_down() {
        const std::size_t most = fleet_.options().keepers / 2 + 1;
        std::size_t down = 0;
        for (std::size_t k = 0; k < fleet_.options().keepers && down < most; ++k) {
            if (!fleet_.keeper_runs(k)) continue;
            fleet_.kill_keeper(k);
            later(lots_.between(300, 1800), [this, k] { fleet_.start_keeper(k); });
            ++down;
        }
        return down == most;
    }

    asio::io_context& io_;
    LeaseFleet& fleet_;
    sim::Stream lots_;
    Millis end_;
    asio::steady_timer timer_, holders_timer_;
    std::vector<std::pair<std::string, Fault>> table_;
    std::map<std::string, std::size_t> struck_;
    std::list<asio::steady_timer> timers_;
};

}  // namespace

Result leases(const Run& run) {
    // Quick: until enough has struck to prove something, but not before 22 s and not beyond 34 s.
    const Millis length = run.quick ? 22000 : 300000, most = run.quick ? 34000 : 300000;
    const double stale_least = run.quick ? 10 : 50, struck_least = run.quick ? 1 : 5;
    asio::io_context io(1);
    const Clock clock;
    LeaseFleet::Options options;
    options.seed = run.seed;
    LeaseFleet fleet(io, clock, options);
    Troubles troubles(io, fleet, run.seed, length);
    std::list<asio::steady_timer> timers;
    const auto at = [&](Millis when, std::function<void()> what) {
        timers.emplace_back(io);
        timers.back().expires_after(std::chrono::milliseconds(static_cast<long>(when)));
        timers.back().async_wait([what = std::move(what)](error_code ec) {
            if (!ec) what();
        });
    };
    Millis healed = 0, led_after = -1, held_after = -1;
    std::set<std::string> digests;
    std::size_t heard = 0, voters = 0;
    // After the troubles: by events, as far as there are any, and within a guard.
    const std::function<void()> settled = [&] {
        const Millis now = clock.now();
        if (led_after < 0 && fleet.leader()) led_after = now - healed;
        bool all = fleet.leader().has_value();
        for (std::size_t t = 0; t < options.tasks; ++t) all = all && now - fleet.quiet_since(t) < 200;
        if (all && held_after < 0) held_after = now - healed;
        digests.clear(), heard = voters = 0;
        std::set<std::uint64_t> applied;
        for (std::size_t k = 0; k < options.keepers; ++k)
            if (const auto* said = fleet.status(k)) {
                ++heard;
                applied.insert(said->value("applied", 0ULL));
                digests.insert(said->value("digest", ""));
                if (fleet.leader() == k)
                    for (const auto& member : (*said)["members"]) voters += member.value("voter", false);
            }
        const bool equal = applied.size() == 1 && heard == options.keepers && voters == options.keepers;
        if ((held_after >= 0 && equal) || now > healed + 20000) return io.stop();
        at(50, settled);
    };
    const Millis began = clock.now() + 2000;
    fleet.start();
    at(2000, [&] { troubles.start(); });
    const std::function<void()> enough = [&] {
        bool all = static_cast<double>(fleet.record().refused) >= stale_least;
        for (const std::string& name : troubles.names()) all = all && troubles.count(name) >= struck_least;
        if (!all && clock.now() < began + most) return at(200, enough);
        troubles.over();
        // All that was begun has ended by then; what is left of it is healed.
        at(3000, [&] {
            fleet.links().heal();
            for (std::size_t k = 0; k < options.keepers; ++k)
                fleet.stop_keeper(k, false), fleet.start_keeper(k);
            healed = clock.now();
            settled();
        });
    };
    at(2000 + length, enough);
    io.run();
    // Who is not as all others at the end is shown with what it said.
    std::vector<std::string> odd;
    if (voters != options.keepers || digests.size() != 1)
        for (std::size_t k = 0; k < options.keepers; ++k)
            odd.push_back("keeper-" + std::to_string(k) + ": " +
                          (fleet.status(k) ? fleet.status(k)->dump() : "no answer") + "\n" +
                          fleet.last_words(k));
    const int worst = fleet.stop();
    const auto& record = fleet.record();
    const auto& links = fleet.links().counts();
    Result result;
    result.columns({"acts", "stale, refused", "notes", "holders", "frames", "lost", "doubled", "swapped",
                    "resets", "longest gap s"});
    result.row({std::to_string(record.acts), std::to_string(record.refused), std::to_string(record.notes),
                std::to_string(record.holders), std::to_string(links.frames), std::to_string(links.lost),
                std::to_string(links.doubled), std::to_string(links.swapped), std::to_string(links.resets),
                shown(record.longest_gap / 1000, 1)});
    for (const auto& [code, count] : fleet.ends())
        result.note("`lease run` ended with " + std::to_string(code) + ": " + std::to_string(count));
    for (const std::string& what : odd) result.note(what);
    for (const std::string& what : record.found) result.note("found: " + what);
    result.at_least("notes left", static_cast<double>(record.notes), run.quick ? 100 : 1000);
    result.at_least("reads of all notes, none older than what was told", static_cast<double>(record.reads),
                    run.quick ? 50 : 500);
    result.figure("stale acts, refused, beside a stall of this machine", static_cast<double>(record.stalled));
    result.figure("ms until somebody led, after all was healed", led_after);
    result.figure("ms until every task was acted on, after all was healed", held_after);
    result.at_most("acts or notes of two holders at once, or out of order, that no stop explains",
                   static_cast<double>(record.unexplained), 0);
    result.at_least("stale acts refused by the gate", static_cast<double>(record.refused),
                    run.quick ? 10 : 50);
    result.at_least("holders, one after another", static_cast<double>(record.holders), run.quick ? 20 : 150);
    result.at_most("datagrams that are no acts", static_cast<double>(record.bad), 0);
    result.at_least("every task is held again after the troubles", held_after >= 0, 1);
    result.at_least("keepers with a vote at the end", static_cast<double>(voters),
                    static_cast<double>(options.keepers));
    result.at_most("books that keepers hold at the end", static_cast<double>(digests.size()), 1);
    result.at_most("worst exit code of a keeper", worst, 0);
    for (const std::string& name : troubles.names())
        result.at_least("struck: " + name, troubles.count(name), struck_least);
    return result;
}

}  // namespace cobaltshift::lab
