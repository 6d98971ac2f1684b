#include "lab/results.hpp"

#include <sys/utsname.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <thread>

namespace cobaltshift::lab {

namespace {

using nlohmann::json;

constexpr int kFormat = 2;  // results of another must not be mixed with ours
constexpr std::size_t kMostSlots = 100000, kMostFaults = 100000;

DayResult day_of(const json& line) {
    DayResult day;
    const auto text = [&](const char* key) { return line.at(key).get<std::string>(); };
    day.experiment = text("experiment"), day.name = text("name"), day.about = text("about");
    day.engine = text("engine"), day.label = text("label"), day.commit = text("commit");
    day.machine = text("machine"), day.pair_base = text("base");
    day.variant = line.at("variant").get<std::size_t>();
    day.seed = line.at("seed").get<std::uint64_t>();
    day.length = line.at("length").get<double>();
    for (const auto& [name, value] : line.at("figures").items())
        day.figures[name] = value.is_null() ? std::nan("") : value.get<double>();
    if (line.at("slots").size() > kMostSlots || line.at("faults").size() > kMostFaults)
        throw std::length_error("too long");
    for (const json& slot : line.at("slots")) {
        day.course.slots.emplace_back();
        for (std::size_t i = 0; i < 4; ++i) day.course.slots.back()[i] = slot.at(i).get<std::uint32_t>();
    }
    for (const json& bin : line.at("times"))
        day.times.emplace_back(bin.at(0).get<int>(), bin.at(1).get<double>());
    for (const json& b : line.at("bounds"))
        day.bounds.push_back({b.at(0).get<std::string>(), b.at(1).get<bool>(), b.at(2).get<double>()});
    for (const json& f : line.at("faults"))
        day.faults.push_back({f.at(0).get<std::string>(), f.at(1).get<std::string>(), f.at(2).get<double>(),
                              f.at(3).get<double>(), 0});
    return day;
}

}  // namespace

std::string line_of(const DayResult& day) {
    json line{{"format", kFormat},      {"experiment", day.experiment},
              {"name", day.name},       {"about", day.about},
              {"engine", day.engine},   {"label", day.label},
              {"base", day.pair_base},  {"commit", day.commit},
              {"machine", day.machine}, {"variant", day.variant},
              {"seed", day.seed},       {"length", day.length},
              {"figures", day.figures}, {"slots", day.course.slots},
              {"times", json::array()}, {"faults", json::array()},
              {"bounds", json::array()}};
    for (const auto& [bin, count] : day.times) line["times"].push_back({bin, count});
    for (const auto& b : day.bounds) line["bounds"].push_back({b.figure, b.most, b.bound});
    for (const sim::Fault& f : day.faults) line["faults"].push_back({f.kind, f.target, f.at, f.length});
    return line.dump();
}

Held read_results(const std::string& file) {
    Held held;
    std::ifstream in(file, std::ios::binary);
    if (!in) throw SettingsError(file + " can't be read");
    std::size_t number = 0;
    for (std::string text; std::getline(in, text);) {
        if (in.eof()) break;  // no end of line: cut short by a stop
        const std::string where = file + ":" + std::to_string(++number) + ": ";
        const json line = json::parse(text, nullptr, false);
        if (!line.is_object() || !line.contains("format"))
            throw SettingsError(where + "is no line of results");
        if (line["format"] != kFormat)
            throw SettingsError(where + "is of another version; name another file");
        try {
            held.days.push_back(day_of(line));
        } catch (const std::exception&) {
            throw SettingsError(where + "is no whole line of results");
        }
        held.whole += text.size() + 1;
    }
    return held;
}

double figure_of(const std::vector<const DayResult*>& days, const std::string& name) {
    if (name == "in time share" || name == "loss") {
        const double asked = figure_of(days, "asked"), good = figure_of(days, "in time");
        const double share = asked > 0 ? good / asked : 1;
        return name == "loss" ? 1 - share : share;
    }
    const bool worst = name.ends_with("peak") || name.ends_with(" ms"), mean = name.ends_with(" s");
    double sum = 0, most = -1e300;
    std::size_t n = 0;
    for (const DayResult* day : days)
        if (const auto at = day->figures.find(name); at != day->figures.end()) {
            sum += at->second, most = std::max(most, at->second);
            ++n;
        }
    if (n == 0) return std::nan("");
    return worst ? most : mean ? sum / static_cast<double>(n) : sum;
}

std::string this_commit() { return COBALTSHIFT_COMMIT; }

std::string this_machine() {
    utsname name{};
    ::uname(&name);
    return std::string(name.machine) + ", " + std::to_string(std::thread::hardware_concurrency()) + " cores";
}

}  // namespace cobaltshift::lab
