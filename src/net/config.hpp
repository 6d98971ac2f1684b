// The configuration, typed. Every complaint names the field that it is about.
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

// One server as discovery lists it.
struct Host {
    std::string name;
    tcp::endpoint dial;
    std::string zone;
    std::uint32_t cell = 0;
    Phase phase = Phase::on;
    Millis born = 0;
    double units = 1;
};
struct HostList {
    std::uint64_t seq = 0;
    bool whole = false;
    std::vector<Host> hosts;
};
// Reads discovery's form; throws ConfigError.
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
    std::optional<HostList> known;

    Settings settings;
    std::vector<std::string> zones;
    std::vector<std::string> classes;
    std::vector<std::string> tenants;
    Millis connect_timeout = 1000;
    Millis idle_close = 15000;
    Millis longest_deadline = 3000;
    Millis max_retry_after = 1000;

    ZoneId zone(const std::string& name);  // a name not met before gets the next number
};
Config read_config(const nlohmann::json& json);

// Reads the file that NODE_CONFIG names; NODE_NAME, NODE_LISTEN and NODE_DISCOVERY go before what it says.
Config load_config();
// The file again, for the address of discovery. Here the file goes before the variable: it is what has
// changed.
tcp::endpoint reload_discovery();

}  // namespace cobaltshift
