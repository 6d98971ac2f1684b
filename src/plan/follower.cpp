#include "plan/follower.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace cobaltshift::plan {

Follower::Follower(std::size_t planners) : plans_(planners), seen_(planners), taken_at_(planners) {}

bool Follower::makes_sense(const Plan& plan) {
    if (!(plan.life > 0 && plan.life <= kLongestLife)) return false;
    if (plan.servers.size() > kMaxServers) return false;
    std::set<Life> met;
    std::size_t removed = 0;
    for (const ServerPlan& s : plan.servers) {
        const auto amount = [](float value) { return value >= 0 && value <= kMostRate; };  // false for NaN
        if (!std::isfinite(s.life.born) || !met.insert(s.life).second) return false;
        if (!(s.share >= 0 && s.share <= 1)) return false;
        if (!amount(s.elsewhere) || !amount(s.cold_rate)) return false;
        removed += s.removed;
    }
    return static_cast<double>(removed) <= kMostRemoved * static_cast<double>(plan.servers.size());
}

Follower::Taken Follower::take(Millis now, Millis asked_at, const Plan& plan) {
    if (plan.planner >= plans_.size() || !makes_sense(plan)) return Taken::nonsense;
    auto& held = plans_[plan.planner];
    PlanId& seen = seen_[plan.planner];
    if (plan.id < seen && now < taken_at_[plan.planner] + kIdentityKept) return Taken::old;
    const Millis until = asked_at + plan.life;
    if (plan.same) {
        if (!held || held->plan.id != plan.id) return Taken::unknown;
        held->until = std::max(held->until, until);
        taken_at_[plan.planner] = now;
        return Taken::renewed;
    }
    // Doubled or overtaken on its way: what is held was asked for later.
    if (held && held->plan.id == plan.id && until <= held->until) return Taken::renewed;
    seen = plan.id;
    taken_at_[plan.planner] = now;
    if (until <= now) {  // too long on its way; the former one is out of date as well
        held.reset();
        return Taken::taken;
    }
    held = Held{plan, until};
    return Taken::taken;
}

bool Follower::holds(std::size_t planner, Millis now) const {
    return plans_.at(planner) && plans_[planner]->until > now;
}

std::optional<Millis> Follower::next_end(Millis now) const {
    std::optional<Millis> first;
    for (const auto& held : plans_)
        if (held && held->until > now && (!first || held->until < *first)) first = held->until;
    return first;
}

kelplb::Guidance Follower::guidance(Millis now) const {
    const std::size_t k = majority();
    std::map<Life, std::vector<const ServerPlan*>> said;
    std::size_t alive = 0;
    for (const auto& held : plans_) {
        if (!held || held->until <= now) continue;
        ++alive;
        for (const ServerPlan& s : held->plan.servers) said[s.life].push_back(&s);
    }
    kelplb::Guidance guidance;
    if (alive < k) return guidance;
    guidance.until = *next_end(now);
    for (const auto& [life, plans] : said) {
        if (plans.size() < k) continue;
        kelplb::ServerGuidance g;
        g.server = life.id;
        g.born = life.born;
        // What at least k of them grant: the k-th largest.
        const auto agreed = [&](auto of) {
            std::vector<double> values;
            for (const ServerPlan* s : plans) values.push_back(of(*s));
            std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(k - 1),
                             values.end(), std::greater<>());
            return values[k - 1];
        };
        const auto count = [&](auto says) {
            return static_cast<std::size_t>(
                std::count_if(plans.begin(), plans.end(), [&](const ServerPlan* s) { return says(*s); }));
        };
        g.removed = count([](const ServerPlan& s) { return s.removed; }) >= k;
        g.preferred = count([](const ServerPlan& s) { return !s.preferred; }) < k;
        g.share = 1 - agreed([](const ServerPlan& s) { return 1.0 - s.share; });
        g.elsewhere = agreed([](const ServerPlan& s) { return s.elsewhere; });
        g.cold_rate = agreed([](const ServerPlan& s) { return s.cold_rate; });
        // Planners that disagree on who tries may each name one: at most as many trials as planners.
        for (std::size_t i = 0; i < plans_.size() && g.removed && g.trial == 0; ++i) {
            if (!plans_[i] || plans_[i]->until <= now) continue;
            for (const ServerPlan& s : plans_[i]->plan.servers)
                if (s.life == life && s.removed && s.trial != 0)
                    g.trial = static_cast<std::uint64_t>(i + 1) << 32 | s.trial;
        }
        guidance.servers.push_back(g);
    }
    return guidance;
}

}  // namespace cobaltshift::plan
