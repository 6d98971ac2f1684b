// A forwarder's side of the plan: to each planner one report at a time and one question for its plan, each on
// a connection of its own, with jittered backoff. Never on a request's path: nothing waits for it.
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
        // False: refused. It is asked again, but not at once: a planner whose plans are refused must not be
        // asked in a spin.
        std::function<bool(std::size_t planner, Millis asked_at, const Plan&)> plan;
        std::function<PlanId(std::size_t planner)> has;  // the plan held alive; {} for none
    };
    Client(asio::io_context& io, const Clock& clock, std::string name, std::uint64_t seed,
           ClientSettings settings, Secret secret, Handlers handlers);
    ~Client();

    // Something that planners should hear of before the period is over; see Pace.
    void news();

    struct Counts {
        std::size_t reports = 0, plans = 0, failures = 0, refused = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    class Line;    // one connection to one planner, for reports or for plans
    struct Link {  // what a planner's two lines share
        std::string session;
        std::uint64_t reports = 0, plans = 0;  // counts used in it
    };

    asio::io_context& io_;
    const Clock& clock_;
    std::string name_;
    kelplb::Random random_;
    ClientSettings settings_;
    Secret secret_;
    Handlers handlers_;
    std::vector<Link> links_;
    std::vector<std::shared_ptr<Line>> lines_;
    Counts counts_;
};

}  // namespace cobaltshift::plan
