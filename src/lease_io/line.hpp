// A connection kept to one keeper: dialled when first needed, and anew after it has broken, with a growing,
// drawn pause. What is sent while it is down waits within a small bound, or is lost, as on any network. Entry
// type: Line.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "lease_io/channel.hpp"
#include "random.hpp"

namespace cobaltshift::lease {

// Payload that a client takes from a keeper: what is listed, at the most.
constexpr std::size_t kLargestAnswer = 1024 * 1024;

class Line {
public:
    using Frame = std::function<void(FrameKind, std::string_view)>;

    // `largest`: payload taken from the keeper; `most_queued`: bytes that may wait to be sent. `keep`: dial
    // at once and always, else only while something has been sent. All must outlive the Line.
    Line(asio::io_context& io, tcp::endpoint to, const Secret& secret, Role role, std::size_t largest,
         std::size_t most_queued, std::uint64_t draw, Frame frame);
    ~Line();
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;

    void keep() { keep_ = true, dial(); }
    void send(FrameKind kind, std::string_view payload);
    // Lets the connection go; what waits is lost.
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
    kelplb::Random lots_;
    const Frame frame_;
    asio::steady_timer timer_;
    std::shared_ptr<tcp::socket> dialling_;
    std::shared_ptr<Channel> channel_;
    double pause_ = 0;
    bool keep_ = false, waiting_ = false;
    std::string first_;  // sent while it is being dialled: the newest frame's payload
    FrameKind first_kind_ = FrameKind::ping;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Counts counts_;
};

}  // namespace cobaltshift::lease
