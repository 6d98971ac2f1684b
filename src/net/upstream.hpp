// Connections to servers over sockets: the I/O half of exchange::ConnectionPool, which decides which
// connection is reused, which answer belongs to which request, and how each attempt ended. Entry type:
// Upstream. Called by Sidecar and by the proxy's Inbound. Not thread-safe: runs on the io_context's thread.
#pragma once

#include <array>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "exchange/connection_pool.hpp"
#include "net/clock.hpp"
#include "net/held_request.hpp"
#include "net/http.hpp"
#include "net/memory_account.hpp"

namespace cobaltshift {

// What a protocol on these connections adds to HTTP/1.1. The functions are called on the event loop and must
// not keep state.
struct UpstreamProtocol {
    // Called just before a request is written: sets the remaining time `left` (ms) and other per-hop headers.
    std::function<void(HttpRequest&, Millis left)> prepare_request;
    // The outcome that a complete answer stands for.
    std::function<Outcome(const HttpResponse&)> outcome_of;
    // Whose answer it is; see exchange::ConnectionPool. Empty: always the request's own.
    std::function<exchange::AnswerOwner(const HttpRequest&, const HttpResponse&)> owner_of;
    // Whether the server says by this answer that it did not run the request, after which the connection is
    // not reused. Empty: no answer rules that out.
    std::function<bool(const HttpResponse&)> is_refusal;
    // Whether a server begins a request only once it has its last byte.
    bool runs_whole_requests_only = true;
    // Whether no request is sent again after it was written: its body is then freed.
    bool writes_requests_once = false;
    std::uint64_t body_bytes = kMaxBody;  // limit for one answer; a longer one counts as broken
    std::string probe_path = "/healthz";
    // Whether the timeout in a server's Keep-Alive header bounds how long an idle connection is kept.
    bool honors_keep_alive = false;
    static UpstreamProtocol platform();  // X-Time-Left and X-Unprocessed
};

// Must not be destroyed while the event loop runs.
class Upstream : private MemoryAccount::Holder {
public:
    struct Limits : exchange::Limits {
        // A connection breaks if its peer has acknowledged neither data nor keep-alive probes for this many
        // ms; 0: never.
        Millis dead_peer_timeout = 0;
    };
    // May be called from within send(), cancel() and the other methods; handlers must only record the event.
    struct Handlers {
        std::function<void(AttemptKey, Outcome, HttpResponse*)> attempt_ended;
        std::function<void(ServerId, Outcome, Millis)> probe_ended;
        // The head of a server's answer has come, and the answer waits here for room. May be empty.
        std::function<void(AttemptKey)> answer_waits = nullptr;
    };

    // `memory`: of the process; null: what is held is not counted.
    Upstream(asio::io_context& io, const Clock& clock, Limits limits, Handlers handlers,
             UpstreamProtocol upstream_protocol = UpstreamProtocol::platform(),
             MemoryAccount* memory = nullptr);
    ~Upstream() override;

    void send(AttemptKey key, ServerId server, const tcp::endpoint& to, RequestPtr request, Millis until);
    void probe(ServerId server, const tcp::endpoint& to);
    // See exchange::ConnectionPool for these.
    void expire(AttemptKey key);
    void cancel(AttemptKey key);
    void withdraw_request(RequestId id);
    void withdraw_server(ServerId server);
    void close_idle(ServerId server);
    void retire(ServerId server);

    void limit_connections(std::size_t most) { pool_.limit_connections(most); }

    struct Counts {
        std::uint64_t opened = 0;  // connections opened since the process started
    };
    Counts counts() const { return {pool_.opened()}; }
    const exchange::Irregularities& irregularities() const { return pool_.irregularities(); }
    std::size_t open() const { return pool_.open(); }      // open connections
    std::size_t in_flight() const { return pool_.out(); }  // attempts in flight
    std::size_t pools() const { return pool_.groups(); }   // servers with connections

private:
    // The operations that ConnectionPool requires; see exchange/connection_pool.hpp.
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
    bool is_reusable(Connection& connection);
    bool late_input(const ConnectionPtr& connection);
    void watch_idle(const ConnectionPtr& connection);
    void set_timer(const ConnectionPtr& connection, Millis at);
    void cancel_timer(Connection& connection);
    void close(Connection& connection);
    exchange::AnswerOwner owner_of(const Connection& connection, const HttpResponse& response) const;
    bool runs_whole_requests_only() const { return protocol_.runs_whole_requests_only; }
    bool is_refusal(const HttpResponse& response) const {
        return protocol_.is_refusal && protocol_.is_refusal(response);
    }
    Outcome judge(const HttpResponse& response) const { return protocol_.outcome_of(response); }
    Millis keep_alive_time(const HttpResponse& response) const;
    void attempt_ended(AttemptKey key, Outcome outcome, HttpResponse* response) {
        handlers_.attempt_ended(key, outcome, response);
    }
    void probe_ended(ServerId server, Outcome outcome, Millis duration) {
        handlers_.probe_ended(server, outcome, duration);
    }

    void charge_held(Channel& channel);
    bool may_read_answer(const ConnectionPtr& connection);
    void make_room(const ConnectionPtr& connection, std::size_t length);
    void grant(const ConnectionPtr& connection, std::size_t length);
    void wait_for_room(const ConnectionPtr& connection, std::size_t length);
    void leave_line(Channel& channel);
    bool is_to_be_written(const RequestPtr& request) const;
    ConnectionPtr newest_answer() const;  // the connection on which it arrives; null: none
    std::optional<double> highest_cost(Millis now, const MemoryAccount::Eligible& eligible) const override;
    void release_costliest(Millis now, const MemoryAccount::Eligible& eligible) override;

    void wrote(const ConnectionPtr& connection, error_code ec, std::size_t bytes);
    void parse(const ConnectionPtr& connection);
    void parse_contained(const ConnectionPtr& connection);
    void receive(const ConnectionPtr& connection);

    asio::io_context& io_;
    const Clock& clock_;
    const Millis dead_peer_timeout_;
    Handlers handlers_;
    UpstreamProtocol protocol_;
    MemoryAccount* const memory_;
    Pool pool_;
};

// One connection's socket, timer and buffers.
struct Upstream::Channel {
    explicit Channel(Upstream& owner) : socket(owner.io_), timer(owner.io_), charge(owner.memory_) {}
    std::array<asio::const_buffer, 2> unwritten() const;

    tcp::socket socket;
    asio::steady_timer timer;  // for connecting, probes and idling; attempts' deadlines are the caller's
    MemoryAccount::Charge charge;
    // The request that is written: its head, serialized, and the message, whose body is not copied.
    std::string output_head;
    RequestPtr output_message;
    std::size_t output_written = 0;
    beast::flat_buffer input;
    std::size_t head_bytes = 0;
    bool head_seen = false;                       // of the answer that arrives
    std::size_t granted_bytes = 0;                // of that answer
    std::optional<MemoryAccount::Place> in_line;  // waits for its bytes to be granted
    int interim_responses = 0;                    // 1xx responses to the current request
    std::optional<http::response_parser<http::string_body>> parser;
};

}  // namespace cobaltshift
