#include "net/peers.hpp"

#include <algorithm>

#include "log/log.hpp"

namespace cobaltshift {

Peers::Peers(asio::io_context& io, const Config& config, MessageHandler on_message)
    : config_(config), on_message_(std::move(on_message)), socket_(io, *config.peer_listen) {
    socket_.non_blocking(true);
    receive();
}

void Peers::send(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes) {
    if (bytes.size() > kMaxMessageBytes)
        return log_line("peers.too_long", "a message to peers exceeds the size limit and was not sent",
                        {{"bytes", std::uint64_t{bytes.size()}}});
    if (to ? *to >= config_.peers.size() : !config_.peers_all) return;
    error_code ignored;  // delivery is best effort
    socket_.send_to(asio::buffer(bytes), to ? config_.peers[*to] : *config_.peers_all, 0, ignored);
}

void Peers::receive() {
    socket_.async_receive_from(asio::buffer(bytes_), sender_, [this](error_code ec, std::size_t size) {
        if (ec == asio::error::operation_aborted) return;
        // Peers are identified by their address; datagrams from other addresses are dropped.
        const auto peer = std::find(config_.peers.begin(), config_.peers.end(), sender_);
        if (!ec && size <= kMaxMessageBytes && peer != config_.peers.end())
            on_message_(static_cast<std::uint32_t>(peer - config_.peers.begin()),
                        {bytes_.begin(), bytes_.begin() + static_cast<std::ptrdiff_t>(size)});
        receive();
    });
}

}  // namespace cobaltshift
