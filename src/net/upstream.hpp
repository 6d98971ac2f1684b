// Connections to servers over sockets: the I/O half of exchange::ConnectionPool, which decides which
// connection is used again, which answer belongs to which request, and how each attempt ended. Entry type:
// Upstream. Called by Sidecar and by the proxy's Inbound.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "exchange/connection_pool.hpp"
#include "net/clock.hpp"
#include "net/http.hpp"

namespace cobaltshift {

// What a protocol on these connections says beyond HTTP/1.1. All are called from within the loop and note
// nothing.
struct UpstreamManner {
    // Just before it is written: how much time it has left, and whatever else one hop says to the next.
    std::function<void(HttpRequest&, Millis left)> stamp;
    // Of a whole answer.
    std::function<Outcome(const HttpResponse&)> judge;
    // Whether it answers another request than this one; such an answer is passed over, once, and the
    // connection not used again. May be empty.
    std::function<bool(const HttpRequest&, const HttpResponse&)> stray;
    std::uint64_t body_bytes = kMaxBody;  // of one answer; a longer one is no answer
    std::string probe_path = "/healthz";
    bool heeds_keep_alive = false;     // the time that a server's Keep-Alive gives bounds how long it is kept
    static UpstreamManner platform();  // X-Time-Left and X-Unprocessed
};

// Must outlive the running of the loop.
class Upstream {
public:
    struct Limits : exchange::Limits {
        // A connection whose other end has said nothing so long, asked, breaks; 0: never.
        Millis dead_after = 0;
    };
    // May be called from within send(), cancel() and the like: they only note what happened.
    struct Handlers {
        std::function<void(AttemptKey, Outcome, HttpResponse*)> attempt_ended;
        std::function<void(ServerId, Outcome, Millis)> probe_ended;
    };

    Upstream(asio::io_context& io, const Clock& clock, Limits limits, Handlers handlers,
             UpstreamManner manner = UpstreamManner::platform());
    ~Upstream();

    void send(AttemptKey key, ServerId server, const tcp::endpoint& to, RequestPtr request, Millis until);
    void probe(ServerId server, const tcp::endpoint& to);
    // As ConnectionPool has them.
    void expire(AttemptKey key);
    void cancel(AttemptKey key);
    void withdraw_request(RequestId id);
    void withdraw_server(ServerId server);
    void close_idle(ServerId server);
    void retire(ServerId server);

    void limit_connections(std::size_t most) { pool_.limit_connections(most); }

    struct Counts {
        std::uint64_t opened = 0;  // connections begun since the start
    };
    Counts counts() const { return {pool_.opened()}; }
    std::size_t open() const { return pool_.open(); }
    std::size_t out() const { return pool_.out(); }
    std::size_t pools() const { return pool_.groups(); }

private:
    // What the pool asks of sockets; see exchange/connection_pool.hpp.
    friend class exchange::ConnectionPool<Upstream>;
    using Endpoint = tcp::endpoint;
    using RequestPtr = cobaltshift::RequestPtr;
    using Response = HttpResponse;
    struct Channel;
    using Pool = exchange::ConnectionPool<Upstream>;
    using Connection = Pool::Connection;
    using ConnectionPtr = Pool::ConnectionPtr;

    Millis now() const { return clock_.now(); }
    void connect(const ConnectionPtr& connection);
    void write(const ConnectionPtr& connection);
    void read(const ConnectionPtr& connection);
    bool quiet(Connection& connection);
    void rest(const ConnectionPtr& connection);
    void set_timer(const ConnectionPtr& connection, Millis at);
    void cancel_timer(Connection& connection);
    void close(Connection& connection);
    bool is_stray(const Connection& connection, const HttpResponse& response) const;
    Outcome judge(const HttpResponse& response) const { return manner_.judge(response); }
    Millis kept_for(const HttpResponse& response) const;
    void attempt_ended(AttemptKey key, Outcome outcome, HttpResponse* response) {
        handlers_.attempt_ended(key, outcome, response);
    }
    void probe_ended(ServerId server, Outcome outcome, Millis duration) {
        handlers_.probe_ended(server, outcome, duration);
    }

    void wrote(const ConnectionPtr& connection, error_code ec, std::size_t bytes);
    void parse(const ConnectionPtr& connection);
    void receive(const ConnectionPtr& connection);

    asio::io_context& io_;
    const Clock& clock_;
    const Millis dead_after_;
    Handlers handlers_;
    UpstreamManner manner_;
    Pool pool_;
};

// One connection's socket, timer and buffers.
struct Upstream::Channel {
    explicit Channel(Upstream& owner) : socket(owner.io_), timer(owner.io_) {}

    tcp::socket socket;
    asio::steady_timer timer;  // connecting, probing and idling; an attempt's own end comes from outside
    std::string out;
    std::size_t out_done = 0;
    beast::flat_buffer in;
    std::size_t head_bytes = 0;
    int interim = 0;  // 1xx answers so far
    std::optional<http::response_parser<http::string_body>> parser;
};

}  // namespace cobaltshift
