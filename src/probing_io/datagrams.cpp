#include "probing_io/datagrams.hpp"

namespace cobaltshift::probing {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {
constexpr std::size_t kCode = 64;
}

Datagrams::Datagrams(asio::io_context& io, const udp::endpoint& listen, std::vector<udp::endpoint> all,
                     std::size_t own, plan::Secret secret, Heard heard)
    : all_(std::move(all)),
      own_(own),
      secret_(std::move(secret)),
      heard_(std::move(heard)),
      socket_(io, listen) {
    socket_.non_blocking(true);
    this->listen();
}

Datagrams::~Datagrams() { *alive_ = false; }

void Datagrams::tell(const std::string& message) {
    const std::string bytes = secret_.given() ? message + secret_.code({message}) : message;
    for (std::size_t to = 0; to < all_.size(); ++to) {
        error_code ignored;  // a message that can't go is a lost one
        if (to != own_) socket_.send_to(asio::buffer(bytes), all_[to], 0, ignored);
    }
}

void Datagrams::listen() {
    socket_.async_receive_from(asio::buffer(bytes_), from_,
                               [this, alive = alive_](error_code ec, std::size_t size) {
                                   if (ec == asio::error::operation_aborted || !*alive) return;
                                   const std::string_view bytes(bytes_.data(), size);
                                   const std::size_t code = secret_.given() ? kCode : 0;
                                   if (!ec && size > code && size < bytes_.size()) {
                                       const std::string_view message = bytes.substr(0, size - code);
                                       if (secret_.verify(bytes.substr(message.size()), {message}))
                                           heard_(message);
                                   }
                                   if (*alive) listen();
                               });
}

}  // namespace cobaltshift::probing
