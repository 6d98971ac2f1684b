// Connections from a proxy to the application server beside it in virtual time: the Transport of
// exchange::ConnectionPool over Server, as net::Upstream is over sockets. Entry type: ServerConnections.
// Called by Inbound.
#pragma once

#include <deque>

#include "exchange/connection_pool.hpp"
#include "hop/server_answer.hpp"
#include "sim_mesh/hop_connections.hpp"
#include "sim_mesh/server.hpp"

namespace cobaltshift::simmesh {

class ServerConnections {
public:
    using Ended = std::function<void(AttemptKey, kelplb::Outcome, ServerAnswer*)>;
    ServerConnections(World& world, Ip ip, exchange::Limits limits, Ended ended);

    using Pool = exchange::ConnectionPool<ServerConnections>;
    Pool& pool() { return pool_; }

private:
    // What the pool asks of a Transport; see exchange/connection_pool.hpp.
    friend class exchange::ConnectionPool<ServerConnections>;
    using Endpoint = Ip;
    using RequestPtr = HopMessagePtr;
    using Response = ServerAnswer;
    struct Channel {
        explicit Channel(ServerConnections&) {}
        std::string life;  // of the server at the other end
        Server::ConnectionNumber number = 0;
        std::deque<ServerAnswer> unread;  // with this machine's kernel
        std::uint64_t timer = 0;          // the newest; an older one means nothing
    };
    using Connection = Pool::Connection;
    using ConnectionPtr = Pool::ConnectionPtr;

    Millis now() const;
    void connect(const ConnectionPtr& connection);
    void write(const ConnectionPtr& connection);
    void read(const ConnectionPtr& connection);
    bool is_reusable(const Connection& connection) const { return connection.channel.unread.empty(); }
    bool runs_whole_requests_only() const { return true; }  // nothing is written in parts
    bool late_input(const ConnectionPtr& connection) const { return !is_reusable(*connection); }
    void watch_idle(const ConnectionPtr&) {}
    void set_timer(const ConnectionPtr& connection, Millis at);
    void cancel_timer(Connection& connection) { connection.channel.timer = 0; }
    void close(Connection& connection);
    exchange::AnswerOwner owner_of(const Connection& connection, const ServerAnswer& answer) const;
    bool is_refusal(const ServerAnswer& answer) const;
    kelplb::Outcome judge(const ServerAnswer& answer) const;
    Millis keep_alive_time(const ServerAnswer&) const { return 0; }
    void attempt_ended(AttemptKey key, kelplb::Outcome outcome, ServerAnswer* answer) {
        ended_(key, outcome, answer);
    }
    void probe_ended(kelplb::ServerId, kelplb::Outcome, Millis) {}

    void in_process(Task what);
    void look(const ConnectionPtr& connection);
    Server* server(const Connection& connection) const;  // at the other end; none: it is gone

    World& world_;
    const Ip ip_;
    const std::uint64_t epoch_;
    const Ended ended_;
    std::uint64_t timers_ = 0;
    Pool pool_;
};

// The status that a server's answer bears on the wire.
unsigned status_of(const ServerAnswer& answer);
hop::ServerAnswerHead head_of(const ServerAnswer& answer);

}  // namespace cobaltshift::simmesh
