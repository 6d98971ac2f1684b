// The sidecar over sockets: the I/O half of caller::Caller, which keeps the requests, attempts and servers
// that the decision module decides about. Entry type: Sidecar. Called by its front ends (SidecarFront, the
// proxy's Outbound), by discovery and by other sidecars. Not thread-safe: runs on the io_context's thread.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "caller/caller.hpp"
#include "metrics/text.hpp"
#include "module.hpp"
#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/dialect.hpp"
#include "net/front.hpp"
#include "net/upstream.hpp"

namespace cobaltshift {

class Discovery;
class Peers;

class Sidecar {
public:
    // Observes servers, requests and attempts. Its methods are called while events are being handled; of the
    // Sidecar's methods that change state they may call only set_guidance().
    class Observer {
    public:
        virtual ~Observer() = default;
        // A list of servers was applied; `whole`: it replaced all servers known before.
        virtual void listed(const std::vector<ServerInfo>& servers, bool whole) = 0;
        virtual void arrived(std::uint32_t class_index) = 0;
        virtual void sent(ServerId server) = 0;
        // `late`: the attempt took longer than the latency target of the request's class.
        virtual void ended(ServerId server, Outcome outcome, Millis duration, bool late) = 0;
    };
    void set_observer(Observer* observer) { observer_ = observer; }  // null: none; must outlive its use
    void set_guidance(Guidance guidance) { caller_.push(std::move(guidance)); }
    std::vector<ServerInfo> listed() const;                       // sets id, phase and online_since
    std::optional<tcp::endpoint> endpoint_of(ServerId id) const;  // none: not listed
    std::vector<ServerId> removed() const { return caller_.balancer().removed(); }
    void limit_connections(std::size_t most) { upstream_.limit_connections(most); }

    Sidecar(asio::io_context& io, const Clock& clock, Config& config, Upstream::Limits limits,
            MemoryAccount* memory = nullptr);
    // With another protocol than the platform's; `dialect` must outlive the Sidecar. `memory`: see Upstream.
    Sidecar(asio::io_context& io, const Clock& clock, Config& config, Upstream::Limits limits,
            Dialect& dialect, MemoryAccount* memory = nullptr);
    ~Sidecar();
    void connect_to(Discovery& discovery, Peers* peers);
    void start();  // applies the saved list from the configuration, if there is one

    // Called by the front ends. `time_left`: in ms. The answer is delivered later, through the client.
    RequestId arrived(RequestPtr request, Millis time_left, std::weak_ptr<Client> client);
    void client_gone(RequestId id);
    // Gives every pending request its final answer now, according to what is known about its attempts.
    void answer_all() { caller_.answer_all(); }

    // Called by discovery and by other sidecars. `saved`: the list comes from the configuration.
    void apply_list(const HostList& list, bool saved = false);
    void list_failed();
    void on_peer_message(std::uint32_t from, std::vector<std::uint8_t> bytes);

    bool holds_list() const { return holds_list_; }
    std::size_t unanswered() const { return caller_.unanswered(); }
    const Config& config() const { return config_; }
    // Numbers of objects held here, on the sockets and in the decision module. When idle, there are no
    // requests and no servers but the listed ones.
    struct ObjectCounts {
        std::size_t requests = 0, attempts = 0, servers = 0, records = 0, pools = 0;
    };
    ObjectCounts object_counts() const;
    std::string tally() const;  // the counters as one log line
    void metrics(MetricsText& text) const;

private:
    Sidecar(asio::io_context& io, const Clock& clock, Config& config, Upstream::Limits limits,
            std::unique_ptr<Dialect> own, Dialect* other, MemoryAccount* memory);

    // The operations that caller::Caller requires; see caller/caller.hpp.
    friend class caller::Caller<Sidecar>;
    using RequestPtr = cobaltshift::RequestPtr;
    using Response = HttpResponse;
    using ClientPtr = std::weak_ptr<Client>;
    using Endpoint = tcp::endpoint;
    using RequestContext = cobaltshift::RequestContext;

    Millis now() const { return clock_.now(); }
    void post_pump();
    void wake_at(Millis at);
    void send(AttemptKey key, ServerId server, const Endpoint& to, const RequestPtr& message, Millis until) {
        upstream_.send(key, server, to, message, until);
    }
    void expire(AttemptKey key) { upstream_.expire(key); }
    void cancel(AttemptKey key) { upstream_.cancel(key); }
    void withdraw_request(RequestId id) { upstream_.withdraw_request(id); }
    void withdraw_server(ServerId id) { upstream_.withdraw_server(id); }
    void retire(ServerId id) { upstream_.retire(id); }
    void close_idle(ServerId id) { upstream_.close_idle(id); }
    void probe(ServerId id, const Endpoint& to) { upstream_.probe(id, to); }
    RequestArrived classify(const RequestPtr& message, RequestContext& request_context) {
        return dialect_.classify(*message, request_context);
    }
    bool may_send(const RequestPtr& message, RequestContext& request_context, const std::string& server) {
        return !message->body_released() && dialect_.may_send(*message, request_context, server);
    }
    AttemptResult read(Outcome outcome, const Response* response, RequestContext& request_context) {
        return dialect_.read(outcome, response, request_context);
    }
    void answer(const ClientPtr& client, Response&& response, bool own);
    Response refusal(RequestContext& request_context, Millis retry_in) {
        return dialect_.refusal(request_context, retry_in);
    }
    Response failure(RequestContext& request_context) { return dialect_.failure(request_context); }
    ZoneId zone_number(const std::string& zone) { return config_.zone(zone); }
    void carry_out(const SendToPeer& action);
    void carry_out(const Subscribe& action);
    void carry_out(const FetchList& action);
    void log(const std::string& text, const std::string& server) const;
    void arrived(std::uint32_t class_index) {
        if (observer_) observer_->arrived(class_index);
    }
    void sent(ServerId server) {
        if (observer_) observer_->sent(server);
    }
    void ended(ServerId server, Outcome outcome, Millis duration, std::uint32_t class_index);

    asio::io_context& io_;
    const Clock& clock_;
    Config& config_;
    std::unique_ptr<Dialect> own_dialect_;  // the platform's, unless another was given
    Dialect& dialect_;
    caller::Caller<Sidecar> caller_;
    Upstream upstream_;
    Discovery* discovery_ = nullptr;
    Peers* peers_ = nullptr;
    Observer* observer_ = nullptr;
    asio::steady_timer timer_;
    bool holds_list_ = false;
};

}  // namespace cobaltshift
