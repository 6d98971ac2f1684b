// Results of experiments as JSON lines, one a day played, append-only: what was played, by which build on
// which machine, its figures, its course and its times. Read by `run` to go on, by `report` and by `compare`.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/histogram.hpp"
#include "settings_file/error.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::lab {

struct DayResult {
    std::string experiment;  // fingerprint of the file: days of another are not mixed with these
    std::string name, about, engine, label, commit, machine;
    std::size_t variant = 0;
    std::uint64_t seed = 0;
    sim::Millis length = 0;
    std::string pair_base;  // the label that this variant is held against; empty: none
    std::map<std::string, double> figures;
    sim::Course course;                         // its slots
    std::vector<std::pair<int, double>> times;  // of those served, as Histogram::sparse() tells
    std::vector<sim::Fault> faults;
    struct Bound {
        std::string figure;
        bool most;  // at most so much; else at least
        double bound;
    };
    std::vector<Bound> bounds;  // of this variant
};

// A figure of several days together: peaks and times are the worst day's, shares those of all days together,
// "removal s" a mean, the rest sums. NaN if none of them measured it.
double figure_of(const std::vector<const DayResult*>& days, const std::string& name);

// One line, without its end.
std::string line_of(const DayResult& day);

struct Held {
    std::vector<DayResult> days;
    std::size_t whole = 0;  // bytes up to the end of the last whole line: a stop may have cut one short
};
// Throws SettingsError naming file and line for what is no line of results, or of another format.
Held read_results(const std::string& file);

// This build and this machine.
std::string this_commit();
std::string this_machine();

}  // namespace cobaltshift::lab
