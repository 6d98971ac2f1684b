// All the parts of one sidecar, wired together.
#pragma once

#include <functional>
#include <memory>

#include "net/discovery.hpp"
#include "net/listener.hpp"
#include "net/peers.hpp"

namespace cobaltshift {

class Node {
public:
    Node(asio::io_context& io, Config config);  // throws if it can't listen
    tcp::endpoint endpoint() const { return listener_.endpoint(); }

    // A planned stop: serves on while clients are still sent here, then finishes what it holds.
    void stop(std::function<void()> done);

    // The file of the configuration has changed. Only discovery's address is taken from it.
    void reload();

    Sidecar::Held held() const { return sidecar_.held(); }

private:
    void wind_down();

    asio::io_context& io_;
    Clock clock_;
    Config config_;
    Sidecar sidecar_;
    Listener listener_;
    std::unique_ptr<Peers> peers_;
    Discovery discovery_;
    asio::steady_timer timer_;
    std::function<void()> stopped_;
    Millis stop_at_ = 0;
};

}  // namespace cobaltshift
