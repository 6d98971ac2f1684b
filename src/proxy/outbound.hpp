// The caller's side of a proxy: requests of the clients and of the server on this machine, by the
// configuration's routes to a service's servers. One Sidecar (and so one decision module) a service, each
// with the servers that the registry knows. Entry type: Outbound, a Listener's Front. Made by Proxy.
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
    struct Around {
        std::function<std::size_t()> live_proxies;
        // Visits all known proxies.
        std::function<void(const std::function<void(const registry::NodeRecord&, registry::Standing)>&)> each;
        std::function<void(std::uint32_t ip, std::uint64_t edition)> newer;  // somebody holds a newer edition
        std::function<void(std::uint32_t ip)> unreachable;
    };
    Outbound(asio::io_context& io, const Clock& clock, const boot::Boot& boot, Around around,
             std::uint64_t seed);
    ~Outbound() override;

    void hold(std::shared_ptr<const config::Configuration> configuration);
    bool holds() const { return configuration_ != nullptr; }
    void registry_changed();  // soon, once for many
    bool busy() const;

    // This node leaves: what is taken from here on ends by `answers_at`.
    void leave(Millis answers_at) { answers_at_ = answers_at; }
    // What arrives from here on is refused.
    void refuse_new();
    // Every request that is held gets its final answer now, by what is known of it.
    void answer_all();

    Bounds bounds() const override;
    std::optional<http::status> fault(const HttpRequest& head) override;
    std::optional<HttpResponse> local(const HttpRequest& request) override;
    std::string name_of(const HttpRequest& request) const override {
        return std::string(request[kRequestId]);
    }
    RequestId arrived(RequestPtr request, Millis spent, std::weak_ptr<Client> client) override;
    void client_gone(RequestId id) override;

    std::string status() const;  // JSON, for the doctor

private:
    struct Pool;
    Pool& pool(const std::string& service);
    void list_servers();
    const config::Route* route_of(const HttpRequest& request) const;

    asio::io_context& io_;
    const Clock& clock_;
    const boot::Boot& boot_;
    Around around_;
    std::uint64_t seed_;
    kelplb::Random lots_;
    std::shared_ptr<const config::Configuration> configuration_;
    struct EarlyRequest {
        RequestPtr message;
        std::weak_ptr<Client> client;
        Millis spent = 0;
    };
    void refuse_early();
    routing::EarlyRequests<EarlyRequest> early_;
    std::map<RequestId, RequestId> later_;  // the number that an early one was given, and the one it has now
    asio::steady_timer early_timer_;
    std::map<std::string, std::unique_ptr<Pool>> pools_;
    std::vector<Pool*> by_number_;
    std::map<std::string, ZoneId> zones_;
    routing::ServerDirectory directory_;
    asio::steady_timer avoid_timer_;
    bool listing_ = false, refuses_new_ = false;
    std::optional<Millis> answers_at_;  // once this node leaves
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift::proxy
