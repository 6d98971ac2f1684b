// An experiment file (TOML): a fleet, its load, its troubles, what is varied, how many seeds, and the bounds
// that the figures must keep. docs/operate/lab.md has every key.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "settings_file/error.hpp"
#include "sim/days.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::lab {

struct Experiment {
    std::string name, about;
    sim::Case day;  // but for its seed, drawn faults, and what is varied
    sim::Troubles troubles;
    std::uint64_t first_seed = 1;
    std::size_t seeds = 20, quick_seeds = 4;
    // Played beside one another, each a change of settings and troubles: "way" of a variant is its number.
    struct Way {
        std::string name;
        std::map<std::string, double> set;
        sim::Troubles troubles;
    };
    std::vector<Way> ways;
    struct Vary {
        std::string name;
        std::vector<double> values;
    };
    std::vector<Vary> vary;  // every combination is played on every seed
    std::string pair;        // of `vary`, or "way": each other value is held against the first, seed by seed
    struct Bound {
        std::string figure;
        std::map<std::string, double> where;  // only variants that are so; empty: all
        std::optional<double> at_most, at_least;
        int line = 0;
    };
    std::vector<Bound> bounds;

    using Variant = std::map<std::string, double>;
    static bool meant(const Bound& bound, const Variant& variant);
    std::vector<Variant> variants() const;
    std::string name_of(const Variant& variant) const;
    // The variant, by its place in variants(), that this one is held against: itself, where it is the first
    // of its pairs. None without `pair`.
    std::optional<std::size_t> base_of(std::size_t variant) const;
    sim::Case day_of(const Variant& variant, std::uint64_t seed) const;
};

// Throws SettingsError naming file, line and key: unknown keys, values out of range, a bound on a figure that
// no engine measures or of a variant that is never played, a pair that is not varied.
Experiment read_experiment(const std::string& text, const std::string& file);

// All that a day can be measured by, derived ones included.
const std::vector<std::string>& known_figures();
// With the derived ones: "in time share", "loss", "removal s", "broken".
std::map<std::string, double> figures_of(const sim::Case& day, sim::Course* course = nullptr);

struct RunExperiment {
    std::string file;
    std::string results;  // JSON lines, appended; one that is there already is gone on with. Empty: none
    bool quick = false;
    unsigned jobs = 0;  // 0: as many as cores
    bool progress = false;
    bool sockets = false;  // on real processes
};
// Exit code: 0 all bounds hold, 1 one falls short, 2 a file can't be read or used.
int run_experiment(const RunExperiment& what, std::ostream& out, std::ostream& err);

}  // namespace cobaltshift::lab
