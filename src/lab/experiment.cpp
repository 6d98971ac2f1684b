#include "lab/experiment.hpp"

#include <algorithm>
#include <sstream>

#include "settings_file/section.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::lab {

namespace {

constexpr std::size_t kMostSeeds = 1000000, kMostVariants = 1000, kMostFaults = 10000;

// What a case's models and checkers read, with its range. A name that nobody reads would vary nothing.
struct Known {
    const char* name;
    double least, most;
};
constexpr Known kSettings[] = {
    {"forwarders", 0, 2000},
    {"servers", 0, 500},
    {"planners", 0, 15},
    {"load", 0, 10},
    {"skew", 0, 4},
    {"client.retries", 0, 3},
    {"discovery.notice_ms", 0, 60000},
    {"planner.subset", 0, 500},
    {"server.slots", 1, 1000},
    {"server.queue", 0, 10000},
    {"server.work_ms", 0.1, 10000},
    {"server.cold_from", 0.01, 1},
    {"server.warm_within_ms", 0, 600000},
    {"server.fall_multiple", 1, 100},
    {"server.fall_window_ms", 1, 60000},
    {"arrivals.burst_every_ms", 1, 3.6e6},
    {"arrivals.burst_length_ms", 1, 3.6e6},
    {"arrivals.burst_multiple", 1, 1000},
    {"arrivals.day_ms", 100, 3.6e6},
    {"arrivals.depth", 0, 1},
    {"sizes.tail_index", 1.05, 10},
    {"clients", 0, 1000000},
    {"clients.zipf", 0, 4},
    {"client.aim_ms", 1, 600000},
    {"client.patience_ms", 1, 600000},
    {"peers", 0, 1},
    {"fees.peer", 0, 10},
    {"fees.probe", 0, 10},
    {"fees.handshake", 0, 10},
    {"class.safe", 0, 1},
    {"class.once", 0, 1},
    {"class.keyed", 0, 1},
};
// Laws by name; a case has their numbers.
const std::vector<std::string> kArrivals = {"poisson", "even", "bursts", "daily"},
                               kSizes = {"exponential", "fixed", "pareto"};
const Known* known(const std::string& name) {
    for (const Known& one : kSettings)
        if (name == one.name) return &one;
    return nullptr;
}

// `"client.retries" = 1` and `client.retries = 1` say the same.
void read_set(Section section, std::map<std::string, double>& set, const std::string& before = "") {
    for (const std::string& key : section.keys()) {
        if (before.empty() && section.has_table(key.c_str())) {
            read_set(section.section(key.c_str()), set, key + ".");
            continue;
        }
        const Known* one = known(before + key);
        if (!one) continue;  // done() complains
        double value = 0;
        section.number(key.c_str(), value, one->least, one->most);
        set[before + key] = value;
    }
    section.reject_unknown_keys();
}

void read_vary(Section section, std::vector<Experiment::Vary>& vary, const std::string& before = "") {
    for (const std::string& key : section.keys()) {
        if (before.empty() && section.has_table(key.c_str())) {
            read_vary(section.section(key.c_str()), vary, key + ".");
            continue;
        }
        const Known* one = known(before + key);
        if (!one) continue;
        Experiment::Vary v{before + key, {}};
        section.numbers(key.c_str(), v.values, 100);
        for (const double value : v.values)
            if (value < one->least || value > one->most)
                section.fail_key(key.c_str(), "has a value out of its range");
        vary.push_back(v);
    }
    section.reject_unknown_keys();
}

void read_troubles(Section& section, sim::Troubles& t) {
    section.number("crash_part", t.crash_part, 0, 1);
    section.number("error_part", t.error_part, 0, 1);
    section.number("pause_part", t.pause_part, 0, 1);
    section.flag("drains", t.drains);
    section.flag("planners_fail", t.planners_fail);
    section.flag("planners_dead", t.planners_dead);
    section.flag("planners_split", t.planners_split);
    section.flag("lossy", t.lossy);
    section.flag("restarts", t.restarts);
    section.count("liars", t.liars, 0, 15);
    section.reject_unknown_keys();
}

void read_law(Section& section, const char* key, const std::vector<std::string>& names, const char* setting,
              std::map<std::string, double>& set) {
    std::string name;
    section.text(key, name);
    if (name.empty()) return;
    const auto at = std::find(names.begin(), names.end(), name);
    if (at == names.end()) section.fail_key(key, "is no law that there is");
    set[setting] = static_cast<double>(at - names.begin());
}

}  // namespace

Experiment read_experiment(const std::string& text, const std::string& file) {
    Experiment e;
    const toml::table table = parsed_toml(text, file);
    Section root(table, "", file);
    root.require("name"), root.text("name", e.name);
    root.text("about", e.about);
    e.day.length = 20000;
    root.number("length_ms", e.day.length, 100, 3.6e6);
    read_set(root.section("set"), e.day.set);

    Section troubles = root.section("troubles");
    sim::Troubles& t = e.troubles;
    t.crash_part = t.error_part = t.pause_part = 0, t.drains = false;
    read_troubles(troubles, t);
    Section workload = root.section("workload");
    read_law(workload, "arrivals", kArrivals, "arrivals.law", e.day.set);
    read_law(workload, "sizes", kSizes, "sizes.law", e.day.set);
    workload.reject_unknown_keys();
    for (Section& section : root.sections("way", 50)) {
        Experiment::Way way;
        section.require("name"), section.text("name", way.name);
        for (const auto& other : e.ways)
            if (other.name == way.name) section.fail_key("name", "is another way's already");
        read_set(section.section("set"), way.set);
        way.troubles = t;
        Section changed = section.section("troubles");
        read_troubles(changed, way.troubles);
        section.reject_unknown_keys();
        e.ways.push_back(way);
    }
    for (Section& fault : root.sections("fault", kMostFaults)) {
        sim::Fault f;
        fault.require("kind"), fault.text("kind", f.kind);
        if (!sim::Registry::all().faults.count(f.kind)) fault.fail_key("kind", "is no fault that there is");
        fault.text("target", f.target);
        fault.number("at_ms", f.at, 0, 3.6e6);
        fault.number("length_ms", f.length, 0, 3.6e6);
        fault.number("amount", f.amount, -1e9, 1e9);
        fault.reject_unknown_keys();
        e.day.faults.push_back(f);
    }

    read_vary(root.section("vary"), e.vary);
    std::size_t variants = std::max<std::size_t>(1, e.ways.size());
    for (const auto& v : e.vary) variants *= v.values.size();
    if (variants > kMostVariants) root.fail_key("vary", "makes more than 1000 variants");
    root.text("pair", e.pair);
    if (!e.pair.empty() && !(e.pair == "way" && !e.ways.empty()) &&
        std::none_of(e.vary.begin(), e.vary.end(), [&](const auto& v) { return v.name == e.pair; }))
        root.fail_key("pair", "is not varied");

    Section seeds = root.section("seeds");
    seeds.count("first", e.first_seed, 0, 1e15);
    seeds.count("count", e.seeds, 1, kMostSeeds);
    seeds.count("quick", e.quick_seeds, 1, kMostSeeds);
    seeds.reject_unknown_keys();

    for (Section& bound : root.sections("bound", 100)) {
        Experiment::Bound b;
        b.line = bound.line();
        bound.require("figure"), bound.text("figure", b.figure);
        const auto& all = known_figures();
        const bool paired = b.figure == "loss removed" && !e.pair.empty();
        if (std::find(all.begin(), all.end(), b.figure) == all.end() && !paired)
            bound.fail_key("figure", "is a figure that no engine measures");
        std::string of_way;
        bound.text("way", of_way);
        read_set(bound.section("where"), b.where);
        if (!of_way.empty()) {
            const auto way =
                std::find_if(e.ways.begin(), e.ways.end(), [&](const auto& w) { return w.name == of_way; });
            if (way == e.ways.end()) bound.fail_key("way", "is a way that is never played");
            b.where["way"] = static_cast<double>(way - e.ways.begin());
        }
        for (const auto& given : b.where) {
            const std::string& name = given.first;
            if (name == "way") continue;
            const auto varied =
                std::find_if(e.vary.begin(), e.vary.end(), [&](const auto& v) { return v.name == name; });
            if (varied == e.vary.end() ||
                std::find(varied->values.begin(), varied->values.end(), given.second) == varied->values.end())
                bound.fail_key("where", "is a variant that is never played");
        }
        double amount = 0;
        if (bound.has("at_most")) bound.number("at_most", amount, -1e12, 1e12), b.at_most = amount;
        if (bound.has("at_least")) bound.number("at_least", amount, -1e12, 1e12), b.at_least = amount;
        if (!b.at_most && !b.at_least) bound.fail_key("figure", "has neither at_most nor at_least");
        bound.reject_unknown_keys();
        e.bounds.push_back(b);
    }
    root.reject_unknown_keys();
    return e;
}

std::vector<Experiment::Variant> Experiment::variants() const {
    std::vector<Variant> all;
    for (std::size_t w = 0; w < ways.size(); ++w) all.push_back({{"way", static_cast<double>(w)}});
    if (ways.empty()) all.emplace_back();
    for (const Vary& v : vary) {
        std::vector<Variant> more;
        for (const Variant& variant : all)
            for (const double value : v.values) {
                more.push_back(variant);
                more.back()[v.name] = value;
            }
        all.swap(more);
    }
    return all;
}

bool Experiment::meant(const Bound& bound, const Variant& variant) {
    return std::all_of(bound.where.begin(), bound.where.end(),
                       [&](const auto& w) { return variant.at(w.first) == w.second; });
}

std::string Experiment::name_of(const Variant& variant) const {
    std::string text;
    for (const auto& [name, value] : variant) {
        std::ostringstream one;
        if (name == "way")
            one << ways.at(static_cast<std::size_t>(value)).name;
        else
            one << name << "=" << value;
        text += (text.empty() ? "" : " ") + one.str();
    }
    return text.empty() ? "all" : text;
}

std::optional<std::size_t> Experiment::base_of(std::size_t variant) const {
    if (pair.empty()) return {};
    double first = 0;  // the first way
    for (const Vary& v : vary)
        if (v.name == pair) first = v.values.front();
    const auto all = variants();
    Variant base = all.at(variant);
    base[pair] = first;
    return static_cast<std::size_t>(std::find(all.begin(), all.end(), base) - all.begin());
}

sim::Case Experiment::day_of(const Variant& variant, std::uint64_t seed) const {
    sim::Case made = day;
    made.seed = seed;
    sim::Troubles met = troubles;
    if (const auto way = variant.find("way"); way != variant.end()) {
        const Way& chosen = ways.at(static_cast<std::size_t>(way->second));
        for (const auto& [name, value] : chosen.set) made.set[name] = value;
        met = chosen.troubles;
    }
    for (const auto& [name, value] : variant)
        if (name != "way") made.set[name] = value;
    const auto fixed = made.faults;
    made.faults.clear();
    // Troubles of the servers are the same for all variants with as many; those of planners need some.
    sim::draw_faults(made, met);
    made.faults.insert(made.faults.end(), fixed.begin(), fixed.end());
    return made;
}

const std::vector<std::string>& known_figures() {
    static const std::vector<std::string> all = {
        "asked",         "in time",     "late",          "refused",    "failed",         "lost in restarts",
        "attempts",      "runs",        "cold peak",     "grant peak", "removals",       "removal s",
        "never removed", "plans taken", "plans refused", "broken",     "events",         "loss",
        "in time share", "p50 ms",      "p99 ms",        "unanswered", "doubled",        "connects",
        "connects peak", "probes",      "probes peak",   "told bytes", "datagrams peak", "failing peak"};
    return all;
}

std::map<std::string, double> figures_of(const sim::Case& day, sim::Course* course) {
    sim::Played played = sim::play(day);
    if (course) *course = std::move(played.course);
    std::map<std::string, double> figures;
    for (const std::string& name : known_figures()) figures[name] = 0;
    for (const auto& [name, value] : played.figures)
        if (figures.count(name)) figures[name] = value;
    const double asked = figures["asked"];
    figures["in time share"] = asked > 0 ? figures["in time"] / asked : 1;
    figures["loss"] = 1 - figures["in time share"];
    const auto ms = played.figures.find("removal ms");
    if (ms != played.figures.end() && figures["removals"] > 0)
        figures["removal s"] = ms->second / figures["removals"] / 1000;
    figures["broken"] = static_cast<double>(played.broken);
    figures["events"] = static_cast<double>(played.events);
    return figures;
}

}  // namespace cobaltshift::lab
