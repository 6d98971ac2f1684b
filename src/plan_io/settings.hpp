// Settings of the plan's I/O on both sides; see docs/operate/plan.md.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <vector>

#include "plan/planner.hpp"

namespace cobaltshift::plan {

// A forwarder's. No planners: off.
struct ClientSettings {
    std::vector<boost::asio::ip::tcp::endpoint>
        planners;          // their order gives their numbers, the same everywhere
    Millis report = 1000;  // between reports
    Millis wait = 1000;    // a planner holds a question for a plan so long
    std::string secret_file;
};

// A planner process's.
struct ServerSettings {
    boost::asio::ip::tcp::endpoint listen;
    boost::asio::ip::tcp::endpoint discovery;
    Millis tick = 500;
    std::size_t connections = 8192;
    Millis writing = 5000;     // for an answer that its reader does not take; then it is dropped
    std::string state_folder;  // none: starts from nothing
    std::string secret_file;
    PlannerSettings core;
};

}  // namespace cobaltshift::plan
