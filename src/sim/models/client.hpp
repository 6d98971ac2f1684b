// Clients: an open load drawn from the seed alone, the same whatever becomes of it. With patience left they
// come back after a refusal, or after a failure if what they ask may be repeated, marked as a repeat.
#pragma once

#include "sim/facts.hpp"
#include "sim/scene.hpp"

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

    static constexpr Millis kAim = 200, kPatience = 1000;

private:
    void arrive();
    void issue(Ask ask);

    Scene& scene_;
    Stream arrivals_, retries_;
    double rate_ = 0;  // a ms
    std::uint32_t most_retries_;
    std::vector<double> parts_;  // of the load, by forwarder
    double parts_sum_ = 0;
    Millis work_;
    std::vector<Ask> asks_;
    std::size_t asked_ = 0;  // first tries
    std::size_t ends_[4] = {};
};

}  // namespace cobaltshift::sim
