// A planner process: the watch on discovery, the front for forwarders, and the state on disk, round
// plan::Planner.
#pragma once

#include <map>

#include "net/discovery.hpp"
#include "plan_io/server.hpp"
#include "plan_io/state.hpp"

namespace cobaltshift::plan {

class PlannerNode {
public:
    // Throws if it can't listen, or SecretError.
    PlannerNode(asio::io_context& io, ServerSettings settings);
    tcp::endpoint endpoint() const { return server_.endpoint(); }
    const Server::Counts& counts() const { return server_.counts(); }
    std::size_t connections() const { return server_.connections(); }
    const Planner& core() const { return planner_; }
    void stop();

private:
    PlanId held();  // from disk
    void told(const HostList& list);
    void tick();
    void turned();  // ahead of the next tick
    void publish(bool changed);
    void keep(bool always);

    Clock clock_;
    ServerSettings settings_;
    std::optional<State> state_;
    Config config_;
    Planner planner_;
    std::map<std::string, ServerId> names_;
    Server server_;
    Discovery discovery_;
    asio::steady_timer timer_, early_;
    bool early_set_ = false;
    Millis kept_at_ = 0;
    bool stopped_ = false;
};

}  // namespace cobaltshift::plan
