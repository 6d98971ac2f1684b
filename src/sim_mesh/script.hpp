// Scenarios as text: a fleet, traffic, events with their times, and what must hold. Entry: read_scenario().
// Called by the runner of tests; World plays what comes out.
//
//   # what it is about
//   fleet proxies=9 hubs=3 zones=3 services=2 seed=7     also capacity, work (ms), end, slack, deadline (ms)
//   traffic plain=40 registered=20 from=8 to=40          a second; leave=SHARE of them early; as many lines
//                                                        as wanted
//   at 10 put edition=12; cut leader for=5               several at once
//   at 10 on_ack wipe leader; power others for=1         with the next acknowledgement from then on
//   every 0.3 from=10 to=20 put
//   must served >= 0.7
//   must rules
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "sim_mesh/timeline.hpp"

namespace cobaltshift::simmesh {

struct ScriptError : std::runtime_error {
    using std::runtime_error::runtime_error;  // "FILE:LINE: what is wrong"
};

struct Command {
    std::string verb;
    std::vector<std::string> words;  // its target
    double which = 0;                // of targets that are numbered
    std::map<std::string, std::string> options;
    double number(const std::string& option, double otherwise) const;
    bool has(const std::string& option) const { return options.count(option) > 0; }
    std::string where;  // FILE:LINE
};

struct Timed {
    Millis at = 0;
    bool on_ack = false;
    std::vector<Command> commands;
};

struct Fleet {
    std::size_t proxies = 6, hubs = 3, zones = 3, services = 2, capacity = 8;
    std::uint64_t seed = 1;
    Millis work = 40, end = 0;  // of a request; of the scenario
    double slack = 20;          // of the retry budget
    Millis deadline = 2500;     // of the routes, and of a client from its first try
};

struct Traffic {
    double plain = 0, registered = 0;
    Millis from = 0, to = 0;
    double leave = 0;  // share of the clients that leave long before their deadline
};

struct Scenario {
    std::string name;
    Fleet fleet;
    std::vector<Traffic> traffic;
    std::vector<Timed> events;
    double served = 0;
    bool rules = false;
};

// Throws ScriptError.
Scenario read_scenario(const std::string& name, const std::string& text);

}  // namespace cobaltshift::simmesh
