// Datagrams between those that share probing: each goes to all the others, with a code over it (64 hex digits
// at its end) where there is a secret. Who sends is known by the message, not by the address. Entry type:
// Datagrams.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "plan_io/auth.hpp"

namespace cobaltshift::probing {

class Datagrams {
public:
    using udp = boost::asio::ip::udp;
    using Heard = std::function<void(std::string_view message)>;

    // `all`: theirs and, at `own`, this one's, which is not sent to. Throws boost::system::system_error if it
    // can't listen.
    Datagrams(boost::asio::io_context& io, const udp::endpoint& listen, std::vector<udp::endpoint> all,
              std::size_t own, plan::Secret secret, Heard heard);
    ~Datagrams();

    void tell(const std::string& message);

private:
    void listen();

    const std::vector<udp::endpoint> all_;
    const std::size_t own_;
    const plan::Secret secret_;
    const Heard heard_;
    udp::socket socket_;
    udp::endpoint from_;
    std::array<char, 2048> bytes_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift::probing
