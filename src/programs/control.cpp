// cobaltshift-control: the control machine. Command line, signals and the parts put together; no logic.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "api/api_front.hpp"
#include "config_io/config_distributor.hpp"
#include "control_io/control_node.hpp"
#include "gossip_io/gossip_transport.hpp"
#include "log/log.hpp"
#include "net/listener.hpp"

ABSL_FLAG(std::string, boot, "", "settings file; without it, the one that COBALTSHIFT_BOOT names");
ABSL_FLAG(bool, check, false, "read the settings, say what is wrong with them, and end");

namespace {
using namespace cobaltshift;

constexpr std::uint64_t kMostConfiguration = 4 << 20;  // bytes of a call
constexpr std::size_t kConnections = 500;
constexpr std::chrono::milliseconds kLookAtHubs{250};

class Hub {
public:
    Hub(asio::io_context& io, boot::Boot boot)
        : io_(io),
          boot_(std::move(boot)),
          gossip_(io, boot_, registry::NodeRole::hub, 0),
          distributor_(io, boot_.ip, static_cast<std::uint16_t>(boot_.first_port + 1)),
          control_node_(io, boot_, distributor_),
          front_(kMostConfiguration),
          listener_(io, clock_, front_, {kConnections, kConnections, 16 << 20}),
          timer_(io) {
        front_.add(control_node_.config());
        distributor_.on_new = [this](std::shared_ptr<const config::Configuration> t) { told(t->edition); };
        gossip_.on_configuration = [this](std::uint32_t, std::uint64_t) {
        };  // a hub has it from the others' agreement
        control_node_.on_over = [this](const std::string& why) {
            log_line("SB029 over", why);
            over_ = true;
            io_.stop();
        };
        control_node_.on_edition = [this](std::uint64_t edition) { told(edition); };
        if (boot_.control) listener_.listen(*boot_.control);
        gossip_.start();
        look();
        log_line("SB001 started", "control " + boot_.node_name + " started");
    }
    bool over() const { return over_; }  // it can't go on
    void stop(std::function<void()> done) {
        if (stopping_) return;
        stopping_ = true;
        gossip_.tell([](registry::NodeRecord& own) { own.leaving = true; });
        control_node_.stop();
        gossip_.stop();
        listener_.stop_accepting();
        timer_.expires_after(control::kStopWithin + std::chrono::milliseconds(50));
        timer_.async_wait([done](error_code) { done(); });
    }

private:
    void told(std::uint64_t edition) {
        gossip_.tell([&](registry::NodeRecord& own) { own.config_edition = edition, own.ready = true; });
    }
    void look() {
        if (stopping_) return;
        control_node_.hubs(gossip_.hubs());
        if (control_node_.edition() != gossip_.self().config_edition) told(control_node_.edition());
        timer_.expires_after(kLookAtHubs);
        timer_.async_wait([this](error_code ec) {
            if (!ec) look();
        });
    }

    asio::io_context& io_;
    boot::Boot boot_;
    Clock clock_;
    gossip_io::GossipTransport gossip_;
    config::ConfigDistributor distributor_;
    control::ControlNode control_node_;
    api::ApiFront front_;
    Listener listener_;
    asio::steady_timer timer_;
    bool stopping_ = false, over_ = false;
};
}  // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "a control machine: holds the configuration with the others and delivers it.\n"
        "  COBALTSHIFT_BOOT=/etc/cobaltshift/local.conf cobaltshift-control\n"
        "  cobaltshift-control --boot=local.conf --check");
    absl::ParseCommandLine(argc, argv);
    std::string file = absl::GetFlag(FLAGS_boot);
    if (file.empty())
        if (const char* named = std::getenv("COBALTSHIFT_BOOT")) file = named;
    if (file.empty()) {
        std::fprintf(stderr, "cobaltshift-control: no settings file: --boot or COBALTSHIFT_BOOT\n");
        return 2;
    }
    try {
        // From the first moment to the last: a signal that comes while the node is put together must not end
        // it unheard, nor one that comes on the way out. So they are never taken down.
        asio::io_context io(1);
        static auto* const signals = new asio::signal_set(io, SIGTERM, SIGINT);
        static auto* const hup = new asio::signal_set(io, SIGHUP);
        boot::Boot settings = boot::read_boot(file);
        if (settings.data_dir.empty())
            throw boot::BootError(file +
                                  ": data_dir: is missing: a control node keeps the configuration on disk");
        if (absl::GetFlag(FLAGS_check)) return 0;
        log_as(LogFormat::numbered);
        std::signal(SIGPIPE, SIG_IGN);
        Hub hub(io, std::move(settings));
        signals->async_wait([&](error_code ec, int) {
            if (!ec) hub.stop([&io] { io.stop(); });
        });
        std::function<void()> again = [&] {
            hup->async_wait([&](error_code ec, int) {
                if (!ec) again();
            });
        };
        again();
        io.run();
        return hub.over() ? 1 : 0;
    } catch (const boot::BootError& error) {
        std::fprintf(stderr, "cobaltshift-control: %s\n", error.what());
        return 2;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "cobaltshift-control: %s\n", error.what());
        return 1;
    }
}
