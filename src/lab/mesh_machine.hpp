// The machines of a mesh that runs as real processes on loopback addresses: their addresses and the settings
// files of their programs. Used by the soak and by the tests that start the programs.
#pragma once

#include <string>
#include <vector>

#include "lab/child.hpp"

namespace cobaltshift::lab {

namespace mesh_ports {
constexpr std::uint16_t kControlPort = 8620, kInboundPort = 8624, kReadinessPort = 8625, kAppPort = 8628,
                        kOutboundPort = 8629;
}

// The loopback networks of one mesh: meshes of different processes don't meet.
struct MeshNetworks {
    static MeshNetworks of_this_process();
    std::string control_ip(std::size_t number) const { return controls + std::to_string(number + 1); }
    std::string proxy_ip(std::size_t number) const { return proxies + std::to_string(number + 1); }
    std::vector<tcp::endpoint> control_endpoints(std::size_t count) const;
    // The value of `seed_nodes` if the first `count` control nodes are the seeds.
    std::string seed_nodes(std::size_t count) const;

    std::string controls, proxies;  // all but the last number of an address
};

struct MeshMachine {
    // The whole settings file. `retry_slack`: of the bound with that name.
    std::string settings_text(bool first_boot, unsigned retry_slack) const;

    std::string name, ip, program;  // `program`: its file's name
    std::string settings;           // the lines that stay the same over restarts
};

struct ProxyLimits {
    double link_mbps = 0;  // 0: not known
    std::size_t memory_mb = 256, file_limit = 2000;
    std::string service = "goods";  // of the application server beside it
};

// `disks`: the folder below which the node keeps its data.
MeshMachine control_machine(const MeshNetworks& networks, std::size_t number, const std::string& seeds,
                            const Folder& disks, std::size_t memory_mb = 256, std::size_t file_limit = 2000);
MeshMachine proxy_machine(const MeshNetworks& networks, std::size_t number, const std::string& seeds,
                          const ProxyLimits& limits);

}  // namespace cobaltshift::lab
