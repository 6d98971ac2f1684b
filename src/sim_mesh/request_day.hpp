// A day of the data plane in virtual time: requests of clients while servers lose, double, spoil and delay
// their answers, connections are reset and forgotten, machines freeze, are cut off, killed and without power,
// servers leave, crash and their addresses go to others (the users' point 5). Entry types: RequestDay, drawn
// by drawn_request_day(), played by play_request_day(). Called by cobaltshift-lab request-world and by tests;
// free of I/O.
//
// A day is a scenario's text (script.hpp), so that one that breaks a rule can be kept among tests/scenarios
// as it is.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

struct RequestDay {
    std::uint64_t seed = 1;
    std::vector<std::string> fixed;     // fleet, traffic, first configuration, what must hold
    std::vector<std::string> troubles;  // a line each
};

RequestDay drawn_request_day(std::uint64_t seed);
std::string text_of(const RequestDay& day);
Played play_request_day(const RequestDay& day, const Safeguards& safeguards = {});

// Fewer troubles, as long as the day still breaks the same rule.
RequestDay shrunk(const RequestDay& day, const Safeguards& safeguards = {});

}  // namespace cobaltshift::simmesh
