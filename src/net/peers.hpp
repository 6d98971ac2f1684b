// Datagrams between sidecars of the tier: short, and late or lost without harm.
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
    using Heard = std::function<void(std::uint32_t from, std::vector<std::uint8_t> bytes)>;
    Peers(asio::io_context& io, const Config& config, Heard heard);  // throws if it can't listen

    void tell(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes);

private:
    static constexpr std::size_t kLongest = 256;
    void listen();

    const Config& config_;
    Heard heard_;
    udp::socket socket_;
    udp::endpoint from_;
    std::array<std::uint8_t, kLongest + 1> bytes_{};  // one more shows what is over-long
};

}  // namespace cobaltshift
