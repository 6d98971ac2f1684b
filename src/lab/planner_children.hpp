// Real planner processes on fixed loopback addresses, for forwarders of one fleet.
#pragma once

#include <string>
#include <vector>

#include "lab/archive.hpp"
#include "lab/child.hpp"

namespace cobaltshift::lab {

constexpr std::size_t kPlanners = 3;
constexpr const char* kLabSecret = "a secret of the lab's own";

// An address that was free a moment ago, and that no connection goes out from.
tcp::endpoint free_address(asio::io_context& io);

class PlannerChildren {
public:
    PlannerChildren(asio::io_context& io, const Folder& folder, std::size_t count = kPlanners);
    // The file to be given to each forwarder.
    std::string forwarders_settings() const;
    // As planner for servers of this kind.
    void start(std::size_t p, const std::string& discovery, const Archive::Options& server);
    void kill(std::size_t p);
    std::size_t kills() const { return kills_; }
    // SIGTERM to all; the worst exit code.
    int stop();

private:
    asio::io_context& io_;
    const Folder& folder_;
    std::vector<tcp::endpoint> at_;
    std::string secret_;
    std::vector<std::unique_ptr<Child>> children_;
    std::size_t kills_ = 0;
};

}  // namespace cobaltshift::lab
