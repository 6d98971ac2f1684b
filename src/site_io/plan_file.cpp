#include "site_io/plan_file.hpp"

#include <fstream>
#include <iterator>
#include <map>

#include "settings_file/section.hpp"

namespace cobaltshift::site {

namespace {

// Names of one kind, each once.
class Names {
public:
    explicit Names(const char* kind) : kind_(kind) {}
    void add(Section& section, const std::string& name) {
        if (name.empty()) section.fail_key("name", "is empty");
        if (!all_.emplace(name, all_.size()).second) section.fail_key("name", "is there twice");
    }
    std::size_t find(Section& section, const char* key, const std::string& name) const {
        const auto at = all_.find(name);
        if (at == all_.end()) section.fail_key(key, "names no " + std::string(kind_));
        return at->second;
    }
    std::size_t count() const { return all_.size(); }

private:
    const char* kind_;
    std::map<std::string, std::size_t> all_;
};

std::string text_of(Section& section, const char* key) {
    std::string value;
    section.require(key), section.text(key, value);
    return value;
}
double number_of(Section& section, const char* key, double least, double most) {
    double value = 0;
    section.require(key), section.number(key, value, least, most);
    return value;
}

Class read_class(Section& one) {
    Class c;
    c.name = text_of(one, "name");
    std::string effect = "once";
    one.text("effect", effect);
    if (effect == "repeatable")
        c.effect = Effect::repeatable;
    else if (effect == "by_key")
        c.effect = Effect::by_key;
    else if (effect != "once")
        one.fail_key("effect", "is none of repeatable, by_key, once");
    one.number("worth", c.worth, 0, 1e9);
    c.work = number_of(one, "work_ms", 0.001, 1e6);
    c.aim = number_of(one, "aim_ms", 1, 1e7);
    c.answer = c.work;
    one.number("answer_ms", c.answer, 0.001, 1e7);
    one.flag("kept", c.kept);
    if (c.answer > c.aim) one.fail_key("answer_ms", "is over aim_ms: it is late at home already");
    return c;
}

void read_distances(Section& root, const Names& sites, Fleet& fleet) {
    const std::size_t count = fleet.sites.size();
    fleet.round_trip.assign(count, std::vector<Millis>(count, -1));
    for (std::size_t s = 0; s < count; ++s) fleet.round_trip[s][s] = 0;
    for (Section& one : root.sections("distance", kMaxSites * kMaxSites)) {
        const std::size_t a = sites.find(one, "from", text_of(one, "from")),
                          b = sites.find(one, "to", text_of(one, "to"));
        if (a == b) one.fail_key("to", "is the same site");
        if (fleet.round_trip[a][b] >= 0) one.fail_key("to", "has a distance from there already");
        fleet.round_trip[a][b] = fleet.round_trip[b][a] = number_of(one, "round_trip_ms", 0, 1e6);
        one.reject_unknown_keys();
    }
    for (std::size_t a = 0; a < count; ++a)
        for (std::size_t b = 0; b < a; ++b)
            if (fleet.round_trip[a][b] < 0)
                root.fail_key("distance",
                              "is missing between " + fleet.sites[b].name + " and " + fleet.sites[a].name);
}

}  // namespace

PlanFile read_plan(const std::string& text, const std::string& file) {
    PlanFile plan;
    Fleet& fleet = plan.fleet;
    const toml::table table = parsed_toml(text, file);
    Section root(table, "", file);
    root.number("bound", fleet.bound, 0.05, 1);
    Names sites("site"), classes("class"), tenants("tenant");
    root.require("site");
    for (Section& one : root.sections("site", kMaxSites)) {
        Site site;
        site.name = text_of(one, "name");
        sites.add(one, site.name);
        const double servers = number_of(one, "servers", 0, 1e6), slots = number_of(one, "slots", 0.001, 1e6);
        site.capacity = 1000 * servers * slots;
        one.number("follows", site.follows, 0, 1);
        one.reject_unknown_keys();
        fleet.sites.push_back(site);
    }
    root.require("class");
    for (Section& one : root.sections("class", kMaxClasses)) {
        fleet.classes.push_back(read_class(one));
        classes.add(one, fleet.classes.back().name);
        one.reject_unknown_keys();
    }
    for (Section& one : root.sections("tenant", kMaxTenants)) {
        Tenant tenant;
        tenant.name = text_of(one, "name");
        tenants.add(one, tenant.name);
        tenant.guaranteed = number_of(one, "guaranteed_per_s", 0, 1e9);
        one.reject_unknown_keys();
        fleet.tenants.push_back(tenant);
    }
    read_distances(root, sites, fleet);
    root.require("demand");
    for (Section& one : root.sections("demand", kMaxDemands)) {
        Demand demand;
        demand.site = sites.find(one, "site", text_of(one, "site"));
        demand.of_class = classes.find(one, "class", text_of(one, "class"));
        demand.tenant = one.has("tenant") ? tenants.find(one, "tenant", text_of(one, "tenant")) : SIZE_MAX;
        demand.rate = number_of(one, "per_s", 0, 1e9);
        one.reject_unknown_keys();
        fleet.demands.push_back(demand);
    }
    if (root.has("return")) {
        Section back = root.section("return");
        if (back.has("steps")) plan.paced.steps.clear(), back.numbers("steps", plan.paced.steps, 50);
        back.number("hold_ms", plan.paced.hold, 100, 3600000);
        back.number("warm_within_ms", plan.warmup_time, 0, 3600000);
        back.reject_unknown_keys();
        if (const std::string wrong = complaint(plan.paced); !wrong.empty())
            back.fail_key("steps", "make no sense: " + wrong);
    }
    root.reject_unknown_keys();
    return plan;
}

PlanFile load_plan(const std::string& file) {
    std::ifstream in(file);
    if (!in) throw SettingsError(file + ": can't be read");
    const std::string text((std::istreambuf_iterator<char>(in)), {});
    if (in.bad()) throw SettingsError(file + ": can't be read");
    return read_plan(text, file);
}

}  // namespace cobaltshift::site
