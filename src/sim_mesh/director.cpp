// Carries out a scenario's commands on a World, and plays it to its end.
#include <algorithm>

#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

namespace {

constexpr Millis kBegin = 1000;  // of virtual time; a scenario's 0

class Director {
public:
    Director(World& world, const Scenario& scenario) : world_(world), scenario_(scenario) {
        for (const Traffic& traffic : scenario.traffic) world.clients.traffic(traffic, kBegin);
        for (const Timed& timed : scenario.events)
            world.time.at(kBegin + timed.at, [this, &timed] {
                if (timed.on_ack)
                    waiting_.push_back(&timed);
                else
                    carry_out(timed, world_.leader());
            });
        world.operators.on_ack = [this](Ip by) {
            for (const Timed* timed : std::exchange(waiting_, {}))
                world_.time.after(0, [this, timed, by] { carry_out(*timed, by); });
        };
    }
    bool all_done() const { return waiting_.empty(); }

private:
    void carry_out(const Timed& timed, Ip leader) {
        if (leader != 0) leader_ = leader;  // else who led last
        for (const Command& command : timed.commands) carry_out(command);
    }

    std::vector<Ip> targets(const Command& command) const {
        const std::string& word = command.words.at(0);
        const std::vector<Ip> hubs = world_.hubs(), proxies = world_.proxy_ips();
        const std::size_t number = static_cast<std::size_t>(command.which);
        std::vector<Ip> all;
        if (word == "leader" && leader_ != 0) return {leader_};
        if (word == "hubs") return hubs;
        if (word == "proxies") return proxies;
        if (word == "half") return {proxies.begin(), proxies.begin() + static_cast<long>(proxies.size() / 2)};
        if (word == "others" || word == "follower")
            for (const Ip ip : hubs)
                if (ip != leader_ && (word == "others" || all.empty())) all.push_back(ip);
        if (word == "hub" && number < hubs.size()) return {hubs[number]};
        if (word == "proxy" && number < proxies.size()) return {proxies[number]};
        if (word == "service")
            for (const Ip ip : proxies)
                if (world_.service_of(ip) == "s" + std::to_string(number)) all.push_back(ip);
        if (all.empty()) throw ScriptError(command.where + ": there is no " + word + " at this time");
        return all;
    }

    void after(double seconds, Task what) { world_.time.after(seconds * 1000, std::move(what)); }

    void carry_out(const Command& c) {
        const double lasts = c.number("for", 1);
        const std::string& verb = c.verb;
        if (verb == "put" || verb == "patch") return order(c);
        if (verb == "resend")
            return world_.operators.resend(static_cast<std::uint64_t>(c.number("edition", 0)));
        if (verb == "loss") return loss(std::stod(c.words.at(0)), lasts);
        for (const Ip ip : targets(c)) {
            world_.strike(verb.c_str());
            if (verb == "kill" || verb == "power" || verb == "wipe") down(c, ip, lasts);
            if (verb == "freeze") freeze(ip, lasts);
            if (verb == "replace") replace(ip);
            if (verb == "disk") disk(c, ip, lasts);
            if (verb == "cut") cut(c, ip, lasts);
            // Nothing of what is played reads a time of day: there is none to step. Its processes are in
            // trouble.
            if (verb == "clock") world_.trouble(ip, true), world_.trouble(ip, false);
            if (verb == "sigterm") sigterm(ip, lasts);
            if (verb == "close") close(c, ip, lasts);
            if (verb == "crash") crash(ip, lasts);
            if (verb == "lose") lose(c, ip, lasts);
            if (verb == "reset") reset(c, ip);
        }
        if (verb == "release") release(c);
    }

    void order(const Command& c) {
        Operators::Ask ask;
        ask.edition = static_cast<std::uint64_t>(c.number("edition", 0));
        ask.base_given = c.has("base");
        ask.base = static_cast<std::uint64_t>(c.number("base", 0));
        ask.who = static_cast<unsigned>(c.number("operator", 1));
        ask.routes = static_cast<std::size_t>(c.number("routes", 0));
        ask.patch = c.verb == "patch";
        ask.valid = !c.has("invalid");
        ask.swap = c.has("swap");
        const std::vector<Ip> hubs = world_.hubs();
        if (c.has("via")) ask.via = hubs.at(static_cast<std::size_t>(c.number("via", 0)) % hubs.size());
        world_.operators.put(ask);
    }

    void loss(double share, double lasts) {
        world_.net.loss = share;
        std::vector<Ip> all = world_.hubs();
        for (const Ip ip : world_.proxy_ips()) all.push_back(ip);
        for (const Ip ip : all) world_.trouble(ip, true);
        after(lasts, [this, all] {
            world_.net.loss = 0;
            for (const Ip ip : all) world_.trouble(ip, false);
        });
    }

    void down(const Command& c, Ip ip, double lasts) {
        if (c.verb != "kill") world_.rules.closing_fault = true;
        world_.trouble(ip, true);
        if (c.verb == "wipe")
            world_.wipe(ip);
        else
            world_.end(ip, c.verb == "power");
        after(lasts, [this, ip, power = c.verb == "power"] {
            world_.start(ip, false);
            if (power && !world_.net.machine(ip).hub) world_.start_server(ip, false);
            world_.trouble(ip, false);
        });
    }
    void freeze(Ip ip, double lasts) {
        world_.trouble(ip, true);
        world_.net.freeze(ip, true);
        after(lasts, [this, ip, epoch = world_.net.machine(ip).epoch] {
            if (world_.net.machine(ip).epoch == epoch) world_.net.freeze(ip, false);
            world_.trouble(ip, false);
        });
    }
    void replace(Ip ip) {
        world_.rules.closing_fault = true;
        world_.trouble(ip, true);
        world_.trouble(ip, false);
        world_.replace_hub(ip);
    }
    void disk(const Command& c, Ip ip, double lasts) {
        const std::string how = c.words.back();
        world_.trouble(ip, true);
        Disk& disk = world_.disk(ip);
        const Millis before = disk.sync;
        if (how == "full") disk.full = true;
        if (how == "hangs") disk.hangs = true;
        if (how == "slow") disk.sync = 80;
        after(lasts, [this, ip, before] {
            Disk& disk = world_.disk(ip);
            disk.full = disk.hangs = false;
            disk.sync = before;
            world_.trouble(ip, false);
        });
    }
    void cut(const Command& c, Ip ip, double lasts) {
        const std::string from = c.has("from") ? c.options.at("from") : "all";
        const std::string way = c.has("one_way") ? c.options.at("one_way") : "both";
        std::vector<Ip> others;
        if (from != "proxies") others = world_.hubs();
        if (from != "hubs")
            for (const Ip other : world_.proxy_ips()) others.push_back(other);
        std::erase(others, ip);
        const auto set = [this, ip, others, way](bool on) {
            for (const Ip other : others) {
                if (way != "out") world_.cut(other, ip, on);  // one_way alone: it hears nobody
                if (way == "out" || way == "both") world_.cut(ip, other, on);
            }
        };
        set(true);
        after(lasts, [set] { set(false); });
    }

    // ---- Servers
    void sigterm(Ip ip, double lasts, const std::string& service = "") {
        auto* proxy = dynamic_cast<Proxy*>(world_.node(ip));
        if (!proxy) return;
        world_.trouble(ip, true);
        const std::uint64_t epoch = world_.net.machine(ip).epoch;
        world_.net.in_process(ip, epoch, [this, proxy, ip, lasts, epoch, service] {
            proxy->stop([this, ip, lasts, epoch, service, since = world_.time.now()] {
                ended_after_sigterm(ip, world_.time.now() - since);
                if (world_.net.machine(ip).epoch == epoch && world_.node(ip)) world_.end(ip, false);
                after(lasts, [this, ip, service] {
                    if (world_.node(ip)) world_.end(ip, false);  // a kill between had it started again
                    if (!service.empty()) {
                        world_.crash_server(ip);  // one that was started here meanwhile
                        world_.set_service(ip, service);
                    }
                    world_.start(ip, true);
                    world_.start_server(ip, false);
                    world_.trouble(ip, false);
                });
            });
        });
    }
    // LOST: what was read is answered first, however long that takes: by what is known of it, if it must be.
    void ended_after_sigterm(Ip ip, Millis took) {
        world_.rules.used("SIGTERM to the end", took / world_.bounds.grace);
        for (const std::string& id : world_.clients.unanswered_at(ip))
            world_.rules.accuse("LOST", id + " was read and not answered when its proxy ended");
    }
    // A planned end; then another life, `for` seconds later, or another service at this address.
    void close(const Command& c, Ip ip, double lasts) {
        Server* server = world_.server(ip);
        if (!server) return;
        const std::string service = c.has("service") ? "s" + c.options.at("service") : "";
        server->on_end = [this, ip, lasts, service] {
            world_.time.after(0, [this, ip, lasts, service] {
                world_.end_server(ip);
                if (service.empty()) return after(lasts, [this, ip] { world_.start_server(ip, false); });
                sigterm(ip, lasts, service);
            });
        };
        server->close();
    }
    void crash(Ip ip, double lasts) {
        world_.crash_server(ip);
        after(lasts, [this, ip] { world_.start_server(ip, false); });
    }
    void lose(const Command& c, Ip ip, double lasts) {
        const std::string& how = c.words.back();
        const auto kind = how == "reset"     ? Server::Loses::by_reset
                          : how == "silence" ? Server::Loses::by_silence
                          : how == "half"    ? Server::Loses::half
                          : how == "extra"   ? Server::Loses::extra
                          : how == "twice"   ? Server::Loses::twice
                          : how == "idle"    ? Server::Loses::idle
                          : how == "fails"   ? Server::Loses::fails
                          : how == "refuses" ? Server::Loses::refuses
                                             : throw ScriptError(c.where + ": loses what?");
        Millis& ill_until = world_.rules.servers_ill_until;
        ill_until = std::max(ill_until, world_.time.now() + lasts * 1000);
        if (Server* server = world_.server(ip)) server->lose(kind, c.number("share", 0.3));
        after(lasts, [this, ip] {
            if (Server* server = world_.server(ip)) server->lose(Server::Loses::nothing, 0);
        });
    }
    void reset(const Command& c, Ip ip) {
        world_.trouble(ip, true);
        for (std::size_t i = world_.net.reset_some(ip, c.number("share", 0.5)); i > 0; --i)
            world_.strike("connection reset");
        world_.trouble(ip, false);
    }
    void release(const Command& c) {
        const double each = c.number("each", 4);
        double when = 0;
        for (const Ip ip : targets(c)) {
            after(when, [this, &c, ip] { close(c, ip, 1); });
            when += each;
        }
    }

    World& world_;
    const Scenario& scenario_;
    std::vector<const Timed*> waiting_;
    Ip leader_ = 0;
};

}  // namespace

Played play(const Scenario& scenario, const Safeguards& safeguards) {
    World world(scenario.fleet, safeguards);
    Director director(world, scenario);
    const Millis end = kBegin + scenario.fleet.end, back = end + world.bounds.contact;
    world.time.at(end, [&] { world.operators.read_back(back); });
    world.time.run(back + 10);
    world.rules.tell([](Checker& c) { c.end(); });
    if (!director.all_done()) throw ScriptError(scenario.name + ": on_ack was never acknowledged");
    Played outcome;
    outcome.findings = world.rules.findings();
    outcome.sent = world.clients.sent();
    outcome.served = world.clients.served();
    outcome.acknowledged = world.operators.acknowledged();
    outcome.events = world.time.events();
    outcome.virtual_ms = back;
    outcome.statuses = world.clients.statuses();
    outcome.struck = world.struck();
    outcome.margins = world.rules.margins();
    return outcome;
}

}  // namespace cobaltshift::simmesh
