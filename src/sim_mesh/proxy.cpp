#include "sim_mesh/proxy.hpp"

#include <algorithm>

#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

namespace {
// As proxy/proxy_node.cpp and proxy/outbound.cpp.
constexpr Millis kInboundOpenFor = 400, kListenFor = 2600, kLook = 20, kLastMoment = 250, kAnswerMargin = 8,
                 kWarmWithin = 3000, kAvoidFor = 700, kRetryUnsettled = 200;
constexpr std::uint32_t kCapacityUnheard = 4;
}  // namespace

Proxy::Proxy(World& world, Ip ip, std::string service, bool first_boot)
    : Node(world, ip, registry::NodeRole::proxy),
      service_(std::move(service)),
      first_boot_(first_boot),
      inbound_(*this, world),
      confirmation_({}, world.time.now()) {
    started_at_ = world.time.now();
    begin();
    after(0, [this] { reconsider_configuration(); });
}

// ---- Servers ---------------------------------------------------------------------------------------------

bool Proxy::beat(const Server& server, bool closing, std::uint64_t seq) {
    if (!first_boot_ && !world_.safeguards.hears_beats) return true;
    if (!inbound_.beat(server.life(), server.settings().capacity, closing, seq)) return true;
    tell([&](registry::NodeRecord& own) {
        registry::ServerRecord record;
        record.life = server.life();
        record.service = server.service();
        record.capacity = server.settings().capacity;
        record.closing = closing && world_.safeguards.closing_at_admission;
        record.call_seq = seq;
        record.warmup_left_s = server.warmup_left_s();
        own.server = record;
        own.ready = !leaving_;
    });
    registry_changed();
    return true;
}

void Proxy::server_gone(const std::string& life) {
    inbound_.gone(life);
    tell([&](registry::NodeRecord& own) {
        if (own.server && own.server->life == life) own.server->closing = true;
    });
    registry_changed();
}

void Proxy::registry_changed() {
    if (std::exchange(listing_, true)) return;
    after(0, [this] { list_servers(); });
}

void Proxy::list_servers() {
    listing_ = false;
    std::map<std::string, std::vector<Pool::Host>> lists;
    std::map<std::string, Millis> born;
    ip_of_.clear();
    std::erase_if(avoided_, [this](const auto& one) { return one.second <= now(); });
    Millis look_again = 0;
    for (const registry::Entry& entry : gossip().registry().entries()) {
        const registry::NodeRecord node = registry::Registry::handed_on(now(), entry);
        if (node.role != registry::NodeRole::proxy || !node.server || node.server->life.empty() ||
            entry.standing == registry::Standing::gone)
            continue;
        const registry::ServerRecord& server = *node.server;
        const auto known = born_.find(server.life);
        born[server.life] = known != born_.end()       ? known->second
                            : server.warmup_left_s > 0 ? now() + server.warmup_left_s * 1000 - kWarmWithin
                                                       : 0;
        ip_of_[server.life] = node.ip;
        const auto avoided = avoided_.find(server.life);
        if (avoided != avoided_.end())
            look_again = look_again == 0 ? avoided->second : std::min(look_again, avoided->second);
        const bool on = node.ready && !node.leaving && !server.closing &&
                        entry.standing == registry::Standing::alive && avoided == avoided_.end();
        lists[server.service].push_back({server.life, node.ip, world_.zone_number(node.zone),
                                         on ? kelplb::Phase::on : kelplb::Phase::fading, born[server.life],
                                         std::max(1.0, static_cast<double>(server.capacity))});
    }
    born_ = std::move(born);
    for (auto& [name, pool] : pools_) pool->told(lists[name]);
    if (look_again > 0) world_.net.at(ip_, look_again + 0.001, [this] { registry_changed(); });
}

void Proxy::avoid(const std::string& life) {
    avoided_[life] = now() + kAvoidFor;
    registry_changed();
}

void Proxy::newer(const std::string& life, config::Edition edition) {
    if (const auto at = ip_of_.find(life); at != ip_of_.end()) hint(at->second, edition);
}

void Proxy::hop_newer(config::Edition edition) {
    for (const Ip hub : hubs()) hint(hub, edition);
}

void Proxy::reconsider_configuration() {
    const bool may = confirmation_.usable(now(), edition()) || !world_.safeguards.confirms_at_start;
    if (held() && held() != in_force_ && may) {
        const bool first = !in_force_;
        in_force_ = held();
        const bool unconfirmed =
            confirmation_.state(now(), edition()) == config::StartupConfirmation::State::unconfirmed;
        if (first && !unconfirmed)
            world_.rules.tell([&](Checker& c) { c.started_with(edition(), started_at_); });
        for (const auto& [name, service] : in_force_->services) {
            auto& pool = pools_[name];
            if (pool) continue;
            pool = std::make_unique<Pool>(*this, world_, world_.draw(),
                                          world_.zone_number(world_.net.machine(ip_).zone));
            registry_changed();
        }
    }
    if (const auto node = confirmation_.next_to_ask(now(), hubs()))
        ask_current(*node, [this, node = *node](const config::CurrentAnswer& answer) {
            confirmation_.on_answer(answer);
            if (answer.kind == config::CurrentAnswer::Kind::current) hint(node, answer.edition);
            reconsider_configuration();
        });
    const auto due = confirmation_.due(now());
    if (!due || *due == confirmation_armed_) return;
    confirmation_armed_ = *due;
    after(std::max(0.0, *due - now()) + 1, [this] {
        confirmation_armed_ = 0;
        reconsider_configuration();
    });
}

void Proxy::took() {
    reconsider_configuration();
    tell([this](registry::NodeRecord& own) { own.config_edition = edition(); });
    if (first_boot_ || asked_health_ || !inbound_.admission().life().empty() ||
        !world_.safeguards.hears_beats)
        return;
    asked_health_ = true;
    const Server* server = world_.server(ip_);
    if (!server || server->closing()) return;  // 503 when draining
    after(1, [this, life = server->life()] {
        if (!inbound_.admission().life().empty()) return;
        inbound_.seen_well(life, kCapacityUnheard);
        tell([&](registry::NodeRecord& own) {
            registry::ServerRecord record;
            record.life = life;
            record.service = service_;
            record.capacity = kCapacityUnheard;
            own.server = record;
            own.ready = !leaving_;
        });
        registry_changed();
    });
}

// ---- Requests --------------------------------------------------------------------------------------------

const std::string& Proxy::choose(const config::Route& route) {
    double total = 0;
    for (const auto& share : route.split) total += share.weight;
    double left = world_.unit() * total;
    const std::string* chosen = &route.split.front().service;
    for (const auto& share : route.split) {
        if (share.weight <= 0) continue;
        chosen = &share.service;
        if (left < share.weight) break;
        left -= share.weight;
    }
    return *chosen;
}

std::uint64_t Proxy::request(const RequestPtr& request, Pool::Answered done) {
    const std::uint64_t number = next_++;
    world_.rules.tell(
        [&](Checker& c) { c.handled(ip_, world_.net.machine(ip_).epoch, *request, in_force_.get()); });
    if (!in_force_) {
        done({503, {}, kRetryUnsettled, false});
        return number;
    }
    const config::Route* route = in_force_->find(request->host, request->path);
    if (!route) {
        done({404, {}, 0, false});
        return number;
    }
    const Millis left = std::min(request->deadline - now(), route->deadline_ms) - kAnswerMargin;
    Pool& pool = *pools_.at(choose(*route));
    numbers_[number] = {
        &pool, pool.arrived(request, *route, std::max(0.0, left), [this, number, done](const Answer& a) {
            numbers_.erase(number);
            done(a);
        })};
    return number;
}

void Proxy::client_gone(std::uint64_t number) {
    const auto at = numbers_.find(number);
    if (at == numbers_.end()) return;
    const auto [pool, id] = at->second;
    numbers_.erase(at);
    pool->client_gone(id);
}

// ---- The end ---------------------------------------------------------------------------------------------

void Proxy::stop(Task done) {
    if (std::exchange(leaving_, true)) return;
    const Millis stop_at = now() + world_.bounds.grace - kLastMoment;
    tell([](registry::NodeRecord& own) { own.leaving = true, own.ready = false; });
    after(kInboundOpenFor, [this] { inbound_.leave(); });
    after(kListenFor, [this, stop_at, done] { wind_down(stop_at, done); });
}

void Proxy::wind_down(Millis stop_at, const Task& done) {
    const bool held = inbound_.busy() || std::any_of(pools_.begin(), pools_.end(), [](const auto& one) {
                          return one.second->unanswered() > 0;
                      });
    if (!held || now() >= stop_at) {
        world_.time.after(0, done);
        return;
    }
    after(kLook, [this, stop_at, done] { wind_down(stop_at, done); });
}

}  // namespace cobaltshift::simmesh
