// cobaltshift: one real sidecar. Exit codes: 0 stopped as asked, 1 failed to start or run, 2 bad
// configuration.
#include <csignal>
#include <iostream>

#include "net/node.hpp"

int main() {
    using namespace kelplb::net;
    std::signal(SIGPIPE, SIG_IGN);  // whoever reads the log may leave; the sidecar serves on
    try {
        asio::io_context io(1);
        Node node(io, load_config());
        asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&](error_code ec, int) {
            if (!ec) node.stop([&] { io.stop(); });
        });
        io.run();
    } catch (const ConfigError& error) {
        std::cerr << "cobaltshift: " << error.what() << '\n';
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "cobaltshift: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
