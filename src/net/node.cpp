#include "net/node.hpp"

#include <sys/resource.h>

#include <algorithm>

#include "net/log.hpp"

namespace cobaltshift {

namespace {

// New connections go on coming for a while after the signal.
constexpr std::chrono::milliseconds kAcceptOn{600}, kLook{10};
// What is still held by then has passed every deadline; the kill is near.
constexpr Millis kLastMoment = 500;

// Descriptors for all but connections: the log, the loop, the listener, discovery, peers, and some to spare.
constexpr std::size_t kSpare = 32;
// Of the rest, more for clients than for servers: clients also hold idle ones and ones that say nothing.
constexpr double kForClients = 0.62;
// Clients' machines hold a third of the limit at most for their requests, by the platform's word.
constexpr std::size_t kClientsHold = 3;
// Of the memory, for the bodies of requests held. Each is there up to three times: read, kept, and on its
// way.
constexpr std::size_t kBodyPart = 12;
// What a server sends behind its answer follows it at once; within this it has been noticed.
constexpr Millis kSettle = 2;

std::size_t connections(const Config& config) {
    rlimit limit{};
    std::size_t most = config.sockets;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) most = std::min<std::size_t>(most, limit.rlim_cur);
    return std::max(most, kSpare + 16) - kSpare;
}
std::size_t from_clients(const Config& config) {
    return static_cast<std::size_t>(static_cast<double>(connections(config)) * kForClients);
}

}  // namespace

Node::Node(asio::io_context& io, Config config)
    : io_(io),
      config_(std::move(config)),
      sidecar_(io, clock_, config_,
               {config_.connect_timeout, config_.idle_close, connections(config_) - from_clients(config_),
                kSettle}),
      listener_(io, clock_, sidecar_,
                {from_clients(config_) - 1,  // it takes one over the limit
                 config_.sockets / kClientsHold,
                 std::max<std::size_t>(kMaxBody, (config_.memory_mb << 20) / kBodyPart)}),
      discovery_(io, config_,
                 {[this](const HostList& list) { sidecar_.told(list); }, [this] { sidecar_.list_failed(); }}),
      timer_(io) {
    if (config_.peer_listen && config_.settings.may_tell)
        peers_ =
            std::make_unique<Peers>(io, config_, [this](std::uint32_t from, std::vector<std::uint8_t> bytes) {
                sidecar_.peer_said(from, std::move(bytes));
            });
    sidecar_.connect_to(discovery_, peers_.get());
    listener_.listen(config_.listen);
    sidecar_.start();
    if (!config_.settings.list_on_request) discovery_.watch(true);
    listener_.open_for_use();
}

void Node::stop(std::function<void()> done) {
    if (stopped_) return;
    stopped_ = std::move(done);
    stop_at_ = clock_.now() + config_.longest_deadline + kLastMoment;
    listener_.drain();
    timer_.expires_after(kAcceptOn);
    timer_.async_wait([this](error_code ec) {
        if (ec) return;
        listener_.stop_accepting();
        wind_down();
    });
}

void Node::reload() {
    try {
        discovery_.move_to(reload_discovery());
    } catch (const ConfigError& error) {
        log_line(std::string("the old configuration stays in force: ") + error.what());
    }
}

void Node::wind_down() {
    if ((!listener_.busy() && sidecar_.unanswered() == 0) || clock_.now() >= stop_at_) return stopped_();
    timer_.expires_after(kLook);
    timer_.async_wait([this](error_code ec) {
        if (!ec) wind_down();
    });
}

}  // namespace cobaltshift
