// The records that proxies and control nodes exchange about themselves: one record per node, written by that
// node alone. Used by registry, gossip, failure_detector, routing and the proxy. Free of I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cobaltshift::registry {

// Milliseconds on the local steady clock, from an arbitrary origin; never compared with another machine's.
using Millis = double;

enum class NodeRole : std::uint8_t { proxy, control_node };  // sidecars; members of the control plane

// The application server beside a proxy, as reported by its most recent heartbeat.
struct ServerRecord {
    std::string instance_id;  // of the server process; differs after a restart
    std::string service, edition;
    std::uint16_t port = 0;  // at the node's IP
    std::uint32_t capacity = 0;
    bool closing = false;        // the server announced its shutdown, or has exited
    std::uint64_t call_seq = 0;  // of the heartbeat
    double warmup_left_s = 0;    // when the record was sent; receivers count it down from there
    bool operator==(const ServerRecord&) const = default;
};

struct NodeRecord {
    std::uint32_t ip = 0;  // IPv4 in host byte order; identifies the node
    // Of the node's process: random at its start, raised above any higher one that other nodes hold.
    std::uint64_t incarnation = 0;
    std::uint64_t seq = 0;  // of the record within the incarnation; the higher (incarnation, seq) wins
    NodeRole role = NodeRole::proxy;
    std::string zone;
    std::uint16_t traffic_port = 0;    // at which a proxy accepts requests for the server beside it
    bool ready = false;                // a proxy that accepts requests for its server
    bool leaving = false;              // received SIGTERM
    std::uint64_t config_edition = 0;  // of the newest configuration that the node holds
    std::optional<ServerRecord> server;
    bool operator==(const NodeRecord&) const = default;
};

// A node's state as the failure detector sees it: alive -> suspect -> gone. Nodes that are gone are kept for
// a while and probed now and then.
enum class MemberState : std::uint8_t { alive, suspect, gone };

}  // namespace cobaltshift::registry
