// Where a process' metrics are fetched: GET /metrics on the address that [metrics] names. Made when asked
// for. Bounded: a few connections, a short head, a short time each; one answer a connection. Entry type:
// MetricsEndpoint.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>

namespace cobaltshift {

class MetricsEndpoint {
public:
    using Render = std::function<std::string()>;

    // Throws boost::system::system_error if it can't listen. `render` is called on the loop; it must outlive
    // this.
    MetricsEndpoint(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Render render);
    ~MetricsEndpoint();
    boost::asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

private:
    static constexpr std::size_t kMostConnections = 8, kMostHead = 4096;
    static constexpr std::chrono::seconds kWithin{5};
    struct Connection;
    void accept();

    boost::asio::io_context& io_;
    const Render render_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift
