#include "lab/lease_cost.hpp"

#include <algorithm>

#include "lab/lease_fleet.hpp"
#include "lease_io/rights.hpp"

namespace cobaltshift::lab {

namespace {

// Runs the loop until `what` holds or the time is over; how long it took.
Millis until(asio::io_context& io, const Clock& clock, Millis most, const std::function<bool()>& what) {
    const Millis from = clock.now();
    while (!what() && clock.now() < from + most) {
        io.restart();
        io.run_one_for(std::chrono::milliseconds(5));
    }
    return clock.now() - from;
}

struct Numbers {
    double syncs = 0, entries = 0, renewals = 0, cpu = 0;
};
Numbers of_leader(const LeaseFleet& fleet) {
    Numbers n;
    const auto leader = fleet.leader();
    if (!leader) return n;
    const auto& said = *fleet.status(*leader);
    n.syncs = said.value("syncs", 0.0), n.entries = said.value("commit", 0.0);
    n.renewals = said.value("renewals", 0.0), n.cpu = fleet.keeper_cpu(*leader);
    return n;
}

double part(double a, double b) { return b > 0 ? a / b : 0; }

}  // namespace

Result lease_cost(const Run& run) {
    asio::io_context io(1);
    const Clock clock;
    LeaseFleet::Options options;
    options.keepers = 3, options.machines = 0, options.tasks = 0;
    options.heartbeat = 100, options.election = 1000;  // the settings' own
    options.margin = 500;
    options.seed = run.seed;
    LeaseFleet fleet(io, clock, options);
    fleet.start();
    Result result;
    result.columns({"what", "value"});
    const auto row = [&](const std::string& what, double value, int digits) {
        result.row({what, shown(value, digits)});
        result.figure(what, value);
    };
    until(io, clock, 20000, [&] { return fleet.leader().has_value(); });
    const auto wait = [&](Millis ms) { until(io, clock, ms, [] { return false; }); };

    const Millis idle = run.quick ? 2000 : 10000;
    Numbers before = of_leader(fleet);
    wait(idle);
    Numbers after = of_leader(fleet);
    row("CPU of an idle leader, % (it answers a status question each 50 ms)",
        100 * (after.cpu - before.cpu) / (idle / 1000), 2);
    row("syncs of an idle leader", after.syncs - before.syncs, 0);

    // Rights: gained at once by ten processes' worth of holders, then renewed for a while.
    const std::size_t tasks = run.quick ? 1000 : 10000, holders = 10;
    constexpr Millis kLength = 10000;
    std::vector<std::unique_ptr<lease::LeaseClient>> rights;
    before = of_leader(fleet);
    for (std::size_t h = 0; h < holders; ++h) {
        rights.push_back(
            std::make_unique<lease::LeaseClient>(io, fleet.settings(), "holder-" + std::to_string(h)));
        for (std::size_t t = h; t < tasks; t += holders)
            rights[h]->want("task-" + std::to_string(t), kLength, true);
    }
    const auto gained = [&] {
        std::uint64_t sum = 0;
        for (const auto& one : rights) sum += one->counts().gained;
        return sum;
    };
    const Millis took = until(io, clock, 60000, [&] { return gained() >= tasks; });
    wait(100);
    after = of_leader(fleet);
    row("tasks", static_cast<double>(tasks), 0);
    row("ms until all were held", took, 0);
    row("rights gained a second", part(1000 * static_cast<double>(gained()), took), 0);
    row("entries a sync, leader", part(after.entries - before.entries, after.syncs - before.syncs), 1);
    const Millis steady = run.quick ? 5000 : 20000;
    before = of_leader(fleet);
    wait(steady);
    after = of_leader(fleet);
    row("renewals a second", (after.renewals - before.renewals) / (steady / 1000), 0);
    row("CPU of the leader meanwhile, %", 100 * (after.cpu - before.cpu) / (steady / 1000), 1);
    row("syncs of the leader meanwhile", after.syncs - before.syncs, 0);
    std::uint64_t ended = 0;
    for (const auto& one : rights) ended += one->counts().ended + one->counts().lost;
    result.at_most("rights that ended meanwhile", static_cast<double>(ended), 0);
    result.at_least("rights gained", static_cast<double>(gained()), static_cast<double>(tasks));
    rights.clear();

    const std::size_t kills = run.quick ? 5 : 100;
    std::vector<Millis> without;
    for (std::size_t k = 0; k < kills; ++k) {
        // All three there and level first: else it is another's return that is measured.
        until(io, clock, 20000, [&] {
            const auto leader = fleet.leader();
            return leader && fleet.others_whole(*leader);
        });
        const auto leader = fleet.leader();
        if (!leader) break;
        fleet.kill_keeper(*leader);
        without.push_back(until(io, clock, 20000, [&] { return fleet.leader().has_value(); }));
        fleet.start_keeper(*leader);
    }
    std::sort(without.begin(), without.end());
    result.at_least("leaders killed", static_cast<double>(without.size()), static_cast<double>(kills));
    if (!without.empty()) {
        row("ms without a leader after a kill, median (seen each 50 ms)", without[without.size() / 2], 0);
        row("ms without a leader after a kill, worst", without.back(), 0);
    }
    result.at_most("worst exit code of a keeper", fleet.stop(), 0);
    return result;
}

}  // namespace cobaltshift::lab
