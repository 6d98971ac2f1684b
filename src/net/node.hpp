// One complete sidecar: wires up listener, sidecar, discovery and peers. Entry type: Node. Not thread-safe:
// runs on the io_context's thread.
#pragma once

#include <functional>
#include <memory>

#include "net/discovery.hpp"
#include "net/listener.hpp"
#include "net/peers.hpp"
#include "net/resource_shares.hpp"
#include "net/sidecar_front.hpp"

namespace cobaltshift {

class Node {
public:
    Node(asio::io_context& io, Config config, ResourceShares shares = {});  // throws if it can't bind
    tcp::endpoint endpoint() const { return listener_.endpoint(); }

    // Graceful shutdown: keeps accepting connections for a while, as clients are still being sent here, then
    // completes the open requests and calls `done`.
    void stop(std::function<void()> done);

    // Applies changes in the configuration file and in the settings. Of the configuration only discovery's
    // address is reloaded. Throws ConfigError if the file is invalid; then nothing has changed.
    void reload(const ResourceShares& shares);

    Sidecar::ObjectCounts object_counts() const { return sidecar_.object_counts(); }
    Sidecar& sidecar() { return sidecar_; }
    const Clock& clock() const { return clock_; }
    const Config& config() const { return config_; }

private:
    void finish_stop();
    void tally();

    asio::io_context& io_;
    Clock clock_;
    Config config_;
    Sidecar sidecar_;
    SidecarFront front_;
    Listener listener_;
    std::unique_ptr<Peers> peers_;
    Discovery discovery_;
    asio::steady_timer timer_, tally_timer_;
    double tally_seconds_ = 0;
    std::function<void()> stopped_;
    Millis stop_at_ = 0;
};

}  // namespace cobaltshift
