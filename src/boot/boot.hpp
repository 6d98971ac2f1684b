// What a process is told at its start: the settings file named by COBALTSHIFT_BOOT, typed. Entry:
// read_boot(). Called by the programs at their start and on SIGHUP. Unknown fields are skipped; a field that
// is there and makes no sense is an error that names the file and the field.
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
    std::uint16_t first_port = 0, last_port = 0;  // internal_ports: ours on every machine, TCP and UDP
    std::vector<tcp::endpoint> seeds;             // `control` addresses of up to three machines
    bool first_boot = false, counted = false;
    std::string data_dir;      // empty: no disk
    double heartbeat_s = 1.5;  // of servers
    double cpu_share = 1;      // of a core
    double link_mbps = 0;      // of this machine's link, in Mbit/s; 0: not known
    std::size_t memory_mb = 256, file_limit = 1024;
    std::map<std::string, double> bounds;  // in the units that their names end with; booleans as 0 and 1
    std::optional<tcp::endpoint> app_address;
    std::string service;  // of the application server beside us; empty: none

    double bound(const std::string& name, double otherwise) const {
        const auto at = bounds.find(name);
        return at == bounds.end() ? otherwise : at->second;
    }
};

// Throws BootError.
Boot read_boot(const std::string& path);
Boot parse_boot(const std::string& text, const std::string& name);

}  // namespace cobaltshift::boot
