// A sidecar proxy: connects gossip, configuration distribution, the caller side (Outbound), the server side
// (Inbound) and the control APIs, and runs the shutdown sequence. Entry type: Proxy. Created by the program
// cobaltshift-proxy; used by the io_context's thread only.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "api/api_front.hpp"
#include "boot/boot.hpp"
#include "config_io/config_distributor.hpp"
#include "gossip_io/gossip_transport.hpp"
#include "net/listener.hpp"
#include "proxy/heartbeat_resource.hpp"
#include "proxy/inbound.hpp"
#include "proxy/outbound.hpp"
#include "shutdown/shutdown_sequence.hpp"

namespace cobaltshift::proxy {

class Proxy {
public:
    // Throws boost::system::system_error if a listening address can't be opened.
    Proxy(asio::io_context& io, boot::Boot boot, std::uint64_t seed);

    // SIGTERM: shuts down in the order of ShutdownSequence, answers all pending requests and calls `done`.
    void stop(std::function<void()> done);
    void reload(const boot::Boot& boot);  // SIGHUP
    bool ready() const;
    std::string status() const;  // JSON, for diagnostics

private:
    void on_heartbeat(const Heartbeat& beat);
    void on_deregistered(const std::string& instance_id);
    // What the others hold of this proxy from before its restart. Heartbeats that came before are applied
    // now.
    void on_former_self(const std::optional<registry::NodeRecord>& former);
    void on_new_configuration(std::shared_ptr<const config::Configuration> configuration);
    // Puts the distributor's configuration in force as soon as StartupConfirmation allows it, and asks
    // control nodes whether it is current.
    void update_configuration();
    void activate_configuration(std::shared_ptr<const config::Configuration> configuration);
    // Checks the server's health after a restart of the proxy beside a running server, whose next heartbeat
    // may be up to heartbeat_s away.
    void check_health(const config::Configuration& configuration);

    // Carries out the steps of the shutdown sequence that are due and waits for the next one.
    void advance_shutdown();
    void carry_out(shutdown::Step step);
    bool holds_requests() const;
    void log_unanswered() const;
    void log_link_waits();
    void log_refusals();
    void schedule_tally_log();

    asio::io_context& io_;
    boot::Boot boot_;
    Clock clock_;
    gossip_io::GossipTransport gossip_;
    config::ConfigDistributor distributor_;
    config::StartupConfirmation confirmation_;
    config::StartupConfirmation::State logged_state_ = config::StartupConfirmation::State::waiting;
    config::Edition in_force_ = 0;
    std::unique_ptr<PacedLink> link_;
    MemoryAccount memory_;
    Inbound inbound_;
    Outbound outbound_;
    HeartbeatResource heartbeat_resource_;
    ReadinessResource readiness_resource_;
    api::ApiFront control_front_, ready_front_;
    Listener outbound_listener_, inbound_listener_, control_listener_, ready_listener_;
    asio::steady_timer timer_, tally_timer_, confirmation_timer_;
    std::function<void()> on_stopped_;
    std::optional<shutdown::ShutdownSequence> shutdown_;  // set by SIGTERM
    std::vector<Heartbeat> early_heartbeats_;             // until former_self_known_
    bool former_self_known_ = false;
    bool leaving_ = false, health_checked_ = false, was_confirmed_ = false;
};

}  // namespace cobaltshift::proxy
