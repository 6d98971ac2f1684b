#include "sim_mesh/clients.hpp"

#include <cmath>

#include "sim_mesh/proxy.hpp"
#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

namespace {
constexpr Millis kDeadline = 2500, kPause = 60, kUnreadFor = 1000, kHop = 0.3, kPoll = 1000;
constexpr unsigned kMostTries = 4;
}  // namespace

void Clients::traffic(double plain, double registered, Millis from, Millis to) {
    for (const bool once : {false, true}) {
        const double rate = once ? registered : plain;
        if (rate > 0) world_.time.at(from, [this, rate, once, to] { next(rate, once, to); });
    }
}

void Clients::next(double rate, bool registered, Millis to) {
    if (world_.time.now() >= to) return;
    start(registered);
    world_.time.after(-std::log(1 - world_.unit()) * 1000 / rate,
                      [this, rate, registered, to] { next(rate, registered, to); });
}

// GET /api/ready once a second of each; two failures take it out.
void Clients::poll() {
    for (const auto& [ip, machine] : world_.net.machines()) {
        if (machine.hub || ip == World::kOperator) continue;
        const auto* proxy = dynamic_cast<const Proxy*>(world_.node(ip));
        Platform& platform = platform_[ip];
        const bool ready = proxy && !machine.blocked() && proxy->ready();
        platform.failures = ready ? 0 : platform.failures + 1;
        if (platform.failures == 0) platform.in = true;
        if (platform.failures >= 2) platform.in = false;
    }
    world_.time.after(kPoll, [this] { poll(); });
}

void Clients::start(bool registered) {
    std::map<std::string, std::pair<std::size_t, std::size_t>> zones;  // in, all
    for (const auto& [ip, platform] : platform_) {
        auto& [in, all] = zones[world_.net.machine(ip).zone];
        in += platform.in, ++all;
    }
    std::vector<Ip> from;
    for (const auto& [ip, platform] : platform_) {
        const Machine& machine = world_.net.machine(ip);
        const auto [in, all] = zones[machine.zone];
        if (machine.powered && (platform.in || 2 * in < all)) from.push_back(ip);
    }
    if (from.empty()) return;
    const Ip ip = from[static_cast<std::size_t>(world_.unit() * static_cast<double>(from.size()))];
    const auto service =
        static_cast<std::size_t>(world_.unit() * static_cast<double>(world_.fleet().services));
    Request request;
    request.path = (registered ? "/r" : "/p") + std::to_string(service) + "/x";
    request.registered = registered;
    request.origin = ip;
    request.deadline = world_.time.now() + kDeadline;
    ++sent_;
    send(std::make_shared<Request>(request), 1);
}

void Clients::send(std::shared_ptr<const Request> template_, unsigned tries) {
    auto request = std::make_shared<Request>(*template_);
    request->id = "q" + std::to_string(++ids_);
    request->sent = world_.time.now();
    request->caller = world_.service_of(request->origin);
    open_[request->id] = {request, tries, false, 0};
    world_.rules.tell([&](Checker& c) { c.sent(*request); });
    const Machine& machine = world_.net.machine(request->origin);
    const std::string id = request->id;
    if (!machine.running) {
        world_.time.after(kHop, [this, id] { answered(id, {0, {}, 0, true}); });
        return;
    }
    world_.time.after(kHop, [this, id, ip = machine.ip, epoch = machine.epoch] {
        world_.net.in_process(ip, epoch, [this, id, ip] {
            const auto at = open_.find(id);
            auto* proxy = dynamic_cast<Proxy*>(world_.node(ip));
            if (at == open_.end() || !proxy) return;
            at->second.read = true;
            at->second.number = proxy->request(at->second.request, [this, id](const Answer& answer) {
                world_.time.after(kHop, [this, id, answer] { answered(id, answer); });
            });
        });
    });
    if (!request->registered)
        world_.time.after(kUnreadFor, [this, id] {
            const auto at = open_.find(id);
            if (at != open_.end() && !at->second.read) answered(id, {0, {}, 0, true});
        });
    world_.time.at(request->deadline, [this, id] { give_up(id); });
}

void Clients::give_up(const std::string& id) {
    const auto at = open_.find(id);
    if (at == open_.end()) return;
    const Try one = at->second;
    open_.erase(at);
    ++statuses_[0];
    const Machine& machine = world_.net.machine(one.request->origin);
    if (!one.read || !machine.running) return;
    world_.net.in_process(machine.ip, machine.epoch, [this, ip = machine.ip, number = one.number] {
        if (auto* proxy = dynamic_cast<Proxy*>(world_.node(ip))) proxy->client_gone(number);
    });
}

void Clients::process_ended(Ip ip) {
    for (const auto& [id, one] : open_)
        if (one.request->origin == ip)
            world_.time.after(kHop, [this, id = id, read = one.read] { answered(id, {0, {}, 0, !read}); });
}

void Clients::answered(const std::string& id, const Answer& answer) {
    const auto at = open_.find(id);
    if (at == open_.end()) return;
    const Try one = at->second;
    open_.erase(at);
    ++statuses_[answer.status];
    world_.rules.tell([&](Checker& c) { c.answered(*one.request, answer); });
    const Millis left = one.request->deadline - world_.time.now();
    if (answer.status / 100 == 2) {
        served_ += left >= 0;
        return;
    }
    // Plain after any failure, registered only after a promise or if it was not read; never after 404.
    const bool again =
        answer.status != 404 && (!one.request->registered || answer.promises() || answer.unread);
    const Millis pause = answer.retry_in > 0 && answer.retry_in <= left / 3 ? answer.retry_in : kPause;
    if (!again || one.tries >= kMostTries || pause >= left) return;
    world_.time.after(pause, [this, request = one.request, tries = one.tries + 1] {
        if (world_.net.machine(request->origin).powered) send(request, tries);
    });
}

}  // namespace cobaltshift::simmesh
