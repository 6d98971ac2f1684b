// One edition of the mesh's configuration (routes, services, limits), and route lookup. Entry type:
// Configuration, immutable once finalize() has built its index. Used by proxies for every request, by the
// state machine and by ConfigDistributor. Free of I/O. parse.hpp reads it from JSON, codec.hpp encodes it for
// transfer, and config_state_machine.hpp decides which edition is the newest.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cobaltshift::config {

using Edition = std::uint64_t;  // written as r12; 0: no configuration exists yet

// How requests may be retried: `registered` ones run at most once per client attempt, the others may be
// repeated.
enum class RouteKind : std::uint8_t { plain, registered, download };

struct WeightedService {
    std::string service;
    double weight = 1;
    bool operator==(const WeightedService&) const = default;
};

struct Route {
    std::string name, host /* normalized, see normalize_host() */, path_prefix;
    RouteKind kind = RouteKind::registered;
    double deadline_ms = 0, target_ms = 0;
    int priority = 0;                    // 0 is the highest
    std::vector<WeightedService> split;  // at least one weight is above 0
    unsigned tries = 1;                  // servers that one client attempt may be sent to
    std::string text;                    // the JSON as received, including unknown fields
};

struct Service {
    std::string health_path = "/health";
    unsigned max_connections = 0;  // of a server, from all callers together
    std::string text;              // as above
};

struct Limits {
    std::size_t max_header_bytes = 16 * 1024, max_body_bytes = 64 * 1024 * 1024;
    double header_read_ms = 3000, idle_timeout_ms = 15000;
    std::string text;  // as above
};

struct Configuration {
    Edition edition = 0;
    std::map<std::string, Route> routes;
    std::map<std::string, Service> services;
    Limits limits;
    std::map<std::string, std::string> unknown_fields;  // unknown top-level fields, as JSON

    // The route of this host (ignoring case and port) with the longest prefix of `path`; anything after a '?'
    // is ignored. Null if no route matches: the request is answered with 404. Requires finalize().
    const Route* find(std::string_view host, std::string_view path) const;

private:
    friend std::shared_ptr<const Configuration> finalize(Configuration);
    // Routes sorted by host and prefix. Not copied with a Configuration, as it points into the original.
    struct Index {
        std::vector<const Route*> routes;
        std::size_t longest = 0;
        Index() = default;
        Index(const Index&) {}
        Index& operator=(const Index&) { return routes.clear(), longest = 0, *this; }
    };
    Index index_;
};

// Builds the route index; afterwards the configuration is immutable.
std::shared_ptr<const Configuration> finalize(Configuration configuration);

// The host in lower case and without its port.
std::string normalize_host(std::string_view host);

}  // namespace cobaltshift::config
