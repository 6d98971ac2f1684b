#include "lab/planners.hpp"

#include <list>

#include "lab/fleet.hpp"
#include "lab/planner_children.hpp"
#include "names.hpp"
#include "plan/codec.hpp"
#include "plan/meter.hpp"
#include "plan_io/client.hpp"

namespace cobaltshift::lab {

namespace {

struct Seen {
    std::map<std::string, Tally> tallies;
    double in_time = 0, cold_peak = 0, p50 = 0, p99 = 0;
    std::size_t doubled = 0, unanswered = 0, asked = 0, attempts = 0, kills = 0;
    int worst_exit = 0;
    bool finished = false;
};

Seen play(const Run& run, Millis length, bool with_planners) {
    asio::io_context io(1);
    const Clock clock;
    Folder folder;
    PlannerChildren planners(io, folder);
    Fleet::Options options;
    options.servers = 16;
    options.forwarders = 40;
    options.seed = run.seed;
    options.sockets = 256;
    if (with_planners) options.settings_file = planners.forwarders_settings();
    Fleet fleet(io, clock, options);
    Load::Options what;
    what.rate = 400;
    what.seed = run.seed;
    Load load(io, clock, what);
    fleet.on_front([&](std::size_t number, tcp::endpoint at) { load.front(number, at); });
    kelplb::Random random(run.seed * 7 + 1);
    std::list<asio::steady_timer> timers;
    const auto at = [&](Millis when, std::function<void()> what_then) {
        timers.emplace_back(io);
        timers.back().expires_after(std::chrono::milliseconds(static_cast<long>(when)));
        timers.back().async_wait([what_then](error_code ec) {
            if (!ec) what_then();
        });
    };
    const auto start = [&](std::size_t p) { planners.start(p, fleet.discovery().at(), options.server); };
    const auto bounce = [&](std::size_t p, Millis when, Millis down) {
        at(when, [&planners, p] { planners.kill(p); });
        at(when + down, [start, p] { start(p); });
    };
    Seen seen;
    load.when_over([&] { seen.finished = true, io.stop(); });
    if (with_planners)
        for (std::size_t p = 0; p < kPlanners; ++p) start(p);
    fleet.start([&] {
        load.run(length);
        for (const std::size_t server : {1, 6, 11, 14})
            at(length * 0.3, [&fleet, server, length] { fleet.crash(server, length * 0.15); });
        for (const std::size_t server : {2, 9}) {
            at(length * 0.5, [&fleet, server] { fleet.server(server).fail_share(0.7); });
            at(length * 0.8, [&fleet, server] { fleet.server(server).fail_share(0); });
        }
        for (const std::size_t server : {3, 4, 10})
            for (Millis t = length * 0.15; t < length * 0.9; t += 2500) {
                at(t, [&fleet, server] { fleet.server(server).freeze(true); });
                at(t + 300, [&fleet, server] { fleet.server(server).freeze(false); });
            }
        if (!with_planners) return;
        for (std::size_t p = 0; p < kPlanners; ++p)
            for (Millis t = 2000 + 6000 * random.unit(); t < length * 0.85; t += 5000 + 6000 * random.unit())
                bounce(p, t, 300 + 2500 * random.unit());
        for (const double when : {0.4, 0.7})  // all at once
            for (std::size_t p = 0; p < kPlanners; ++p) bounce(p, length * when, 3000);
    });
    asio::steady_timer guard(io);
    guard.expires_after(std::chrono::milliseconds(static_cast<long>(length + 30000)));
    guard.async_wait([&](error_code ec) {
        if (!ec) io.stop();
    });
    io.run();
    seen.worst_exit = std::max(fleet.stop(), planners.stop());
    seen.tallies = load.tallies();
    seen.in_time = load.in_time();
    seen.cold_peak = fleet.cold_peak();
    seen.doubled = fleet.ledger().doubled();
    seen.attempts = fleet.attempts();
    seen.kills = planners.kills();
    const Tally all = load.all();
    for (const auto& [name, t] : seen.tallies) {
        seen.unanswered += t.unanswered, seen.asked += t.asked;
    }
    seen.p50 = all.times.percentile(0.5), seen.p99 = all.times.percentile(0.99);
    return seen;
}

}  // namespace

Result planners(const Run& run) {
    const Millis length = run.quick ? 15000 : 120000;
    const Seen without = play(run, length, false), with = play(run, length, true);
    Result result;
    result.columns(
        {"way", "asked", "in time %", "attempts", "p50 ms", "p99 ms", "cold peak", "planners killed"});
    for (const auto& [name, s] :
         {std::pair<const char*, const Seen&>{"without", without}, {"with planners", with}})
        result.row({name, std::to_string(s.asked), shown(100 * s.in_time, 2), std::to_string(s.attempts),
                    shown(s.p50, 1), shown(s.p99, 1), shown(s.cold_peak, 3), std::to_string(s.kills)});
    result.figure("in time without", without.in_time);
    result.figure("in time with", with.in_time);
    result.at_least("all ended within the guard", without.finished && with.finished, 1);
    result.at_most("requests without a final answer", static_cast<double>(with.unanswered), 0);
    result.at_most("doubled effects", static_cast<double>(with.doubled), 0);
    result.at_most("work sent to a cold server, over what fells it", with.cold_peak, 1);
    if (run.quick)  // verdicts of tests rest on counts: a busy machine is late
        result.figure("median time of an answer, over that without planners", with.p50 / without.p50);
    else
        result.at_most("median time of an answer, over that without planners", with.p50 / without.p50, 1.15);
    result.at_least("planners killed", static_cast<double>(with.kills), 2 * kPlanners);
    result.at_most("worst exit code", with.worst_exit, 0);
    return result;
}

Result planner_cost(const Run& run) {
    Result result;
    result.columns(
        {"forwarders", "reports/s", "plans/s", "CPU %", "MB", "bytes/s each, up", "bytes/s each, down"});
    std::vector<double> cpu;
    const std::vector<std::size_t> sizes =
        run.quick ? std::vector<std::size_t>{50, 100} : std::vector<std::size_t>{100, 500, 1000, 2000};
    for (const std::size_t size : sizes) {
        asio::io_context io(1);
        const Clock clock;
        Folder folder;
        const std::string secret = folder.write("secret", kLabSecret);
        DiscoveryService discovery(io);
        std::vector<kelplb::ServerInfo> servers;
        for (int i = 0; i < 32; ++i) {
            const std::string name = "archive-" + std::to_string(i);
            discovery.say(listed(name, "127.0.0.1:1", "hall-a"));
            servers.push_back(
                {server_number(name, [](ServerId) { return false; }), 0, 0, kelplb::Phase::on, 0, 1});
        }
        const tcp::endpoint at = free_address(io);
        const std::string file =
            folder.write("planner.toml", "[planner]\nlisten = \"" + text_of(at) + "\"\ndiscovery = \"" +
                                             discovery.at() + "\"\nsecret_file = \"" + secret + "\"\n");
        std::size_t up = 0, down = 0;
        std::vector<plan::PlanId> held(size);
        std::vector<std::unique_ptr<plan::Meter>> meters;
        std::vector<std::unique_ptr<plan::Client>> clients;
        kelplb::Random random(run.seed);
        Child child(io, {beside("cobaltshift"), {"planner", "--settings", file}, {}}, [&](tcp::endpoint) {
            plan::ClientSettings settings;
            settings.planners = {at};
            for (std::size_t i = 0; i < size; ++i) {
                meters.push_back(std::make_unique<plan::Meter>("f" + std::to_string(i), 1, 3, 1));
                plan::Meter& meter = *meters.back();
                meter.listed(servers, true);
                clients.push_back(std::make_unique<plan::Client>(
                    io, clock, "f" + std::to_string(i), run.seed * 10000 + i, settings,
                    plan::Secret::from_file(secret),
                    plan::Client::Handlers{[&, i](std::size_t) {
                                               for (int n = 0; n < 10; ++n) {  // ten requests a second each
                                                   const ServerId s = servers[random.below(32)].id;
                                                   meters[i]->arrived(0), meters[i]->sent(s);
                                                   meters[i]->ended(s, kelplb::Outcome::completed,
                                                                    5 + 40 * random.unit(), false);
                                               }
                                               plan::Report report = meters[i]->report(0, {});
                                               up += encode(report).size();
                                               return report;
                                           },
                                           [&, i](std::size_t, std::uint64_t n, bool full) {
                                               meters[i]->acknowledged(0, n, full);
                                           },
                                           [&, i](std::size_t, Millis, const plan::Plan& plan) {
                                               held[i] = plan.id;
                                               down += encode(plan).size();
                                               return true;
                                           },
                                           [&, i](std::size_t) { return held[i]; }}));
            }
        });
        const double seconds = run.quick ? 4 : 15;
        double cpu_before = 0;
        std::size_t up_before = 0, down_before = 0, reports_before = 0, plans_before = 0;
        const auto sum = [&](auto of) {
            std::size_t n = 0;
            for (const auto& client : clients) n += of(client->counts());
            return n;
        };
        const auto reports = [](const plan::Client::Counts& c) { return c.reports; };
        const auto plans = [](const plan::Client::Counts& c) { return c.plans; };
        asio::steady_timer begin(io), end(io);
        begin.expires_after(std::chrono::seconds(3));
        begin.async_wait([&](error_code) {
            cpu_before = child.cpu_seconds();
            up_before = up, down_before = down, reports_before = sum(reports), plans_before = sum(plans);
            end.expires_after(std::chrono::milliseconds(static_cast<long>(seconds * 1000)));
            end.async_wait([&](error_code) { io.stop(); });
        });
        io.run();
        const double used = (child.cpu_seconds() - cpu_before) / seconds;
        const double each = static_cast<double>(size) * seconds;
        const double got = static_cast<double>(sum(reports) - reports_before) / seconds;
        cpu.push_back(used);
        result.row({std::to_string(size), shown(got, 0),
                    shown(static_cast<double>(sum(plans) - plans_before) / seconds), shown(100 * used, 1),
                    shown(child.resident_mb(), 1), shown(static_cast<double>(up - up_before) / each),
                    shown(static_cast<double>(down - down_before) / each)});
        const std::string n = std::to_string(size);
        result.figure("cpu at " + n, used);
        result.figure("MB at " + n, child.resident_mb());
        result.at_least("reports a second for each forwarder, of " + n, got / static_cast<double>(size), 0.8);
        clients.clear();
    }
    const double grown = cpu.back() / std::max(0.005, cpu.front());
    result.at_most("growth of the cost over growth of the fleet",
                   grown / (static_cast<double>(sizes.back()) / static_cast<double>(sizes.front())), 1.5);
    result.at_most("CPU of one core at the largest", cpu.back(), 1);
    return result;
}

}  // namespace cobaltshift::lab
