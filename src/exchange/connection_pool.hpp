// Connections to servers and the exchanges on them: which connection is used again, which answer belongs to
// which request, and how each attempt ended, above all whether the server may have run it. Nothing is ever
// sent a second time here.
//
// Entry type: ConnectionPool. Free of I/O: sockets, time and messages are the Transport's. Driven over
// sockets by net::Upstream, in virtual time by sim_mesh.
//
// Invariants:
//   - one exchange a connection at a time;
//   - a connection on which anything but one whole answer of its own request has come is never used again:
//     bytes behind an answer, another request's answer, a reset, an end, a time-out, a withdrawal;
//   - an attempt whose last byte was not handed over ends as refused_connection or superseded: it never ran.
//     Every other attempt without an answer may have run.
//
// What a Transport provides (Connection is ConnectionPool<Transport>::Connection):
//   types   Endpoint (comparable), RequestPtr, Response, Channel (one connection's I/O, made by
//   new_channel()) Channel new_channel() Millis now() void connect(const ConnectionPtr&)     answered by
//   connected() void write(const ConnectionPtr&)       of job->request; answered by written() or
//   write_failed() void read(const ConnectionPtr&)        the next answer; answered by answered() or broken()
//   bool quiet(Connection&)                nothing has come unasked, nor has it ended
//   void rest(const ConnectionPtr&)        parked: buffers may go; woke() once something comes or it ends
//   void set_timer(const ConnectionPtr&, Millis at)    in place of the one before; answered by timer_fired()
//   void cancel_timer(Connection&)
//   void close(Connection&)
//   bool is_stray(const Connection&, const Response&)  the answer of another request than the one that waits
//   Outcome judge(const Response&)
//   Millis kept_for(const Response&)       how long the server says that it keeps the connection; 0: not said
//   void attempt_ended(AttemptKey, Outcome, Response*)
//   void probe_ended(ServerId, Outcome, Millis duration)
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "exchange/attempt_key.hpp"
#include "module.hpp"

namespace cobaltshift::exchange {

struct Limits {
    Millis connect_timeout = 1000;
    Millis idle_close = 15000;  // servers close what has been idle this long
    std::size_t connections = 400;
    Millis settle = 2;  // an answer's connection is not used again sooner
};

enum class ConnectionState { connecting, writing, reading, idle, closed };

// What a Transport says of an answer beside the answer itself.
struct AnswerEnd {
    bool keep_alive = false;    // both ends may go on with the connection
    bool bytes_behind = false;  // more has come than the answer: it belongs to nobody
};

template <class Transport>
class ConnectionPool {
public:
    using Endpoint = typename Transport::Endpoint;
    using RequestPtr = typename Transport::RequestPtr;
    using Response = typename Transport::Response;

    struct Job {
        AttemptKey key;
        bool probe = false;
        RequestPtr request;
        Millis sent_at = 0;
        Millis until = 0;
    };
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    // The connections to one server for as long as it is listed with this address and start.
    struct Group {
        std::vector<ConnectionPtr> idle;  // the newest last
        std::size_t connections = 0;      // all of them, idle or not
        bool withdrawn = false;           // what is still out on them ends, and they with it
    };
    struct Connection {
        Connection(Transport& transport, ServerId id, const Endpoint& endpoint,
                   std::shared_ptr<Group> its_group)
            : channel(transport), server(id), to(endpoint), group(std::move(its_group)) {}

        typename Transport::Channel channel;
        ServerId server;
        Endpoint to;
        std::shared_ptr<Group> group;
        ConnectionState state = ConnectionState::connecting;
        std::unique_ptr<Job> job;
        bool spoilt = false;  // an answer of another request has come on it
        Millis kept_for = 0;  // as the server said last; 0: it did not
        Millis idle_since = 0;
    };

    ConnectionPool(Transport& transport, Limits limits) : transport_(transport), limits_(limits) {}
    ~ConnectionPool() {
        for (const auto& [id, group] : groups_) group->idle.clear();  // a connection holds its group
    }
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    // ---- What is asked of it ---------------------------------------------------------------------------

    void send(AttemptKey key, ServerId server, const Endpoint& to, RequestPtr request, Millis until) {
        auto job = std::make_unique<Job>();
        job->key = key;
        job->request = std::move(request);
        job->sent_at = transport_.now();
        job->until = until;
        start(std::move(job), server, to);
    }

    void probe(ServerId server, const Endpoint& to, RequestPtr request) {
        auto job = std::make_unique<Job>();
        job->probe = true;
        job->request = std::move(request);
        job->sent_at = transport_.now();
        job->until = job->sent_at + limits_.connect_timeout;  // slower than this, it is not fit to be asked
        start(std::move(job), server, to);
    }

    // Its time is up: overdue, or no connection if not a byte has gone out.
    void expire(AttemptKey key) { stop(key, Outcome::refused_connection, Outcome::overdue); }
    // Not wanted any more: recalled, or superseded if not a byte has gone out (then it never ran).
    void cancel(AttemptKey key) { stop(key, Outcome::superseded, Outcome::recalled); }

    // Those of a request that have not begun to be written never will be.
    void withdraw_request(RequestId id) {
        std::vector<ConnectionPtr> connecting;
        for (auto at = attempts_.lower_bound({id, 0}); at != attempts_.end() && at->first.id == id; ++at)
            if (at->second->state == ConnectionState::connecting) connecting.push_back(at->second);
        for (const ConnectionPtr& connection : connecting)
            end(connection, Outcome::superseded, nullptr, false);
    }

    // Those to a server that have not begun to be written never will be, and no connection to it is used
    // again, now or when what is out on it has ended.
    void withdraw_server(ServerId server) {
        std::vector<ConnectionPtr> connecting;
        for (const auto& [key, connection] : attempts_)
            if (connection->server == server && connection->state == ConnectionState::connecting)
                connecting.push_back(connection);
        for (const ConnectionPtr& connection : connecting)
            end(connection, Outcome::superseded, nullptr, false);
        retire(server);
    }

    // As withdrawn, but for what is still connecting.
    void retire(ServerId server) {
        close_idle(server);
        const auto at = groups_.find(server);
        if (at == groups_.end()) return;
        at->second->withdrawn = true;
        groups_.erase(at);
    }

    void close_idle(ServerId server) {
        const auto at = groups_.find(server);
        if (at == groups_.end()) return;
        const std::vector<ConnectionPtr> idle = at->second->idle;
        for (const ConnectionPtr& connection : idle) drop(connection);
    }

    void limit_connections(std::size_t most) { limits_.connections = most; }

    // ---- What the Transport tells ----------------------------------------------------------------------

    void connected(const ConnectionPtr& connection, bool well) {
        if (connection->state != ConnectionState::connecting) return;
        if (!well) return end(connection, Outcome::refused_connection, nullptr, false);
        if (!connection->job->probe) transport_.cancel_timer(*connection);
        write(connection);
    }

    // The last byte is handed over.
    void written(const ConnectionPtr& connection) { read(connection); }

    // A server begins a request with its last byte: short of that, it never ran.
    void write_failed(const ConnectionPtr& connection) {
        end(connection, Outcome::refused_connection, nullptr, false);
    }

    void answered(const ConnectionPtr& connection, Response&& response, AnswerEnd how) {
        if (!connection->job->probe && transport_.is_stray(*connection, response)) {
            if (std::exchange(connection->spoilt, true) || !how.keep_alive) return broken(connection);
            return read(connection);
        }
        const bool keep =
            how.keep_alive && !how.bytes_behind && !connection->group->withdrawn && !connection->spoilt;
        connection->kept_for = transport_.kept_for(response);
        end(connection, transport_.judge(response), &response, keep);
    }

    // Its end, a reset, or bytes that are no answer, after the request was written whole.
    void broken(const ConnectionPtr& connection) { end(connection, Outcome::severed, nullptr, false); }

    // An idle connection that has something to say, or has ended, is of no more use.
    void woke(const ConnectionPtr& connection) {
        if (connection->state == ConnectionState::idle && !transport_.quiet(*connection)) drop(connection);
    }

    void timer_fired(const ConnectionPtr& connection) {
        if (connection->state == ConnectionState::idle) return drop(connection);
        if (!connection->job) return;
        if (connection->state == ConnectionState::connecting)
            return end(connection, Outcome::refused_connection, nullptr, false);
        if (connection->job->probe) end(connection, Outcome::overdue, nullptr, false);
    }

    // ---- What it holds ---------------------------------------------------------------------------------

    std::uint64_t opened() const { return opened_; }  // connections begun since the start
    std::size_t open() const { return open_; }
    std::size_t out() const { return attempts_.size(); }
    std::size_t groups() const { return groups_.size(); }

private:
    void start(std::unique_ptr<Job> job, ServerId server, const Endpoint& to) {
        ConnectionPtr connection = take_idle(server, to);
        const bool fresh = !connection;
        if (fresh) connection = add(server, to);
        if (!job->probe)
            attempts_[job->key] = connection;
        else
            transport_.set_timer(connection, job->until);
        connection->job = std::move(job);
        if (!fresh) return write(connection);
        // No descriptor to spare: it never goes out. That is no fault of the server's.
        if (open_ > limits_.connections) return end(connection, Outcome::superseded, nullptr, false);
        if (!connection->job->probe)
            transport_.set_timer(connection, transport_.now() + limits_.connect_timeout);
        transport_.connect(connection);
    }

    ConnectionPtr add(ServerId server, const Endpoint& to) {
        if (open_ >= limits_.connections) make_room();
        auto& group = groups_[server];
        if (!group) group = std::make_shared<Group>();
        ++group->connections;
        ++open_;
        ++opened_;
        return std::make_shared<Connection>(transport_, server, to, group);
    }

    // Of those that nobody uses the one idle longest.
    void make_room() {
        ConnectionPtr oldest;
        for (const auto& [id, group] : groups_)
            if (!group->idle.empty() && (!oldest || group->idle.front()->idle_since < oldest->idle_since))
                oldest = group->idle.front();
        if (oldest) drop(oldest);
    }

    // The newest first: the older ones then reach their idle limit and go. What has ended in the meantime, or
    // has something to say unasked, is not fit to be written to, and nothing may be sent twice to find that
    // out. One that has only just answered may have more to say, which would be taken for the next request's
    // answer.
    ConnectionPtr take_idle(ServerId server, const Endpoint& to) {
        const auto at = groups_.find(server);
        if (at == groups_.end()) return nullptr;
        const auto group = at->second;  // it may go with its last connection
        const Millis settled = transport_.now() - limits_.settle;
        for (std::size_t i = group->idle.size(); i-- > 0;) {
            ConnectionPtr connection = group->idle[i];
            if (connection->to != to || !transport_.quiet(*connection)) {
                drop(connection);
                continue;
            }
            if (connection->idle_since > settled) continue;
            group->idle.erase(group->idle.begin() + static_cast<std::ptrdiff_t>(i));
            transport_.cancel_timer(*connection);
            return connection;
        }
        return nullptr;
    }

    void write(const ConnectionPtr& connection) {
        connection->state = ConnectionState::writing;
        transport_.write(connection);
    }

    void read(const ConnectionPtr& connection) {
        connection->state = ConnectionState::reading;
        transport_.read(connection);
    }

    void park(const ConnectionPtr& connection) {
        connection->state = ConnectionState::idle;
        connection->idle_since = transport_.now();
        connection->group->idle.push_back(connection);
        // Well before the server does: what is written to a connection that it has closed is lost.
        const Millis closes = connection->kept_for > 0 ? std::min(limits_.idle_close, connection->kept_for)
                                                       : limits_.idle_close;
        transport_.set_timer(connection, connection->idle_since + closes - std::min(1000.0, closes / 4));
        transport_.rest(connection);
    }

    void drop(const ConnectionPtr& connection) {
        if (connection->state == ConnectionState::closed) return;
        if (connection->state == ConnectionState::idle) std::erase(connection->group->idle, connection);
        connection->state = ConnectionState::closed;
        transport_.cancel_timer(*connection);
        transport_.close(*connection);
        --open_;
        const auto at = groups_.find(connection->server);
        if (--connection->group->connections == 0 && at != groups_.end() && at->second == connection->group)
            groups_.erase(at);
    }

    void end(const ConnectionPtr& connection, Outcome outcome, Response* response, bool keep) {
        const std::unique_ptr<Job> job = std::move(connection->job);
        transport_.cancel_timer(*connection);
        // The connection goes before anything is told, so that no next attempt can be out beside it.
        if (keep)
            park(connection);
        else
            drop(connection);
        if (job->probe)
            return transport_.probe_ended(connection->server, outcome, transport_.now() - job->sent_at);
        attempts_.erase(job->key);
        transport_.attempt_ended(job->key, outcome, response);
    }

    void stop(AttemptKey key, Outcome unwritten, Outcome other) {
        const auto at = attempts_.find(key);
        if (at == attempts_.end()) return;
        const ConnectionPtr connection = at->second;
        const bool connecting = connection->state == ConnectionState::connecting;
        end(connection, connecting ? unwritten : other, nullptr, false);
    }

    Transport& transport_;
    Limits limits_;
    std::map<AttemptKey, ConnectionPtr> attempts_;
    std::unordered_map<ServerId, std::shared_ptr<Group>> groups_;  // only those with connections
    std::size_t open_ = 0;
    std::uint64_t opened_ = 0;
};

}  // namespace cobaltshift::exchange
