// What sidecars and hubs know of one another: one record a node, told by that node alone. Used by registry,
// gossip, watch and by the proxy. Free of I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cobaltshift::registry {

using Millis = double;  // of the own steady clock, from any origin; never compared with another machine's

enum class NodeRole : std::uint8_t { proxy, hub };  // sidecar; machine of the core

// The application server beside a proxy, as it said in its newest beat.
struct ServerRecord {
    std::string life;  // instance_id
    std::string service, edition;
    std::uint16_t port = 0;  // of its address, on the node's ip
    std::uint32_t capacity = 0;
    bool closing = false;        // said so, or is gone
    std::uint64_t call_seq = 0;  // of the beat
    double warmup_left_s = 0;    // when told; what is left now is worked out by the receiver
    bool operator==(const ServerRecord&) const = default;
};

struct NodeRecord {
    std::uint32_t ip = 0;    // IPv4 in host order: the node's name
    std::uint64_t life = 0;  // of its processes: a drawn number that rises (see gossip_io), newer beats older
    std::uint64_t seq = 0;   // of the record within the life; newer beats older
    NodeRole role = NodeRole::proxy;
    std::string zone;
    std::uint16_t traffic_port = 0;    // where a proxy takes requests for the server beside it
    bool ready = false;                // a proxy that takes requests for its server
    bool leaving = false;              // got SIGTERM
    std::uint64_t config_edition = 0;  // newest version that it holds
    std::optional<ServerRecord> server;
    bool operator==(const NodeRecord&) const = default;
};

// As the failure detector sees it: alive -> suspect -> gone. A gone node is remembered and asked now and
// then.
enum class Standing : std::uint8_t { alive, suspect, gone };

}  // namespace cobaltshift::registry
