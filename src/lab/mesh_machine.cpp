#include "lab/mesh_machine.hpp"

#include <unistd.h>

namespace cobaltshift::lab {

using namespace mesh_ports;

namespace {

std::string address_line(const std::string& key, const std::string& ip, std::uint16_t port) {
    return key + "=" + ip + ":" + std::to_string(port) + "\n";
}

std::string common_settings(const MeshMachine& machine, const std::string& seeds, std::size_t memory_mb,
                            std::size_t file_limit) {
    return "node_name=" + machine.name + "\nip=" + machine.ip +
           "\nzone=north\nregion=upland\nzones.north=upland\n" +
           address_line("listen.control", machine.ip, kControlPort) +
           "internal_ports=7600,7615\nseed_nodes=" + seeds +
           "\nheartbeat_s=0.5\nlimits.memory_mb=" + std::to_string(memory_mb) +
           "\nlimits.file_limit=" + std::to_string(file_limit) +
           "\ntolerate.machines=1\ntolerate.zones=0\ntolerate.regions=0\n";
}

}  // namespace

MeshNetworks MeshNetworks::of_this_process() {
    constexpr unsigned kSecond = 200, kThird = 100;
    const auto pid = static_cast<unsigned>(::getpid());
    const std::string second = "127." + std::to_string(20 + pid % kSecond) + ".";
    const unsigned third = 2 * (pid / kSecond % kThird);
    return {second + std::to_string(third) + ".", second + std::to_string(third + 1) + "."};
}

std::vector<tcp::endpoint> MeshNetworks::control_endpoints(std::size_t count) const {
    std::vector<tcp::endpoint> all;
    for (std::size_t i = 0; i < count; ++i)
        all.emplace_back(asio::ip::make_address(control_ip(i)), kControlPort);
    return all;
}

std::string MeshNetworks::seed_nodes(std::size_t count) const {
    std::string seeds;
    for (std::size_t i = 0; i < count; ++i)
        seeds += (i > 0 ? "," : "") + control_ip(i) + ":" + std::to_string(kControlPort);
    return seeds;
}

std::string MeshMachine::settings_text(bool first_boot, unsigned retry_slack) const {
    return settings + "first_boot=" + (first_boot ? "true" : "false") +
           "\nbounds=contact_s=3,drain_s=2.5,grace_s=6,lost_s=0.2,apply_s=2.5,retry_ratio=0.2,"
           "retry_window_s=10,retry_slack=" +
           std::to_string(retry_slack) + "\n";
}

MeshMachine control_machine(const MeshNetworks& networks, std::size_t number, const std::string& seeds,
                            const Folder& disks, std::size_t memory_mb, std::size_t file_limit) {
    MeshMachine machine;
    machine.name = "control-" + std::to_string(number);
    machine.ip = networks.control_ip(number);
    machine.program = "cobaltshift-control";
    machine.settings = common_settings(machine, seeds, memory_mb, file_limit) +
                       "serves=dispatch\ncounted=true\ndata_dir=" + disks.path() + "/" + machine.name + "\n";
    return machine;
}

MeshMachine proxy_machine(const MeshNetworks& networks, std::size_t number, const std::string& seeds,
                          const ProxyLimits& limits) {
    MeshMachine machine;
    machine.name = "proxy-" + std::to_string(number);
    machine.ip = networks.proxy_ip(number);
    machine.program = "cobaltshift-proxy";
    machine.settings = common_settings(machine, seeds, limits.memory_mb, limits.file_limit);
    if (limits.link_mbps > 0)
        machine.settings += "limits.link_mbps=" + std::to_string(limits.link_mbps) + "\n";
    machine.settings += "serves=branch\ncounted=false\nservice=" + limits.service + "\n" +
                        address_line("listen.inbound", machine.ip, kInboundPort) +
                        address_line("listen.outbound", machine.ip, kOutboundPort) +
                        address_line("listen.readiness", machine.ip, kReadinessPort) +
                        address_line("app_address", machine.ip, kAppPort);
    return machine;
}

}  // namespace cobaltshift::lab
