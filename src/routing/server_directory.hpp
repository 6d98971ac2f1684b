// The servers of each service that the decision module may choose from: derived from the registry, and from
// refusals by which admissions asked callers to stay away. Entry type: ServerDirectory. Does no I/O; called
// by proxy::Outbound and sim_mesh. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "module.hpp"
#include "registry/records.hpp"

namespace cobaltshift::routing {

struct ListedServer {
    std::string instance_id;  // of the server process
    std::uint32_t ip = 0;
    std::uint16_t traffic_port = 0;
    std::string zone;
    Phase phase = Phase::on;  // draining: gets no new requests, running ones go on
    Millis born = 0;          // start time as passed to the module; 0: long ago
    double units = 1;         // capacity in slots
};

class ServerDirectory {
public:
    using Visitor = std::function<void(const registry::NodeRecord&, registry::MemberState)>;
    using EachNode = std::function<void(const Visitor&)>;
    struct Lists {
        std::map<std::string, std::vector<ListedServer>> by_service;
        Millis first_avoid_expiry = 0;  // when the first avoided server may be used again; 0: none is avoided
    };

    // The admission of this instance refuses all requests for now, or is another instance's: the server is
    // listed as draining for 700 ms.
    void avoid(Millis now, const std::string& instance_id);
    // `each_node` calls its visitor with each known node. Servers of nodes that are gone are left out.
    Lists list(Millis now, const EachNode& each_node);
    // The node that serves this instance in the newest list; none: unknown.
    std::optional<std::uint32_t> ip_of(const std::string& instance_id) const;

private:
    Millis start_time(Millis now, const registry::ServerRecord& server) const;

    std::map<std::string, Millis> avoided_until_;  // by instance id
    std::map<std::string, Millis> start_times_;    // by instance id
    std::map<std::string, std::uint32_t> ip_of_;
};

}  // namespace cobaltshift::routing
