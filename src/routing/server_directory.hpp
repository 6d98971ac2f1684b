// The servers that the decision module may pick from, service by service, as the registry tells of them and
// as their admissions have answered. Entry type: ServerDirectory. Free of I/O; called by proxy::Outbound and
// sim_mesh.
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
    std::string life;  // its instance id
    std::uint32_t ip = 0;
    std::uint16_t traffic_port = 0;
    std::string zone;
    Phase phase = Phase::on;  // fading: what it has goes on, nothing new goes there
    Millis born = 0;          // as the module is told; 0: long ago
    double units = 1;         // its capacity
};

class ServerDirectory {
public:
    using Visitor = std::function<void(const registry::NodeRecord&, registry::Standing)>;
    using EachNode = std::function<void(const Visitor&)>;
    struct Lists {
        std::map<std::string, std::vector<ListedServer>> by_service;
        Millis again_at = 0;  // when a server that is avoided now may be used again; 0: none is
    };

    // Its admission takes nothing for now, or is another's.
    void avoid(Millis now, const std::string& life);
    Lists list(Millis now, const EachNode& each_node);
    // Of a server of the newest list.
    std::optional<std::uint32_t> ip_of(const std::string& life) const;

private:
    Millis born(Millis now, const registry::ServerRecord& server) const;

    std::map<std::string, Millis> avoided_;  // lives, until when
    std::map<std::string, Millis> born_;     // lives
    std::map<std::string, std::uint32_t> ip_of_;
};

}  // namespace cobaltshift::routing
