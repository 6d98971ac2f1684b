// A planner process: runs plan::Planner with its HTTP server for forwarders, its watch on discovery and its
// state on disk. Not thread-safe: everything runs on the given io_context's thread.
#pragma once

#include <map>

#include "net/discovery.hpp"
#include "plan_io/server.hpp"
#include "plan_io/state.hpp"

namespace cobaltshift::plan {

class PlannerNode {
public:
    // Throws SecretError, or another exception if it can't listen.
    PlannerNode(asio::io_context& io, ServerSettings settings);
    tcp::endpoint endpoint() const { return server_.endpoint(); }
    const Server::Counts& counts() const { return server_.counts(); }
    std::size_t connections() const { return server_.connections(); }
    const Planner& core() const { return planner_; }
    // Closes all connections and writes the state.
    void stop();

private:
    PlanId load_id();  // the last plan id on disk; also sets state_
    void update_servers(const HostList& list);
    void tick();
    void schedule_publish();  // ahead of the next tick, if the planner asks for it
    void publish(bool changed);
    // Writes the state; unless `always`, at most every kSaveIntervalMs.
    void save(bool always);

    Clock clock_;
    ServerSettings settings_;
    std::optional<State> state_;  // as read from disk, until its removals have been restored
    Config config_;
    Planner planner_;
    std::map<std::string, ServerId> names_;
    Server server_;
    Discovery discovery_;
    asio::steady_timer tick_timer_, publish_timer_;
    bool publish_scheduled_ = false;
    Millis saved_at_ = 0;
    bool stopped_ = false;
};

}  // namespace cobaltshift::plan
