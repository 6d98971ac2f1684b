// The configuration: one version of the mesh's configuration (routes, services, limits), and which route a
// request takes. Entry type: Configuration, never changed once sealed. Called by proxies for every request,
// by the state machine and the feed. Free of I/O. parse.hpp makes one from JSON, codec.hpp carries it between
// nodes, state machine.hpp agrees on the newest.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cobaltshift::config {

using Edition = std::uint64_t;  // written r12; 0: nothing has been put yet

// What may be done with a request: `registered` runs at most once a try, the others may run again.
enum class RouteKind : std::uint8_t { plain, registered, download };

struct Share {
    std::string service;
    double weight = 1;
    bool operator==(const Share&) const = default;
};

struct Route {
    std::string name, host /* in lower case, without a port */, path_prefix;
    RouteKind kind = RouteKind::registered;
    double deadline_ms = 0, target_ms = 0;
    int priority = 0;          // 0: highest
    std::vector<Share> split;  // at least one of a weight above 0
    unsigned tries = 1;        // servers that one try of a client may be sent to
    std::string text;          // JSON as it was sent, with the fields that are not known here
};

struct Service {
    std::string health_path = "/health";
    unsigned max_connections = 0;  // that a server takes from all callers together
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
    std::map<std::string, std::string> others;  // top-level fields not known here, as JSON

    // The route of this host (case and port don't matter) whose prefix is the longest that begins `path`;
    // what follows a '?' is not looked at. None: 404. Only of a sealed one.
    const Route* find(std::string_view host, std::string_view path) const;

private:
    friend std::shared_ptr<const Configuration> seal(Configuration);
    struct Index {  // by host and prefix; a copy has none, as it would point into what was copied
        std::vector<const Route*> routes;
        std::size_t longest = 0;
        Index() = default;
        Index(const Index&) {}
        Index& operator=(const Index&) { return routes.clear(), longest = 0, *this; }
    };
    Index index_;
};

// Makes it ready for find(); the entry for whoever has filled one in.
std::shared_ptr<const Configuration> seal(Configuration configuration);

// A host as compared: lower case, without port.
std::string plain_host(std::string_view host);

}  // namespace cobaltshift::config
