// Caller side of a proxy: routes requests of clients and of the server on this machine to the servers of a
// service, by the routes of the configuration. Each service has its own Sidecar, and so its own decision
// module, which is given the servers in the registry. Entry type: Outbound, a Listener's Front. Created by
// Proxy; used by the io_context's thread only.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "boot/boot.hpp"
#include "net/front.hpp"
#include "net/sidecar.hpp"
#include "proxy/mesh_dialect.hpp"
#include "random.hpp"
#include "registry/records.hpp"
#include "routing/early_requests.hpp"
#include "routing/server_directory.hpp"

namespace cobaltshift::proxy {

class Outbound : public Front {
public:
    struct Callbacks {
        std::function<std::size_t()> live_proxies;
        // Visits all known proxies, this one included.
        std::function<void(const std::function<void(const registry::NodeRecord&, registry::MemberState)>&)>
            visit_proxies;
        // The proxy at `ip` has reported the configuration edition that it has.
        std::function<void(std::uint32_t ip, std::uint64_t edition)> on_peer_edition;
        std::function<void(std::uint32_t ip)> unreachable;
    };
    // `memory`: see Upstream.
    Outbound(asio::io_context& io, const Clock& clock, const boot::Boot& boot, Callbacks callbacks,
             std::uint64_t seed, MemoryAccount* memory = nullptr);
    ~Outbound() override;

    void apply_configuration(std::shared_ptr<const config::Configuration> configuration);
    bool has_configuration() const { return configuration_ != nullptr; }
    void registry_changed();  // lists the servers anew in the next turn; calls until then are merged
    bool busy() const;

    // The proxy shuts down: requests that arrive from now on get no deadline later than `answers_at`.
    void leave(Millis answers_at) { answers_at_ = answers_at; }
    // Requests that arrive from now on are refused.
    void refuse_new();
    // Every pending request is answered now: refused if it certainly has not run, else failed.
    void answer_all();

    // Of a client's head, by the configuration.
    std::size_t max_header_bytes() const;
    Bounds bounds() const override;
    std::optional<http::status> fault(const HttpRequest& head) override;
    std::optional<HttpResponse> local(const HttpRequest& request) override;
    std::string request_id_of(const HttpRequest& request) const override {
        return std::string(request[kRequestId]);
    }
    RequestId arrived(RequestPtr request, Millis spent, std::weak_ptr<Client> client) override;
    void client_gone(RequestId id) override;

    std::string status() const;  // JSON, for diagnostics
    // Refusals and unmarked answers, of all services together; the other counts are not summed up.
    hop::AttemptRules::Counts counts() const;

private:
    struct ServiceClient;
    ServiceClient& service_client(const std::string& service);
    void list_servers();
    const config::Route* route_of(const HttpRequest& request) const;

    asio::io_context& io_;
    const Clock& clock_;
    const boot::Boot& boot_;
    Callbacks callbacks_;
    std::uint64_t seed_;
    MemoryAccount* const memory_;
    kelplb::Random random_;
    std::shared_ptr<const config::Configuration> configuration_;
    struct EarlyRequest {
        RequestPtr message;
        std::weak_ptr<Client> client;
        Millis spent = 0;
    };
    void refuse_early();
    routing::EarlyRequests<EarlyRequest> early_;
    std::map<RequestId, RequestId> reassigned_ids_;  // of early requests that were forwarded: old and new id
    asio::steady_timer early_timer_;
    std::map<std::string, std::unique_ptr<ServiceClient>> clients_;
    std::vector<ServiceClient*> clients_by_number_;
    std::map<std::string, ZoneId> zones_;
    routing::ServerDirectory directory_;
    asio::steady_timer avoid_timer_;
    bool list_scheduled_ = false, refuses_new_ = false;
    std::optional<Millis> answers_at_;  // set once the proxy shuts down
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift::proxy
