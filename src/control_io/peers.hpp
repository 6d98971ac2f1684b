// What hubs say to one another: datagrams for what is short, a TCP connection kept to each for what is
// longer, both at one internal port. Entry type: Peers. Called by ControlNode alone. As lossy as a network:
// whatever can't be delivered soon is dropped, and the agreement says it again.
//
// Wire: a datagram, or a frame with its length (u32, little-endian) before it, is kOwn or kPassedOn (by a hub
// that is not its author; goes no further), then an raft::Message. A connection on which nothing moves for
// kStuck is dropped, and dialled anew with the next long message; bad bytes end a connection.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>

#include "net/http.hpp"
#include "raft/types.hpp"

namespace cobaltshift::control {

constexpr std::size_t kLongestDatagram = 1200, kMostConnections = 32;
constexpr std::size_t kMostQueued = 5 * 1024 * 1024;  // bytes to one hub
constexpr std::chrono::milliseconds kStuck{700}, kIdle{30000};

class Peers {
public:
    using Heard = std::function<void(const raft::Message&, bool passed_on)>;

    // Listens at `ip`:`port`, UDP and TCP; throws boost::system::system_error if it can't.
    Peers(asio::io_context& io, const std::string& ip, std::uint16_t port, Heard heard);
    ~Peers();
    Peers(const Peers&) = delete;
    Peers& operator=(const Peers&) = delete;

    void send(std::uint32_t ip, const raft::Message& message, bool passed_on);
    void stop();

    struct Counts {
        std::uint64_t datagrams = 0, frames = 0, dropped = 0, refused = 0, dialled = 0, broken = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    struct Line;
    struct Session;
    void receive();
    void accept();
    bool take(std::string_view bytes);

    asio::io_context& io_;
    const asio::ip::address_v4 ip_;
    const std::uint16_t port_;
    const Heard heard_;
    asio::ip::udp::socket socket_;
    tcp::acceptor acceptor_;
    asio::steady_timer receive_timer_, accept_timer_;
    std::array<char, 2048> in_;
    asio::ip::udp::endpoint from_;
    std::map<std::uint32_t, std::shared_ptr<Line>> lines_;
    std::map<std::uint64_t, std::weak_ptr<Session>> sessions_;
    std::uint64_t next_session_ = 1;
    bool stopped_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Counts counts_;
};

}  // namespace cobaltshift::control
