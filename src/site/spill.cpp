#include "site/spill.hpp"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>

#include "site/flow.hpp"

namespace cobaltshift::site {

namespace {

constexpr double kNothing = 1e-6;
constexpr int kHalvings = 40;

// The lowest levels of use, site by site, at which all that crosses still fits: all open sites rise together;
// one that can't be left any lower stays where it is, and the others go on.
class Levels {
public:
    Levels(const Fleet& fleet, const std::vector<bool>& lost, const std::vector<double>& at_home,
           const std::vector<double>& crossing)
        : fleet_(fleet),
          lost_(lost),
          at_home_(at_home),
          crossing_(crossing),
          level_(fleet.sites.size(), -1) {}

    // The flow of what crosses, by part's demand and site.
    Flow spread() {
        std::vector<bool> fixed = lost_;
        for (std::size_t left = 0; left < level_.size(); ++left) {
            if (std::all_of(fixed.begin(), fixed.end(), [](bool f) { return f; })) break;
            double low = 0, high = fleet_.bound;
            for (int i = 0; i < kHalvings; ++i) {
                const double middle = (low + high) / 2;
                (fits(fixed, middle) ? high : low) = middle;
            }
            // At this level; who could be lower while the others have it is not what holds them there.
            std::size_t held = 0;
            std::vector<std::size_t> open;
            for (std::size_t s = 0; s < level_.size(); ++s)
                if (!fixed[s]) open.push_back(s);
            for (const std::size_t s : open) {
                std::vector<bool> but = fixed;
                std::vector<double> levels = level_;
                but[s] = true;
                level_[s] = std::max(0.0, high - 1e-4);
                const bool lower = fits(but, high);
                level_ = levels;
                if (lower) continue;
                ++held;
                fixed[s] = true;
                level_[s] = high;
            }
            if (held > 0) continue;
            for (const std::size_t s : open) fixed[s] = true, level_[s] = high;
        }
        return placed(std::vector<bool>(level_.size(), true), 0);
    }

private:
    Flow placed(const std::vector<bool>& fixed, double level) const {
        Flow flow(crossing_.size(), level_.size());
        for (std::size_t s = 0; s < level_.size(); ++s) {
            if (lost_[s]) continue;
            const double to = fixed[s] ? level_[s] : level;
            flow.room(s, std::max(0.0, to * fleet_.sites[s].capacity - at_home_[s]));
        }
        for (std::size_t d = 0; d < crossing_.size(); ++d) {
            const Demand& demand = fleet_.demands[d];
            for (std::size_t s = 0; s < level_.size(); ++s)
                if (!lost_[s] && s != demand.site && fleet_.bears(demand.of_class, demand.site, s))
                    flow.open(d, s);
        }
        for (std::size_t d = 0; d < crossing_.size(); ++d) flow.place(d, crossing_[d]);
        return flow;
    }
    bool fits(const std::vector<bool>& fixed, double level) const {
        const Flow flow = placed(fixed, level);
        for (std::size_t d = 0; d < crossing_.size(); ++d) {
            double sum = 0;
            for (std::size_t s = 0; s < level_.size(); ++s) sum += flow.placed(d, s);
            if (sum < crossing_[d] - kNothing * std::max(1.0, crossing_[d])) return false;
        }
        return true;
    }

    const Fleet& fleet_;
    const std::vector<bool>& lost_;
    const std::vector<double>&at_home_, &crossing_;  // work, by site; by demand
    std::vector<double> level_;
};

}  // namespace

bool Fleet::bears(std::size_t of_class, std::size_t from, std::size_t to) const {
    const Class& c = classes[of_class];
    return from == to || c.answer + round_trip[from][to] <= c.aim;
}

std::vector<Part> ranked(const Fleet& fleet) {
    const auto value = [&](const Part& part) {
        const Class& c = fleet.classes[fleet.demands[part.demand].of_class];
        return c.worth / std::max(1e-9, c.work);
    };
    std::vector<Part> parts;
    for (std::size_t d = 0; d < fleet.demands.size(); ++d)
        if (fleet.demands[d].rate > 0)
            parts.push_back(
                {d, fleet.demands[d].rate,
                 fleet.classes[fleet.demands[d].of_class].kept ? Part::Rank::kept : Part::Rank::other});
    const auto before = [&](const Part& a, const Part& b) {
        const Class &x = fleet.classes[fleet.demands[a.demand].of_class],
                    &y = fleet.classes[fleet.demands[b.demand].of_class];
        // Of equal worth the one that waits less usefully goes first: it has the shorter aim, and a repeat of
        // what may not simply be repeated is dearer to its client.
        return std::tuple(a.rank, -value(a), x.effect == Effect::repeatable, x.aim, a.demand) <
               std::tuple(b.rank, -value(b), y.effect == Effect::repeatable, y.aim, b.demand);
    };
    std::sort(parts.begin(), parts.end(), before);
    // What tenants are guaranteed: of their best demands first, in equal parts of those that are alike.
    std::vector<Part> all;
    std::vector<double> left;
    for (const Tenant& tenant : fleet.tenants) left.push_back(tenant.guaranteed);
    for (std::size_t i = 0; i < parts.size();) {
        std::size_t end = i;
        while (end < parts.size() &&
               fleet.demands[parts[end].demand].of_class == fleet.demands[parts[i].demand].of_class)
            ++end;
        std::vector<double> asked(left.size());
        for (std::size_t p = i; p < end; ++p)
            if (const std::size_t t = fleet.demands[parts[p].demand].tenant; t < left.size())
                asked[t] += parts[p].rate;
        std::vector<double> part(left.size());
        for (std::size_t t = 0; t < left.size(); ++t) {
            part[t] = asked[t] > 0 ? std::min(1.0, left[t] / asked[t]) : 0;
            // A kept class is served for itself: it uses up the guarantee, and is none.
            left[t] = std::max(0.0, left[t] - asked[t]);
        }
        for (; i < end; ++i) {
            const std::size_t t = fleet.demands[parts[i].demand].tenant;
            const double within =
                parts[i].rank == Part::Rank::kept || t >= left.size() ? 0 : parts[i].rate * part[t];
            if (within > 0) all.push_back({parts[i].demand, within, Part::Rank::guaranteed});
            if (parts[i].rate - within > 0)
                all.push_back({parts[i].demand, parts[i].rate - within, parts[i].rank});
        }
    }
    std::stable_sort(all.begin(), all.end(), [](const Part& a, const Part& b) { return a.rank < b.rank; });
    return all;
}

Spill spill(const Fleet& fleet, const std::vector<std::size_t>& lost_sites) {
    const std::size_t sites = fleet.sites.size(), demands = fleet.demands.size();
    std::vector<bool> lost(sites);
    for (const std::size_t s : lost_sites) lost[s] = true;
    Flow flow(demands, sites);
    for (std::size_t s = 0; s < sites; ++s)
        if (!lost[s]) flow.room(s, fleet.bound * fleet.sites[s].capacity);
    const auto work = [&](std::size_t d) { return fleet.classes[fleet.demands[d].of_class].work; };
    for (std::size_t d = 0; d < demands; ++d)
        for (std::size_t s = 0; s < sites; ++s)
            if (!lost[s] && fleet.bears(fleet.demands[d].of_class, fleet.demands[d].site, s)) flow.open(d, s);
    Spill out;
    out.refused.resize(demands);
    const auto comes = [&](const Part& part) {
        const std::size_t home = fleet.demands[part.demand].site;
        return part.rate * (lost[home] ? fleet.sites[home].follows : 1);
    };
    // All that is of one class and one rank together, at home first, so that none of it drives another of the
    // same away from where that belongs.
    const std::vector<Part> parts = ranked(fleet);
    const auto alike = [&](const Part& a, const Part& b) {
        return a.rank == b.rank && fleet.demands[a.demand].of_class == fleet.demands[b.demand].of_class;
    };
    for (std::size_t i = 0; i < parts.size();) {
        std::size_t end = i;
        while (end < parts.size() && alike(parts[i], parts[end])) ++end;
        std::vector<double> left;
        for (std::size_t p = i; p < end; ++p) {
            const std::size_t d = parts[p].demand, home = fleet.demands[d].site;
            const double asked = comes(parts[p]) * work(d);
            out.worth_asked += comes(parts[p]) * fleet.classes[fleet.demands[d].of_class].worth;
            left.push_back(asked - (lost[home] ? 0 : flow.place_at(d, home, asked)));
        }
        // In small parts by turns: what finds no room is then refused in equal parts of all that are alike.
        constexpr int kTurns = 64;
        for (int turn = kTurns; turn > 0; --turn)
            for (std::size_t p = i; p < end; ++p) {
                double& rest = left[p - i];
                if (rest > kNothing) rest -= flow.place(parts[p].demand, rest / turn);
            }
        for (std::size_t p = i; p < end; ++p)
            if (left[p - i] > kNothing) out.refused[parts[p].demand] += left[p - i] / work(parts[p].demand);
        i = end;
    }
    std::vector<double> at_home(sites), crossing(demands);
    for (std::size_t d = 0; d < demands; ++d)
        for (std::size_t s = 0; s < sites; ++s) {
            const double placed = flow.placed(d, s);
            (s == fleet.demands[d].site ? at_home[s] : crossing[d]) += placed;
        }
    const Flow spread = Levels(fleet, lost, at_home, crossing).spread();
    out.use.resize(sites);
    for (std::size_t d = 0; d < demands; ++d) {
        double sum = 0;
        for (std::size_t s = 0; s < sites; ++s) {
            const bool home = s == fleet.demands[d].site;
            const double placed = home ? flow.placed(d, s) : spread.placed(d, s);
            if (placed <= kNothing) continue;
            out.flows.push_back({d, s, placed / work(d)});
            if (fleet.sites[s].capacity > 0) out.use[s] += placed / fleet.sites[s].capacity;
            sum += placed / work(d);
        }
        out.worth_served += sum * fleet.classes[fleet.demands[d].of_class].worth;
    }
    return out;
}

std::vector<std::vector<std::size_t>> losses(const Fleet& fleet, std::size_t most) {
    std::vector<std::vector<std::size_t>> all;
    const std::size_t sites = fleet.sites.size();
    for (std::size_t a = 0; a < sites && most >= 1 && sites > 1; ++a) all.push_back({a});
    for (std::size_t a = 0; a < sites && most >= 2 && sites > 2; ++a)
        for (std::size_t b = a + 1; b < sites; ++b) all.push_back({a, b});
    return all;
}

}  // namespace cobaltshift::site
