// A planner's HTTP/1.1 front: takes reports, hands out plans, and keeps strangers and replays out.
//
//   GET  /v1/session                                   a number for a forwarder's further messages
//   POST /v1/report                                    body: a Report; answers taken, repeated or full
//   GET  /v1/plan?after=EPOCH.SEQUENCE&wait_ms=N       body: a Plan, at once if newer, else within N ms
//
// Each carries X-Plan-Forwarder; the last two also X-Plan-Session and X-Plan-Count, which grows with each
// message of the session and kind; with a secret, X-Plan-Code over all of these and what is said. Faults get
// a 4xx and leave nothing behind: 400 malformed, 401 wrong code, 404, 405, 409 a session or count that is
// over (ask for a new one), 413 too long, 429 too many forwarders.
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
    // Listens at once; throws if it can't. Must outlive the running of the loop.
    Server(asio::io_context& io, const Clock& clock, Planner& planner, const ServerSettings& settings,
           Secret secret);
    ~Server();

    // Called when a report has made publish_due().
    void on_turn(std::function<void()> told) { on_turn_ = std::move(told); }
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    std::size_t connections() const { return connections_.size(); }
    void changed();  // the plan has: all who wait are answered
    void stop();
    const Counts& counts() const { return counts_; }

private:
    class Connection;
    // What of a forwarder's messages has been taken; anything not above it is a replay.
    struct Seen {
        std::uint64_t session = 0, reports = 0, plans = 0;
        std::list<std::string>::iterator order;
    };
    void accept();
    Seen& seen(const std::string& forwarder);

    asio::io_context& io_;
    const Clock& clock_;
    Planner& planner_;
    ServerSettings settings_;
    Secret secret_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    std::map<Connection*, std::shared_ptr<Connection>> connections_;
    std::list<Connection*> waiting_;  // for a newer plan
    std::uint64_t first_session_, next_session_;
    std::map<std::string, Seen> seen_;
    std::list<std::string> seen_order_;  // the longest unheard first
    std::function<void()> on_turn_;
    Counts counts_;
};

}  // namespace cobaltshift::plan
