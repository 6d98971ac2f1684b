// Datagrams between the sidecars of one tier. Messages are short; losing or delaying one does no harm. Entry
// type: Peers. Not thread-safe.
#pragma once

#include <array>
#include <functional>
#include <optional>
#include <vector>

#include "net/config.hpp"
#include "net/http.hpp"

namespace cobaltshift {

class Peers {
public:
    using MessageHandler = std::function<void(std::uint32_t from, std::vector<std::uint8_t> bytes)>;
    Peers(asio::io_context& io, const Config& config, MessageHandler on_message);  // throws if it can't bind

    // Sends to peer `to`, or to all peers through `peers_all` if there is none. Best effort: errors are
    // ignored, and a message over 256 bytes is logged and dropped.
    void send(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes);

private:
    static constexpr std::size_t kMaxMessageBytes = 256;
    void receive();

    const Config& config_;
    MessageHandler on_message_;
    udp::socket socket_;
    udp::endpoint sender_;
    std::array<std::uint8_t, kMaxMessageBytes + 1> bytes_{};  // one byte more, to detect longer datagrams
};

}  // namespace cobaltshift
