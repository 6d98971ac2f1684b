#include "lab/scenario.hpp"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace cobaltshift::lab {

std::string shown(double value, int digits) {
    char text[64];
    std::snprintf(text, sizeof text, "%.*f", digits, value);
    return text;
}

void Result::at_most(const std::string& name, double value, double bound) {
    figure(name, value);
    bounds_.push_back({name, value, bound, true});
}
void Result::at_least(const std::string& name, double value, double bound) {
    figure(name, value);
    bounds_.push_back({name, value, bound, false});
}

bool Result::holds() const {
    return std::all_of(bounds_.begin(), bounds_.end(), [](const Bound& b) { return b.holds(); });
}

std::string Result::text() const {
    std::vector<std::vector<std::string>> lines = rows_;
    lines.insert(lines.begin(), columns_);
    std::vector<std::size_t> width(columns_.size());
    for (const auto& line : lines)
        for (std::size_t i = 0; i < std::min(line.size(), width.size()); ++i)
            width[i] = std::max(width[i], line[i].size());
    std::ostringstream out;
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < std::min(line.size(), width.size()); ++i) {
            const std::string fill(width[i] - line[i].size(), ' ');
            out << (i == 0 ? line[i] + fill : "  " + fill + line[i]);
        }
        out << '\n';
    }
    for (const Bound& b : bounds_)
        out << (b.holds() ? "holds  " : "SHORT  ") << b.name << ' ' << shown(b.value, 4)
            << (b.most ? " at most " : " at least ") << shown(b.bound, 4) << '\n';
    for (const std::string& note : notes_) out << note << '\n';
    return out.str();
}

nlohmann::json Result::json() const {
    nlohmann::json bounds = nlohmann::json::array();
    for (const Bound& b : bounds_)
        bounds.push_back({{"name", b.name},
                          {"value", b.value},
                          {b.most ? "at_most" : "at_least", b.bound},
                          {"holds", b.holds()}});
    return {{"figures", figures_}, {"bounds", bounds}, {"holds", holds()}, {"notes", notes_}};
}

}  // namespace cobaltshift::lab
