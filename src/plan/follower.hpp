// A forwarder's plans: takes them by identity, lets them end with their life, and makes guidance of those of
// several planners.
//
// Nothing in a plan counts unless a majority of the *configured* planners say it, each in a plan still alive:
// of P planners, k = P / 2 + 1 must agree, and of amounts the k-th largest counts (what at least k grant). So
// a minority that lies, is cut off, old or out of its mind changes nothing. The sum of grants stays bounded
// as well: if each honest planner hands out at most S over all forwarders and L < k planners hand out
// anything at all, the k-th largest of each forwarder's grants sums to at most (P - L) / (k - L) * S, since
// at least k - L of the k largest are honest. Three planners, one of them lying: 2 S; five, two lying: 3 S.
// kPlannersSlice is chosen for 3 S.
#pragma once

#include <optional>

#include "plan/types.hpp"

namespace cobaltshift::plan {

class Follower {
public:
    static constexpr Millis kLongestLife = 30000;
    // An identity that fell is taken again after so long without a plan taken: all that was granted under the
    // higher one is over, and a planner whose identity once ran away must not be shut out for good.
    static constexpr Millis kIdentityKept = 2 * kLongestLife;
    static constexpr double kMostRemoved = 0.5;  // a plan that removes more of its servers is nonsense
    static constexpr float kMostRate = 1e6F;

    explicit Follower(std::size_t planners);  // kMaxPlanners at the most count

    enum class Taken {
        taken,
        renewed,   // the plan held, its life extended
        old,       // of a lower identity than one held already
        unknown,   // renews one that is not held: ask for it whole
        nonsense,  // no plan that could be meant; nothing changed
    };
    // `asked_at`: when the forwarder sent the request that this answers. A plan lives from then, so that a
    // delayed one is no longer alive here than its planner counts on.
    Taken take(Millis now, Millis asked_at, Plan plan);

    // What the plans alive now say together; until the first of them ends. Empty without a majority.
    kelplb::Guidance guidance(Millis now) const;
    // When guidance() changes by itself; none: not before the next take().
    std::optional<Millis> next_end(Millis now) const;

    // Newest identity ever taken, by planner; for reports, and for asking for what is newer.
    const std::vector<PlanId>& seen() const { return seen_; }
    // Whether this planner's plan is held and alive, so that a renewal of it would be understood.
    bool holds(std::size_t planner, Millis now) const;
    std::size_t majority() const { return plans_.size() / 2 + 1; }

private:
    struct Held {
        Plan plan;  // its servers by life, each once
        Millis until = 0;
    };
    static bool makes_sense(const Plan& plan);

    std::vector<std::optional<Held>> plans_;
    std::vector<PlanId> seen_;
    std::vector<Millis> taken_at_;
};

}  // namespace cobaltshift::plan
