// Pool of connections to servers, and the exchange (one request and its answer) on each. Decides which
// connection is reused, which answer belongs to which request, and how each attempt ended, in particular
// whether the server may have run it. Never sends a request a second time.
//
// Entry type: ConnectionPool. Does no I/O: sockets, time and messages are provided by the Transport. Driven
// over sockets by Upstream and in virtual time by sim_mesh. Not thread-safe.
//
// Invariants:
//   - at most one exchange on a connection at a time;
//   - a connection is reused only if exactly one complete answer to its own request has come on it; bytes
//     after an answer, another request's answer, a refusal by the server, a reset, an end of stream, a
//     time-out or a withdrawal rule it out;
//   - an answer without an id is taken for its request's only in a connection's first exchange, where there
//     is no other request that it could belong to;
//   - an attempt of which nothing was written ends as refused_connection or not_sent: it has not run. One of
//     which only a part was written does so too where the peer runs none but whole requests. Every other
//     attempt without an answer may have run.
//
// A Transport provides (Connection is ConnectionPool<Transport>::Connection):
//   types   Endpoint (comparable), RequestPtr, Response, Channel (I/O of one connection, constructed from the
//           Transport)
//   Millis now()
//   void connect(const ConnectionPtr&)      then calls connected()
//   void write(const ConnectionPtr&)        writes job->request, then calls written() or write_failed()
//   void read(const ConnectionPtr&)         reads the next answer, then calls answered() or broken()
//   bool is_reusable(Connection&)           whether the connection is open and has no unread input
//   void watch_idle(const ConnectionPtr&)   calls idle_readable() on input or end; may free the buffers
//   void set_timer(const ConnectionPtr&, Millis at)    replaces the timer set before; calls timer_fired()
//   void cancel_timer(Connection&)
//   bool late_input(const ConnectionPtr&)   whether an unusable idle connection has input, which is logged
//   void close(Connection&)
//   AnswerOwner owner_of(const Connection&, const Response&)   by the ids of the request and the answer
//   bool runs_whole_requests_only()         whether the peer begins a request only once it has its last byte
//   bool is_refusal(const Response&)        whether the server says that it did not run the request
//   Outcome judge(const Response&)
//   Millis keep_alive_time(const Response&) the keep-alive time that the server announces; 0: none
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

#include "exchange/answer_owner.hpp"
#include "exchange/attempt_key.hpp"
#include "module.hpp"

namespace cobaltshift::exchange {

struct Limits {
    Millis connect_timeout = 1000;
    Millis idle_close = 15000;      // after this idle time servers are assumed to close a connection
    std::size_t connections = 400;  // maximum, to all servers together
    Millis reuse_delay = 2;         // minimum time from an answer to the next request on its connection
};

enum class ConnectionState { connecting, writing, reading, idle, closed };

// What has happened on connections besides requests and their own answers.
struct Irregularities {
    std::uint64_t other_answers = 0;  // answers to another request, in the place of one to the own
    std::uint64_t unattributed = 0;   // answers without an id, not on a connection's first exchange
    std::uint64_t late_inputs = 0;    // idle connections that were closed as input came on them
    std::uint64_t cut_short = 0;      // requests of which only a part was written
};

// What a Transport reports together with an answer.
struct AnswerEnd {
    bool keep_alive = false;    // both ends allow the connection to be reused
    bool excess_bytes = false;  // bytes that belong to no request have followed the answer
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
    // The connections to one server while it is listed with the same address and start time.
    struct Group {
        std::vector<ConnectionPtr> idle;  // the newest last
        std::size_t connections = 0;      // including those in use
        bool retired = false;             // each connection closes once its exchange has ended
    };
    struct Connection {
        Connection(Transport& transport, ServerId id, const Endpoint& endpoint,
                   std::shared_ptr<Group> server_group)
            : channel(transport), server(id), to(endpoint), group(std::move(server_group)) {}

        typename Transport::Channel channel;
        ServerId server;
        Endpoint to;
        std::shared_ptr<Group> group;
        ConnectionState state = ConnectionState::connecting;
        std::unique_ptr<Job> job;
        std::uint32_t exchanges = 0;  // requests that it was used for, the current one included
        bool stray_seen = false;      // an answer to another request has come on it
        bool cut_short = false;       // only a part of the current request was written
        Millis keep_alive_time = 0;   // keep-alive time that the server announced last; 0: none
        Millis idle_since = 0;
    };

    ConnectionPool(Transport& transport, Limits limits) : transport_(transport), limits_(limits) {}
    ~ConnectionPool() {
        for (const auto& [id, group] : groups_)
            group->idle.clear();  // breaks the cycle: a connection owns its group
    }
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    // ---- Commands --------------------------------------------------------------------------------------

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
        job->until = job->sent_at + limits_.connect_timeout;  // a slower server counts as unhealthy
        start(std::move(job), server, to);
    }

    // The attempt has timed out: it ends as timed_out, or as refused_connection if writing has not begun.
    void expire(AttemptKey key) { stop(key, Outcome::refused_connection, Outcome::timed_out); }
    // The attempt is no longer wanted: it ends as cancelled, or as not_sent if writing has not begun (it has
    // then not run).
    void cancel(AttemptKey key) { stop(key, Outcome::not_sent, Outcome::cancelled); }

    // Ends the attempts of a request that have not begun to be written.
    void withdraw_request(RequestId id) {
        std::vector<ConnectionPtr> connecting;
        for (auto at = attempts_.lower_bound({id, 0}); at != attempts_.end() && at->first.id == id; ++at)
            if (at->second->state == ConnectionState::connecting) connecting.push_back(at->second);
        for (const ConnectionPtr& connection : connecting) end(connection, Outcome::not_sent, nullptr, false);
    }

    // Ends the attempts to a server that have not begun to be written. Its connections are not reused,
    // neither the idle ones nor those whose exchange has yet to end.
    void withdraw_server(ServerId server) {
        std::vector<ConnectionPtr> connecting;
        for (const auto& [key, connection] : attempts_)
            if (connection->server == server && connection->state == ConnectionState::connecting)
                connecting.push_back(connection);
        for (const ConnectionPtr& connection : connecting) end(connection, Outcome::not_sent, nullptr, false);
        retire(server);
    }

    // As withdraw_server(), but attempts that are still connecting go on.
    void retire(ServerId server) {
        close_idle(server);
        const auto at = groups_.find(server);
        if (at == groups_.end()) return;
        at->second->retired = true;
        groups_.erase(at);
    }

    void close_idle(ServerId server) {
        const auto at = groups_.find(server);
        if (at == groups_.end()) return;
        const std::vector<ConnectionPtr> idle = at->second->idle;
        for (const ConnectionPtr& connection : idle) drop(connection);
    }

    void limit_connections(std::size_t most) { limits_.connections = most; }

    // ---- Calls by the Transport ------------------------------------------------------------------------

    void connected(const ConnectionPtr& connection, bool succeeded) {
        if (connection->state != ConnectionState::connecting) return;
        if (!succeeded) return end(connection, Outcome::refused_connection, nullptr, false);
        if (!connection->job->probe) transport_.cancel_timer(*connection);
        write(connection);
    }

    // The last byte of the request has been written.
    void written(const ConnectionPtr& connection) { read(connection); }

    // `any_written`: some bytes of the request were written. The peer may have begun to run it, or have
    // refused it before it was whole; what it has answered is still to be read.
    void write_failed(const ConnectionPtr& connection, bool any_written) {
        irregularities_.cut_short += any_written ? 1 : 0;
        if (!any_written || transport_.runs_whole_requests_only())
            return end(connection, Outcome::refused_connection, nullptr, false);
        connection->cut_short = true;
        read(connection);
    }

    void answered(const ConnectionPtr& connection, Response&& response, AnswerEnd how) {
        const AnswerOwner owner =
            connection->job->probe ? AnswerOwner::this_request : transport_.owner_of(*connection, response);
        if (owner == AnswerOwner::another_request) {
            ++irregularities_.other_answers;
            if (std::exchange(connection->stray_seen, true) || !how.keep_alive) return broken(connection);
            return read(connection);
        }
        if (owner == AnswerOwner::unknown && (connection->exchanges > 1 || connection->stray_seen)) {
            ++irregularities_.unattributed;
            return broken(connection);
        }
        // A refusal may come twice, with nothing to tell its copy from the next request's answer.
        const bool keep = how.keep_alive && !how.excess_bytes && !connection->group->retired &&
                          !connection->stray_seen && !connection->cut_short &&
                          owner == AnswerOwner::this_request && !transport_.is_refusal(response);
        connection->keep_alive_time = transport_.keep_alive_time(response);
        end(connection, transport_.judge(response), &response, keep);
    }

    // End of stream, a reset, or an invalid answer after the whole request was written.
    void broken(const ConnectionPtr& connection) {
        end(connection, Outcome::connection_lost, nullptr, false);
    }

    // An idle connection that has received input or has ended must not be reused.
    void idle_readable(const ConnectionPtr& connection) {
        if (connection->state != ConnectionState::idle || transport_.is_reusable(*connection)) return;
        note_late_input(connection);
        drop(connection);
    }

    void timer_fired(const ConnectionPtr& connection) {
        if (connection->state == ConnectionState::idle) return drop(connection);
        if (!connection->job) return;
        if (connection->state == ConnectionState::connecting)
            return end(connection, Outcome::refused_connection, nullptr, false);
        if (connection->job->probe) end(connection, Outcome::timed_out, nullptr, false);
    }

    // ---- State -----------------------------------------------------------------------------------------

    std::uint64_t opened() const { return opened_; }  // connections opened since construction
    std::size_t open() const { return open_; }
    std::size_t out() const { return attempts_.size(); }
    std::size_t groups() const { return groups_.size(); }
    // Visits the connections of all attempts that have not ended.
    template <class Visit>
    void for_each_attempt(Visit visit) const {
        for (const auto& [key, connection] : attempts_) visit(connection);
    }
    const Irregularities& irregularities() const { return irregularities_; }

private:
    void start(std::unique_ptr<Job> job, ServerId server, const Endpoint& to) {
        ConnectionPtr connection = acquire_idle(server, to);
        const bool is_new = !connection;
        if (is_new) connection = add(server, to);
        if (!job->probe)
            attempts_[job->key] = connection;
        else
            transport_.set_timer(connection, job->until);
        connection->job = std::move(job);
        ++connection->exchanges;
        if (!is_new) return write(connection);
        // The connection limit is reached, so the attempt is not sent; `not_sent` does not count against
        // the server.
        if (open_ > limits_.connections) return end(connection, Outcome::not_sent, nullptr, false);
        if (!connection->job->probe)
            transport_.set_timer(connection, transport_.now() + limits_.connect_timeout);
        transport_.connect(connection);
    }

    ConnectionPtr add(ServerId server, const Endpoint& to) {
        if (open_ >= limits_.connections) evict_oldest_idle();
        auto& group = groups_[server];
        if (!group) group = std::make_shared<Group>();
        ++group->connections;
        ++open_;
        ++opened_;
        return std::make_shared<Connection>(transport_, server, to, group);
    }

    // Closes the connection that has been idle longest, to any server.
    void evict_oldest_idle() {
        ConnectionPtr oldest;
        for (const auto& [id, group] : groups_)
            if (!group->idle.empty() && (!oldest || group->idle.front()->idle_since < oldest->idle_since))
                oldest = group->idle.front();
        if (oldest) drop(oldest);
    }

    // Newest first, so that surplus connections reach their idle time-out. A connection that has ended or has
    // received unsolicited input is dropped before anything is written to it, as a request can't be sent
    // again if it fails there. One that has only just answered may still receive excess bytes, which would be
    // taken for the next request's answer: it is skipped until reuse_delay has passed.
    ConnectionPtr acquire_idle(ServerId server, const Endpoint& to) {
        const auto at = groups_.find(server);
        if (at == groups_.end()) return nullptr;
        const auto group = at->second;  // drop() may erase it from groups_
        const Millis settled = transport_.now() - limits_.reuse_delay;
        for (std::size_t i = group->idle.size(); i-- > 0;) {
            ConnectionPtr connection = group->idle[i];
            const bool reusable = transport_.is_reusable(*connection);
            if (!reusable) note_late_input(connection);
            if (connection->to != to || !reusable) {
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

    // An idle connection is not reusable: it has ended, or input has come that belongs to no request.
    void note_late_input(const ConnectionPtr& connection) {
        if (transport_.late_input(connection)) ++irregularities_.late_inputs;
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
        // Closes it well before the server does: a request written to a closed connection would be lost.
        const Millis closes = connection->keep_alive_time > 0
                                  ? std::min(limits_.idle_close, connection->keep_alive_time)
                                  : limits_.idle_close;
        transport_.set_timer(connection, connection->idle_since + closes - std::min(1000.0, closes / 4));
        transport_.watch_idle(connection);
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
        // Release the connection before reporting the end, so that no next attempt is in flight beside it.
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
    std::unordered_map<ServerId, std::shared_ptr<Group>> groups_;  // only groups with connections
    std::size_t open_ = 0;
    std::uint64_t opened_ = 0;
    Irregularities irregularities_;
};

}  // namespace cobaltshift::exchange
