#include "net/peers.hpp"

#include <algorithm>

#include "log/log.hpp"

namespace cobaltshift {

Peers::Peers(asio::io_context& io, const Config& config, Heard heard)
    : config_(config), heard_(std::move(heard)), socket_(io, *config.peer_listen) {
    socket_.non_blocking(true);
    listen();
}

void Peers::tell(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes) {
    if (bytes.size() > kLongest)
        return log_line("peers.too_long", "a message to peers is too long and was not sent",
                        {{"bytes", std::uint64_t{bytes.size()}}});
    if (to ? *to >= config_.peers.size() : !config_.peers_all) return;
    error_code ignored;  // a message that can't go is a lost one
    socket_.send_to(asio::buffer(bytes), to ? config_.peers[*to] : *config_.peers_all, 0, ignored);
}

void Peers::listen() {
    socket_.async_receive_from(asio::buffer(bytes_), from_, [this](error_code ec, std::size_t size) {
        if (ec == asio::error::operation_aborted) return;
        // The sender is known by its address alone; from anyone else it is noise.
        const auto peer = std::find(config_.peers.begin(), config_.peers.end(), from_);
        if (!ec && size <= kLongest && peer != config_.peers.end())
            heard_(static_cast<std::uint32_t>(peer - config_.peers.begin()),
                   {bytes_.begin(), bytes_.begin() + static_cast<std::ptrdiff_t>(size)});
        listen();
    });
}

}  // namespace cobaltshift
