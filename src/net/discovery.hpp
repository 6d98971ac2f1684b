// The watch on discovery. It keeps the list held coming; what can't be read or is older changes nothing.
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
        std::function<void(const HostList&)> told;
        std::function<void()> failed;  // where lists are asked for: the call or the watch broke
    };
    Discovery(asio::io_context& io, const Config& config, Handlers handlers);

    void watch(bool active);  // where lists are pushed, active from the start
    void fetch();             // the whole list, once
    // From now on another address is asked, from the whole list on. What the old one still says is dropped.
    void move_to(const tcp::endpoint& to);

private:
    struct Call;
    void next();
    void call(bool whole);
    void answered(const std::shared_ptr<Call>& call);
    void failed(const std::shared_ptr<Call>& call, const std::string& why);

    asio::io_context& io_;
    const Config& config_;
    tcp::endpoint at_;
    Handlers handlers_;
    std::shared_ptr<Call> call_;
    std::unique_ptr<beast::tcp_stream> kept_;  // the connection for the next call
    asio::steady_timer pause_;
    std::uint64_t seq_ = 0;
    bool active_ = false;
    bool gap_ = false;  // something may have been missed: the whole list is next
    bool fetch_ = false;
};

}  // namespace cobaltshift
