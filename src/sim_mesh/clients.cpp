#include "sim_mesh/clients.hpp"

#include <cmath>

#include "sim_mesh/proxy.hpp"
#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

namespace {
constexpr Millis kPause = 60, kUnreadFor = 1000, kHop = 0.3, kPoll = 1000;
constexpr Millis kLeaveFrom = 30, kLeaveWithin = 700;  // of those who leave early
constexpr unsigned kMostTries = 4;
}  // namespace

void Clients::traffic(const Traffic& traffic, Millis begin) {
    for (const bool registered : {false, true}) {
        const double rate = registered ? traffic.registered : traffic.plain;
        const Stream stream{rate, registered, begin + traffic.to, traffic.leave};
        if (rate > 0) world_.time.at(begin + traffic.from, [this, stream] { next(stream); });
    }
}

void Clients::next(const Stream& stream) {
    if (world_.time.now() >= stream.to) return;
    start(stream);
    const Millis pause = -std::log(1 - world_.unit()) * 1000 / stream.rate;
    world_.time.after(pause, [this, stream] { next(stream); });
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

void Clients::start(const Stream& stream) {
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
    request.path = (stream.registered ? "/r" : "/p") + std::to_string(service) + "/x";
    request.registered = stream.registered;
    request.origin = ip;
    request.deadline = world_.time.now() + world_.fleet().deadline;
    if (stream.leave > 0 && world_.unit() < stream.leave)
        request.leaves = world_.time.now() + kLeaveFrom + kLeaveWithin * world_.unit();
    ++sent_;
    send(std::make_shared<Request>(request), 1);
}

void Clients::send(std::shared_ptr<const Request> template_, unsigned tries) {
    auto request = std::make_shared<Request>(*template_);
    request->id = "q" + std::to_string(++ids_);
    request->sent = world_.time.now();
    request->caller = world_.service_of(request->origin);
    open_[request->id] = {request, tries, false, false, 0};
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
                if (const auto open = open_.find(id); open != open_.end()) open->second.on_its_way = true;
                world_.time.after(kHop, [this, id, answer] { answered(id, answer); });
            });
        });
    });
    if (!request->registered)
        world_.time.after(kUnreadFor, [this, id] {
            const auto at = open_.find(id);
            if (at != open_.end() && !at->second.read) answered(id, {0, {}, 0, true});
        });
    if (request->leaves > 0) world_.time.at(request->leaves, [this, id] { give_up(id, false); });
    world_.time.at(request->deadline, [this, id] { give_up(id, true); });
}

void Clients::give_up(const std::string& id, bool at_deadline) {
    const auto at = open_.find(id);
    if (at == open_.end()) return;
    const Try one = at->second;
    open_.erase(at);
    ++statuses_[0];
    world_.rules.tell([&](Checker& c) { c.gave_up(*one.request, one.read, at_deadline); });
    const Machine& machine = world_.net.machine(one.request->origin);
    if (!one.read || !machine.running) return;
    world_.net.in_process(machine.ip, machine.epoch, [this, ip = machine.ip, number = one.number] {
        if (auto* proxy = dynamic_cast<Proxy*>(world_.node(ip))) proxy->client_gone(number);
    });
}

std::vector<std::string> Clients::unanswered_at(Ip ip) const {
    std::vector<std::string> ids;
    for (const auto& [id, one] : open_)
        if (one.request->origin == ip && one.read && !one.on_its_way) ids.push_back(id);
    return ids;
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
