// Transport for Raft messages between control nodes: UDP datagrams for short messages and one TCP connection
// to each peer for longer ones, both at the same internal port. Main type: Peers, used by ControlNode. Runs
// on one event loop; not thread-safe. Delivery is unreliable: messages that can't be delivered soon are
// dropped, and Raft sends them again.
//
// Wire format: a datagram, or a TCP frame preceded by its length (u32, little-endian), holds one byte,
// kDirect or kForwarded (by another node; must not be forwarded again), and an encoded raft::Message. A
// connection without progress for kStallTimeout is closed and opened again for the next long message. Invalid
// data closes the connection.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>

#include "net/http.hpp"
#include "raft/types.hpp"

namespace cobaltshift::control {

constexpr std::size_t kMaxDatagramBytes = 1200, kMaxInboundConnections = 32;
constexpr std::size_t kMaxQueuedBytes = 5 * 1024 * 1024;  // for one peer; further messages are dropped
constexpr std::chrono::milliseconds kStallTimeout{700}, kIdleTimeout{30000};

class Peers {
public:
    using MessageHandler = std::function<void(const raft::Message&, bool forwarded)>;

    // Listens at `ip`:`port`, UDP and TCP. Throws boost::system::system_error if that fails. `on_message`
    // is called for each message received.
    Peers(asio::io_context& io, const std::string& ip, std::uint16_t port, MessageHandler on_message);
    ~Peers();
    Peers(const Peers&) = delete;
    Peers& operator=(const Peers&) = delete;

    // Sends to `ip` (IPv4 in host byte order), or drops the message. `forwarded`: it is forwarded for another
    // node. Messages to address 0 or to the own address are ignored.
    void send(std::uint32_t ip, const raft::Message& message, bool forwarded);
    void stop();

    struct Counts {
        std::uint64_t datagrams = 0, frames = 0, dropped = 0, refused = 0, connect_attempts = 0, broken = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    struct OutboundConnection;
    struct InboundConnection;
    void receive();
    void accept();
    bool deliver(std::string_view bytes);

    asio::io_context& io_;
    const asio::ip::address_v4 ip_;
    const std::uint16_t port_;
    const MessageHandler on_message_;
    asio::ip::udp::socket socket_;
    tcp::acceptor acceptor_;
    asio::steady_timer receive_timer_, accept_timer_;
    std::array<char, 2048> in_;
    asio::ip::udp::endpoint from_;
    std::map<std::uint32_t, std::shared_ptr<OutboundConnection>> outbound_;
    std::map<std::uint64_t, std::weak_ptr<InboundConnection>> inbound_;
    std::uint64_t next_inbound_ = 1;
    bool stopped_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Counts counts_;
};

}  // namespace cobaltshift::control
