// Test harness: a balancer with a virtual clock, its requests and timers, and a check of every action
// against rules 1 to 3 (one final answer in time; no forbidden repeat; nothing to draining servers). The
// check follows the rules as stated and shares no code with the module.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "kelplb/balancer.hpp"

namespace kelplb::test {

inline RequestClass make_class(Effect effect, DedupScope scope = DedupScope::all, Millis window = 3000) {
    RequestClass c;
    c.effect = effect;
    c.dedup_scope = scope;
    c.dedup_window = window;
    c.latency_target = 400;
    return c;
}

inline Settings make_settings(std::vector<RequestClass> classes = {make_class(Effect::repeatable)}) {
    Settings s;
    s.classes = std::move(classes);
    s.max_attempts = 4;
    s.cold_capacity = 0.2;
    s.warmup_time = 20000;
    return s;
}

inline std::vector<ServerInfo> make_servers(ServerId count, Millis online_since = 0) {
    std::vector<ServerInfo> servers;
    for (ServerId i = 1; i <= count; ++i) servers.push_back({i, i % 3, i % 2, Phase::on, online_since});
    return servers;
}

struct Rig {
    struct Attempt {
        ServerId server;
        Millis at;
        Millis until;
        bool outstanding = true;
        bool may_have_run = true;
    };
    struct Request {
        RequestClass kind;
        Millis deadline;
        std::vector<Attempt> sent;
        int answers = 0;
        bool gone = false;
        bool refused = false;
    };

    Settings settings;
    Balancer balancer;
    Millis now = 100000;
    std::map<RequestId, Request> requests;
    std::map<ServerId, ServerInfo> servers;  // as last listed
    std::multimap<Millis, TimerToken> timers;
    std::vector<Action> last_actions;  // of the last event
    RequestId next_id = 1;
    std::vector<std::string> logs;
    std::vector<Millis> retry_delays;  // of the refusals

    explicit Rig(Settings s, std::uint64_t seed = 1) : settings(s), balancer(std::move(s), seed) {}

    void deliver(const Event& event) {
        last_actions.clear();
        balancer.handle(now, event, last_actions);
        for (const Action& a : last_actions) check_action(a);
    }

    void apply_list(ListKind kind, const std::vector<ServerInfo>& infos) {
        if (kind != ListKind::incremental && kind != ListKind::failed)
            for (auto& [id, s] : servers) s.phase = Phase::off;
        for (const ServerInfo& s : infos) servers[s.id] = s;
        deliver(ServerList{kind, infos});
    }

    RequestId request(std::uint32_t class_index = 0, Millis time_left = 1000, bool repeat = false) {
        const RequestId id = next_id++;
        RequestClass kind = make_class(Effect::once);
        if (class_index < settings.classes.size()) kind = settings.classes[class_index];
        requests[id] = {kind, now + time_left, {}, 0, false, false};
        deliver(RequestArrived{id, class_index, time_left, 0, repeat});
        return id;
    }

    std::vector<RequestId> burst(int count, Millis time_left = 1000, bool repeat = false) {
        std::vector<RequestId> ids;
        for (int i = 0; i < count; ++i) ids.push_back(request(0, time_left, repeat));
        return ids;
    }
    int count_outstanding(const std::vector<RequestId>& ids) const {
        return static_cast<int>(
            std::count_if(ids.begin(), ids.end(), [&](RequestId id) { return outstanding(id); }));
    }
    // After a delay, completes all of them that are outstanding.
    void complete(const std::vector<RequestId>& ids, Millis after) {
        now += after;
        for (const RequestId id : ids)
            if (outstanding(id)) end(id, Outcome::completed, 0);
    }

    // Ends the first outstanding attempt of the request.
    void end(RequestId id, Outcome outcome, Millis after = 50) {
        now += after;
        Request& r = requests.at(id);
        for (std::uint32_t i = 0; i < r.sent.size(); ++i)
            if (r.sent[i].outstanding) return end_attempt(id, i, outcome);
        FAIL() << "no outstanding attempt of request " << id;
    }

    void end_attempt(RequestId id, std::uint32_t attempt, Outcome outcome) {
        Request& r = requests.at(id);
        Attempt& s = r.sent.at(attempt);
        s.outstanding = false;
        s.may_have_run = outcome != Outcome::saturated && outcome != Outcome::refused_connection &&
                         outcome != Outcome::not_sent;
        if (outcome == Outcome::completed && !answered(r)) ++r.answers;
        AttemptEnded e{id, attempt, outcome, now - s.at, answered(r)};
        deliver(e);
    }

    // Advances the clock, firing timers and ending attempts at their time-out.
    void advance(Millis span) {
        const Millis until = now + span;
        for (;;) {
            Millis next = until;
            if (!timers.empty()) next = std::min(next, timers.begin()->first);
            std::pair<RequestId, std::uint32_t> late{0, 0};
            for (auto& [id, r] : requests)
                for (std::uint32_t i = 0; i < r.sent.size(); ++i)
                    if (r.sent[i].outstanding && std::max(now, r.sent[i].until) < next) {
                        next = std::max(now, r.sent[i].until);
                        late = {id, i};
                    }
            now = std::max(now, next);
            if (late.first) {
                end_attempt(late.first, late.second, Outcome::timed_out);
            } else if (!timers.empty() && timers.begin()->first <= now && now <= until) {
                const TimerToken token = timers.begin()->second;
                timers.erase(timers.begin());
                deliver(TimerFired{token});
            } else {
                return;
            }
        }
    }

    bool answered(const Request& r) const { return r.answers > 0 || r.gone; }
    bool outstanding(RequestId id) const {
        const auto& sent = requests.at(id).sent;
        return std::any_of(sent.begin(), sent.end(), [](const Attempt& s) { return s.outstanding; });
    }
    ServerId server_of(RequestId id) const { return requests.at(id).sent.back().server; }
    std::size_t attempts(RequestId id) const { return requests.at(id).sent.size(); }
    auto removals() const { return std::count(logs.begin(), logs.end(), "removed from the pool"); }
    template <class T>
    int count() const {
        return static_cast<int>(std::count_if(last_actions.begin(), last_actions.end(),
                                              [](const Action& a) { return std::get_if<T>(&a); }));
    }

    void check_action(const Action& action) {
        if (const auto* send = std::get_if<Send>(&action)) check_send(*send);
        if (const auto* refuse = std::get_if<Refuse>(&action)) {
            Request& r = requests.at(refuse->id);
            const Attempt* first = nullptr;
            for (const Attempt& s : r.sent)
                if (s.may_have_run && !first) first = &s;
            if (first) {
                EXPECT_TRUE(r.kind.effect == Effect::repeatable ||
                            (r.kind.effect == Effect::by_key && r.kind.dedup_scope == DedupScope::all))
                    << "rule 2: refused after a possible run";
            }
            r.refused = true;
            retry_delays.push_back(refuse->retry_in);
            check_answer(r);
        }
        if (const auto* failed = std::get_if<Fail>(&action)) check_answer(requests.at(failed->id));
        if (const auto* timer = std::get_if<SetTimer>(&action)) timers.emplace(timer->at, timer->token);
        if (const auto* log = std::get_if<Log>(&action)) logs.push_back(log->text);
    }

    void check_answer(Request& r) {
        EXPECT_FALSE(answered(r)) << "rule 1: a second final answer";
        EXPECT_LE(now, r.deadline) << "rule 1: too late an answer";
        ++r.answers;
    }

    void check_send(const Send& send) {
        Request& r = requests.at(send.id);
        EXPECT_FALSE(answered(r)) << "rule 1: sent after the final answer";
        EXPECT_LT(r.sent.size(), settings.max_attempts) << "too many attempts";
        EXPECT_EQ(servers.at(send.server).phase, Phase::on) << "rule 3: sent to a draining or gone server";
        const ServerInfo& to = servers.at(send.server);
        const Attempt* first = nullptr;
        for (const Attempt& s : r.sent) {
            if (s.outstanding) {
                EXPECT_TRUE(settings.parallel_attempts) << "two attempts outstanding";
            }
            if (!s.may_have_run) continue;
            if (!first) first = &s;
            EXPECT_NE(r.kind.effect, Effect::once) << "rule 2: sent again after a possible run";
            if (r.kind.effect != Effect::by_key) continue;
            const ServerInfo& before = servers.at(s.server);
            if (r.kind.dedup_scope == DedupScope::zone) {
                EXPECT_EQ(to.zone, before.zone) << "rule 2: zone";
            }
            if (r.kind.dedup_scope == DedupScope::cell) {
                EXPECT_EQ(to.cell, before.cell) << "rule 2: cell";
            }
        }
        if (first && r.kind.effect == Effect::by_key) {
            EXPECT_LT(now, first->at + r.kind.dedup_window) << "rule 2: after the window";
        }
        r.sent.push_back(
            {send.server, now, send.attempt_deadline > 0 ? send.attempt_deadline : r.deadline, true, true});
    }

    // Runs until everything has timed out: each request must then have its answer and be erased.
    void expect_all_answered() {
        advance(60000);
        for (const auto& [id, r] : requests)
            EXPECT_TRUE(answered(r)) << "rule 1: request " << id << " unanswered";
        EXPECT_EQ(balancer.held().requests, 0U);
    }
};

}  // namespace kelplb::test
