#include "lab/demo.hpp"

#include <iostream>
#include <sstream>

#include "lab/fleet.hpp"

namespace cobaltshift::lab {

Result demo(const Run& run) {
    asio::io_context io(1);
    const Clock clock;
    Fleet::Options options;
    options.seed = run.seed;
    Fleet fleet(io, clock, options);
    Load::Options what;
    what.rate = 300;
    what.seed = run.seed;
    Load load(io, clock, what);
    fleet.on_front([&](std::size_t number, tcp::endpoint at) { load.front(number, at); });
    const Millis length = run.quick ? 5000 : 10000;
    asio::steady_timer fall(io), guard(io);
    bool finished = false;
    load.when_over([&] { finished = true, io.stop(); });
    fleet.start([&] {
        load.run(length);
        fall.expires_after(std::chrono::milliseconds(static_cast<long>(length * 0.25)));
        fall.async_wait([&](error_code ec) {
            if (ec) return;
            for (const std::size_t server : {0, 4, 8}) fleet.crash(server, length * 0.25);
        });
    });
    guard.expires_after(std::chrono::seconds(40));
    guard.async_wait([&](error_code ec) {
        if (!ec) io.stop();
    });
    io.run();
    const int exit_code = fleet.stop();

    Result result;
    result.columns({"class", "asked", "in time", "late", "refused", "failed", "no answer", "attempts",
                    "p50 ms", "p99 ms"});
    std::size_t unanswered = 0, asked = 0;
    for (const auto& [name, t] : load.tallies()) {
        const auto count = [](std::size_t n) { return std::to_string(n); };
        result.row({name, count(t.asked), count(t.in_time), count(t.late), count(t.refused), count(t.failed),
                    count(t.unanswered), count(t.tries), shown(t.times.percentile(0.5)),
                    shown(t.times.percentile(0.99))});
        unanswered += t.unanswered;
        asked += t.asked;
    }
    result.at_least("all asked within the guard", finished, 1);
    result.at_most("doubled effects", static_cast<double>(fleet.ledger().doubled()), 0);
    result.at_most("requests without an answer", static_cast<double>(unanswered), 0);
    if (run.quick)  // verdicts of tests rest on counts: a busy machine is late
        result.figure("share served in time", load.in_time());
    else
        result.at_least("share served in time", load.in_time(), 0.9);
    result.at_most("work sent to a cold server, against what fells it", fleet.cold_peak(), 1);
    result.at_most("forwarders' worst exit code", exit_code, 0);
    result.note("3 of 12 servers died at a quarter of the time and came back cold a quarter later; " +
                std::to_string(fleet.attempts()) + " attempts at servers for " + std::to_string(asked) +
                " requests.");
    return result;
}

int up(std::size_t servers, std::size_t forwarders, std::uint64_t seed) {
    asio::io_context io(1);
    const Clock clock;
    asio::signal_set stop(io, SIGTERM, SIGINT);
    Fleet::Options options;
    options.servers = servers;
    options.forwarders = forwarders;
    options.seed = seed;
    Fleet fleet(io, clock, options);
    fleet.start([&] {
        const auto text = [](const tcp::endpoint& at) {
            std::ostringstream out;
            out << at;
            return out.str();
        };
        nlohmann::json line{{"discovery", fleet.discovery().at()}};
        for (std::size_t i = 0; i < fleet.forwarders(); ++i)
            line["forwarders"].push_back(text(fleet.front(i)));
        for (std::size_t i = 0; i < fleet.servers(); ++i)
            line["servers"].push_back(text(fleet.server(i).at()));
        std::cout << line.dump() << std::endl;
    });
    stop.async_wait([&](error_code, int) { io.stop(); });
    io.run();
    return fleet.stop() == 0 ? 0 : 1;
}

}  // namespace cobaltshift::lab
