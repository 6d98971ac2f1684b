#include <algorithm>

#include "sim_mesh/proxy.hpp"
#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

namespace {
constexpr Millis kLate = 40;  // as proxy/inbound.cpp
}

bool Inbound::beat(const std::string& life, std::uint32_t capacity, bool closing, std::uint64_t seq) {
    const bool taken =
        admission_.beat(life, capacity, closing && world_.safeguards.closing_at_admission, seq);
    look();
    return taken;
}

void Inbound::gone(const std::string& life) {
    if (world_.safeguards.closing_at_admission) admission_.gone(life);
    look();
}

void Inbound::leave() {
    admission_.leave();
    look();
}

void Inbound::seen_well(const std::string& life, std::uint32_t capacity) {
    admission_.seen_well(life, capacity);
    look();
}

void Inbound::arrived(const HopRequest& hop, const CallPtr& call, Answered answered) {
    const Millis now = world_.time.now();
    const admission::Ticket ticket = next_++;
    if (hop.edition > owner_.edition()) owner_.hop_newer(hop.edition);
    admission::Offer offer;
    offer.ticket = ticket;
    offer.id = hop.id;
    offer.life = world_.safeguards.life_expected ? hop.expected : admission_.life();
    offer.once = hop.once && world_.safeguards.once_at_admission;
    offer.may_wait = hop.may_wait;
    offer.rank = hop.rank;
    offer.deadline = now + hop.left;
    offer.due = now + hop.target;
    Job& job = jobs_[ticket];
    job.hop = hop;
    job.answer = std::move(answered);
    job.deadline = offer.deadline;
    call->on_closed = [this, ticket] { client_gone(ticket); };
    const admission::Answer said = admission_.offer(now, offer);
    if (said.act == admission::Act::begin) begin(ticket);
    if (said.act == admission::Act::refuse) answer(ticket, {Failure{Execution::not_run, said.reason}, {}, 0});
    if (said.act == admission::Act::wait) look_soon();
}

void Inbound::client_gone(admission::Ticket ticket) {
    const auto at = jobs_.find(ticket);
    if (at == jobs_.end()) return;
    if (!at->second.at_work) {
        admission_.withdraw(ticket);
        jobs_.erase(at);
        return;
    }
    if (Server* server = world_.server(owner_.ip())) server->dropped(at->second.at_server);
    lines_.erase(at->second.line);
    admission_.ended(ticket, 0);
    jobs_.erase(at);
    look_soon();
}

void Inbound::begin(admission::Ticket ticket) {
    Job& job = jobs_.at(ticket);
    job.at_work = true;
    job.began = world_.time.now();
    look_soon();
    Server* server = world_.server(owner_.ip());
    // A kept line to this life, or a new one.
    std::size_t number = 0;
    std::erase_if(lines_, [&](const auto& one) {
        return server && one.second.ticket == 0 && one.second.life != server->life();
    });
    for (const auto& [n, line] : lines_)
        if (line.ticket == 0 && number == 0) number = n;
    // A byte too many on an idle line: it is never used again.
    if (number != 0 && lines_[number].stray && world_.safeguards.ids_compared)
        lines_.erase(number), number = 0;
    if (number == 0) number = next_line_++;
    Line& line = lines_[number];
    line.ticket = ticket;
    job.line = number;
    const auto in_turn = [this, ticket](const ServerAnswer& said, bool silent) {
        owner_.after(0, [this, ticket, said, silent] { ended(ticket, said, silent); });
    };
    if (!server) {
        owner_.after(0.3, [in_turn] { in_turn({ServerAnswer::Kind::refused, {}}, false); });
        return;
    }
    line.life = server->life();
    if (line.stray) {
        const ServerAnswer stray = *std::exchange(line.stray, std::nullopt);
        owner_.after(0.3, [in_turn, stray] { in_turn(stray, false); });
    }
    // Where this process has ended, what comes goes nowhere.
    const auto here = [&net = world_.net, ip = owner_.ip(), epoch = world_.net.machine(owner_.ip()).epoch](
                          auto what) { net.in_process(ip, epoch, what); };
    Run run{job.hop.request, server->service(), server->life(), job.hop.caller,
            owner_.ip(),     job.hop.by,        job.hop.id,     job.hop.path};
    const auto answered = [this, here, ticket](const ServerAnswer& said) {
        here([this, ticket, said] { ended(ticket, said, false); });
    };
    const auto extra = [this, here, number, life = server->life()](const ServerAnswer& said) {
        here([this, number, life, said] {
            const auto at = lines_.find(number);
            if (at == lines_.end() || at->second.life != life) return;
            if (at->second.ticket != 0)
                ended(at->second.ticket, said, false);
            else
                at->second.stray = said;
        });
    };
    job.at_server =
        server->take(run, world_.safeguards.life_expected ? job.hop.expected : "", answered, extra);
    owner_.after(std::max(0.0, job.deadline + kLate - world_.time.now()), [this, ticket] {
        ended(ticket, {ServerAnswer::Kind::none, {}}, true);
    });
}

void Inbound::ended(admission::Ticket ticket, const ServerAnswer& said, bool silent) {
    using Kind = ServerAnswer::Kind;
    const auto at = jobs_.find(ticket);
    if (at == jobs_.end() || !at->second.at_work) return;
    Job& job = at->second;
    HopAnswer out;
    bool keep = said.kind == Kind::whole || said.kind == Kind::turned_away;
    const bool stray = said.kind == Kind::whole && said.id != job.hop.id;
    if (silent) {
        out.failure = Failure{Execution::may_have_run, Reason::silent};
    } else if (stray && world_.safeguards.ids_compared) {
        out.failure = Failure{Execution::may_have_run, Reason::broken};
        keep = false;
    } else if (said.kind == Kind::whole) {
        out.answer = {200, said.id, 0, false};
    } else if (said.kind == Kind::turned_away) {
        out.failure = Failure{Execution::not_run, Reason::turned_away};
    } else if (said.kind == Kind::wrong_life) {
        out.failure = Failure{Execution::not_run, Reason::wrong_life};
    } else if (said.kind == Kind::refused) {
        out.failure = Failure{Execution::not_run, Reason::unreachable};
    } else {
        out.failure = Failure{Execution::may_have_run, Reason::broken};
    }
    if (silent)
        if (Server* server = world_.server(owner_.ip())) server->dropped(job.at_server);
    if (const auto line = lines_.find(job.line); line != lines_.end()) {
        line->second.ticket = 0;
        if (!keep) lines_.erase(line);
    }
    admission_.ended(ticket, out.failure ? 0 : world_.time.now() - job.began);
    answer(ticket, std::move(out));
    look_soon();
}

void Inbound::answer(admission::Ticket ticket, HopAnswer said) {
    const auto at = jobs_.find(ticket);
    if (at == jobs_.end()) return;
    said.edition = owner_.edition();
    const Answered answered = std::move(at->second.answer);
    jobs_.erase(at);
    answered(said);
}

void Inbound::look_soon() {
    if (std::exchange(looking_, true)) return;
    owner_.after(0, [this] { look(); });
}

void Inbound::look() {
    looking_ = false;
    const Millis now = world_.time.now();
    for (const auto& turned : admission_.turned(now))
        answer(turned.ticket, {Failure{Execution::not_run, turned.reason}, {}, 0});
    for (const admission::Ticket ticket : admission_.next(now)) begin(ticket);
    const Millis next = admission_.due();
    if (next == 0 || next == armed_) return;
    armed_ = next;
    world_.net.at(owner_.ip(), next, [this] {
        armed_ = 0;
        look();
    });
}

}  // namespace cobaltshift::simmesh
