// A proxy (sidecar): news, configuration, the server's side (Inbound) and the callers' pools, put together as
// proxy::Proxy and proxy::Outbound do. Entry type: Proxy, one life of its process.
// Called by World, Clients and the Server beside it.
#pragma once

#include "routing/early_requests.hpp"
#include "shutdown/shutdown_sequence.hpp"
#include "sim_mesh/inbound.hpp"
#include "sim_mesh/pool.hpp"
#include "sim_mesh/server.hpp"

namespace cobaltshift::simmesh {

class Proxy : public Node {
public:
    Proxy(World& world, Ip ip, std::string service, bool first_boot);

    // For clients: `done` once; the number withdraws it.
    std::uint64_t request(const RequestPtr& request, Pool::Answered done);
    void client_gone(std::uint64_t number);
    bool ready() const { return !leaving_ && in_force() && gossip().joined(); }
    // What requests go by; none: what is held may not be in force yet (StartupConfirmation).
    const std::shared_ptr<const config::Configuration>& in_force() const { return in_force_; }

    bool beat(const Server& server, bool closing, std::uint64_t seq);  // true: acknowledged
    void server_gone(const std::string& life);
    void stop(Task done);  // SIGTERM

    Inbound& inbound() { return inbound_; }
    const std::string& service() const { return service_; }
    using Node::after, Node::edition, Node::live_proxies;
    void avoid(const std::string& life);
    void newer(const std::string& life, config::Edition edition);
    void hop_newer(config::Edition edition);

private:
    // What a beat says, for one that came before the former record is known.
    struct Heartbeat {
        registry::ServerRecord server;
        bool closing = false;
    };
    void on_former_self(const std::optional<registry::NodeRecord>& former) override;
    void apply(const Heartbeat& heartbeat);
    void check_health();
    void registry_changed() override;
    void heard_of(Ip ip, config::Edition edition) override { hint(ip, edition); }
    void on_new_configuration() override;
    void list_servers();
    void reconsider_configuration();
    bool holds_requests() const;
    void proceed_to_end(const Task& done);
    void carry_out(shutdown::Step step);
    void pass_on(std::uint64_t number, const RequestPtr& request, Pool::Answered done);
    void tell_handled(const Request& request);  // to the checkers
    void take_early();
    void refuse_early();

    const std::string service_;
    const bool first_boot_;
    Inbound inbound_;
    config::StartupConfirmation confirmation_;
    std::shared_ptr<const config::Configuration> in_force_;
    std::map<std::string, std::unique_ptr<Pool>> pools_;
    std::map<std::uint64_t, std::pair<Pool*, RequestId>> numbers_;
    std::uint64_t next_ = 1;
    routing::ServerDirectory directory_;
    struct EarlyRequest {
        std::uint64_t number = 0;
        RequestPtr request;
        Pool::Answered done;
    };
    routing::EarlyRequests<EarlyRequest> early_;
    std::map<std::uint64_t, RequestId> early_numbers_;
    std::vector<Heartbeat> early_heartbeats_;
    bool former_self_known_ = false;
    bool listing_ = false, asked_health_ = false, refuses_new_ = false;
    std::optional<shutdown::ShutdownSequence> shutdown_;  // since SIGTERM
    Millis confirmation_armed_ = 0, started_at_ = 0;
};

}  // namespace cobaltshift::simmesh
