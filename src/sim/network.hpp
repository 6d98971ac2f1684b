// The network between named endpoints, with faults by link. Two kinds of passing: send() is a datagram's (it
// may be lost, doubled, bent, or overtaken), pass() is a connection's (in order and whole, or not at all;
// loss shows as delay). Nobody is told of a cut: both sides find out by their own time limits, as with
// half-open connections.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "sim/kernel.hpp"

namespace cobaltshift::sim {

// How long a message takes: `least`, up to `spread` more, and with `tail_chance` up to `tail` more.
struct DelayLaw {
    Millis least = 0.5, spread = 0;
    double tail_chance = 0;
    Millis tail = 0;
};

struct Link {
    DelayLaw delay;
    double loss = 0, doubled = 0, bent = 0;  // chances, 0 to 1
    bool cut = false;                        // this way only: cut both for a partition
    double bytes_per_ms = 0;                 // 0: without bound; messages then queue behind one another
};

class Network {
public:
    using Endpoint = std::uint32_t;
    Network(Kernel& kernel, Link usual);

    Endpoint endpoint(const std::string& name);  // made where it is first named
    const std::string& name(Endpoint endpoint) const { return names_.at(endpoint); }

    // From now on links that match are so; the newest rule that matches counts. The number lifts it.
    using Match = std::function<bool(const std::string& from, const std::string& to)>;
    std::uint64_t impose(Match match, Link link);
    void lift(std::uint64_t rule);

    using Arrive = std::function<void(const std::string& bytes)>;
    void send(Endpoint from, Endpoint to, std::string bytes, Arrive arrive);
    void pass(Endpoint from, Endpoint to, Task arrive, std::size_t bytes = 0);

    struct Counts {
        std::uint64_t sent = 0, lost = 0, doubled = 0, bent = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    struct Rule {
        std::uint64_t number;
        Match match;
        Link link;
        std::unordered_map<std::uint64_t, bool> known;  // by link: the answers of `match`
    };
    static std::uint64_t key(Endpoint from, Endpoint to) {
        return static_cast<std::uint64_t>(from) << 32 | to;
    }
    const Link& link(Endpoint from, Endpoint to);
    Millis delay(const Link& link, Endpoint from, Endpoint to, std::size_t bytes);

    Kernel& kernel_;
    Stream lots_;
    Link usual_;
    std::map<std::string, Endpoint> endpoints_;
    std::vector<std::string> names_;
    std::list<Rule> rules_;  // the newest first
    std::uint64_t next_rule_ = 1;
    std::unordered_map<std::uint64_t, Millis> last_,
        busy_;  // by link: of passing in order, and of its bandwidth
    Counts counts_;
};

}  // namespace cobaltshift::sim
