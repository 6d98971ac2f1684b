// A planner's HTTP/1.1 server: accepts reports, serves plans, and rejects unauthenticated and replayed
// messages.
//
//   GET  /v1/session                                   responds with a session number for further messages
//   POST /v1/report                                    request body: a Report; responds taken, repeated or
//                                                      full
//   GET  /v1/plan?after=EPOCH.SEQUENCE&wait_ms=N       a Plan: at once if newer, else within N ms
//
// Each request carries X-Plan-Forwarder; the last two also carry X-Plan-Session and X-Plan-Count, which grows
// with each message of its kind in the session. With a secret, X-Plan-Code authenticates these headers and
// the message. An invalid request is answered with a 4xx status and changes no state: 400 malformed, 401
// wrong code, 404, 405, 409 expired session or replayed count (the client must ask for a new session), 413
// too long, 429 too many forwarders.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>

#include "net/clock.hpp"
#include "net/http.hpp"
#include "plan_io/auth.hpp"
#include "plan_io/settings.hpp"

namespace cobaltshift::plan {

class Server {
public:
    struct Counts {
        std::size_t reports = 0, plans = 0, refused = 0, connections = 0, dropped = 0;
        std::size_t bytes_in = 0, bytes_out = 0;
    };
    // Starts to listen; throws if it can't. Must outlive the io_context's run.
    Server(asio::io_context& io, const Clock& clock, Planner& planner, const ServerSettings& settings,
           Secret secret);
    ~Server();

    // Sets a function that is called whenever a report leaves Planner::publish_due() set.
    void on_publish_due(std::function<void()> callback) { on_publish_due_ = std::move(callback); }
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    std::size_t connections() const { return connections_.size(); }
    void changed();  // the plan has changed: answers all requests that wait for it
    void stop();
    const Counts& counts() const { return counts_; }

private:
    class Connection;
    // A forwarder's newest session and counts; a message that is not above them is a replay.
    struct ReplayState {
        std::uint64_t session = 0, reports = 0, plans = 0;
        std::list<std::string>::iterator lru_position;
    };
    void accept();
    ReplayState& replay_state(const std::string& forwarder);

    asio::io_context& io_;
    const Clock& clock_;
    Planner& planner_;
    ServerSettings settings_;
    Secret secret_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    std::map<Connection*, std::shared_ptr<Connection>> connections_;
    std::list<Connection*> waiting_;                    // for a newer plan
    std::uint64_t first_session_, next_session_;        // valid: first_session_ to next_session_ - 1
    std::map<std::string, ReplayState> replay_states_;  // by forwarder
    std::list<std::string> lru_;                        // forwarders, least recently heard from first
    std::function<void()> on_publish_due_;
    Counts counts_;
};

}  // namespace cobaltshift::plan
