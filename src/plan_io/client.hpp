// A forwarder's client to the planners. Each planner gets one report and one long-polling request for its
// plan at a time, each kind on a connection of its own, with jittered exponential backoff after failures. No
// request that the forwarder handles ever waits for this client.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "net/clock.hpp"
#include "net/http.hpp"
#include "plan/pace.hpp"
#include "plan_io/auth.hpp"
#include "plan_io/settings.hpp"
#include "random.hpp"

namespace cobaltshift::plan {

class Client {
public:
    struct Handlers {
        std::function<Report(std::size_t planner)> report;
        std::function<void(std::size_t planner, std::uint64_t sequence, bool want_full)> acknowledged;
        // Applies a plan that was requested at `asked_at`. Returns false if it was refused; the planner is
        // then asked again after a pause, so that refused plans don't cause a busy loop.
        std::function<bool(std::size_t planner, Millis asked_at, const Plan&)> plan;
        std::function<PlanId(std::size_t planner)> has;  // id of the unexpired plan held, or {}
    };
    Client(asio::io_context& io, const Clock& clock, std::string name, std::uint64_t seed,
           ClientSettings settings, Secret secret, Handlers handlers);
    ~Client();

    // Asks for early reports to all planners; see plan/pace.hpp.
    void report_early();

    struct Counts {
        std::size_t reports = 0, plans = 0, failures = 0, refused = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    class Channel;                             // one connection to one planner, for reports or for plans
    struct Session {                           // shared by a planner's two channels
        std::string number;                    // as given by the planner; empty: none
        std::uint64_t reports = 0, plans = 0;  // last X-Plan-Count used for each kind
    };

    asio::io_context& io_;
    const Clock& clock_;
    std::string name_;
    kelplb::Random random_;
    ClientSettings settings_;
    Secret secret_;
    Handlers handlers_;
    std::vector<Session> sessions_;  // by planner
    std::vector<std::shared_ptr<Channel>> channels_;
    Counts counts_;
};

}  // namespace cobaltshift::plan
