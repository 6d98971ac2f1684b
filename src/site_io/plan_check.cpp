#include "site_io/plan_check.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace cobaltshift::site {

namespace {

using nlohmann::json;

constexpr double kNothing = 1e-3;  // requests a second

std::string named(const Fleet& fleet, const std::vector<std::size_t>& lost) {
    std::string names;
    for (const std::size_t s : lost) names += (names.empty() ? "" : " + ") + fleet.sites[s].name;
    return names.empty() ? "none" : names;
}

// From the first step to all; a server that has started within it is warm by its own time at the earliest.
Millis time_of_return(const PlanFile& plan) {
    return std::max(Paced::least_time(plan.paced), plan.warmup_time);
}

std::string rate(double value) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(value < 10 ? 1 : 0) << value;
    return text.str();
}

}  // namespace

PlanChecked check_plan(const PlanFile& plan, bool pairs) {
    const Fleet& fleet = plan.fleet;
    PlanChecked checked;
    checked.json = {{"bound", fleet.bound}, {"return_ms", time_of_return(plan)}, {"losses", json::array()}};
    std::ostringstream text;
    text << std::left << std::setw(24) << "lost" << std::setw(16) << "class" << std::setw(10) << "asked/s"
         << std::setw(10) << "home/s" << std::setw(10) << "crosses/s" << std::setw(11) << "refused/s"
         << "where it goes\n";
    std::vector<std::vector<std::size_t>> all{{}};
    for (auto& loss : losses(fleet, pairs ? 2 : 1)) all.push_back(std::move(loss));
    for (const auto& lost : all) {
        const Spill out = spill(fleet, lost);
        const std::string name = named(fleet, lost);
        json one{{"lost", json::array()},
                 {"worth_served", out.worth_asked > 0 ? out.worth_served / out.worth_asked : 1},
                 {"use", json::object()},
                 {"classes", json::array()}};
        for (const std::size_t s : lost) one["lost"].push_back(fleet.sites[s].name);
        for (std::size_t s = 0; s < fleet.sites.size(); ++s)
            if (std::find(lost.begin(), lost.end(), s) == lost.end())
                one["use"][fleet.sites[s].name] = out.use[s];
        for (std::size_t c = 0; c < fleet.classes.size(); ++c) {
            double home = 0, crosses = 0, refused = 0;
            std::vector<double> to(fleet.sites.size());
            for (const Spill::Flow& flow : out.flows) {
                const Demand& demand = fleet.demands[flow.demand];
                if (demand.of_class != c) continue;
                if (demand.site == flow.to)
                    home += flow.rate;
                else
                    crosses += flow.rate, to[flow.to] += flow.rate;
            }
            for (std::size_t d = 0; d < fleet.demands.size(); ++d) {
                if (fleet.demands[d].of_class != c) continue;
                refused += out.refused[d];
                if (fleet.classes[c].kept && out.refused[d] > kNothing)
                    checked.broken.push_back("lost " + name + ": " + rate(out.refused[d]) +
                                             "/s of the kept class " + fleet.classes[c].name + " from " +
                                             fleet.sites[fleet.demands[d].site].name + " would be refused");
            }
            json row{{"class", fleet.classes[c].name},
                     {"home", home},
                     {"crosses", crosses},
                     {"refused", refused},
                     {"to", json::object()}};
            std::string where;
            for (std::size_t s = 0; s < to.size(); ++s) {
                if (to[s] <= kNothing) continue;
                row["to"][fleet.sites[s].name] = to[s];
                where += (where.empty() ? "" : ", ") + fleet.sites[s].name + " " + rate(to[s]);
            }
            one["classes"].push_back(row);
            text << std::setw(24) << (c == 0 ? name : "") << std::setw(16) << fleet.classes[c].name
                 << std::setw(10) << rate(home + crosses + refused) << std::setw(10) << rate(home)
                 << std::setw(10) << rate(crosses) << std::setw(11) << rate(refused) << where << '\n';
        }
        text << std::setw(24) << ""
             << "worth served " << std::fixed << std::setprecision(1)
             << 100 * one["worth_served"].get<double>() << " %; use";
        for (const auto& [site, use] : one["use"].items())
            text << ' ' << site << ' ' << std::setprecision(2) << use.get<double>();
        text << '\n';
        checked.json["losses"].push_back(std::move(one));
    }
    text << "a lost site is back after " << std::fixed << std::setprecision(0) << time_of_return(plan) / 1000
         << " s at the earliest, in " << plan.paced.steps.size() << " steps\n";
    checked.json["broken"] = checked.broken;
    checked.text = text.str();
    return checked;
}

}  // namespace cobaltshift::site
