// The sidecar over sockets: the I/O half of caller::Caller, which keeps requests, attempts and servers round
// the decision module. Entry type: Sidecar. Called by its fronts (SidecarFront, the proxy's Outbound), by
// discovery and by other sidecars.
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
    // Watches what passes, from within the events; it may guide, and nothing else.
    class Observer {
    public:
        virtual ~Observer() = default;
        virtual void listed(const std::vector<ServerInfo>& servers, bool whole) = 0;
        virtual void arrived(std::uint32_t class_index) = 0;
        virtual void sent(ServerId server) = 0;
        // `late`: past the aim of the request's class.
        virtual void ended(ServerId server, Outcome outcome, Millis duration, bool late) = 0;
    };
    void observe(Observer* observer) { observer_ = observer; }  // null: none; it must outlive its observing
    void guide(Guidance guidance) { caller_.push(std::move(guidance)); }
    std::vector<ServerInfo> listed() const;                   // id, phase and online_since of each
    std::optional<tcp::endpoint> dial_of(ServerId id) const;  // where it is listed
    std::vector<ServerId> removed() const { return caller_.balancer().removed(); }
    void limit_connections(std::size_t most) { upstream_.limit_connections(most); }

    Sidecar(asio::io_context& io, const Clock& clock, Config& config, Upstream::Limits limits);
    // In another protocol than the platform's; `dialect` must outlive it.
    Sidecar(asio::io_context& io, const Clock& clock, Config& config, Upstream::Limits limits,
            Dialect& dialect);
    ~Sidecar();
    void connect_to(Discovery& discovery, Peers* peers);
    void start();  // with the list held from before, if there is one

    // From clients. The answer comes later, through the client.
    RequestId arrived(RequestPtr request, Millis time_left, std::weak_ptr<Client> client);
    void client_gone(RequestId id);
    // Every request that is held gets its final answer now, by what is known of it.
    void answer_all() { caller_.answer_all(); }

    // From discovery and from other sidecars.
    void told(const HostList& list, bool saved = false);
    void list_failed();
    void peer_said(std::uint32_t from, std::vector<std::uint8_t> bytes);

    bool holds_list() const { return holds_list_; }
    std::size_t unanswered() const { return caller_.unanswered(); }
    const Config& config() const { return config_; }
    // What is held at present, here, on the sockets and in the module. At rest no request is, and of servers
    // only those listed.
    struct Held {
        std::size_t requests = 0, attempts = 0, servers = 0, records = 0, pools = 0;
    };
    Held held() const;
    std::string tally() const;  // a line for the log
    void metrics(MetricsText& text) const;

private:
    Sidecar(asio::io_context& io, const Clock& clock, Config& config, Upstream::Limits limits,
            std::unique_ptr<Dialect> own, Dialect* other);

    // What the caller's core asks of sockets; see caller/caller.hpp.
    friend class caller::Caller<Sidecar>;
    using RequestPtr = cobaltshift::RequestPtr;
    using Response = HttpResponse;
    using ClientPtr = std::weak_ptr<Client>;
    using Endpoint = tcp::endpoint;
    using Story = cobaltshift::Story;

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
    RequestArrived classify(const RequestPtr& message, Story& story) {
        return dialect_.classify(*message, story);
    }
    bool may_send(const RequestPtr& message, Story& story, const std::string& server) {
        return dialect_.may_send(*message, story, server);
    }
    Reading read(Outcome outcome, const Response* response, Story& story) {
        return dialect_.read(outcome, response, story);
    }
    void answer(const ClientPtr& client, Response&& response, bool own);
    Response refusal(Story& story, Millis retry_in) { return dialect_.refusal(story, retry_in); }
    Response failure(Story& story) { return dialect_.failure(story); }
    ZoneId zone_number(const std::string& zone) { return config_.zone(zone); }
    void carry_out(const TellPeer& action);
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
    std::unique_ptr<Dialect> own_dialect_;  // the platform's, where no other was given
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
