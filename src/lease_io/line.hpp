// Connection to one replica that reconnects by itself: opened on the first send and again after a failure,
// with a random, exponentially growing back-off. While it is down only the newest frame is kept; others are
// lost, as on any network. Entry type: ReplicaConnection. Not thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "lease_io/channel.hpp"
#include "random.hpp"

namespace cobaltshift::lease {

// Limit of a payload that a client accepts from a replica, bytes; the largest one is a list of tasks.
constexpr std::size_t kLargestAnswer = 1024 * 1024;

class ReplicaConnection {
public:
    using Frame = std::function<void(FrameKind, std::string_view)>;

    // `largest`: limit of a received payload, bytes; `most_queued`: limit of the send queue, bytes; `draw`:
    // seed of the random number generator; `frame` is called with each received frame. `io` and `secret`
    // must outlive the object.
    ReplicaConnection(asio::io_context& io, tcp::endpoint to, const Secret& secret, Role role,
                      std::size_t largest, std::size_t most_queued, std::uint64_t draw, Frame frame);
    ~ReplicaConnection();
    ReplicaConnection(const ReplicaConnection&) = delete;
    ReplicaConnection& operator=(const ReplicaConnection&) = delete;

    // Connects now and reconnects even while there is nothing to send.
    void keep() { keep_ = true, dial(); }
    void send(FrameKind kind, std::string_view payload);
    // Closes the connection; queued frames are lost.
    void drop();
    bool up() const { return channel_ && channel_->up(); }
    tcp::endpoint to() const { return to_; }

    struct Counts {
        std::uint64_t dialled = 0, broken = 0, lost = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    void dial();
    void broken();

    asio::io_context& io_;
    const tcp::endpoint to_;
    const Secret& secret_;
    const Role role_;
    const std::size_t largest_, most_queued_;
    kelplb::Random random_;
    const Frame frame_;
    asio::steady_timer timer_;
    std::shared_ptr<tcp::socket> dialling_;
    std::shared_ptr<Channel> channel_;
    double pause_ = 0;
    bool keep_ = false, waiting_ = false;
    std::string first_;  // payload of the newest frame sent while disconnected
    FrameKind first_kind_ = FrameKind::ping;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Counts counts_;
};

}  // namespace cobaltshift::lease
