// Clients: an open load drawn from the seed alone (sim/workload.hpp), the same whatever becomes of it. With
// patience left they come back after a refusal, or after a failure if what they ask may be repeated, marked
// as a repeat.
#pragma once

#include <optional>

#include "sim/facts.hpp"
#include "sim/scene.hpp"
#include "sim/workload.hpp"

namespace cobaltshift::sim {

class Forwarder;

class Clients : public Part {
public:
    explicit Clients(Scene& scene);
    void start() override;
    void over() override;

    // A request, as long as it is of interest: each try of a client is one of its own.
    struct Ask {
        Node forwarder = 0;
        Kind kind = Kind::safe;
        Millis at = 0, aim_at = 0, deadline = 0, work = 0;
        std::uint32_t tries = 0;  // before this one
        bool open = true;
    };
    const Ask& ask(RequestNo request) const { return asks_[request]; }
    // From its forwarder, once, the final answer. `retry_in`: what a refusal advised, 0: nothing.
    void answered(RequestNo request, End end, Millis retry_in);
    void dropped(RequestNo request);  // its forwarder has died

private:
    void arrive();
    void issue(Ask ask);

    Scene& scene_;
    const Workload workload_;
    Stream asks_lots_, retries_;
    std::optional<Arrivals> arrivals_;  // none: nothing is asked
    std::optional<Zipf> clients_;       // the n-th is at forwarder n modulo their number
    std::uint32_t most_retries_;
    std::vector<double> parts_;  // of the load, by forwarder
    double parts_sum_ = 0;
    Millis work_;
    std::vector<Ask> asks_;
    std::size_t asked_ = 0;  // first tries
    std::size_t ends_[4] = {};
};

}  // namespace cobaltshift::sim
