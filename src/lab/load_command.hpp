// `cobaltshift-lab load`: an open load on given targets in steps of its rate, from the command line or from a
// file; ends by itself, prints a row a step, holds the figures against bounds. docs/operate/lab.md has every
// key.
#pragma once

#include <iosfwd>
#include <optional>

#include "lab/load.hpp"
#include "lab/scenario.hpp"

namespace cobaltshift::lab {

struct LoadPlan {
    std::vector<tcp::endpoint> targets;
    std::vector<Load::Step> steps = {{100, 10000}};
    Load::Options options;
    struct Bounds {
        std::optional<double> in_time_share, p99_ms, wrong;  // least, most, most
    } bounds;
    static constexpr double kMostRate = 1e6, kMostConnections = 100000;
};
// Throws SettingsError naming file, line and key.
LoadPlan read_load_plan(const std::string& text, const std::string& file);
// "http://ADDRESS:PORT/PATH", or without scheme or path. Addresses in numbers: no name is looked up. The path
// is left in `path` where there is one. Throws SettingsError.
tcp::endpoint target_of(const std::string& url, std::string& path);
// Plays it.
Result play_load(const LoadPlan& plan);

}  // namespace cobaltshift::lab
