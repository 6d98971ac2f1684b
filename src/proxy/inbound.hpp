// Server side of a proxy over sockets: accepts requests from other proxies, passes those that
// admission::InboundRequests starts to the application server over a small pool of keep-alive connections,
// and reports whether they have run. Entry type: Inbound, a Listener's Front. Created by Proxy; used by the
// io_context's thread only.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "admission/inbound_requests.hpp"
#include "boot/boot.hpp"
#include "net/clock.hpp"
#include "net/front.hpp"
#include "net/paced_link.hpp"
#include "net/upstream.hpp"
#include "proxy/hop_headers.hpp"
#include "registry/records.hpp"

namespace cobaltshift::proxy {

class Inbound : public Front, private admission::Executor {
public:
    struct Callbacks {
        std::function<std::uint64_t()> edition;
        std::function<void(std::uint64_t edition)> on_newer_edition;  // a caller has a newer configuration
        // The bytes of a head that the configuration allows clients; empty: the default.
        std::function<std::size_t()> max_header_bytes = {};
    };
    // `link`: the machine's network link, over which answers leave; null if its rate is unknown. `memory`:
    // see Upstream.
    Inbound(asio::io_context& io, const Clock& clock, const boot::Boot& boot, Callbacks callbacks,
            const PacedLink* link = nullptr, MemoryAccount* memory = nullptr);

    // The server's heartbeats and deregistration; see Admission.
    bool on_heartbeat(const std::string& instance_id, std::uint32_t capacity, bool closing,
                      std::uint64_t call_seq);
    void on_deregistered(const std::string& instance_id);
    void restore(const registry::ServerRecord& former) {
        requests_.restore(former.instance_id, former.call_seq, former.closing);
    }
    // Sends one health check to the server to learn its instance id, for use when the proxy has restarted and
    // has not received a heartbeat. `on_healthy` is called if the server is healthy and its instance was
    // still unknown.
    void check_health(const std::string& path, std::uint32_t capacity,
                      const std::function<void(const std::string& instance_id)>& on_healthy);
    void leave();
    const admission::Admission& admission() const { return requests_.admission(); }
    // Of the connections to the server.
    const exchange::Irregularities& irregularities() const { return upstream_.irregularities(); }
    bool busy() const { return requests_.busy(); }

    Bounds bounds() const override;
    std::optional<http::status> fault(const HttpRequest& head) override;
    std::optional<HttpResponse> local(const HttpRequest&) override { return {}; }
    std::string request_id_of(const HttpRequest&) const override { return {}; }
    std::string log_name(const HttpRequest& request) const override {
        return std::string(request[kRequestId]);
    }
    void mark_rejection(HttpResponse& response) const override;
    RequestId arrived(RequestPtr request, Millis spent, std::weak_ptr<Client> client) override;
    void client_gone(RequestId id) override;

private:
    // The part of a request that InboundRequests does not need.
    struct Held {
        RequestPtr message;
        std::weak_ptr<Client> client;
        Millis urgent_at = 0;  // when its answer gets priority on the link
    };
    void begin(admission::Ticket ticket, Millis until) override;
    void refuse(admission::Ticket ticket, Reason reason) override;
    void expire(admission::Ticket ticket) override { upstream_.expire({ticket, 0}); }
    void cancel(admission::Ticket ticket) override { upstream_.cancel({ticket, 0}); }
    void schedule_advance() override;
    void set_timer(Millis when) override;

    std::optional<admission::LinkState> link_state() const;
    void log_turned_away(admission::Ticket ticket, unsigned status, bool named) const;
    void ended(admission::Ticket ticket, Outcome outcome, HttpResponse* response);
    void answer(admission::Ticket ticket, HttpResponse response);

    asio::io_context& io_;
    const Clock& clock_;
    const boot::Boot& boot_;
    Callbacks callbacks_;
    admission::InboundRequests requests_;
    const PacedLink* const link_;
    Upstream upstream_;
    std::unordered_map<admission::Ticket, Held> held_;
    asio::steady_timer timer_;
};

}  // namespace cobaltshift::proxy
