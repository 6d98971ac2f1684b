#include "net/node.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <sstream>

#include "log/log.hpp"

namespace cobaltshift {

namespace {

// New connections keep arriving for a while after the signal.
constexpr std::chrono::milliseconds kDrainAcceptTime{600}, kStopPollInterval{10};
// Added to the longest deadline: requests still open by then have passed every deadline, and the process is
// about to be killed.
constexpr Millis kStopMarginMs = 500;

// Descriptors reserved for everything but connections: log, event loop, listener, discovery, peers, and a
// margin.
constexpr std::size_t kReservedDescriptors = 32;
// Surplus data behind a server's answer arrives right after it and is noticed within this time.
constexpr Millis kSettleMs = 2;

std::size_t connections(const Config& config) {
    rlimit limit{};
    std::size_t max_connections = config.sockets;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
        max_connections = std::min<std::size_t>(max_connections, limit.rlim_cur);
    return std::max(max_connections, kReservedDescriptors + 16) - kReservedDescriptors;
}
std::size_t fraction_of(std::size_t total, double fraction) {
    return static_cast<std::size_t>(static_cast<double>(total) * fraction);
}
std::size_t client_connections(const Config& config, const ResourceShares& shares) {
    return fraction_of(connections(config), shares.client_descriptors);
}
std::size_t server_connections(const Config& config, const ResourceShares& shares) {
    return connections(config) - client_connections(config, shares);
}
Listener::Limits limits(const Config& config, const ResourceShares& shares) {
    return {client_connections(config, shares) - 1,  // the listener accepts one connection over its limit
            fraction_of(config.sockets, shares.clients_hold),
            std::max<std::size_t>(kMaxBody, fraction_of(config.memory_mb << 20, shares.body_memory))};
}

}  // namespace

Node::Node(asio::io_context& io, Config config, ResourceShares shares)
    : io_(io),
      config_(std::move(config)),
      sidecar_(io, clock_, config_,
               {config_.connect_timeout, config_.idle_close, server_connections(config_, shares), kSettleMs}),
      front_(sidecar_),
      listener_(io, clock_, front_, limits(config_, shares)),
      discovery_(
          io, config_,
          {[this](const HostList& list) { sidecar_.apply_list(list); }, [this] { sidecar_.list_failed(); }}),
      timer_(io),
      tally_timer_(io),
      tally_seconds_(shares.tally_seconds) {
    if (config_.peer_listen && config_.settings.may_message_peers)
        peers_ =
            std::make_unique<Peers>(io, config_, [this](std::uint32_t from, std::vector<std::uint8_t> bytes) {
                sidecar_.on_peer_message(from, std::move(bytes));
            });
    sidecar_.connect_to(discovery_, peers_.get());
    listener_.listen(config_.listen);
    sidecar_.start();
    if (!config_.settings.subscribe_to_list) discovery_.watch(true);
    front_.open_for_use();
    std::ostringstream address;
    address << endpoint();
    log_line("listens", "listens on " + address.str(), {{"address", address.str()}});
    tally();
}

void Node::stop(std::function<void()> done) {
    if (stopped_) return;
    stopped_ = std::move(done);
    stop_at_ = clock_.now() + config_.longest_deadline + kStopMarginMs;
    front_.drain();
    listener_.drain();
    timer_.expires_after(kDrainAcceptTime);
    timer_.async_wait([this](error_code ec) {
        if (ec) return;
        listener_.stop_accepting();
        finish_stop();
    });
}

void Node::reload(const ResourceShares& shares) {
    discovery_.set_endpoint(reload_discovery());
    listener_.limit(limits(config_, shares));
    sidecar_.limit_connections(server_connections(config_, shares));
    tally_seconds_ = shares.tally_seconds;
    tally();
}

void Node::tally() {
    tally_timer_.cancel();
    if (tally_seconds_ <= 0) return;
    tally_timer_.expires_after(
        std::chrono::milliseconds(std::max(100, static_cast<int>(tally_seconds_ * 1000))));
    tally_timer_.async_wait([this](error_code ec) {
        if (ec) return;
        log_line("tally", sidecar_.tally());
        tally();
    });
}

void Node::finish_stop() {
    if ((!listener_.busy() && sidecar_.unanswered() == 0) || clock_.now() >= stop_at_) {
        log_line("tally", sidecar_.tally());
        return stopped_();
    }
    timer_.expires_after(kStopPollInterval);
    timer_.async_wait([this](error_code ec) {
        if (!ec) finish_stop();
    });
}

}  // namespace cobaltshift
