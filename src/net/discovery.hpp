// The client of the discovery service. It long-polls for changes of the server list and passes them on;
// answers that can't be parsed or that are older than the list held are ignored. Entry type: Discovery. Not
// thread-safe: runs on the io_context's thread.
#pragma once

#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "net/config.hpp"
#include "net/http.hpp"

namespace cobaltshift {

class Discovery {
public:
    struct Handlers {
        std::function<void(const HostList&)> on_list;
        std::function<void()> on_failure;  // only if lists are requested: the fetch or the watch failed
    };
    Discovery(asio::io_context& io, const Config& config, Handlers handlers);

    // Starts or stops polling for changes. If lists are pushed, the caller starts it at once.
    void watch(bool active);
    // Requests the full list once.
    void fetch();
    // Switches to another address, starting with the full list. Pending answers of the old one are dropped.
    void set_endpoint(const tcp::endpoint& to);

private:
    struct Call;
    void next();
    void call(bool full);
    void answered(const std::shared_ptr<Call>& call);
    void failed(const std::shared_ptr<Call>& call, const std::string& why);

    asio::io_context& io_;
    const Config& config_;
    tcp::endpoint endpoint_;
    Handlers handlers_;
    std::shared_ptr<Call> call_;
    std::unique_ptr<beast::tcp_stream> idle_stream_;  // connection kept for the next call
    asio::steady_timer retry_timer_;
    std::uint64_t seq_ = 0;
    bool active_ = false;
    bool resync_needed_ = false;  // changes may have been missed: request the full list next
    bool fetch_requested_ = false;
};

}  // namespace cobaltshift
