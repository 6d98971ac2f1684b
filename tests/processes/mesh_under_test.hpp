// A small mesh of the project's own processes: a control node and two proxies with narrow limits on memory
// and descriptors. Clients call the first proxy; the server is beside the second one, so that each request
// passes both.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "lab/child.hpp"
#include "lab/mesh_machine.hpp"
#include "lab/process_usage.hpp"
#include "lab/soak_io.hpp"
#include "lab/soak_ledger.hpp"
#include "lab/soak_operator.hpp"
#include "lab/soak_server.hpp"

namespace cobaltshift::process_tests {

using asio::awaitable;

// The limits of each proxy, which are also the bounds of the tests.
constexpr std::size_t kMemoryMb = 48, kFileLimit = 800;

// What a mesh's processes and servers are given.
struct MeshSettings {
    std::size_t memory_mb = kMemoryMb;  // of each process
    std::size_t file_limit = kFileLimit, control_file_limit = 2000;
    std::size_t control_nodes = 1;
    lab::SoakServerHabits habits = {};  // of the server that start_server() starts
    lab::SoakConfigurationLimits configuration = {};
};

class MeshUnderTest {
public:
    MeshUnderTest(asio::io_context& io, const MeshSettings& settings);
    ~MeshUnderTest() { *stopped_ = true; }

    // Starts a server and waits until an ordinary request is served; false: that took too long.
    awaitable<bool> start_server();
    // Brings the configuration; a server is the caller's.
    awaitable<void> configure() { return operator_.change_once(); }
    // SIGKILL and a new process, as after a loss of power. Returns once it is ready; false: that took too
    // long.
    awaitable<bool> restart_server_proxy();
    // A call to the API of the proxy beside the server; its status, 0: no answer.
    awaitable<unsigned> call_server_proxy(http::verb method, std::string target, std::string body);
    // Sends one ordinary request; its status, 0: no answer.
    awaitable<unsigned> request_once();
    // Whether one ordinary request gets its answer; asked again until then, for a minute at most.
    awaitable<bool> serves_ordinary_request();
    // Samples what the processes hold until the mesh goes.
    awaitable<void> watch();
    // Whether the control node answers with the configuration; asked again until then, for a minute at most.
    awaitable<bool> reads_configuration();

    tcp::endpoint outbound() const;              // of the proxy beside the clients
    tcp::endpoint inbound() const;               // of the proxy beside the server
    tcp::endpoint server_side_outbound() const;  // of the same proxy
    tcp::endpoint control() const;               // of the first control node
    const std::vector<tcp::endpoint>& controls() const { return controls_; }
    // How often a control node has won or lost the leadership, by their logs.
    std::size_t changes_of_leader() const;
    tcp::endpoint server_control() const;    // of the API of that proxy for its server
    tcp::endpoint server_readiness() const;  // of its readiness API
    tcp::endpoint server() const;            // where the application server listens
    bool all_alive();
    const std::map<std::string, lab::ProcessUsage>& peaks() const { return peaks_; }

private:
    struct Process {
        lab::MeshMachine machine;
        std::unique_ptr<lab::Child> child;
    };
    void start(const lab::MeshMachine& machine);
    std::unique_ptr<lab::Child> new_process(const lab::MeshMachine& machine, bool first_boot);
    void sample(const Process& process);
    std::string log_of(const lab::MeshMachine& machine) const;

    asio::io_context& io_;
    const lab::Folder folder_;
    const lab::MeshNetworks networks_;
    const MeshSettings settings_;
    const std::vector<tcp::endpoint> controls_;
    lab::SoakLedger ledger_;
    kelplb::Random random_{1};
    lab::SoakOperator operator_;
    std::vector<Process> processes_;
    std::map<std::string, lab::ProcessUsage> peaks_;
    std::shared_ptr<bool> stopped_ = std::make_shared<bool>(false);
};

}  // namespace cobaltshift::process_tests
