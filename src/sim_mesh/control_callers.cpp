#include "sim_mesh/control_callers.hpp"

#include <algorithm>
#include <cstdlib>
#include <limits>

namespace cobaltshift::simmesh {

namespace {

constexpr Millis kSilence = 1000, kLeastDelay = 1, kMostDelay = 5, kFirstPause = 60, kMostPause = 700;
constexpr int kMostRedirects = 2;
const std::string kMarkRoute = "mark", kMarkPrefix = "/c";

std::string route(const std::string& name, const std::string& prefix, bool valid) {
    return "\"" + name + "\":{\"host\":\"shop\",\"path_prefix\":\"" + prefix +
           "\",\"route_kind\":\"plain\",\"deadline_s\":" + (valid ? "2.5" : "0") +
           ",\"target_s\":0.4,\"priority\":1,\"service\":\"s\",\"tries\":2}";
}

// The number of the change that made this configuration.
std::uint64_t change_of(const config::Configuration& configuration) {
    const auto mark = configuration.routes.find(kMarkRoute);
    if (mark == configuration.routes.end()) return 0;
    return std::strtoull(mark->second.path_prefix.c_str() + kMarkPrefix.size(), nullptr, 10);
}

}  // namespace

Callers::Callers(ControlCluster& cluster, const CallersSettings& settings, std::uint64_t seed)
    : cluster_(cluster), settings_(settings), random_(seed) {
    for (std::size_t i = 0; i < settings.operators + settings.readers; ++i) {
        Caller caller;
        caller.reads = i >= settings.operators;
        caller.name = (caller.reads ? "reader " : "operator ") + std::to_string(i);
        caller.at = cluster.now + 50 * static_cast<double>(i);
        caller.last_turn = cluster.now;
        callers_.push_back(std::move(caller));
    }
}

bool Callers::idle() const {
    return std::all_of(callers_.begin(), callers_.end(), [](const Caller& c) { return !c.operation; });
}

config::Change Callers::acknowledged_change(std::size_t ago) const {
    return acknowledged_.at(acknowledged_.size() - 1 - ago).call;
}

void Callers::turn() {
    for (Caller& caller : callers_) {
        if (caller.operation && calm_) caller.calm_wait += cluster_.now - caller.last_turn;
        if (!calm_) caller.calm_wait = 0;
        caller.last_turn = cluster_.now;
        longest_calm_wait_ = std::max(longest_calm_wait_, caller.calm_wait);
        if (caller.phase == Phase::waiting) {
            wait(caller);
        } else if (cluster_.now >= caller.at) {
            if (caller.phase == Phase::resting)
                begin(caller);
            else if (caller.phase == Phase::asking)
                ask(caller);
            else if (caller.phase == Phase::hearing)
                hear(caller);
        }
    }
}

std::uint32_t Callers::any_node() {
    auto at = cluster_.hubs.begin();
    std::advance(at, random_.below(cluster_.hubs.size()));
    return at->first;
}

std::string Callers::body(std::uint64_t change, std::uint64_t edition, bool valid) {
    std::string routes = route(kMarkRoute, kMarkPrefix + std::to_string(change) + "/", valid);
    for (std::size_t i = 1; i < settings_.routes; ++i)
        routes += "," + route("x" + std::to_string(i), "/x" + std::to_string(i) + "/", true);
    return "{\"edition\":\"r" + std::to_string(edition) + "\",\"routes\":{" + routes +
           "},\"services\":{\"s\":{\"health_path\":\"/health\",\"max_connections\":100}},\"limits\":"
           "{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_read_s\":3,\"idle_timeout_s\":15}"
           "}";
}

void Callers::begin(Caller& caller) {
    if (!caller.operation) {
        if (finishing_) return;
        Operation operation;
        operation.who = caller.name;
        if (caller.reads)
            ++counts_.readings;
        else
            begin_change(caller, operation);
        operation.called = cluster_.now;
        caller.operation = history_.size();
        caller.pause = kFirstPause;
        caller.calm_wait = 0;
        history_.push_back(std::move(operation));
    }
    caller.node = any_node();
    caller.redirects = 0;
    caller.phase = Phase::asking;
    caller.sent = cluster_.now;
    caller.at = cluster_.now + kLeastDelay + (kMostDelay - kLeastDelay) * random_.unit();
}

void Callers::begin_change(Caller& caller, Operation& operation) {
    operation.kind = Operation::Kind::change;
    if (!acknowledged_.empty() && chance(settings_.resends)) {
        ++counts_.resends;
        // The newest, or any other.
        const std::size_t ago = chance(0.5) ? 0 : random_.below(acknowledged_.size());
        const Acknowledged& again = acknowledged_[acknowledged_.size() - 1 - ago];
        operation.change = again.change;
        operation.base = again.call.if_match;
        operation.edition = again.edition;
        caller.change = again.call;
        return;
    }
    const bool race = chance(settings_.same_base);
    operation.base = race ? newest_known_edition_ : caller.known_edition;
    operation.edition = operation.base + 1 + (race ? 0 : random_.below(3));
    operation.change = next_change_++;
    operation.valid = !chance(settings_.invalid);
    caller.change.kind = config::Change::Kind::put;
    caller.change.if_match = operation.base;
    caller.change.body = body(operation.change, operation.edition, operation.valid);
}

void Callers::ask(Caller& caller) {
    caller.phase = Phase::waiting;
    caller.client = 0;
    if (!finishing_ && chance(settings_.requests_lost)) {
        caller.calm_wait = 0;  // what is lost on its way is no member's delay
        return;
    }
    const auto hub = cluster_.hubs.find(caller.node);
    if (hub == cluster_.hubs.end() || !hub->second.replica) return again(caller);  // refused at once
    if (hub->second.frozen) return;
    caller.client = caller.reads ? cluster_.get(caller.node) : cluster_.put(caller.node, caller.change);
}

void Callers::wait(Caller& caller) {
    const control::Reply* reply = caller.client != 0 ? cluster_.reply(caller.client) : nullptr;
    if (reply) {
        longest_answer_ = std::max(longest_answer_, cluster_.now - caller.sent);
        caller.reply = *reply;
        caller.client = 0;
        if (!finishing_ && chance(settings_.answers_lost)) {
            ++counts_.answers_lost;
            caller.calm_wait = 0;
        } else {
            caller.phase = Phase::hearing;
            caller.at = cluster_.now + kLeastDelay + (kMostDelay - kLeastDelay) * random_.unit();
            return;
        }
    }
    if (cluster_.now >= caller.sent + kSilence) again(caller);
}

void Callers::again(Caller& caller) {
    ++counts_.unclear;
    caller.phase = Phase::resting;
    caller.at = cluster_.now + caller.pause;
    caller.pause = std::min(kMostPause, caller.pause * 1.5);
    // A reading that got no answer says nothing: the next try is one of its own.
    if (caller.reads) history_[*caller.operation].called = caller.at;
}

void Callers::hear(Caller& caller) {
    using Kind = control::Reply::Kind;
    const control::Reply& reply = caller.reply;
    Operation& operation = history_[*caller.operation];
    switch (reply.kind) {
        case Kind::elsewhere:
            ++counts_.redirects;
            if (caller.redirects++ >= kMostRedirects) return again(caller);
            caller.node = reply.leader;
            caller.phase = Phase::asking;
            caller.sent = cluster_.now;
            caller.at = cluster_.now + kLeastDelay;
            return;
        case Kind::unavailable:
            return again(caller);
        case Kind::config:
        case Kind::no_config:
            operation.seen_change = reply.current ? change_of(*reply.current) : 0;
            operation.seen_edition = reply.current ? reply.current->edition : 0;
            newest_known_edition_ = std::max(newest_known_edition_, operation.seen_edition);
            return done(caller, Operation::Answer::value);
        case Kind::taken: {
            caller.known_edition = std::max(caller.known_edition, operation.edition);
            newest_known_edition_ = std::max(newest_known_edition_, operation.edition);
            newest_acknowledged_edition_ = std::max(newest_acknowledged_edition_, operation.edition);
            acknowledged_.push_back({operation.change, caller.change, operation.edition});
            done(caller, Operation::Answer::taken);
            if (on_acknowledged) on_acknowledged();
            return;
        }
        case Kind::stale:
            ++counts_.refused;
            operation.seen_edition = reply.edition;
            caller.known_edition = std::max(caller.known_edition, reply.edition);
            return done(caller, Operation::Answer::stale);
        case Kind::invalid:
            ++counts_.invalid;
            return done(caller, Operation::Answer::invalid);
    }
}

void Callers::done(Caller& caller, Operation::Answer answer) {
    Operation& operation = history_[*caller.operation];
    operation.answer = answer;
    operation.returned = cluster_.now;
    caller.operation.reset();
    caller.calm_wait = 0;
    caller.phase = Phase::resting;
    caller.at = cluster_.now + around(caller.reads ? settings_.read_pause : settings_.change_pause);
}

}  // namespace cobaltshift::simmesh
