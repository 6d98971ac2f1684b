// cobaltshift-proxy: the sidecar on every machine with an application server. Command line and signals; no
// logic.
#include "proxy/proxy.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "log/log.hpp"

ABSL_FLAG(std::string, boot, "", "settings file; without it, the one that COBALTSHIFT_BOOT names");
ABSL_FLAG(bool, check, false, "read the settings, say what is wrong with them, and end");

namespace {
using namespace cobaltshift;

void on_signals(asio::signal_set& signals, proxy::Proxy& node, asio::io_context& io,
                const std::string& file) {
    signals.async_wait([&signals, &node, &io, &file](error_code ec, int signal) {
        if (ec) return;
        if (signal == SIGHUP) {
            try {
                node.reload(boot::read_boot(file));
            } catch (const std::exception& error) {
                log_line("GD006 settings refused", error.what());
            }
        } else {
            node.stop([&io] { io.stop(); });
        }
        on_signals(signals, node, io, file);
    });
}
}  // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "the sidecar beside an application server.\n"
        "  COBALTSHIFT_BOOT=/etc/cobaltshift/local.conf cobaltshift-proxy\n"
        "  cobaltshift-proxy --boot=local.conf --check");
    absl::ParseCommandLine(argc, argv);
    std::string file = absl::GetFlag(FLAGS_boot);
    if (file.empty())
        if (const char* named = std::getenv("COBALTSHIFT_BOOT")) file = named;
    if (file.empty()) {
        std::fprintf(stderr, "cobaltshift-proxy: no settings file: --boot or COBALTSHIFT_BOOT\n");
        return 2;
    }
    try {
        // From the first moment to the last: a signal that comes while the node is put together must not end
        // it unheard, nor one that comes on the way out. So they are never taken down.
        asio::io_context io(1);
        static auto* const signals = new asio::signal_set(io, SIGTERM, SIGINT, SIGHUP);
        boot::Boot settings = boot::read_boot(file);
        if (absl::GetFlag(FLAGS_check)) return 0;
        log_as(LogFormat::numbered);
        std::signal(SIGPIPE, SIG_IGN);
        std::random_device device;
        const std::uint64_t seed = (std::uint64_t{device()} << 32) | device();
        proxy::Proxy node(io, std::move(settings), seed);
        on_signals(*signals, node, io, file);
        io.run();
        return 0;
    } catch (const boot::BootError& error) {
        std::fprintf(stderr, "cobaltshift-proxy: %s\n", error.what());
        return 2;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "cobaltshift-proxy: %s\n", error.what());
        return 1;
    }
}
