// The caller's side of a service's servers: requests, their attempts and the servers' table round the
// decision module. What happens becomes events of the module, in order and never re-entrantly; its actions
// are carried out in order. Nothing is chosen, retried or refused here.
//
// Entry type: Caller. Free of I/O: sockets, time, messages and the protocol's words are the Surroundings'.
// Driven over sockets by net::Sidecar, in virtual time by sim_mesh.
//
// Invariants:
//   - a request gets one final answer;
//   - no attempt goes to a server that is not listed as open, whatever was decided before it was told away;
//   - the module hears of the end of every attempt that it asked for, once.
//
// What Surroundings provide:
//   types   RequestPtr, Response, ClientPtr, Endpoint, Story (of one request)
//   Millis now()
//   void post_pump()                 calls pump() a turn later
//   void wake_at(Millis)             calls wake() then, in place of the time before
//   void send(AttemptKey, ServerId, const Endpoint&, const RequestPtr&, Millis until)
//   void expire(AttemptKey)  void cancel(AttemptKey)  void withdraw_request(RequestId)
//   void withdraw_server(ServerId)  void retire(ServerId)  void close_idle(ServerId)
//   void probe(ServerId, const Endpoint&)
//   RequestArrived classify(const RequestPtr&, Story&)      all but the id and the time left
//   bool may_send(const RequestPtr&, Story&, const std::string& server)
//   Reading read(Outcome, const Response*, Story&)
//   void answer(const ClientPtr&, Response&&, bool own)     `own`: not a server's
//   Response refusal(Story&, Millis retry_in)  Response failure(Story&)
//   ZoneId zone_number(const std::string&)
//   void carry_out(const TellPeer&) (const Subscribe&) (const FetchList&)
//   void log(const std::string& text, const std::string& server)
//   void arrived(std::uint32_t class_index)  void sent(ServerId)  void ended(ServerId, Outcome, Millis,
//   class)
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "exchange/attempt_key.hpp"
#include "module.hpp"
#include "names.hpp"

namespace cobaltshift::caller {

// How an attempt's end reads in the protocol's words.
struct Reading {
    Outcome outcome;
    bool final = false;   // the answer goes to the client as it is, once tidied
    bool offered = true;  // a server had it before it
};

template <class Surroundings>
class Caller {
public:
    using RequestPtr = typename Surroundings::RequestPtr;
    using Response = typename Surroundings::Response;
    using ClientPtr = typename Surroundings::ClientPtr;
    using Endpoint = typename Surroundings::Endpoint;
    using Story = typename Surroundings::Story;

    struct Server {
        std::string name;
        Endpoint dial{};
        Phase phase = Phase::on;
        Millis born = 0;
        bool listed = false;
        std::uint32_t out = 0;  // attempts and probes
    };

    Caller(Surroundings& surroundings, const Settings& settings, std::uint64_t seed)
        : surroundings_(surroundings), balancer_(settings, seed) {}
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    // ---- Events ----------------------------------------------------------------------------------------

    void push(Event event) {
        events_.push_back(std::move(event));
        if (std::exchange(pump_posted_, true)) return;
        surroundings_.post_pump();
    }

    void pump() {
        pump_posted_ = false;
        while (!events_.empty()) {
            const Event event = std::move(events_.front());
            events_.pop_front();
            actions_.clear();
            balancer_.handle(surroundings_.now(), event, actions_);
            for (const Action& action : actions_)
                std::visit([this](const auto& what) { this->carry_out(what); }, action);
            if (const auto* ended = std::get_if<AttemptEnded>(&event)) drop_request(ended->id);
        }
        arm();
    }

    RequestId arrived(RequestPtr message, Millis time_left, ClientPtr client) {
        const RequestId id = next_request_++;
        Request& request = requests_[id];
        RequestArrived event = surroundings_.classify(message, request.story);
        event.id = id;
        event.time_left = time_left;
        request.class_index = event.class_index;
        request.message = std::move(message);
        request.client = std::move(client);
        ++unanswered_;
        push(event);
        surroundings_.arrived(event.class_index);
        return id;
    }

    void client_gone(RequestId id) {
        const auto at = requests_.find(id);
        if (at == requests_.end() || at->second.ended) return;
        at->second.ended = true;
        --unanswered_;
        surroundings_.withdraw_request(id);
        push(ClientGone{id});
        drop_request(id);
    }

    // Every request gets its final answer now, by what is known of it; what has not begun to be written never
    // will be, and all else that is out is no longer waited for.
    void answer_all() {
        std::vector<RequestId> open;
        for (const auto& [id, request] : requests_)
            if (!request.ended) open.push_back(id);
        for (const RequestId id : open) answer_now(id);
    }

    // `hosts`: name, dial, zone, cell, phase, born and units of each. Gives what the module was told.
    template <class Hosts>
    std::vector<ServerInfo> told(ListKind kind, bool whole, const Hosts& hosts) {
        ServerList event{kind, {}};
        if (whole)
            for (auto& [id, server] : servers_) server.listed = false;
        for (const auto& host : hosts) {
            const ServerId id = number_of(host.name);
            Server& server = servers_[id];
            // Another process, or another address: what is open leads nowhere.
            if (server.born != host.born || server.dial != host.dial) surroundings_.retire(id);
            server.born = host.born;
            server.phase = host.phase;
            server.listed = host.phase != Phase::off;
            if (server.listed) server.dial = host.dial;
            event.servers.push_back(
                {id, surroundings_.zone_number(host.zone), host.cell, host.phase, host.born, host.units});
        }
        // Nothing that is still connecting goes to a server that drains or is gone: told is told from here
        // on.
        std::vector<ServerId> closed;
        for (const auto& [id, server] : servers_)
            if (!server.listed || server.phase != Phase::on) closed.push_back(id);
        for (const ServerId id : closed) surroundings_.withdraw_server(id);
        std::vector<ServerInfo> listed = event.servers;
        push(std::move(event));
        for (const ServerId id : closed) drop_server(id);
        return listed;
    }

    void attempt_ended(AttemptKey key, Outcome outcome, Response* response) {
        const auto at = requests_.find(key.id);
        if (at == requests_.end()) return;
        Request& request = at->second;
        --request.out;
        const auto [sent_at, server_id] = request.sent[key.attempt];
        AttemptEnded event{key.id, key.attempt, outcome, surroundings_.now() - sent_at, false};
        const Reading reading = surroundings_.read(outcome, response, request.story);
        event.outcome = reading.outcome;
        if (reading.final) answer(key.id, request, std::move(*response), false);
        event.request_ended = request.ended;
        push(event);
        surroundings_.ended(server_id, event.outcome, event.duration, request.class_index);
        if (const auto server = servers_.find(server_id); server != servers_.end()) --server->second.out;
        drop_server(server_id);
    }

    void probe_ended(ServerId id, Outcome outcome, Millis duration) {
        push(ProbeEnded{id, outcome, duration});
        if (const auto server = servers_.find(id); server != servers_.end()) --server->second.out;
        drop_server(id);
    }

    // The time that wake_at() named has come.
    void wake() {
        armed_for_ = 0;
        const Millis now = surroundings_.now();
        while (!due_.empty() && due_.top().at <= now) {
            const Due due = due_.top();
            due_.pop();
            if (due.attempt)
                surroundings_.expire(*due.attempt);
            else
                push(TimerFired{due.token});
        }
        arm();
    }

    // ---- What it holds ---------------------------------------------------------------------------------

    const Balancer& balancer() const { return balancer_; }
    std::size_t unanswered() const { return unanswered_; }
    std::size_t requests() const { return requests_.size(); }
    const std::map<ServerId, Server>& servers() const { return servers_; }

private:
    struct Request {
        RequestPtr message;
        ClientPtr client;
        std::uint32_t class_index = 0;
        std::uint32_t attempts = 0, out = 0;
        bool ended = false;
        Story story;
        std::vector<std::pair<Millis, ServerId>> sent;  // by attempt
    };
    // A time-out of an attempt comes before a timer for the same moment: a request that is over at its
    // deadline has then seen how its attempt ended.
    struct Due {
        Millis at = 0;
        int rank = 0;
        std::uint64_t order = 0;
        std::optional<AttemptKey> attempt;
        TimerToken token = 0;
        bool operator>(const Due& other) const {
            return std::tie(at, rank, order) > std::tie(other.at, other.rank, other.order);
        }
    };

    void arm() {
        if (due_.empty()) return;
        const Millis next = due_.top().at;
        if (armed_for_ == next) return;
        armed_for_ = next;
        surroundings_.wake_at(next);
    }

    ServerId number_of(const std::string& name) {
        const auto known = server_numbers_.find(name);
        if (known != server_numbers_.end()) return known->second;
        const ServerId id = server_number(name, [this](ServerId n) { return servers_.count(n) > 0; });
        server_numbers_[name] = id;
        servers_[id].name = name;
        return id;
    }

    void drop_server(ServerId id) {
        const auto at = servers_.find(id);
        if (at == servers_.end() || at->second.listed || at->second.out > 0) return;
        server_numbers_.erase(at->second.name);
        servers_.erase(at);
    }

    void drop_request(RequestId id) {
        const auto at = requests_.find(id);
        if (at != requests_.end() && at->second.ended && at->second.out == 0) requests_.erase(at);
    }

    void answer(RequestId id, Request& request, Response&& response, bool own) {
        if (request.ended) return;
        request.ended = true;
        --unanswered_;
        surroundings_.answer(request.client, std::move(response), own);
        surroundings_.withdraw_request(id);
    }

    void answer_now(RequestId id) {
        const auto at = requests_.find(id);
        if (at == requests_.end() || at->second.ended) return;
        Request& request = at->second;
        request.ended = true;  // no attempt that ends from here on leads to another
        --unanswered_;
        surroundings_.withdraw_request(id);
        for (std::uint32_t attempt = 0; attempt < request.attempts; ++attempt)
            surroundings_.expire({id, attempt});
        surroundings_.answer(request.client, surroundings_.refusal(request.story, 0), true);
        push(ClientGone{id});
        drop_request(id);
    }

    // ---- Actions ---------------------------------------------------------------------------------------

    void carry_out(const Send& action) {
        const auto at = requests_.find(action.id);
        const auto to = servers_.find(action.server);
        if (at == requests_.end()) return;
        Request& request = at->second;
        const AttemptKey key{action.id, request.attempts++};
        request.sent.emplace_back(surroundings_.now(), action.server);
        ++request.out;
        if (to != servers_.end()) ++to->second.out;
        surroundings_.sent(action.server);
        // Between the decision and now the request may have ended, or its server been told away.
        if (request.ended || to == servers_.end() || !to->second.listed || to->second.phase != Phase::on)
            return attempt_ended(key, Outcome::superseded, nullptr);
        if (!surroundings_.may_send(request.message, request.story, to->second.name))
            return attempt_ended(key, Outcome::superseded, nullptr);
        due_.push({action.try_until, 0, due_order_++, key, 0});
        surroundings_.send(key, action.server, to->second.dial, request.message, action.try_until);
    }

    void carry_out(const Cancel& action) { surroundings_.cancel({action.id, action.attempt}); }

    void carry_out(const Refuse& action) {
        const auto at = requests_.find(action.id);
        if (at == requests_.end()) return;
        answer(action.id, at->second, surroundings_.refusal(at->second.story, action.retry_in), true);
        drop_request(action.id);
    }

    void carry_out(const GiveUp& action) {
        const auto at = requests_.find(action.id);
        if (at == requests_.end()) return;
        answer(action.id, at->second, surroundings_.failure(at->second.story), true);
        drop_request(action.id);
    }

    void carry_out(const SetTimer& action) {
        due_.push({action.at, 1, due_order_++, std::nullopt, action.token});
    }

    void carry_out(const Probe& action) {
        const auto to = servers_.find(action.server);
        if (to == servers_.end() || !to->second.listed)
            return push(ProbeEnded{action.server, Outcome::refused_connection, 0});
        ++to->second.out;
        surroundings_.probe(action.server, to->second.dial);
    }

    void carry_out(const CloseIdle& action) { surroundings_.close_idle(action.server); }
    void carry_out(const TellPeer& action) { surroundings_.carry_out(action); }
    void carry_out(const Subscribe& action) { surroundings_.carry_out(action); }
    void carry_out(const FetchList& action) { surroundings_.carry_out(action); }

    void carry_out(const Log& action) {
        const auto at = action.server ? servers_.find(*action.server) : servers_.end();
        surroundings_.log(action.text, at == servers_.end() ? std::string() : at->second.name);
    }

    Surroundings& surroundings_;
    Balancer balancer_;
    std::deque<Event> events_;
    bool pump_posted_ = false;
    std::vector<Action> actions_;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
    std::uint64_t due_order_ = 0;
    Millis armed_for_ = 0;
    std::unordered_map<RequestId, Request> requests_;
    RequestId next_request_ = 1;
    std::size_t unanswered_ = 0;
    std::unordered_map<std::string, ServerId> server_numbers_;
    std::map<ServerId, Server> servers_;
};

}  // namespace cobaltshift::caller
