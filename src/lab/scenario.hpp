// A measurement with its own bounds: figures by name, a table for people, and what each bound says.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cobaltshift::lab {

struct Run {
    bool quick = false;
    std::uint64_t seed = 1;
};

class Result {
public:
    // A row of the table; the first call names the columns.
    void columns(std::vector<std::string> names) { columns_ = std::move(names); }
    void row(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }
    void figure(const std::string& name, double value) { figures_[name] = value; }
    // Also figures. A value that is no number keeps no bound.
    void at_most(const std::string& name, double value, double bound);
    void at_least(const std::string& name, double value, double bound);
    void note(std::string text) { notes_.push_back(std::move(text)); }

    std::string text() const;
    nlohmann::json json() const;
    bool holds() const;

private:
    struct Bound {
        std::string name;
        double value, bound;
        bool most;
        bool holds() const { return most ? value <= bound : value >= bound; }
    };
    std::vector<std::string> columns_, notes_;
    std::vector<std::vector<std::string>> rows_;
    nlohmann::json figures_ = nlohmann::json::object();
    std::vector<Bound> bounds_;
};

struct Scenario {
    std::string name, about;
    std::function<Result(const Run&)> run;
};
const std::vector<Scenario>& scenarios();

std::string shown(double value, int digits = 0);

}  // namespace cobaltshift::lab
