#include "sim_mesh/network.hpp"

namespace cobaltshift::simmesh {

namespace {
constexpr Millis kAgain = 100, kDeadAfter = 2500;  // of TCP: sent again; TCP_USER_TIMEOUT
}

Machine& Network::add(std::uint32_t ip, const std::string& zone, bool hub) {
    Machine& m = machines_[ip];
    m.ip = ip, m.zone = zone, m.hub = hub;
    return m;
}

void Network::start(std::uint32_t ip) {
    Machine& m = machine(ip);
    m.powered = m.running = true;
    m.frozen = m.busy = false;
    ++m.epoch;
    m.held.clear();
}

void Network::end(std::uint32_t ip, bool power) {
    Machine& m = machine(ip);
    m.running = false;
    m.powered = !power;
    m.frozen = m.busy = false;
    m.held.clear();
    std::vector<CallPtr> calls;
    for (const auto& [number, call] : calls_)
        if (call->from == ip || call->to == ip) calls.push_back(call);
    for (const CallPtr& call : calls) {
        if (call->to == ip) {
            // Without power nothing says so: the caller's timeout finds out.
            if (call->connected || !power) time_.after(power ? kDeadAfter : 0, [this, call] { reset(call); });
        } else if (!power) {
            close(call);
        } else {
            time_.after(kDeadAfter, [this, call] { close(call); });
        }
    }
}

void Network::flush(Machine& m) {
    while (!m.held.empty() && !m.blocked() && m.running) {
        Task next = std::move(m.held.front());
        m.held.pop_front();
        next();
    }
}
void Network::freeze(std::uint32_t ip, bool on) {
    Machine& m = machine(ip);
    m.frozen = on;
    flush(m);
}
void Network::busy(std::uint32_t ip, bool on, Task first) {
    Machine& m = machine(ip);
    m.busy = on;
    if (first) m.held.push_front(std::move(first));
    flush(m);
}

void Network::in_process(std::uint32_t ip, std::uint64_t epoch, Task what) {
    Machine& m = machine(ip);
    if (!m.running || m.epoch != epoch) return;
    if (m.blocked() || !m.held.empty())
        m.held.push_back(std::move(what));
    else
        what();
}
void Network::at(std::uint32_t ip, Millis when, Task what) {
    time_.at(when, [this, ip, epoch = machine(ip).epoch, what = std::move(what)]() mutable {
        in_process(ip, epoch, std::move(what));
    });
}

void Network::cut(std::uint32_t from, std::uint32_t to, bool on) {
    int& count = cuts_[{from, to}];
    count += on ? 1 : -1;
    if (count <= 0) cuts_.erase({from, to});
}

void Network::datagram(std::uint32_t from, std::uint32_t to, Task at_other) {
    if (!machines_.count(to) || random_.unit() < loss) return;
    time_.after(delay(), [this, from, to, what = std::move(at_other)]() mutable {
        if (passes(from, to)) in_process(to, machine(to).epoch, std::move(what));
    });
}

CallPtr Network::call(std::uint32_t from, std::uint32_t to, std::uint64_t epoch,
                      std::function<void(const CallPtr&)> arrive, std::function<void(bool)> broken) {
    auto call = std::make_shared<Call>();
    call->from = from, call->to = to, call->number = ++numbers_;
    call->from_epoch = machine(from).epoch;
    call->to_epoch = epoch;
    call->connected = epoch != 0;
    call->on_broken = std::move(broken);
    calls_[call->number] = call;
    const auto send = [this, call, arrive = std::move(arrive)] {
        pass(call, true, [call, arrive] {
            call->arrived = true;
            arrive(call);
        });
    };
    if (epoch != 0)
        send();
    else
        shake_hands(call, send);
    return call;
}

void Network::shake_hands(const CallPtr& call, Task connected) {
    pass(call, true, [this, call, connected = std::move(connected)] {
        call->to_epoch = machine(call->to).epoch;
        pass(call, false, [call, connected] {
            call->connected = true;
            connected();
        });
    });
}

CallPtr Network::connect(std::uint32_t from, std::uint32_t to, Task connected,
                         std::function<void(bool)> broken) {
    auto call = std::make_shared<Call>();
    call->from = from, call->to = to, call->number = ++numbers_;
    call->from_epoch = machine(from).epoch;
    call->on_broken = std::move(broken);
    calls_[call->number] = call;
    shake_hands(call, std::move(connected));
    return call;
}

void Network::send(const CallPtr& call, bool forth, Task at_other) {
    if (!forth) return pass(call, false, std::move(at_other));
    auto taken = std::make_shared<bool>(false);
    pass(
        call, true,
        [call, what = std::move(at_other)] {
            call->arrived = true;
            what();
        },
        [taken] { *taken = true; });
    time_.after(kDeadAfter, [this, call, taken] {
        if (!*taken && !call->over) reset_by_kernel(call);
    });
}

// The caller's own kernel gives the connection up: nothing has to come from the other end.
void Network::reset_by_kernel(const CallPtr& call) {
    in_process(call->from, call->from_epoch, [this, call] {
        if (call->over) return;
        finish(call);
        call->on_broken(!call->connected);
    });
}

std::size_t Network::reset_some(std::uint32_t ip, double share) {
    std::vector<CallPtr> struck;
    for (const auto& [number, call] : calls_)
        if ((call->from == ip || call->to == ip) && random_.unit() < share) struck.push_back(call);
    for (const CallPtr& call : struck) {
        if (call->over) continue;
        if (call->arrived && call->on_closed) in_process(call->to, call->to_epoch, call->on_closed);
        reset_by_kernel(call);
    }
    return struck.size();
}

void Network::pass(const CallPtr& call, bool forth, Task then, Task taken) {
    if (call->over) return;
    const std::uint32_t from = forth ? call->from : call->to, to = forth ? call->to : call->from;
    time_.after(
        delay(), [this, call, forth, from, to, then = std::move(then), taken = std::move(taken)]() mutable {
            if (call->over) return;
            const auto at = machines_.find(to);
            if (at == machines_.end() || !at->second.powered || !passes(from, to) || !machine(from).powered) {
                if (machine(from).powered)
                    time_.after(kAgain, [this, call, forth, then = std::move(then),
                                         taken = std::move(taken)]() mutable {
                        pass(call, forth, std::move(then), std::move(taken));
                    });
                return;
            }
            const std::uint64_t epoch = forth ? call->to_epoch : call->from_epoch;
            if (!at->second.running || (epoch != 0 && epoch != at->second.epoch)) {
                if (forth) reset(call);
                return;
            }
            if (taken) taken();
            in_process(to, at->second.epoch, [call, then = std::move(then)] {
                if (!call->over) then();
            });
        });
}

void Network::reset(const CallPtr& call) {
    if (call->over) return;
    time_.after(delay(), [this, call] {
        if (call->over) return;
        if (!passes(call->to, call->from)) return time_.after(kAgain, [this, call] { reset(call); });
        in_process(call->from, call->from_epoch, [this, call] {
            if (call->over) return;
            finish(call);
            call->on_broken(!call->connected);
        });
    });
}

void Network::reply(const CallPtr& call, Task at_caller) {
    pass(call, false, [this, call, what = std::move(at_caller)] {
        finish(call);
        what();
    });
}

void Network::close(const CallPtr& call) {
    if (call->over) return;
    finish(call);
    if (call->arrived && call->on_closed)
        time_.after(delay(), [this, call] { in_process(call->to, call->to_epoch, call->on_closed); });
}

void Network::finish(const CallPtr& call) {
    call->over = true;
    calls_.erase(call->number);
}

}  // namespace cobaltshift::simmesh
