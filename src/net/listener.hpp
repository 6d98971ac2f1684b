// Clients' connections: reads requests, hands them to the sidecar and writes the answers.
#pragma once

#include <functional>
#include <list>
#include <memory>

#include "net/http.hpp"
#include "net/sidecar.hpp"

namespace kelplb::net {

class Listener {
public:
    Listener(asio::io_context& io, const Clock& clock, Sidecar& sidecar, std::size_t connections);
    ~Listener();

    void listen(const tcp::endpoint& at);  // throws if it can't
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    void open_for_use() { ready_ = true; }  // /healthz answers 200 from here on, once a list is held

    // From now on each answer closes its connection, and idle ones are closed; new ones are still taken.
    void drain();
    // No new ones either. What waits in the kernel is taken first.
    void stop_accepting();
    // Connections with a request being read, served or answered.
    bool busy() const;

private:
    class Session;
    using Sessions = std::list<std::shared_ptr<Session>>;

    void accept();
    void make_room();
    void admit(tcp::socket socket);
    void closed(Session& session);
    bool ready() const { return ready_ && !draining_ && sidecar_.holds_list(); }

    asio::io_context& io_;
    const Clock& clock_;
    Sidecar& sidecar_;
    std::size_t most_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    Sessions sessions_;  // those idle longest come first among the idle ones
    bool ready_ = false;
    bool draining_ = false;
    bool accepting_ = false;
    bool paused_ = false;  // out of descriptors
    bool stopped_ = false;
};

}  // namespace kelplb::net
