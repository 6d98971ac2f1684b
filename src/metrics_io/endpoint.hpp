// Serves a process's metrics: GET /metrics on the address given by [metrics] in the settings. The metrics are
// rendered for each request. Limits: 8 connections, 4096 bytes of request head and 5 s per connection, one
// request per connection. Entry type: MetricsEndpoint. Not thread-safe: runs on the io_context's thread.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>

namespace cobaltshift {

class MetricsEndpoint {
public:
    using Render = std::function<std::string()>;

    // Throws boost::system::system_error if it can't bind. `render` is called on the event loop; what it
    // refers to must outlive the endpoint.
    MetricsEndpoint(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Render render);
    ~MetricsEndpoint();
    boost::asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

private:
    static constexpr std::size_t kMaxConnections = 8, kMaxHeadBytes = 4096;
    static constexpr std::chrono::seconds kTimeout{5};
    struct Connection;
    void accept();

    boost::asio::io_context& io_;
    const Render render_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift
