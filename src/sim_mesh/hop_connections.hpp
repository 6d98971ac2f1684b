// Connections between proxies in virtual time: the Transport of exchange::ConnectionPool over Network, as
// net::Upstream is over sockets. Entry type: HopConnections. Called by Pool.
#pragma once

#include "exchange/connection_pool.hpp"
#include "hop/hop.hpp"
#include "sim_mesh/node.hpp"

namespace cobaltshift::simmesh {

// A request on its way to the proxy beside a server. One for all attempts of a request, as the program has
// it: each attempt writes into it before it goes out.
struct HopMessage {
    RequestPtr request;
    std::string id, path, caller, expected;  // as they are passed on
    hop::Hop hop;
    Millis left = 0;
    Ip by = 0;
};
using HopMessagePtr = std::shared_ptr<HopMessage>;

class HopConnections {
public:
    struct Handlers {
        std::function<void(AttemptKey, kelplb::Outcome, HopAnswer*)> attempt_ended;
        std::function<void(kelplb::ServerId, kelplb::Outcome, Millis)> probe_ended;
    };
    HopConnections(World& world, Ip ip, exchange::Limits limits, Handlers handlers);

    using Pool = exchange::ConnectionPool<HopConnections>;
    Pool& pool() { return pool_; }

private:
    // What the pool asks of a Transport; see exchange/connection_pool.hpp.
    friend class exchange::ConnectionPool<HopConnections>;
    using Endpoint = Ip;
    using RequestPtr = HopMessagePtr;
    using Response = HopAnswer;
    struct Channel {
        explicit Channel(HopConnections&) {}
        CallPtr call;
        std::uint64_t timer = 0;  // the newest; an older one means nothing
        bool reset = false;
    };
    using Connection = Pool::Connection;
    using ConnectionPtr = Pool::ConnectionPtr;

    Millis now() const;
    void connect(const ConnectionPtr& connection);
    void write(const ConnectionPtr& connection);
    void read(const ConnectionPtr&) {}  // answers come by themselves
    bool is_reusable(const Connection& connection) const { return !connection.channel.reset; }
    bool runs_whole_requests_only() const { return true; }  // nothing is written in parts
    bool late_input(const ConnectionPtr& connection) const { return !is_reusable(*connection); }
    void watch_idle(const ConnectionPtr&) {}
    void set_timer(const ConnectionPtr& connection, Millis at);
    void cancel_timer(Connection& connection) { connection.channel.timer = 0; }
    void close(Connection& connection);
    exchange::AnswerOwner owner_of(const Connection& connection, const HopAnswer& answer) const;
    bool is_refusal(const HopAnswer&) const { return false; }  // proxies answer each request once
    kelplb::Outcome judge(const HopAnswer& answer) const;
    Millis keep_alive_time(const HopAnswer&) const { return 0; }
    void attempt_ended(AttemptKey key, kelplb::Outcome outcome, HopAnswer* answer) {
        handlers_.attempt_ended(key, outcome, answer);
    }
    void probe_ended(kelplb::ServerId server, kelplb::Outcome outcome, Millis duration) {
        handlers_.probe_ended(server, outcome, duration);
    }

    void broken(const ConnectionPtr& connection);
    void answered(const ConnectionPtr& connection, HopAnswer answer);

    World& world_;
    const Ip ip_;
    const Handlers handlers_;
    std::uint64_t timers_ = 0;
    Pool pool_;
};

}  // namespace cobaltshift::simmesh
