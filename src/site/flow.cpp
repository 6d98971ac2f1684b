#include "site/flow.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>

namespace cobaltshift::site {

namespace {
constexpr double kNothing = 1e-9;
constexpr std::size_t kNone = SIZE_MAX;
}  // namespace

Flow::Flow(std::size_t demands, std::size_t sites)
    : open_(demands, std::vector<bool>(sites)),
      flow_(demands, std::vector<double>(sites)),
      room_(sites),
      used_(sites) {}

void Flow::open(std::size_t demand, std::size_t site) { open_[demand][site] = true; }
void Flow::room(std::size_t site, double room) { room_[site] = room; }

double Flow::place_at(std::size_t demand, std::size_t only, double amount) {
    if (!open_[demand][only]) return 0;
    const double fits = std::min(amount, std::max(0.0, room_[only] - used_[only]));
    if (fits <= kNothing) return 0;
    flow_[demand][only] += fits;
    used_[only] += fits;
    return fits;
}

double Flow::place(std::size_t demand, double amount) {
    double placed = 0;
    while (amount - placed > kNothing) {
        const double more = augment(demand, amount - placed);
        if (more <= kNothing) break;
        placed += more;
    }
    return placed;
}

// The shortest way from the demand to a site with room: to a site, from there back along what another demand
// has placed, to another site that this one may go to, and so on (Edmonds and Karp 1972).
double Flow::augment(std::size_t demand, double amount) {
    const std::size_t sites = room_.size();
    std::vector<std::size_t> by_demand(sites, kNone), from_site(sites, kNone);
    std::deque<std::size_t> open;
    for (std::size_t s = 0; s < sites; ++s)
        if (open_[demand][s]) by_demand[s] = demand, open.push_back(s);
    std::size_t end = kNone;
    while (!open.empty() && end == kNone) {
        const std::size_t at = open.front();
        open.pop_front();
        if (room_[at] - used_[at] > kNothing) {
            end = at;
            break;
        }
        for (std::size_t d = 0; d < flow_.size(); ++d) {
            if (flow_[d][at] <= kNothing) continue;
            for (std::size_t s = 0; s < sites; ++s)
                if (open_[d][s] && by_demand[s] == kNone)
                    by_demand[s] = d, from_site[s] = at, open.push_back(s);
        }
    }
    if (end == kNone) return 0;
    double most = std::min(amount, room_[end] - used_[end]);
    for (std::size_t s = end; from_site[s] != kNone; s = from_site[s])
        most = std::min(most, flow_[by_demand[s]][from_site[s]]);
    used_[end] += most;
    for (std::size_t s = end; s != kNone; s = from_site[s]) {
        flow_[by_demand[s]][s] += most;
        if (from_site[s] != kNone) flow_[by_demand[s]][from_site[s]] -= most;
    }
    return most;
}

}  // namespace cobaltshift::site
