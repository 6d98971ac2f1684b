#include "plan/follower.hpp"

#include <algorithm>
#include <array>
#include <functional>

namespace cobaltshift::plan {

Follower::Follower(std::size_t planners)
    : plans_(std::min(planners, kMaxPlanners)), seen_(plans_.size()), accepted_at_(plans_.size()) {}

bool Follower::is_valid(const Plan& plan) {
    if (!(plan.life > 0 && plan.life <= kLongestLife)) return false;
    if (plan.servers.size() > kMaxServers) return false;
    std::size_t removed = 0;
    for (const ServerPlan& s : plan.servers) {
        const auto amount = [](float value) { return value >= 0 && value <= kMostRate; };  // false for NaN
        if (!std::isfinite(s.life.born)) return false;
        if (!(s.share >= 0 && s.share <= 1)) return false;
        if (!amount(s.elsewhere) || !amount(s.cold_rate)) return false;
        removed += s.removed;
    }
    return static_cast<double>(removed) <= kMostRemoved * static_cast<double>(plan.servers.size());
}

Follower::ApplyResult Follower::apply(Millis now, Millis asked_at, Plan plan) {
    if (plan.planner >= plans_.size() || !is_valid(plan)) return ApplyResult::invalid;
    const auto by_life = [](const ServerPlan& a, const ServerPlan& b) { return a.life < b.life; };
    auto& servers = plan.servers;
    if (!std::is_sorted(servers.begin(), servers.end(), by_life))
        std::sort(servers.begin(), servers.end(), by_life);
    const auto duplicate =
        std::adjacent_find(servers.begin(), servers.end(),
                           [](const ServerPlan& a, const ServerPlan& b) { return a.life == b.life; });
    if (duplicate != servers.end()) return ApplyResult::invalid;
    auto& held = plans_[plan.planner];
    PlanId& seen = seen_[plan.planner];
    if (plan.id < seen && now < accepted_at_[plan.planner] + kIdentityKept) return ApplyResult::old;
    const Millis until = asked_at + plan.life;
    if (plan.same) {
        if (!held || held->plan.id != plan.id) return ApplyResult::unknown;
        held->until = std::max(held->until, until);
        accepted_at_[plan.planner] = now;
        return ApplyResult::renewed;
    }
    // Duplicated or reordered on its way: the plan held was requested later and expires no earlier.
    if (held && held->plan.id == plan.id && until <= held->until) return ApplyResult::renewed;
    seen = plan.id;
    accepted_at_[plan.planner] = now;
    if (until <= now) {  // expired on its way; the plan held before is superseded as well
        held.reset();
        return ApplyResult::accepted;
    }
    held = Held{std::move(plan), until};
    return ApplyResult::accepted;
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
    // A k-way merge of the unexpired plans, which are sorted by incarnation. It needs no look-ups and no
    // copies, as it runs for every plan that arrives.
    struct Cursor {
        const ServerPlan *at, *end;
        std::size_t planner;
    };
    std::array<Cursor, kMaxPlanners> live;
    std::size_t count = 0;
    for (std::size_t p = 0; p < plans_.size(); ++p) {
        if (!plans_[p] || plans_[p]->until <= now) continue;
        const auto& servers = plans_[p]->plan.servers;
        live[count++] = {servers.data(), servers.data() + servers.size(), p};
    }
    kelplb::Guidance guidance;
    if (count < k) return guidance;
    guidance.until = *next_end(now);
    for (;;) {
        const ServerIncarnation* life = nullptr;
        for (std::size_t i = 0; i < count; ++i)
            if (live[i].at != live[i].end && (!life || live[i].at->life < *life)) life = &live[i].at->life;
        if (!life) return guidance;
        std::array<const ServerPlan*, kMaxPlanners> advice;
        std::array<std::size_t, kMaxPlanners> planners;
        std::size_t n = 0;
        for (std::size_t i = 0; i < count; ++i) {
            Cursor& c = live[i];
            if (c.at == c.end || c.at->life != *life) continue;
            advice[n] = c.at++;
            planners[n++] = c.planner;
        }
        if (n < k) continue;
        kelplb::ServerGuidance g;
        g.server = advice[0]->life.id;
        g.born = advice[0]->life.born;
        // The k-th largest value, which at least k planners grant.
        const auto agreed = [&](auto of) {
            std::array<double, kMaxPlanners> values;
            for (std::size_t i = 0; i < n; ++i) values[i] = of(*advice[i]);
            std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(k - 1),
                             values.begin() + static_cast<std::ptrdiff_t>(n), std::greater<>());
            return values[k - 1];
        };
        std::size_t removed = 0, spare = 0;
        for (std::size_t i = 0; i < n; ++i) removed += advice[i]->removed, spare += !advice[i]->preferred;
        g.removed = removed >= k;
        g.preferred = spare < k;
        g.share = 1 - agreed([](const ServerPlan& s) { return 1.0 - s.share; });
        g.elsewhere = agreed([](const ServerPlan& s) { return s.elsewhere; });
        g.cold_rate = agreed([](const ServerPlan& s) { return s.cold_rate; });
        // Planners may disagree and each assign the trial to another forwarder, so that there are at most as
        // many trials as planners.
        for (std::size_t i = 0; i < n && g.removed && g.trial == 0; ++i)
            if (advice[i]->removed && advice[i]->trial != 0)
                g.trial = static_cast<std::uint64_t>(planners[i] + 1) << 32 | advice[i]->trial;
        guidance.servers.push_back(g);
    }
}

}  // namespace cobaltshift::plan
