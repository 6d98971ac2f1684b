// What models tell the bus of requests, servers and forwarders. `subject()` names of whom a trace speaks.
#pragma once

#include <string>
#include <vector>

#include "kelplb/balancer.hpp"
#include "sim/case.hpp"

namespace cobaltshift::sim {

using RequestNo = std::size_t;
using Node = std::size_t;  // a server, forwarder or planner, from 0 by its kind

enum class Kind { safe, once, keyed };
enum class End { in_time, late, refused, failed };

inline std::string name_of(RequestNo request) { return "request " + std::to_string(request); }
inline const char* text_of(End end) {
    static const char* const names[] = {"in time", "late", "refused", "failed"};
    return names[static_cast<int>(end)];
}

struct Asked {
    RequestNo request;
    Node forwarder;
    Kind kind;
    Millis deadline;  // when the client gives up
    std::string text() const { return name_of(request) + " asked of forwarder " + std::to_string(forwarder); }
};
struct Answered {
    RequestNo request;
    Node forwarder;
    End end;
    std::string text() const {
        return name_of(request) + " answered by forwarder " + std::to_string(forwarder) + ": " + text_of(end);
    }
};
struct Dropped {  // its forwarder died
    RequestNo request;
    std::string text() const { return name_of(request) + " dropped with its forwarder"; }
};
struct Sent {
    RequestNo request;
    Node forwarder;
    kelplb::ServerId server;
    std::uint32_t attempt;
    std::string text() const {
        return name_of(request) + " attempt " + std::to_string(attempt) + " from forwarder " +
               std::to_string(forwarder) + " to server " + std::to_string(server);
    }
};
struct AttemptOver {
    RequestNo request;
    Node forwarder;
    kelplb::ServerId server;
    std::uint32_t attempt;
    kelplb::Outcome outcome;
    std::string text() const {
        return name_of(request) + " attempt " + std::to_string(attempt) + " at server " +
               std::to_string(server) + " over: outcome " + std::to_string(static_cast<int>(outcome));
    }
};
struct Ran {  // began to run
    RequestNo request;
    kelplb::ServerId server;
    std::string text() const { return name_of(request) + " runs at server " + std::to_string(server); }
};
struct Received {  // by a server that is cold
    kelplb::ServerId server;
    Millis work;
    double share;  // of its capacity at this moment
    std::string text() const { return "server " + std::to_string(server) + ", cold, received work"; }
};
struct Told {  // a forwarder, by discovery
    Node forwarder;
    std::vector<kelplb::ServerInfo> servers;
    bool whole;
    std::string text() const {
        std::string text = "forwarder " + std::to_string(forwarder) + " told of";
        for (const auto& s : servers)
            text += " server " + std::to_string(s.id) + (s.phase == kelplb::Phase::on ? "" : " closed");
        return text;
    }
};
struct ForwarderUp {
    Node forwarder;
    std::string text() const { return "forwarder " + std::to_string(forwarder) + " starts"; }
};
struct ServerTurned {  // crashed, returned, froze, ...
    kelplb::ServerId server;
    const char* how;
    std::string text() const { return "server " + std::to_string(server) + " " + how; }
};
// Where the day sets `peers`: what forwarders cost servers and one another beside requests.
struct Opened {  // a connection
    Node forwarder;
    kelplb::ServerId server;
    std::string text() const {
        return "forwarder " + std::to_string(forwarder) + " connects to server " + std::to_string(server);
    }
};
struct Probed {
    Node forwarder;
    kelplb::ServerId server;
    std::string text() const {
        return "forwarder " + std::to_string(forwarder) + " probes server " + std::to_string(server);
    }
};
struct Spoke {  // to other forwarders: so many datagrams of so many bytes
    Node forwarder;
    std::size_t datagrams, bytes;
    std::string text() const {
        return "forwarder " + std::to_string(forwarder) + " tells " + std::to_string(datagrams) + " others " +
               std::to_string(bytes) + " bytes";
    }
};

}  // namespace cobaltshift::sim
