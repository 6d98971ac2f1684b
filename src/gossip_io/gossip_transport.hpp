// Cluster membership over one UDP socket (discovery, failure detection, dissemination): runs gossip::Gossip
// on a socket, a timer and the steady clock. Entry type: GossipTransport. Used by the proxy and control node
// programs, one instance per process.
//
// The node's own record is changed through update_self(); other nodes are read with for_each_node() and
// node(), and reported by on_change. Only the constructor throws. Not thread-safe: use it on the io_context's
// thread.
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

using registry::MemberState;
using registry::NodeRecord;

struct Counts {
    std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;
    std::uint64_t dropped = 0;  // received, but not decodable or not sent from the IP that it names
    std::uint64_t unsent = 0;   // refused by the operating system
};

class GossipTransport {
public:
    // Binds UDP boot.ip:boot.first_port. Throws boost::system::system_error if that fails and boot::BootError
    // if boot.ip is not an IPv4 address. `role`, `traffic_port` and boot.zone go into this node's record.
    GossipTransport(asio::io_context& io, const boot::Boot& boot, registry::NodeRole role,
                    std::uint16_t traffic_port);
    ~GossipTransport();

    void start();
    // Sends pending changes of the own record and announces the shutdown (others mark the node gone at once
    // if its record says `leaving`). Afterwards nothing is sent or received, and no handler is called.
    void stop();

    // Changes the node's own record; ip, incarnation and seq are managed by the transport. Changes made in
    // one turn of the event loop are sent together. If only server.call_seq or the remaining warm-up differs
    // nothing is sent, so this may be called for every heartbeat.
    void update_self(const std::function<void(NodeRecord&)>& change);
    const NodeRecord& self() const;

    // Visits all other known nodes in the order of their IPs, with their remaining warm-ups as of now.
    void for_each_node(const std::function<void(const NodeRecord&, MemberState)>& visit) const;
    struct Known {
        NodeRecord record;
        MemberState state;
    };
    std::optional<Known> node(std::uint32_t ip) const;
    // The number of proxies that are neither gone nor leaving, this node included if it is a proxy.
    std::size_t live_proxies() const;
    // IPs of the control nodes that are not gone, then of seeds that are in no record yet. Without this node.
    std::vector<std::uint32_t> control_nodes() const;
    // A complete table comparison with another node found no node that this one does not know. Never false
    // again.
    bool joined() const;

    // The handlers are called from the event loop only, never from within a function of this class.
    // A record's content or the node's state changed; also for this node when its incarnation was raised.
    std::function<void(const NodeRecord&, MemberState)> on_change;
    // The node at `ip` holds a newer configuration than self().config_edition; repeated for each message of
    // it until this node holds it too.
    std::function<void(std::uint32_t ip, std::uint64_t edition)> on_newer_configuration;

    // Once, when it is settled what the others hold of the process that ran here before; none: nothing.
    std::function<void(const std::optional<NodeRecord>& former)> on_former_self;

    // Hints from other connections: the node has just answered, or failed to.
    void reachable(std::uint32_t ip);
    void unreachable(std::uint32_t ip);

    const Counts& counts() const { return counts_; }
    // One JSON object for diagnostics.
    std::string status() const;

private:
    using udp = asio::ip::udp;
    void receive();
    void handle_datagram(double at, std::size_t size);  // buffer_, from sender_
    void drain_socket(double at);
    void send(const gossip::Gossip::Output& out);
    void report_former_self();
    void log_change(const Known& known) const;
    void process(double at);     // runs the gossip and carries out its output
    void schedule_processing();  // in the next turn of the event loop
    void set_timer();
    double now() const;

    asio::io_context& io_;
    const std::uint16_t port_;
    std::vector<std::uint32_t> seeds_;
    const Clock::Steady::time_point origin_ = Clock::Steady::now();
    udp::socket socket_;
    asio::steady_timer timer_;
    gossip::Gossip gossip_;
    std::optional<NodeRecord> pending_record_;  // the own record, while it has changes not yet passed on
    udp::endpoint sender_;
    std::array<char, 2048> buffer_{};
    Counts counts_;
    double timer_due_ = 1e18;
    bool running_ = false, processing_scheduled_ = false, joined_logged_ = false,
         former_self_reported_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// The dotted form of an IPv4 address in host byte order.
std::string address_text(std::uint32_t ip);

}  // namespace cobaltshift::gossip_io
