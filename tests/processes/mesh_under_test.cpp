#include "processes/mesh_under_test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fstream>

namespace cobaltshift::process_tests {

using namespace lab;
using namespace lab::mesh_ports;

namespace {

constexpr std::size_t kClientProxy = 0, kServerProxy = 1;
constexpr double kPatienceMs = 60000, kRetryAfterMs = 100, kSampleEveryMs = 20;
constexpr std::chrono::milliseconds kCallPatience{5000}, kReadinessPatience{1200};
constexpr unsigned kRetrySlack = 60;

HttpRequest ordinary_request(std::uint64_t number) {
    HttpRequest request(http::verb::post, "/plain/ordinary", 11);
    request.set("Request-Id", "ordinary-" + std::to_string(number));
    request.set("Deadline-Ms", "4000");
    request.body() = "a short body";
    return request;
}

}  // namespace

MeshUnderTest::MeshUnderTest(asio::io_context& io, const MeshSettings& settings)
    : io_(io),
      networks_(MeshNetworks::of_this_process()),
      settings_(settings),
      controls_(networks_.control_endpoints(settings.control_nodes)),
      operator_(io, ledger_, random_, controls_, settings.configuration) {
    constexpr double kLinkMbps = 1000;
    const std::string seeds = networks_.seed_nodes(settings.control_nodes);
    const ProxyLimits client_side{kLinkMbps, settings.memory_mb, settings.file_limit, "desk"};
    const ProxyLimits server_side{kLinkMbps, settings.memory_mb, settings.file_limit, "goods"};
    for (std::size_t i = 0; i < settings.control_nodes; ++i)
        start(control_machine(networks_, i, seeds, folder_, settings.memory_mb, settings.control_file_limit));
    start(proxy_machine(networks_, kClientProxy, seeds, client_side));
    start(proxy_machine(networks_, kServerProxy, seeds, server_side));
}

void MeshUnderTest::start(const MeshMachine& machine) {
    processes_.push_back({machine, new_process(machine, true)});
}

std::unique_ptr<Child> MeshUnderTest::new_process(const MeshMachine& machine, bool first_boot) {
    const std::string file =
        folder_.write(machine.name + ".conf", machine.settings_text(first_boot, kRetrySlack));
    const Child::Command command{std::string(COBALTSHIFT_PROGRAMS) + "/" + machine.program,
                                 {},
                                 {"COBALTSHIFT_BOOT=" + file},
                                 log_of(machine)};
    return std::make_unique<Child>(io_, command, nullptr);
}

tcp::endpoint MeshUnderTest::server_side_outbound() const {
    return {asio::ip::make_address(networks_.proxy_ip(kServerProxy)), kOutboundPort};
}

tcp::endpoint MeshUnderTest::control() const { return controls_.front(); }

std::string MeshUnderTest::log_of(const MeshMachine& machine) const {
    return folder_.path() + "/" + machine.name + ".log";
}

std::size_t MeshUnderTest::changes_of_leader() const {
    std::size_t changes = 0;
    for (const Process& process : processes_) {
        std::ifstream log(log_of(process.machine));
        for (std::string line; std::getline(log, line);)
            changes += line.find("SB012") != std::string::npos || line.find("SB013") != std::string::npos;
    }
    return changes;
}

awaitable<bool> MeshUnderTest::reads_configuration() {
    const SteadyTime since = std::chrono::steady_clock::now();
    while (ms_since(since) < kPatienceMs) {
        const tcp::endpoint to = control();
        const auto response =
            co_await call_once(io_, to, HttpRequest(http::verb::get, "/api/config", 11), kCallPatience);
        if (response && response->result() == http::status::ok) co_return true;
        co_await pause(io_, kRetryAfterMs);
    }
    co_return false;
}

awaitable<bool> MeshUnderTest::restart_server_proxy() {
    Process& process = processes_.back();
    process.child.reset();
    process.child = new_process(process.machine, false);
    const SteadyTime since = std::chrono::steady_clock::now();
    const tcp::endpoint readiness(asio::ip::make_address(process.machine.ip), kReadinessPort);
    while (ms_since(since) < kPatienceMs) {
        const auto response = co_await call_once(
            io_, readiness, HttpRequest(http::verb::get, "/api/ready", 11), kReadinessPatience);
        if (response && response->result() == http::status::ok) co_return true;
        co_await pause(io_, kRetryAfterMs);
    }
    co_return false;
}

awaitable<unsigned> MeshUnderTest::call_server_proxy(http::verb method, std::string target,
                                                     std::string body) {
    HttpRequest request(method, target, 11);
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    const tcp::endpoint control(asio::ip::make_address(processes_.back().machine.ip), kControlPort);
    const auto response = co_await call_once(io_, control, std::move(request), kCallPatience);
    co_return response ? response->result_int() : 0;
}

awaitable<unsigned> MeshUnderTest::request_once() {
    static std::uint64_t number = 0;
    const tcp::endpoint to = outbound();
    HttpRequest request = ordinary_request(++number);
    // The route is found by its host.
    const auto response = co_await call_once(io_, to, std::move(request), kCallPatience, "soak.example");
    co_return response ? response->result_int() : 0;
}

tcp::endpoint MeshUnderTest::server() const {
    return {asio::ip::make_address(networks_.proxy_ip(kServerProxy)), kAppPort};
}

tcp::endpoint MeshUnderTest::outbound() const {
    return {asio::ip::make_address(networks_.proxy_ip(kClientProxy)), kOutboundPort};
}

tcp::endpoint MeshUnderTest::server_control() const {
    return {asio::ip::make_address(networks_.proxy_ip(kServerProxy)), kControlPort};
}

tcp::endpoint MeshUnderTest::server_readiness() const {
    return {asio::ip::make_address(networks_.proxy_ip(kServerProxy)), kReadinessPort};
}

tcp::endpoint MeshUnderTest::inbound() const {
    return {asio::ip::make_address(networks_.proxy_ip(kServerProxy)), kInboundPort};
}

awaitable<bool> MeshUnderTest::start_server() {
    start_soak_server(io_, {networks_.proxy_ip(kServerProxy), "goods", "i-1", kAppPort, kControlPort},
                      settings_.habits, ledger_, 1, stopped_);
    co_await operator_.change_once();
    const bool serves = co_await serves_ordinary_request();
    co_return serves;
}

awaitable<bool> MeshUnderTest::serves_ordinary_request() {
    const SteadyTime since = std::chrono::steady_clock::now();
    while (ms_since(since) < kPatienceMs) {
        const unsigned status = co_await request_once();
        if (status == 200) co_return true;
        co_await pause(io_, kRetryAfterMs);
    }
    co_return false;
}

awaitable<void> MeshUnderTest::watch() {
    const auto stopped = stopped_;
    while (!*stopped) {
        for (const Process& process : processes_) sample(process);
        co_await pause(io_, kSampleEveryMs);
    }
}

void MeshUnderTest::sample(const Process& process) {
    peaks_[process.machine.name].raise_to(usage_of(process.child->pid(), process.machine.ip));
}

bool MeshUnderTest::all_alive() {
    bool alive = true;
    for (Process& process : processes_)
        if (process.child->pid() <= 0 || process.child->ended()) alive = false;
    return alive;
}

}  // namespace cobaltshift::process_tests
