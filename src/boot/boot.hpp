// The start-up settings of a process: the file named by COBALTSHIFT_BOOT, with `key=value` lines, typed.
// Entry: read_boot(). Called by the programs at start and on SIGHUP. Unknown fields are ignored; an invalid
// value is an error that names the file and the field.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/http.hpp"

namespace cobaltshift::boot {

struct BootError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Boot {
    std::string node_name, role, machine_class, ip, zone, region;
    std::vector<std::string> serves;
    std::map<std::string, std::string> zones;  // name -> region
    std::optional<tcp::endpoint> inbound, outbound, readiness, control;
    // From internal_ports: the range for use between our processes, TCP and UDP.
    std::uint16_t first_port = 0, last_port = 0;
    std::vector<tcp::endpoint> seeds;  // `control` addresses of up to three machines, to join by
    bool first_boot = false, counted = false;
    std::string data_dir;      // empty: no persistent storage
    double heartbeat_s = 1.5;  // between the servers' heartbeats
    double cpu_share = 1;      // available CPU time in cores
    double link_mbps = 0;      // rate of this machine's link, in Mbit/s; 0: not known
    std::size_t memory_mb = 256, file_limit = 1024;
    std::map<std::string, double> bounds;  // in the unit given by the name's suffix; booleans as 0 and 1
    std::optional<tcp::endpoint> app_address;
    std::string service;  // service of the local application server; empty: none

    double bound(const std::string& name, double fallback) const {
        const auto at = bounds.find(name);
        return at == bounds.end() ? fallback : at->second;
    }
};

// Throws BootError.
Boot read_boot(const std::string& path);
// `name`: of the file, for error messages. Throws BootError.
Boot parse_boot(const std::string& text, const std::string& name);

}  // namespace cobaltshift::boot
