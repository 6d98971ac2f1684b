// cobaltshift: one real sidecar. Exit codes: 0 stopped as asked, 1 failed to start or run, 2 bad
// configuration.
#include <csignal>
#include <iostream>

#include "net/log.hpp"
#include "net/node.hpp"

int main() {
    using namespace cobaltshift;
    std::signal(SIGPIPE, SIG_IGN);  // whoever reads the log may leave; the sidecar serves on
    try {
        asio::io_context io(1);
        // Before all else: a signal without its handler ends the process.
        asio::signal_set stop(io, SIGTERM, SIGINT), reload(io, SIGHUP);
        Node node(io, load_config());
        stop.async_wait([&](error_code ec, int) {
            if (!ec) node.stop([&] { io.stop(); });
        });
        const std::function<void(error_code, int)> on_reload = [&](error_code ec, int) {
            if (ec) return;
            reload.async_wait(on_reload);
            node.reload();
        };
        reload.async_wait(on_reload);
        // What goes wrong in one handler, memory that can't be had above all, must not end all others'
        // requests.
        while (!io.stopped()) {
            try {
                io.run();
            } catch (const std::exception& error) {
                log_line(std::string("a handler failed: ") + error.what());
            }
        }
    } catch (const ConfigError& error) {
        std::cerr << "cobaltshift: " << error.what() << '\n';
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "cobaltshift: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
