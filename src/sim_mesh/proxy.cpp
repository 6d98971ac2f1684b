#include "sim_mesh/proxy.hpp"

#include <algorithm>

#include "routing/service_choice.hpp"
#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

namespace {
// As proxy/proxy.cpp.
constexpr Millis kRetryLeaving = 60;
constexpr Millis kDeadlineForgotten = 3000;  // with that safeguard out
constexpr std::uint32_t kCapacityUnheard = 4;
}  // namespace

Proxy::Proxy(World& world, Ip ip, std::string service, bool first_boot)
    : Node(world, ip, registry::NodeRole::proxy, !first_boot),
      service_(std::move(service)),
      first_boot_(first_boot),
      inbound_(*this, world, ip),
      confirmation_({}, world.time.now()),
      early_(world.time.now()) {
    started_at_ = world.time.now();
    begin();
    after(0, [this] { reconsider_configuration(); });
}

// ---- Servers ---------------------------------------------------------------------------------------------

bool Proxy::beat(const Server& server, bool closing, std::uint64_t seq) {
    if (!first_boot_ && !world_.safeguards.hears_beats) return true;
    registry::ServerRecord record;
    record.instance_id = server.life();
    record.service = server.service();
    record.capacity = server.settings().capacity;
    record.closing = closing && world_.safeguards.closing_at_admission;
    record.call_seq = seq;
    record.warmup_left_s = server.warmup_left_s();
    const Heartbeat heartbeat{record, closing};
    if (former_self_known_)
        apply(heartbeat);
    else
        early_heartbeats_.push_back(heartbeat);
    return true;
}

void Proxy::apply(const Heartbeat& heartbeat) {
    const registry::ServerRecord& server = heartbeat.server;
    if (!inbound_.beat(server.instance_id, server.capacity, heartbeat.closing, server.call_seq)) return;
    tell([&](registry::NodeRecord& own) {
        own.server = server;
        own.ready = !leaving_;
    });
    registry_changed();
}

void Proxy::on_former_self(const std::optional<registry::NodeRecord>& former) {
    former_self_known_ = true;
    if (former && former->server) {
        inbound_.restore(*former->server);
        tell([&](registry::NodeRecord& own) {
            if (!own.server) own.server = former->server;
        });
    }
    for (const Heartbeat& heartbeat : std::exchange(early_heartbeats_, {})) apply(heartbeat);
    check_health();
}

void Proxy::server_gone(const std::string& life) {
    inbound_.gone(life);
    tell([&](registry::NodeRecord& own) {
        if (!own.server) {
            own.server.emplace();
            own.server->instance_id = life;
            own.server->service = service_;
        }
        if (own.server->instance_id == life) own.server->closing = true;
    });
    registry_changed();
}

void Proxy::registry_changed() {
    if (std::exchange(listing_, true)) return;
    after(0, [this] { list_servers(); });
}

void Proxy::list_servers() {
    listing_ = false;
    const auto lists = directory_.list(now(), [this](const routing::ServerDirectory::Visitor& visit) {
        for (const registry::Entry& entry : gossip().registry().entries())
            if (entry.record.role == registry::NodeRole::proxy)
                visit(registry::Registry::current_record(now(), entry), entry.state);
    });
    for (auto& [name, pool] : pools_) {
        const auto at = lists.by_service.find(name);
        pool->told(at == lists.by_service.end() ? std::vector<routing::ListedServer>() : at->second);
    }
    if (lists.first_avoid_expiry > 0)
        world_.net.at(ip_, lists.first_avoid_expiry + 0.001, [this] { registry_changed(); });
}

void Proxy::avoid(const std::string& life) {
    directory_.avoid(now(), life);
    registry_changed();
}

void Proxy::newer(const std::string& life, config::Edition edition) {
    if (const auto ip = directory_.ip_of(life)) hint(*ip, edition);
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
        if (first) take_early();
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

void Proxy::on_new_configuration() {
    reconsider_configuration();
    tell([this](registry::NodeRecord& own) { own.config_edition = edition(); });
    check_health();
}

void Proxy::check_health() {
    if (!held() || !former_self_known_) return;
    if (first_boot_ || asked_health_ || !inbound_.admission().instance_id().empty() ||
        !world_.safeguards.hears_beats)
        return;
    asked_health_ = true;
    const Server* server = world_.server(ip_);
    if (!server || server->closing()) return;  // 503 when draining
    after(1, [this, life = server->life()] {
        if (!inbound_.admission().instance_id().empty()) return;
        inbound_.seen_well(life, kCapacityUnheard);
        if (inbound_.admission().instance_id() != life) return;
        tell([&](registry::NodeRecord& own) {
            registry::ServerRecord record;
            record.instance_id = life;
            record.service = service_;
            record.capacity = kCapacityUnheard;
            own.server = record;
            own.ready = !leaving_;
        });
        registry_changed();
    });
}

// ---- Requests --------------------------------------------------------------------------------------------

std::uint64_t Proxy::request(const RequestPtr& request, Pool::Answered done) {
    const std::uint64_t number = next_++;
    if (refuses_new_) {
        tell_handled(*request);
        done({503, {}, kRetryLeaving, false});
    } else if (in_force_) {
        pass_on(number, request, std::move(done));
    } else if (early_.may_wait(now())) {
        early_numbers_[number] = early_.add(now(), {number, request, std::move(done)});
        world_.net.at(ip_, early_.until(), [this] { refuse_early(); });
    } else {
        tell_handled(*request);
        done({503, {}, routing::kNoConfigurationRetryMs, false});
    }
    return number;
}

void Proxy::tell_handled(const Request& request) {
    world_.rules.tell(
        [&](Checker& c) { c.handled(ip_, world_.net.machine(ip_).epoch, request, in_force_.get()); });
}

void Proxy::pass_on(std::uint64_t number, const RequestPtr& request, Pool::Answered done) {
    tell_handled(*request);
    const config::Route* route = in_force_->find(request->host, request->path);
    if (!route) return done({404, {}, 0, false});
    const Millis late = world_.safeguards.deadline_kept ? 0 : kDeadlineForgotten;
    Millis left = routing::time_left(*route, request->deadline - now(), 0) + late;
    if (shutdown_) left = std::max(0.0, std::min(left, shutdown_->answers_at() - now()));
    Pool& pool = *pools_.at(routing::choose_service(*route, world_.unit()));
    numbers_[number] = {&pool, 0};
    const RequestId id = pool.arrived(request, *route, left, [this, number, done](const Answer& a) {
        numbers_.erase(number);
        done(a);
    });
    numbers_[number] = {&pool, id};  // the answer comes a turn later at the soonest
}

void Proxy::take_early() {
    for (auto& early : early_.take()) {
        early_numbers_.erase(early.request.number);
        pass_on(early.request.number, early.request.request, std::move(early.request.done));
    }
}

void Proxy::refuse_early() {
    for (const auto& early : early_.take()) {
        tell_handled(*early.request.request);
        early.request.done({503, {}, routing::kNoConfigurationRetryMs, false});
    }
    early_numbers_.clear();
}

void Proxy::client_gone(std::uint64_t number) {
    if (const auto early = early_numbers_.find(number); early != early_numbers_.end()) {
        early_.remove(early->second);
        early_numbers_.erase(early);
        return;
    }
    const auto at = numbers_.find(number);
    if (at == numbers_.end()) return;
    const auto [pool, id] = at->second;
    if (!world_.safeguards.withdrawn_when_gone) return;
    numbers_.erase(at);
    pool->client_gone(id);
}

// ---- The end ---------------------------------------------------------------------------------------------

void Proxy::stop(Task done) {
    if (std::exchange(leaving_, true)) return;
    shutdown_.emplace(now(), world_.bounds.grace);
    tell([](registry::NodeRecord& own) { own.leaving = true, own.ready = false; });
    proceed_to_end(done);
}

bool Proxy::holds_requests() const {
    return inbound_.busy() || std::any_of(pools_.begin(), pools_.end(),
                                          [](const auto& one) { return one.second->unanswered() > 0; });
}

void Proxy::proceed_to_end(const Task& done) {
    const bool held = holds_requests() && world_.safeguards.answers_before_end;
    while (const auto step = shutdown_->take_due(now(), held)) {
        if (*step == shutdown::Step::end) return world_.time.after(0, done);
        carry_out(*step);
    }
    after(std::max(shutdown_->next_check(now()) - now(), 0.001), [this, done] { proceed_to_end(done); });
}

void Proxy::carry_out(shutdown::Step step) {
    if (step == shutdown::Step::close_admission) inbound_.leave();
    if (step == shutdown::Step::refuse_new) {
        refuses_new_ = true;
        refuse_early();
    }
    if (step == shutdown::Step::answer_held && world_.safeguards.answers_at_end)
        for (const auto& [name, pool] : pools_) pool->answer_all();
}

}  // namespace cobaltshift::simmesh
