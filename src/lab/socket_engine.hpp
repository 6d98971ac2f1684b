// An experiment's day with real processes on loopback: forwarders and planners of this build, stand-in
// servers and discovery on this process's loop. Several variants of one day run in the same seconds, with the
// same arrivals, the same work for each request and the same troubles, so that what the machine does to one
// it does to the others.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "lab/histogram.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::lab {

struct SocketDay {
    std::map<std::string, double> figures;  // as known_figures(), of those that can be measured here
    Histogram times;                        // of those served
    sim::Course course;
    bool finished = false;  // within its guard
};

// Figures that need the inside of a process, or a checker of the world, are not among them.
const std::vector<std::string>& socket_figures();
// Why this day can't be played on sockets; empty: it can.
std::string socket_misfit(const sim::Case& day);
// Plays them side by side. Takes their length and a few seconds. Throws std::runtime_error where processes
// can't be started.
std::vector<SocketDay> play_on_sockets(const std::vector<sim::Case>& days);

}  // namespace cobaltshift::lab
