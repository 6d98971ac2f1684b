#include "sim_mesh/operator.hpp"

#include <algorithm>

#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

namespace {
constexpr Millis kSilence = 1000, kMostPause = 1500, kWatch = 250, kAckWithin = 10000;

std::string route(const std::string& name, const std::string& prefix, const char* kind,
                  const std::string& service, Millis deadline) {
    return "\"" + name + "\":{\"host\":\"shop\",\"path_prefix\":\"" + prefix + "\",\"route_kind\":\"" + kind +
           "\",\"deadline_s\":" + std::to_string(deadline / 1000) +
           ",\"target_s\":0.4,\"priority\":1,\"service\":\"" + service + "\",\"tries\":3}";
}
}  // namespace

void Operators::write(Running& running, config::Edition base) {
    Order& order = running.order;
    const Ask& ask = running.ask;
    order.base = base;
    order.edition = ask.edition != 0 ? ask.edition : newest_ + 1 + world_.draw() % 3;
    newest_ = std::max(newest_, order.edition);
    order.valid = ask.valid;
    order.mark = "/o" + std::to_string(ask.who) + "-" + config::to_text(order.edition) + "/";
    const Millis deadline = world_.fleet().deadline;
    std::string routes = route("mark", order.mark, "plain", "s0", ask.valid ? deadline : 0);
    for (std::size_t i = 0; i < ask.routes; ++i)
        routes +=
            "," + route("x" + std::to_string(i), "/x" + std::to_string(i) + "/", "plain", "s0", deadline);
    std::string services;
    const std::size_t count = world_.fleet().services;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string n = std::to_string(i), to = "s" + std::to_string(ask.swap ? (i + 1) % count : i);
        if (!ask.patch || ask.swap)
            routes += "," + route("p" + n, "/p" + n + "/", "plain", to, deadline) + "," +
                      route("r" + n, "/r" + n + "/", "registered", to, deadline);
        services += (i > 0 ? ",\"s" : "\"s") + n + "\":{\"health_path\":\"/health\",\"max_connections\":100}";
    }
    const std::string edition = "{\"edition\":\"" + config::to_text(order.edition) + "\",";
    order.body = ask.patch ? edition + "\"upsert\":{\"routes\":{" + routes + "}}}"
                           : edition + "\"routes\":{" + routes + "},\"services\":{" + services +
                                 "},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
                                 "\"header_read_s\":3,\"idle_timeout_s\":15}}";
}

void Operators::put(const Ask& ask) {
    Running running;
    running.ask = ask;
    queues_[ask.who].orders.push_back(std::move(running));
    begin(ask.who);
    if (!std::exchange(watching_, true)) watch();
}

void Operators::resend(config::Edition edition) {
    const auto at = acked_.find(edition);
    if (at == acked_.end()) return;
    Running running = at->second;
    running.again = true;
    queues_[9].orders.push_back(std::move(running));
    begin(9);
}

void Operators::begin(unsigned who) {
    Queue& queue = queues_[who];
    if (queue.busy || queue.orders.empty()) return;
    queue.busy = true;
    Running& running = queue.orders.front();
    if (!running.again) {
        write(running, running.ask.base_given ? running.ask.base : queue.known);
        world_.rules.tell([&](Checker& c) { c.ordered(running.order); });
    }
    attempt(who, running.ask.via != 0 ? running.ask.via : any_hub(), 0);
}

Ip Operators::any_hub() {
    const std::vector<Ip> hubs = world_.hubs();
    return hubs[world_.draw() % hubs.size()];
}

void Operators::attempt(unsigned who, Ip hub, int hops) {
    using Kind = control::Reply::Kind;
    const Running& running = queues_[who].orders.front();
    config::Change change;
    change.kind = running.ask.patch ? config::Change::Kind::patch : config::Change::Kind::put;
    change.if_match = running.order.base;
    change.body = running.order.body;
    auto over = std::make_shared<bool>(false);
    const auto heard = [this, who, hub, hops, over](const control::Reply& reply) {
        if (std::exchange(*over, true)) return;
        Queue& queue = queues_[who];
        const Running now = queue.orders.front();
        if (reply.kind == Kind::elsewhere && hops < 2) return attempt(who, reply.leader, hops + 1);
        if (reply.kind == Kind::elsewhere || reply.kind == Kind::unavailable) return again(who);
        if (reply.kind == Kind::taken) {
            if (!now.again) {
                ++acknowledged_;
                world_.rules.tell([&](Checker& c) { c.acknowledged(now.order); });
            }
            for (auto& [other, one] : queues_) one.known = std::max(one.known, now.order.edition);
            acked_[now.order.edition] = now;
            if (on_ack) on_ack(hub);
        } else if (now.again) {
            world_.rules.accuse("CONFIG", now.order.mark + " sent again got no 200");
        } else {
            world_.rules.tell([&](Checker& c) { c.refused(now.order); });
            if (reply.kind == Kind::stale) queue.known = std::max(queue.known, reply.edition);
        }
        done(who);
    };
    const CallPtr call = world_.net.call(
        World::kOperator, hub, 0,
        [&world = world_, change, heard](const CallPtr& c) {
            auto* node = dynamic_cast<Hub*>(world.node(c->to));
            if (!node) return;
            node->change(change, [&world, c, heard](const control::Reply& reply) {
                world.net.reply(c, [reply, heard] { heard(reply); });
            });
        },
        [heard](bool) { heard(control::Reply()); });
    world_.time.after(kSilence, [this, call, heard, over] {
        if (*over) return;
        world_.net.close(call);
        heard(control::Reply());
    });
}

void Operators::again(unsigned who) {
    Running& running = queues_[who].orders.front();
    world_.time.after(running.pause, [this, who] { attempt(who, any_hub(), 0); });
    running.pause = std::min(kMostPause, running.pause * 1.5);
}

void Operators::done(unsigned who) {
    queues_[who].orders.pop_front();
    queues_[who].busy = false;
    begin(who);
}

// The inbound's rule of acknowledgements: a proper order must not wait that long while the core is settled.
void Operators::watch() {
    for (auto& [who, queue] : queues_) {
        if (!queue.busy) continue;
        Running& running = queue.orders.front();
        running.settled_for =
            world_.rules.touch.settled(world_.time.now()) ? running.settled_for + kWatch : 0;
        if (running.order.valid && running.settled_for > kAckWithin) {
            world_.rules.accuse("ACKS", running.order.mark + " was not acknowledged");
            running.settled_for = 0;
        }
    }
    world_.time.after(kWatch, [this] { watch(); });
}

void Operators::read_back(Millis until) {
    read(until, any_hub(), 0);
    world_.time.at(
        until, [this] { world_.rules.tell([&](Checker& c) { c.read_back(read_mark_, read_edition_); }); });
}

void Operators::read(Millis until, Ip hub, int hops) {
    if (world_.time.now() >= until - 100) return;
    auto over = std::make_shared<bool>(false);
    const auto heard = [this, over, until, hops](const control::Reply& reply) {
        if (std::exchange(*over, true)) return;
        if (reply.kind == control::Reply::Kind::elsewhere && hops < 2)
            return read(until, reply.leader, hops + 1);
        if (reply.kind != control::Reply::Kind::config) return;
        read_edition_ = reply.current->edition;  // the last answer counts
        read_mark_ = mark_of(*reply.current);
    };
    const CallPtr call = world_.net.call(
        World::kOperator, hub, 0,
        [&world = world_, heard](const CallPtr& c) {
            if (auto* node = dynamic_cast<Hub*>(world.node(c->to)))
                node->read([&world, c, heard](const control::Reply& r) {
                    world.net.reply(c, [r, heard] { heard(r); });
                });
        },
        [](bool) {});
    world_.time.after(kSilence, [this, call, over, until, hops] {
        if (!*over) world_.net.close(call);
        *over = true;
        if (hops == 0) read(until, any_hub(), 0);
    });
}

}  // namespace cobaltshift::simmesh
