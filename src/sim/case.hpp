// One day to be played, as data: sizes and settings by name, and a list of faults. With its seed it fixes all
// that happens, so that it can be kept, shortened and played again.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cobaltshift::sim {

using Millis = double;

struct Fault {
    std::string kind;    // as registered
    std::string target;  // whom it meets, as its kind reads it
    Millis at = 0, length = 0;
    double amount = 0;
    bool operator==(const Fault&) const = default;
};

struct Case {
    std::uint64_t seed = 1;
    Millis length = 20000;              // with arrivals
    std::map<std::string, double> set;  // of models and checkers; absent: their default
    std::vector<Fault> faults;

    double get(const std::string& name, double otherwise) const {
        const auto at = set.find(name);
        return at == set.end() ? otherwise : at->second;
    }
    std::size_t count(const std::string& name, std::size_t otherwise) const {
        return static_cast<std::size_t>(get(name, static_cast<double>(otherwise)));
    }
    bool operator==(const Case&) const = default;
};

// A text that reads back as the same case: lines of `seed`, `length`, `set NAME VALUE` and
// `fault KIND TARGET AT LENGTH AMOUNT`; '#' begins a remark.
std::string text_of(const Case& day);
// Throws std::runtime_error naming the line and what is wrong with it.
Case case_from(const std::string& text);

}  // namespace cobaltshift::sim
