// Caller side of one service: the table of its servers and the state of requests and their attempts, around
// the decision module (kelplb::Balancer). Incoming events are queued and handled by the module in order,
// never re-entrantly, and the module's actions are carried out in order. All decisions (which server, whether
// to retry or refuse) are the module's.
//
// Entry type: Caller. Does no I/O: sockets, time, messages and the protocol are provided by the Environment.
// Driven over sockets by Sidecar and in virtual time by sim_mesh. Not thread-safe.
//
// Invariants:
//   - a request gets exactly one final answer, unless its client has left;
//   - no attempt is sent to a server that is not listed with phase `on`, even if the module chose it before;
//   - the module is informed exactly once of the end of each attempt that it asked for.
//
// An Environment provides:
//   types   RequestPtr, Response, ClientPtr, Endpoint, RequestContext (protocol state of one request)
//   Millis now()
//   void post_pump()         calls pump() in the next turn of the event loop
//   void wake_at(Millis)     calls wake() at that time; replaces the time set before
//   void send(AttemptKey, ServerId, const Endpoint&, const RequestPtr&, Millis until)
//   void expire(AttemptKey)  void cancel(AttemptKey)  void withdraw_request(RequestId)
//   void withdraw_server(ServerId)  void retire(ServerId)  void close_idle(ServerId)
//   void probe(ServerId, const Endpoint&)
//   RequestArrived classify(const RequestPtr&, RequestContext&)    fills all but the id and the time left
//   bool may_send(const RequestPtr&, RequestContext&, const std::string& server)
//   AttemptResult read(Outcome, const Response*, RequestContext&)
//   void answer(const ClientPtr&, Response&&, bool own)   `own`: generated here, not by a server
//   Response refusal(RequestContext&, Millis retry_in)  Response failure(RequestContext&)
//   ZoneId zone_number(const std::string&)
//   void carry_out(const SendToPeer&), (const Subscribe&) and (const FetchList&)
//   void log(const std::string& text, const std::string& server)
//   void arrived(std::uint32_t class_index)  void sent(ServerId)
//   void ended(ServerId, Outcome, Millis duration, std::uint32_t class_index)
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

// How the protocol interprets the end of an attempt.
struct AttemptResult {
    Outcome outcome;
    bool final = false;          // the answer is passed to the client
    bool reached_server = true;  // a server received the request
};

template <class Environment>
class Caller {
public:
    using RequestPtr = typename Environment::RequestPtr;
    using Response = typename Environment::Response;
    using ClientPtr = typename Environment::ClientPtr;
    using Endpoint = typename Environment::Endpoint;
    using RequestContext = typename Environment::RequestContext;

    struct Server {
        std::string name;
        Endpoint dial{};
        Phase phase = Phase::on;
        Millis born = 0;
        bool listed = false;
        std::uint32_t in_flight = 0;  // attempts and probes
    };

    Caller(Environment& environment, const Settings& settings, std::uint64_t seed)
        : environment_(environment), balancer_(settings, seed) {}
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    // ---- Events ----------------------------------------------------------------------------------------

    void push(Event event) {
        events_.push_back(std::move(event));
        if (std::exchange(pump_posted_, true)) return;
        environment_.post_pump();
    }

    void pump() {
        pump_posted_ = false;
        while (!events_.empty()) {
            const Event event = std::move(events_.front());
            events_.pop_front();
            actions_.clear();
            balancer_.handle(environment_.now(), event, actions_);
            for (const Action& action : actions_)
                std::visit([this](const auto& what) { this->carry_out(what); }, action);
            if (const auto* ended = std::get_if<AttemptEnded>(&event)) drop_request(ended->id);
        }
        arm_timer();
    }

    RequestId arrived(RequestPtr message, Millis time_left, ClientPtr client) {
        const RequestId id = next_request_++;
        Request& request = requests_[id];
        RequestArrived event = environment_.classify(message, request.request_context);
        event.id = id;
        event.time_left = time_left;
        request.class_index = event.class_index;
        request.message = std::move(message);
        request.client = std::move(client);
        ++unanswered_;
        push(event);
        environment_.arrived(event.class_index);
        return id;
    }

    void client_gone(RequestId id) {
        const auto at = requests_.find(id);
        if (at == requests_.end() || at->second.ended) return;
        at->second.ended = true;
        --unanswered_;
        environment_.withdraw_request(id);
        push(ClientGone{id});
        drop_request(id);
    }

    // Gives every request its final answer now: a refusal if it certainly has not run, else a failure.
    // Attempts that have not begun to be written are withdrawn, all others expire.
    void answer_all() {
        std::vector<RequestId> open;
        for (const auto& [id, request] : requests_)
            if (!request.ended) open.push_back(id);
        for (const RequestId id : open) answer_now(id);
    }

    // Updates the server table from a discovery list. `whole`: servers that are not in the list are gone.
    // `hosts`: a range of structs with name, dial, zone, cell, phase, born and units. Returns the list that
    // was passed to the module.
    template <class Hosts>
    std::vector<ServerInfo> update_servers(ListKind kind, bool whole, const Hosts& hosts) {
        ServerList event{kind, {}};
        if (whole)
            for (auto& [id, server] : servers_) server.listed = false;
        for (const auto& host : hosts) {
            const ServerId id = server_id_of(host.name);
            Server& server = servers_[id];
            // Another process or another address: the open connections are of no use.
            if (server.born != host.born || server.dial != host.dial) environment_.retire(id);
            server.born = host.born;
            server.phase = host.phase;
            server.listed = host.phase != Phase::off;
            if (server.listed) server.dial = host.dial;
            event.servers.push_back(
                {id, environment_.zone_number(host.zone), host.cell, host.phase, host.born, host.units});
        }
        // Attempts that are still connecting to a draining or removed server are not sent: the new list
        // applies from here on.
        std::vector<ServerId> closed;
        for (const auto& [id, server] : servers_)
            if (!server.listed || server.phase != Phase::on) closed.push_back(id);
        for (const ServerId id : closed) environment_.withdraw_server(id);
        std::vector<ServerInfo> listed = event.servers;
        push(std::move(event));
        for (const ServerId id : closed) drop_server(id);
        return listed;
    }

    void attempt_ended(AttemptKey key, Outcome outcome, Response* response) {
        const auto at = requests_.find(key.id);
        if (at == requests_.end()) return;
        Request& request = at->second;
        --request.in_flight;
        const auto [sent_at, server_id] = request.sent[key.attempt];
        AttemptEnded event{key.id, key.attempt, outcome, environment_.now() - sent_at, false};
        const AttemptResult reading = environment_.read(outcome, response, request.request_context);
        event.outcome = reading.outcome;
        if (reading.final) answer(key.id, request, std::move(*response), false);
        event.request_ended = request.ended;
        push(event);
        environment_.ended(server_id, event.outcome, event.duration, request.class_index);
        if (const auto server = servers_.find(server_id); server != servers_.end())
            --server->second.in_flight;
        drop_server(server_id);
    }

    void probe_ended(ServerId id, Outcome outcome, Millis duration) {
        push(ProbeEnded{id, outcome, duration});
        if (const auto server = servers_.find(id); server != servers_.end()) --server->second.in_flight;
        drop_server(id);
    }

    // The time that was passed to wake_at() has come.
    void wake() {
        timer_at_ = 0;
        const Millis now = environment_.now();
        while (!due_.empty() && due_.top().at <= now) {
            const Due due = due_.top();
            due_.pop();
            if (due.attempt)
                environment_.expire(*due.attempt);
            else
                push(TimerFired{due.token});
        }
        arm_timer();
    }

    // ---- State -----------------------------------------------------------------------------------------

    const Balancer& balancer() const { return balancer_; }
    std::size_t unanswered() const { return unanswered_; }
    std::size_t requests() const { return requests_.size(); }
    const std::map<ServerId, Server>& servers() const { return servers_; }

private:
    struct Request {
        RequestPtr message;
        ClientPtr client;
        std::uint32_t class_index = 0;
        std::uint32_t attempts = 0, in_flight = 0;
        bool ended = false;
        RequestContext request_context;
        std::vector<std::pair<Millis, ServerId>> sent;  // time and server, by attempt number
    };
    // A timer of the module, or the time-out of an attempt. At equal times, attempts expire first (lower
    // rank), so that a request that ends at its deadline has seen how its attempt ended.
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

    void arm_timer() {
        if (due_.empty()) return;
        const Millis next = due_.top().at;
        if (timer_at_ == next) return;
        timer_at_ = next;
        environment_.wake_at(next);
    }

    ServerId server_id_of(const std::string& name) {
        const auto known = server_numbers_.find(name);
        if (known != server_numbers_.end()) return known->second;
        const ServerId id = server_number(name, [this](ServerId n) { return servers_.count(n) > 0; });
        server_numbers_[name] = id;
        servers_[id].name = name;
        return id;
    }

    void drop_server(ServerId id) {
        const auto at = servers_.find(id);
        if (at == servers_.end() || at->second.listed || at->second.in_flight > 0) return;
        server_numbers_.erase(at->second.name);
        servers_.erase(at);
    }

    void drop_request(RequestId id) {
        const auto at = requests_.find(id);
        if (at != requests_.end() && at->second.ended && at->second.in_flight == 0) requests_.erase(at);
    }

    void answer(RequestId id, Request& request, Response&& response, bool own) {
        if (request.ended) return;
        request.ended = true;
        --unanswered_;
        environment_.answer(request.client, std::move(response), own);
        environment_.withdraw_request(id);
    }

    void answer_now(RequestId id) {
        const auto at = requests_.find(id);
        if (at == requests_.end() || at->second.ended) return;
        Request& request = at->second;
        request.ended = true;  // the end of an attempt no longer leads to another one
        --unanswered_;
        environment_.withdraw_request(id);
        for (std::uint32_t attempt = 0; attempt < request.attempts; ++attempt)
            environment_.expire({id, attempt});
        environment_.answer(request.client, environment_.refusal(request.request_context, 0), true);
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
        request.sent.emplace_back(environment_.now(), action.server);
        ++request.in_flight;
        if (to != servers_.end()) ++to->second.in_flight;
        environment_.sent(action.server);
        // Since the decision the request may have ended, or its server been removed or drained.
        if (request.ended || to == servers_.end() || !to->second.listed || to->second.phase != Phase::on)
            return attempt_ended(key, Outcome::not_sent, nullptr);
        if (!environment_.may_send(request.message, request.request_context, to->second.name))
            return attempt_ended(key, Outcome::not_sent, nullptr);
        due_.push({action.attempt_deadline, 0, next_due_order_++, key, 0});
        environment_.send(key, action.server, to->second.dial, request.message, action.attempt_deadline);
    }

    void carry_out(const Cancel& action) { environment_.cancel({action.id, action.attempt}); }

    void carry_out(const Refuse& action) {
        const auto at = requests_.find(action.id);
        if (at == requests_.end()) return;
        answer(action.id, at->second, environment_.refusal(at->second.request_context, action.retry_in),
               true);
        drop_request(action.id);
    }

    void carry_out(const Fail& action) {
        const auto at = requests_.find(action.id);
        if (at == requests_.end()) return;
        answer(action.id, at->second, environment_.failure(at->second.request_context), true);
        drop_request(action.id);
    }

    void carry_out(const SetTimer& action) {
        due_.push({action.at, 1, next_due_order_++, std::nullopt, action.token});
    }

    void carry_out(const Probe& action) {
        const auto to = servers_.find(action.server);
        if (to == servers_.end() || !to->second.listed)
            return push(ProbeEnded{action.server, Outcome::refused_connection, 0});
        ++to->second.in_flight;
        environment_.probe(action.server, to->second.dial);
    }

    void carry_out(const CloseIdle& action) { environment_.close_idle(action.server); }
    void carry_out(const SendToPeer& action) { environment_.carry_out(action); }
    void carry_out(const Subscribe& action) { environment_.carry_out(action); }
    void carry_out(const FetchList& action) { environment_.carry_out(action); }

    void carry_out(const Log& action) {
        const auto at = action.server ? servers_.find(*action.server) : servers_.end();
        environment_.log(action.text, at == servers_.end() ? std::string() : at->second.name);
    }

    Environment& environment_;
    Balancer balancer_;
    std::deque<Event> events_;
    bool pump_posted_ = false;
    std::vector<Action> actions_;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
    std::uint64_t next_due_order_ = 0;
    Millis timer_at_ = 0;
    std::unordered_map<RequestId, Request> requests_;
    RequestId next_request_ = 1;
    std::size_t unanswered_ = 0;
    std::unordered_map<std::string, ServerId> server_numbers_;
    std::map<ServerId, Server> servers_;
};

}  // namespace cobaltshift::caller
