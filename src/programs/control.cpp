// cobaltshift-control: the program of a control node. Command line, signals and the wiring of the components.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "api/api_front.hpp"
#include "config_io/config_distributor.hpp"
#include "control_io/control_node.hpp"
#include "gossip_io/gossip_transport.hpp"
#include "log/log.hpp"
#include "net/listener.hpp"

ABSL_FLAG(std::string, boot, "", "settings file; default: the file named by COBALTSHIFT_BOOT");
ABSL_FLAG(bool, check, false, "validate the settings and exit");

namespace {
using namespace cobaltshift;

constexpr std::uint64_t kMaxConfigurationBytes = 4 << 20;  // of one API call
constexpr std::size_t kMaxConnections = 500;
constexpr std::size_t kDescriptorsForFiles = 200;
constexpr double kConnectionShare =
    0.6;  // of the other descriptors; the rest is for other nodes and the disk
constexpr std::chrono::milliseconds kHubsPollInterval{250};

Listener::Limits limits(const boot::Boot& boot) {
    const auto share = static_cast<double>(boot.file_limit - kDescriptorsForFiles) * kConnectionShare;
    const std::size_t connections = std::min(kMaxConnections, static_cast<std::size_t>(share));
    Listener::Limits limits{connections, connections, 16 << 20};
    limits.backlog = std::min(limits.backlog, backlog_for(boot.memory_mb));
    return limits;
}

// All components of a control node.
class ControlProgram {
public:
    ControlProgram(asio::io_context& io, boot::Boot boot)
        : io_(io),
          boot_(std::move(boot)),
          gossip_(io, boot_, registry::NodeRole::control_node, 0),
          distributor_(io, boot_.ip, static_cast<std::uint16_t>(boot_.first_port + 1)),
          control_node_(io, boot_, distributor_),
          front_(kMaxConfigurationBytes),
          memory_(io, clock_, memory_for_clients(boot_.memory_mb)),
          listener_(io, clock_, front_, limits(boot_), nullptr, &memory_),
          timer_(io) {
        front_.add(control_node_.config());
        distributor_.on_new_configuration = [this](std::shared_ptr<const config::Configuration> t) {
            publish_edition(t->edition);
        };
        gossip_.on_newer_configuration = [this](std::uint32_t, std::uint64_t) {
        };  // a control node gets configurations by replication
        control_node_.on_fatal_error = [this](const std::string& why) {
            log_line("SB029 over", why);
            failed_ = true;
            io_.stop();
        };
        control_node_.on_edition = [this](std::uint64_t edition) { publish_edition(edition); };
        if (boot_.control) listener_.listen(*boot_.control);
        gossip_.start();
        poll_hubs();
        log_line("SB001 started", "control " + boot_.node_name + " started");
    }
    bool failed() const { return failed_; }  // stopped because it can't continue
    void stop(std::function<void()> done) {
        if (stopping_) return;
        stopping_ = true;
        gossip_.update_self([](registry::NodeRecord& own) { own.leaving = true; });
        control_node_.stop();
        gossip_.stop();
        listener_.stop_accepting();
        timer_.expires_after(control::kStopTimeout + std::chrono::milliseconds(50));
        timer_.async_wait([done](error_code) { done(); });
    }

private:
    // Announces by gossip that this node has the configuration `edition` and is ready.
    void publish_edition(std::uint64_t edition) {
        gossip_.update_self(
            [&](registry::NodeRecord& own) { own.config_edition = edition, own.ready = true; });
    }
    // Passes the known control nodes on and republishes the edition if it changed.
    void poll_hubs() {
        if (stopping_) return;
        control_node_.set_control_nodes(gossip_.control_nodes());
        if (control_node_.edition() != gossip_.self().config_edition)
            publish_edition(control_node_.edition());
        timer_.expires_after(kHubsPollInterval);
        timer_.async_wait([this](error_code ec) {
            if (!ec) poll_hubs();
        });
    }

    asio::io_context& io_;
    boot::Boot boot_;
    Clock clock_;
    gossip_io::GossipTransport gossip_;
    config::ConfigDistributor distributor_;
    control::ControlNode control_node_;
    api::ApiFront front_;
    MemoryAccount memory_;
    Listener listener_;
    asio::steady_timer timer_;
    bool stopping_ = false, failed_ = false;
};
}  // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "control node: replicates the configuration with the other control nodes and distributes it.\n"
        "  COBALTSHIFT_BOOT=/etc/cobaltshift/local.conf cobaltshift-control\n"
        "  cobaltshift-control --boot=local.conf --check");
    absl::ParseCommandLine(argc, argv);
    std::string file = absl::GetFlag(FLAGS_boot);
    if (file.empty())
        if (const char* named = std::getenv("COBALTSHIFT_BOOT")) file = named;
    if (file.empty()) {
        std::fprintf(stderr, "cobaltshift-control: no settings file given: set --boot or COBALTSHIFT_BOOT\n");
        return 2;
    }
    try {
        // Registered before everything else and never destroyed: a signal during construction or destruction
        // of the node must not kill the process.
        asio::io_context io(1);
        static auto* const signals = new asio::signal_set(io, SIGTERM, SIGINT);
        static auto* const hup = new asio::signal_set(io, SIGHUP);
        boot::Boot settings = boot::read_boot(file);
        if (settings.data_dir.empty())
            throw boot::BootError(file +
                                  ": data_dir: is missing: a control node stores the configuration on disk");
        if (absl::GetFlag(FLAGS_check)) return 0;
        set_log_format(LogFormat::numbered);
        std::signal(SIGPIPE, SIG_IGN);
        return_freed_memory();
        ControlProgram program(io, std::move(settings));
        signals->async_wait([&](error_code ec, int) {
            if (!ec) program.stop([&io] { io.stop(); });
        });
        // SIGHUP is ignored: a control node has nothing to reload.
        std::function<void()> ignore_hup = [&] {
            hup->async_wait([&](error_code ec, int) {
                if (!ec) ignore_hup();
            });
        };
        ignore_hup();
        io.run();
        return program.failed() ? 1 : 0;
    } catch (const boot::BootError& error) {
        std::fprintf(stderr, "cobaltshift-control: %s\n", error.what());
        return 2;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "cobaltshift-control: %s\n", error.what());
        return 1;
    }
}
