// A sidecar proxy put together: gossip, configuration, admission, callers' side, APIs.
// Entry type: Proxy. Made by the program cobaltshift-proxy.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "api/api_front.hpp"
#include "boot/boot.hpp"
#include "config_io/config_distributor.hpp"
#include "gossip_io/gossip_transport.hpp"
#include "net/listener.hpp"
#include "proxy/beats.hpp"
#include "proxy/inbound.hpp"
#include "proxy/outbound.hpp"
#include "shutdown/shutdown_sequence.hpp"

namespace cobaltshift::proxy {

class Proxy {
public:
    // Throws boost::system::system_error if it can't listen.
    Proxy(asio::io_context& io, boot::Boot boot, std::uint64_t seed);

    // SIGTERM: stops taking work in order, answers all that it holds, and calls `done` (ShutdownSequence).
    void stop(std::function<void()> done);
    void reload(const boot::Boot& boot);  // SIGHUP
    bool ready() const;
    std::string status() const;  // JSON, for the doctor

private:
    void heard_beat(const Beat& beat);
    void heard_gone(const std::string& life);
    void took(std::shared_ptr<const config::Configuration> configuration);
    // Puts what the distributor holds in force once it may be, and asks whether it is current
    // (StartupConfirmation).
    void reconsider_configuration();
    void put_in_force(std::shared_ptr<const config::Configuration> configuration);
    // Started again beside a server that runs on: its next heartbeat is up to heartbeat_s away.
    void ask_health(const config::Configuration& configuration);

    // SIGTERM's order, step by step.
    void proceed_to_end();
    void carry_out(shutdown::Step step);
    bool holds_requests() const;
    void log_unanswered() const;
    void log_link_waits();
    void tally();

    asio::io_context& io_;
    boot::Boot boot_;
    Clock clock_;
    gossip_io::GossipTransport gossip_;
    config::ConfigDistributor distributor_;
    config::StartupConfirmation confirmation_;
    config::StartupConfirmation::State told_state_ = config::StartupConfirmation::State::waiting;
    config::Edition in_force_ = 0;
    std::unique_ptr<PacedLink> link_;
    Inbound inbound_;
    Outbound outbound_;
    Beats beats_;
    Ready ready_;
    api::ApiFront control_front_, ready_front_;
    Listener outbound_listener_, inbound_listener_, control_listener_, ready_listener_;
    asio::steady_timer timer_, tally_timer_, confirmation_timer_;
    std::function<void()> stopped_;
    std::optional<shutdown::ShutdownSequence> shutdown_;  // since SIGTERM
    bool leaving_ = false, asked_health_ = false, told_confirmed_ = false;
};

}  // namespace cobaltshift::proxy
