// Membership and news over one UDP socket (discovery, failure detection, dissemination): gossip's Gossip
// on a socket, a timer and the steady clock. Entry type: GossipTransport. Called by the proxy's and the
// control node's programs, one of each process.
//
// Told of itself by tell(); all others come by each(), node() and on_change. Nothing here throws but the
// constructor. For one thread: the io_context's.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "boot/boot.hpp"
#include "gossip/gossip.hpp"
#include "net/clock.hpp"

namespace cobaltshift::gossip_io {

using registry::NodeRecord;
using registry::Standing;

struct Counts {
    std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;
    std::uint64_t dropped = 0;  // received, and none of ours or not from whom it says
    std::uint64_t unsent = 0;   // refused by the system
};

class GossipTransport {
public:
    // Throws boost::system::system_error if the socket (boot.ip : boot.first_port) can't be had,
    // boot::BootError if boot.ip is no IPv4 address. `role` and `traffic_port` are told of this node, with
    // boot.zone.
    GossipTransport(asio::io_context& io, const boot::Boot& boot, registry::NodeRole role,
                    std::uint16_t traffic_port);
    ~GossipTransport();

    void start();
    // Sends what was told last, and that it ends (others take that at once if it had said `leaving`). Then it
    // says
    // nothing more, and hears nothing more; no handler is called from now on.
    void stop();

    // Changes the own record (its ip, life and seq are not the caller's); several changes in one turn of the
    // loop go out as one. What differs in server.call_seq or the rest of a warm-up alone goes to nobody:
    // tell() may be called for each beat.
    void tell(const std::function<void(NodeRecord&)>& change);
    const NodeRecord& self() const;

    // All known others, with what is left of their warm-ups; by ip.
    void each(const std::function<void(const NodeRecord&, Standing)>& visit) const;
    struct Known {
        NodeRecord record;
        Standing standing;
    };
    std::optional<Known> node(std::uint32_t ip) const;
    // Not gone and not leaving, this one included if it is a proxy.
    std::size_t live_proxies() const;
    // Those not gone; then seeds of which nothing is known. Not this one.
    std::vector<std::uint32_t> hubs() const;
    // A whole comparing with another node found none that it knows and we don't. Never false again.
    bool joined() const;

    // Never called from within a function of this class, but from the loop. A record's content or its
    // standing changed; of this node itself when it had to take a higher life.
    std::function<void(const NodeRecord&, Standing)> on_change;
    // This node holds a higher configuration edition than self().config_edition: each time it is heard.
    std::function<void(std::uint32_t ip, std::uint64_t edition)> on_configuration;

    // Hints from connections: an answer has just come from it; it did not answer.
    void reachable(std::uint32_t ip);
    void unreachable(std::uint32_t ip);

    const Counts& counts() const { return counts_; }
    // For the doctor: JSON, one object.
    std::string status() const;

private:
    using udp = asio::ip::udp;
    void listen();
    void take(double at, std::size_t size);  // what is in bytes_, of from_
    void read_waiting(double at);
    void send(const gossip::Gossip::Output& out);
    void log(const Known& known) const;
    void act(double at);  // carries out what the gossip wants, now
    void act_soon();      // in the next turn of the loop
    void set_timer();
    double now() const;

    asio::io_context& io_;
    const std::uint16_t port_;
    std::vector<std::uint32_t> seeds_;
    const Clock::Steady::time_point origin_ = Clock::Steady::now();
    udp::socket socket_;
    asio::steady_timer timer_;
    gossip::Gossip gossip_;
    std::optional<NodeRecord> untold_;  // the own record with changes that have not gone out
    udp::endpoint from_;
    std::array<char, 2048> bytes_{};
    Counts counts_;
    double timer_at_ = 1e18;
    bool running_ = false, acting_soon_ = false, said_joined_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// "10.1.0.41" of an ip in host order.
std::string address_text(std::uint32_t ip);

}  // namespace cobaltshift::gossip_io
