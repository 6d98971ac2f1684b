// A proxy (sidecar): news, configuration, the admission before its server and the callers' pools, glued as
// proxy::Proxy, proxy::Inbound and proxy::Outbound glue them. Entry type: Proxy, one life of its process.
// Called by World, Clients and the Server beside it.
#pragma once

#include "admission/admission.hpp"
#include "sim_mesh/node.hpp"
#include "sim_mesh/pool.hpp"
#include "sim_mesh/server.hpp"

namespace cobaltshift::simmesh {

// The server's side.
class Inbound {
public:
    using Answered = std::function<void(const HopAnswer&)>;
    Inbound(Proxy& owner, World& world) : owner_(owner), world_(world) {}

    bool beat(const std::string& life, std::uint32_t capacity, bool closing, std::uint64_t seq);
    void gone(const std::string& life);
    void leave();
    void seen_well(const std::string& life, std::uint32_t capacity);
    void arrived(const HopRequest& hop, const CallPtr& call, Answered answer);
    const admission::Admission& admission() const { return admission_; }
    bool busy() const { return !jobs_.empty(); }

private:
    struct Job {
        HopRequest hop;
        Answered answer;
        Millis deadline = 0, began = 0;
        bool at_work = false;
        std::uint64_t at_server = 0;
        std::size_t line = 0;
    };
    struct Line {  // a kept connection to the server
        admission::Ticket ticket = 0;
        std::string life;
        std::optional<ServerAnswer> stray;  // came while nobody asked
    };
    void client_gone(admission::Ticket ticket);
    void begin(admission::Ticket ticket);
    void ended(admission::Ticket ticket, const ServerAnswer& said, bool silent);
    void answer(admission::Ticket ticket, HopAnswer said);
    void look();
    void look_soon();

    Proxy& owner_;
    World& world_;
    admission::Admission admission_;
    std::map<admission::Ticket, Job> jobs_;
    std::map<std::size_t, Line> lines_;
    std::size_t next_line_ = 1;
    admission::Ticket next_ = 1;
    Millis armed_ = 0;
    bool looking_ = false;
};

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
    void registry_changed() override;
    void heard_of(Ip ip, config::Edition edition) override { hint(ip, edition); }
    void took() override;
    void list_servers();
    void reconsider_configuration();
    void wind_down(Millis stop_at, const Task& done);
    const std::string& choose(const config::Route& route);

    const std::string service_;
    const bool first_boot_;
    Inbound inbound_;
    config::StartupConfirmation confirmation_;
    std::shared_ptr<const config::Configuration> in_force_;
    std::map<std::string, std::unique_ptr<Pool>> pools_;
    std::map<std::uint64_t, std::pair<Pool*, std::uint64_t>> numbers_;
    std::uint64_t next_ = 1;
    std::map<std::string, Millis> avoided_, born_;
    std::map<std::string, Ip> ip_of_;
    bool listing_ = false, asked_health_ = false;
    Millis confirmation_armed_ = 0, started_at_ = 0;
};

}  // namespace cobaltshift::simmesh
