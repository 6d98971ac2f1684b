#include "sim_mesh/inbound.hpp"

#include "hop/server_answer.hpp"
#include "sim_mesh/proxy.hpp"
#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

namespace {
// As proxy/inbound.cpp.
constexpr exchange::Limits kToServer{1000, 9000, 64, 0.5};
}  // namespace

Inbound::Inbound(Proxy& owner, World& world, Ip ip)
    : owner_(owner),
      world_(world),
      ip_(ip),
      requests_(*this),
      connections_(world, ip, kToServer,
                   [this](AttemptKey key, kelplb::Outcome outcome, const ServerAnswer* said) {
                       ended(key.id, outcome, said);
                   }) {}

bool Inbound::beat(const std::string& life, std::uint32_t capacity, bool closing, std::uint64_t seq) {
    if (life != admission().instance_id()) connections_.pool().retire(0);
    return requests_.on_heartbeat(world_.time.now(), life, capacity,
                                  closing && world_.safeguards.closing_at_admission, seq);
}

void Inbound::gone(const std::string& life) {
    if (world_.safeguards.closing_at_admission) requests_.on_deregistered(world_.time.now(), life);
}

void Inbound::restore(const registry::ServerRecord& former) {
    requests_.restore(former.instance_id, former.call_seq, former.closing);
}

void Inbound::leave() { requests_.leave(world_.time.now()); }

void Inbound::seen_well(const std::string& life, std::uint32_t capacity) {
    requests_.on_healthy(world_.time.now(), life, capacity);
}

void Inbound::arrived(const HopMessage& message, const CallPtr& call, Answered answered) {
    const Millis now = world_.time.now();
    const admission::Ticket ticket = requests_.next_ticket();
    if (message.hop.edition > owner_.edition()) owner_.hop_newer(message.hop.edition);
    admission::Arrival arrival;
    arrival.id = message.id;
    arrival.instance_id = world_.safeguards.life_expected ? message.expected : admission().instance_id();
    arrival.once = message.hop.once() && world_.safeguards.once_at_admission;
    arrival.may_wait = message.hop.may_wait;
    arrival.rank = message.hop.rank;
    arrival.kind = {static_cast<int>(message.hop.kind), message.hop.rank,
                    static_cast<long>(message.hop.target_ms)};
    arrival.target = message.hop.target_ms;
    arrival.deadline = now + message.left;
    held_[ticket] = {std::make_shared<HopMessage>(message), std::move(answered)};
    call->on_closed = [this, ticket] {
        if (requests_.withdraw(ticket)) held_.erase(ticket);
    };
    requests_.arrived(now, ticket, arrival, std::nullopt);
}

void Inbound::begin(admission::Ticket ticket, Millis until) {
    connections_.pool().send({ticket, 0}, 0, ip_, held_.at(ticket).message, until);
}

void Inbound::refuse(admission::Ticket ticket, Reason reason) {
    answer(ticket, {Failure{Execution::not_run, reason}, {}, 0});
}

void Inbound::ended(admission::Ticket ticket, kelplb::Outcome outcome, const ServerAnswer* said) {
    admission::ServerResult end;
    end.success = outcome == kelplb::Outcome::completed;
    if (said) end.answer_bytes = 0;
    end.failure = said ? hop::failure_of_answer(head_of(*said)) : hop::failure_without_answer(outcome);
    requests_.ended(world_.time.now(), ticket, end);
    HopAnswer answered;
    answered.failure = end.failure;
    if (said && !end.failure) answered.answer = {status_of(*said), said->id, 0, false};
    answer(ticket, std::move(answered));
}

void Inbound::answer(admission::Ticket ticket, HopAnswer said) {
    const auto at = held_.find(ticket);
    if (at == held_.end()) return;
    said.edition = owner_.edition();
    const Answered answered = std::move(at->second.answer);
    held_.erase(at);
    answered(said);
}

void Inbound::schedule_advance() {
    owner_.after(0, [this] { requests_.advance(world_.time.now()); });
}

void Inbound::set_timer(Millis when) {
    const std::uint64_t timer = ++timers_;
    world_.net.at(ip_, when, [this, timer] {
        if (timer == timers_) requests_.timer_fired(world_.time.now());
    });
}

}  // namespace cobaltshift::simmesh
