// Settings of plan clients (forwarders) and planner processes; see docs/operate/plan.md. Times are in ms.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <vector>

#include "plan/planner.hpp"

namespace cobaltshift::plan {

// Settings of a forwarder. Without planners the client is off.
struct ClientSettings {
    // A planner's number is its index here, so the order must be the same in all processes.
    std::vector<boost::asio::ip::tcp::endpoint> planners;
    Millis report = 1000;  // interval between reports
    Millis wait = 1000;    // how long a planner may hold a request for a plan (long poll)
    std::string secret_file;
};

// Settings of a planner process.
struct ServerSettings {
    boost::asio::ip::tcp::endpoint listen;
    boost::asio::ip::tcp::endpoint discovery;
    Millis tick = 500;               // interval between Planner::tick() calls
    std::size_t connections = 8192;  // maximum number open at a time
    Millis writing = 5000;           // time limit for writing a response; then the connection is closed
    std::string state_folder;        // empty: no state is kept across restarts
    std::string secret_file;
    PlannerSettings core;
};

}  // namespace cobaltshift::plan
