// The server's side of a proxy over sockets: takes requests from other proxies, passes those that
// admission::InboundRequests lets begin to the application server over few kept connections, and says truly
// what came of it. Entry type: Inbound, a Listener's Front. Made by Proxy.
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
#include "proxy/hop.hpp"

namespace cobaltshift::proxy {

class Inbound : public Front, private admission::Executor {
public:
    struct Around {
        std::function<std::uint64_t()> edition;
        std::function<void(std::uint64_t edition)> newer;  // a caller holds a newer one
    };
    // `link`: of this machine, over which answers leave; none: its rate is not known.
    Inbound(asio::io_context& io, const Clock& clock, const boot::Boot& boot, Around around,
            const PacedLink* link = nullptr);

    // The server's own word (from its beats); see Admission.
    bool beat(const std::string& life, std::uint32_t capacity, bool closing, std::uint64_t call_seq);
    void gone(const std::string& life);
    // Asks the server's health once, for its life, where no beat has come in this life of ours.
    void ask_health(const std::string& path, std::uint32_t capacity,
                    const std::function<void(const std::string& life)>& well);
    void leave();
    const admission::Admission& admission() const { return requests_.admission(); }
    bool busy() const { return requests_.busy(); }

    Bounds bounds() const override;
    std::optional<http::status> fault(const HttpRequest& head) override;
    std::optional<HttpResponse> local(const HttpRequest&) override { return {}; }
    std::string name_of(const HttpRequest&) const override { return {}; }
    std::string log_name_of(const HttpRequest& request) const override {
        return std::string(request[kRequestId]);
    }
    RequestId arrived(RequestPtr request, Millis spent, std::weak_ptr<Client> client) override;
    void client_gone(RequestId id) override;

private:
    // What the core does not need to know of a request.
    struct Held {
        RequestPtr message;
        std::weak_ptr<Client> client;
        Millis urgent_at = 0;  // from when on its answer goes before others on the link
    };
    void begin(admission::Ticket ticket, Millis until) override;
    void refuse(admission::Ticket ticket, Reason reason) override;
    void expire(admission::Ticket ticket) override { upstream_.expire({ticket, 0}); }
    void cancel(admission::Ticket ticket) override { upstream_.cancel({ticket, 0}); }
    void look_soon() override;
    void look_at(Millis when) override;

    std::optional<admission::LinkState> link_state() const;
    void ended(admission::Ticket ticket, Outcome outcome, HttpResponse* response);
    void answer(admission::Ticket ticket, HttpResponse response);

    asio::io_context& io_;
    const Clock& clock_;
    const boot::Boot& boot_;
    Around around_;
    admission::InboundRequests requests_;
    const PacedLink* const link_;
    Upstream upstream_;
    std::unordered_map<admission::Ticket, Held> held_;
    asio::steady_timer timer_;
};

}  // namespace cobaltshift::proxy
