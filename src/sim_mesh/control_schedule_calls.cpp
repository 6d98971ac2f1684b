// The calls of a schedule: when they come, at whom they are made, what is answered.
#include <algorithm>

#include "sim_mesh/control_schedule.hpp"

namespace cobaltshift::simmesh {

using control::Replica;
using control::Reply;
using Safeguard = ControlCheck::Safeguard;

namespace {
constexpr Millis kReadEvery = 25, kChangeEvery = 110, kAgainAt = 260, kLastCall = 600;
constexpr int kMostTries = 20;

std::string body(std::uint64_t change, std::uint64_t edition) {
    return "{\"edition\":\"r" + std::to_string(edition) +
           "\",\"routes\":{\"mark\":{\"host\":\"h\",\"path_prefix\":\"/" + std::to_string(change) +
           "/\",\"route_kind\":\"plain\",\"deadline_s\":1,\"target_s\":1,\"priority\":0,\"service\":\"s\","
           "\"tries\":1}},"
           "\"services\":{\"s\":{\"health_path\":\"/"
           "\",\"max_connections\":1}},\"limits\":{\"max_header_bytes\":1,"
           "\"max_body_bytes\":1,\"header_read_s\":1,\"idle_timeout_s\":1}}";
}

std::uint64_t change_of(const config::Configuration& configuration) {
    return std::strtoull(configuration.routes.at("mark").path_prefix.c_str() + 1, nullptr, 10);
}
}  // namespace

// Readings all the time, two changes on one base at once now and then, the first one sent again.
const std::vector<Scripted>& script() {
    static const std::vector<Scripted> all = [] {
        std::vector<Scripted> calls;
        for (Millis at = 0; at <= kLastCall; at += kChangeEvery)
            calls.insert(calls.end(), 2, {at, Scripted::What::change});
        for (Millis at = 10; at <= kLastCall; at += kReadEvery) calls.push_back({at, Scripted::What::read});
        calls.push_back({kAgainAt, Scripted::What::first_change_again});
        std::stable_sort(calls.begin(), calls.end(),
                         [](const Scripted& a, const Scripted& b) { return a.at < b.at; });
        return calls;
    }();
    return all;
}

void Schedule::begin(const Scripted& scripted) {
    Operation operation;
    operation.called = now_;
    operation.who = "call " + std::to_string(history_.size());
    if (scripted.what != Scripted::What::read) {
        const bool again = scripted.what == Scripted::What::first_change_again;
        operation.kind = Operation::Kind::change;
        operation.change = again ? 1 : ++changes_;
        operation.base = again ? 0 : newest_known_;
        operation.edition = operation.base + 1;
    }
    history_.push_back(operation);
    ask({0, history_.size() - 1, 0, 0, 0});
}

void Schedule::ask(Call call) {
    std::vector<std::size_t> leaders, all;
    for (std::size_t m = 0; m < kMachines; ++m) {
        if (!replicas_[m]) continue;
        all.push_back(m);
        if (replicas_[m]->raft().leads()) leaders.push_back(m);
    }
    const std::vector<std::size_t>& among = leaders.empty() ? all : leaders;
    call.until = now_ + kSilence;
    if (!among.empty()) {
        call.machine = among[(call.operation + static_cast<std::size_t>(call.tries)) % among.size()];
        call.client = ++clients_;
    }
    calls_.push_back(call);
    if (among.empty()) return;
    const Operation& operation = history_[call.operation];
    Replica& replica = own(replicas_[call.machine]);
    if (answers_without_majority(call, replica)) return;
    if (operation.kind == Operation::Kind::read)
        replica.read(clock(), call.client);
    else
        replica.change(
            clock(), call.client,
            {config::Change::Kind::put, operation.base, body(operation.change, operation.edition)});
    pump(call.machine);
}

bool Schedule::answers_without_majority(const Call& call, Replica& replica) {
    if (!replica.raft().leads()) return false;
    const Operation& operation = history_[call.operation];
    Reply reply;
    reply.client = call.client;
    reply.current = replica.state_machine().current();
    reply.edition = replica.state_machine().edition();
    const bool reads = operation.kind == Operation::Kind::read;
    if (reads && what_.out == Safeguard::majority_for_readings) {
        reply.kind = reply.current ? Reply::Kind::config : Reply::Kind::no_config;
    } else if (!reads && reply.edition != operation.base && what_.out == Safeguard::majority_for_refusals &&
               operation.change > 1) {
        reply.kind = Reply::Kind::stale;
    } else if (!reads && reply.edition == operation.base &&
               what_.out == Safeguard::acknowledged_after_commit) {
        replica.change(
            clock(), ++clients_,
            {config::Change::Kind::put, operation.base, body(operation.change, operation.edition)});
        reply.kind = Reply::Kind::taken;
    } else {
        return false;
    }
    pump(call.machine);
    answered(reply);
    return true;
}

void Schedule::answered(const Reply& reply) {
    const auto at =
        std::find_if(calls_.begin(), calls_.end(), [&](const Call& c) { return c.client == reply.client; });
    if (reply.client == 0 || at == calls_.end()) return;
    Operation& operation = history_[at->operation];
    switch (reply.kind) {
        case Reply::Kind::elsewhere:
        case Reply::Kind::unavailable:
            at->client = 0;
            at->until = now_ + kBack;
            return;
        case Reply::Kind::config:
        case Reply::Kind::no_config:
            operation.answer = Operation::Answer::value;
            operation.seen_change = reply.current ? change_of(*reply.current) : 0;
            break;
        case Reply::Kind::taken:
            operation.answer = Operation::Answer::taken;
            break;
        case Reply::Kind::stale:
            operation.answer = Operation::Answer::stale;
            operation.seen_edition = reply.edition;
            break;
        case Reply::Kind::invalid:
            operation.answer = Operation::Answer::invalid;
            break;
    }
    if (operation.answer == Operation::Answer::taken)
        newest_known_ = std::max(newest_known_, operation.edition);
    newest_known_ = std::max({newest_known_, reply.edition, reply.current ? reply.current->edition : 0});
    operation.returned = now_;
    calls_.erase(at);
}

void Schedule::call_again() {
    for (std::size_t i = 0; i < calls_.size(); ++i) {
        if (calls_[i].until > now_) continue;
        Call call = calls_[i];
        calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(i--));
        ++call.tries;
        call.client = 0;
        if (history_[call.operation].kind == Operation::Kind::read) history_[call.operation].called = now_;
        ask(call);
        if (call.tries > kMostTries) break;
    }
}

void Schedule::check_history() {
    const Linearizability said = check_linearizable(history_);
    if (!said.holds) broken(said.why);
}

}  // namespace cobaltshift::simmesh
