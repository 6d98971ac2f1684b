// The sidecar's configuration (the JSON file named by NODE_CONFIG), typed. Every error message names the
// field that it is about.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "module.hpp"

namespace cobaltshift {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A server as listed by discovery.
struct Host {
    std::string name;
    tcp::endpoint dial;  // unset for a deleted server
    std::string zone;
    std::uint32_t cell = 0;
    Phase phase = Phase::on;
    Millis born = 0;   // start of the server's process, Unix ms
    double units = 1;  // relative capacity
};
struct HostList {
    std::uint64_t seq = 0;
    bool is_full = false;  // the full list; false: changes only
    std::vector<Host> hosts;
};
// Parses an answer of discovery; throws ConfigError.
HostList read_hosts(const nlohmann::json& json);

struct Config {
    std::string name;
    tcp::endpoint listen;
    tcp::endpoint discovery;
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;
    std::size_t memory_mb = 256;
    std::optional<udp::endpoint> peer_listen;
    std::vector<udp::endpoint> peers;
    std::optional<udp::endpoint> peers_all;
    std::optional<HostList> known;  // the server list to start with

    Settings settings;
    std::vector<std::string> zones;
    std::vector<std::string> classes;
    std::vector<std::string> tenants;
    Millis connect_timeout = 1000;
    Millis idle_close = 15000;
    Millis longest_deadline = 3000;  // of all classes
    Millis max_retry_after = 1000;

    ZoneId zone(const std::string& name);  // assigns the next id to an unknown name
};
// Throws ConfigError.
Config read_config(const nlohmann::json& json);

// Reads the file named by NODE_CONFIG; NODE_NAME, NODE_LISTEN and NODE_DISCOVERY override its fields. Throws
// ConfigError.
Config load_config();
// Reads discovery's address from the file again. Unlike in load_config(), the file takes precedence over the
// environment variable, as it is what has changed. Throws ConfigError.
tcp::endpoint reload_discovery();

}  // namespace cobaltshift
