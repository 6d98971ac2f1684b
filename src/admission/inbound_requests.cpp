#include "admission/inbound_requests.hpp"

#include <utility>

namespace cobaltshift::admission {

namespace {
// The server is told the deadline and stops by itself. A request that has not ended this many milliseconds
// after its deadline is timed out, as the server counts as silent.
constexpr Millis kExpiryMarginMs = 40;
}  // namespace

bool InboundRequests::on_heartbeat(Millis now, const std::string& instance_id, std::uint32_t capacity,
                                   bool closing, std::uint64_t call_seq) {
    const bool taken = admission_.on_heartbeat(instance_id, capacity, closing, call_seq);
    advance(now);
    return taken;
}

void InboundRequests::on_healthy(Millis now, const std::string& instance_id, std::uint32_t capacity) {
    admission_.on_healthy(instance_id, capacity);
    advance(now);
}

void InboundRequests::on_deregistered(Millis now, const std::string& instance_id) {
    admission_.on_deregistered(instance_id);
    advance(now);
}

void InboundRequests::leave(Millis now) {
    admission_.leave();
    advance(now);
}

void InboundRequests::arrived(Millis now, Ticket ticket, const Arrival& arrival,
                              const std::optional<LinkState>& link) {
    Offer offer;
    offer.ticket = ticket;
    offer.id = arrival.id;
    offer.instance_id = arrival.instance_id;
    offer.once = arrival.once;
    offer.may_wait = arrival.may_wait;
    offer.rank = arrival.rank;
    offer.deadline = arrival.deadline;
    offer.due = now + arrival.target;
    Request& request = requests_[ticket];
    request.deadline = arrival.deadline;
    request.kind = arrival.kind;
    if (link) reserve_link(request, offer, *link);
    const Decision said = admission_.offer(now, offer);
    if (said.disposition == Disposition::begin) begin(now, ticket);
    if (said.disposition == Disposition::refuse) refuse(ticket, said.reason);
    if (said.disposition == Disposition::wait) schedule_advance();
}

// Only long answers reserve link time: short ones are sent between the pieces of long ones.
void InboundRequests::reserve_link(Request& request, Offer& offer, const LinkState& link) {
    const double bytes = answer_sizes_.expected(request.kind);
    if (static_cast<std::size_t>(bytes) < link.long_from) return;
    offer.link_wait = link.backlog + reserved_bytes_ / link.bytes_per_ms;
    offer.link_time = bytes / link.bytes_per_ms;
    request.reserved_bytes = bytes;
    reserved_bytes_ += bytes;
}

void InboundRequests::begin(Millis now, Ticket ticket) {
    Request& request = requests_.at(ticket);
    request.started = true;
    request.started_at = now;
    const Millis until = request.deadline + kExpiryMarginMs;
    deadlines_.emplace(std::pair(until, ticket), true);
    executor_.begin(ticket, until);
    schedule_advance();
}

void InboundRequests::refuse(Ticket ticket, Reason reason) {
    forget(ticket);
    executor_.refuse(ticket, reason);
}

void InboundRequests::forget(Ticket ticket) {
    const auto at = requests_.find(ticket);
    if (at == requests_.end()) return;
    reserved_bytes_ -= at->second.reserved_bytes;
    requests_.erase(at);
}

void InboundRequests::answer_waits(Millis now, Ticket ticket) {
    const auto at = requests_.find(ticket);
    if (at != requests_.end()) at->second.answered_at = now;
}

void InboundRequests::ended(Millis now, Ticket ticket, const ServerResult& end) {
    const auto at = requests_.find(ticket);
    if (at == requests_.end()) return;
    const Request& request = at->second;
    deadlines_.erase({request.deadline + kExpiryMarginMs, ticket});
    if (end.answer_bytes) answer_sizes_.record(request.kind, *end.answer_bytes);
    const bool worked = !end.failure || end.failure->execution != Execution::not_run;
    const Millis took = request.answered_at.value_or(now) - request.started_at;
    admission_.ended(ticket, end.success && worked ? took : 0, worked);
    forget(ticket);
    schedule_advance();
}

bool InboundRequests::withdraw(Ticket ticket) {
    const auto at = requests_.find(ticket);
    if (at == requests_.end()) return true;
    if (at->second.started) {
        executor_.cancel(ticket);
        return false;
    }
    admission_.withdraw(ticket);
    forget(ticket);
    return true;
}

void InboundRequests::schedule_advance() {
    if (std::exchange(advance_scheduled_, true)) return;
    executor_.schedule_advance();
}

void InboundRequests::timer_fired(Millis now) {
    timer_at_ = 0;
    advance(now);
}

void InboundRequests::advance(Millis now) {
    advance_scheduled_ = false;
    for (const Rejected& rejected : admission_.take_rejected(now)) refuse(rejected.ticket, rejected.reason);
    for (const Ticket ticket : admission_.start_next(now)) begin(now, ticket);
    while (!deadlines_.empty() && deadlines_.begin()->first.first <= now) {
        const Ticket late = deadlines_.begin()->first.second;
        deadlines_.erase(deadlines_.begin());
        executor_.expire(late);
    }
    Millis next = admission_.next_deadline();
    if (!deadlines_.empty() && (next == 0 || deadlines_.begin()->first.first < next))
        next = deadlines_.begin()->first.first;
    if (next == 0 || next == timer_at_) return;
    timer_at_ = next;
    executor_.set_timer(next);
}

}  // namespace cobaltshift::admission
