// cobaltshift-proxy: the sidecar on every machine with an application server. Command line and signals.
#include "proxy/proxy.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "log/log.hpp"

ABSL_FLAG(std::string, boot, "", "settings file; default: the file named by COBALTSHIFT_BOOT");
ABSL_FLAG(bool, check, false, "validate the settings and exit");

namespace {
using namespace cobaltshift;

// Handles SIGHUP by a reload, SIGTERM and SIGINT by a graceful stop.
void handle_signals(asio::signal_set& signals, proxy::Proxy& node, asio::io_context& io,
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
        handle_signals(signals, node, io, file);
    });
}
}  // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "sidecar proxy of an application server.\n"
        "  COBALTSHIFT_BOOT=/etc/cobaltshift/local.conf cobaltshift-proxy\n"
        "  cobaltshift-proxy --boot=local.conf --check");
    absl::ParseCommandLine(argc, argv);
    std::string file = absl::GetFlag(FLAGS_boot);
    if (file.empty())
        if (const char* named = std::getenv("COBALTSHIFT_BOOT")) file = named;
    if (file.empty()) {
        std::fprintf(stderr, "cobaltshift-proxy: no settings file given: set --boot or COBALTSHIFT_BOOT\n");
        return 2;
    }
    try {
        // Registered before everything else and never destroyed: a signal during construction or destruction
        // of the node must not kill the process.
        asio::io_context io(1);
        static auto* const signals = new asio::signal_set(io, SIGTERM, SIGINT, SIGHUP);
        boot::Boot settings = boot::read_boot(file);
        if (absl::GetFlag(FLAGS_check)) return 0;
        set_log_format(LogFormat::numbered);
        std::signal(SIGPIPE, SIG_IGN);
        return_freed_memory();
        std::random_device device;
        const std::uint64_t seed = (std::uint64_t{device()} << 32) | device();
        proxy::Proxy node(io, std::move(settings), seed);
        handle_signals(*signals, node, io, file);
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
