// Holds the newest plan of each planner at a forwarder until it expires, and merges them into guidance for
// the decision module (kelplb::Guidance).
//
// Advice takes effect only if a majority of the *configured* planners gives it in plans that have not
// expired: of P planners, k = P / 2 + 1 must agree, and for amounts the k-th largest value counts, that is,
// what at least k planners grant. A minority of planners that is faulty, malicious, partitioned or stale thus
// has no effect. The sum of grants is bounded as well: let each honest planner grant at most S over all
// forwarders, and let L < k planners grant arbitrary amounts. At least k - L of the k largest grants are
// honest, so the k-th largest of each forwarder's grants sum to at most (P - L) / (k - L) * S over all
// forwarders. With three planners, one of them faulty, that is 2 S; with five, two of them faulty, 3 S.
// kPlannersSlice is sized for 3 S.
#pragma once

#include <optional>

#include "plan/types.hpp"

namespace cobaltshift::plan {

class Follower {
public:
    static constexpr Millis kLongestLife = 30000;  // plans valid for longer are invalid
    // A plan id lower than the newest accepted one is refused until no plan of this planner has been accepted
    // for this time. Everything granted under the higher id has expired by then, and a planner that once sent
    // a far too high id is not locked out forever.
    static constexpr Millis kIdentityKept = 2 * kLongestLife;
    // A plan that removes a larger part of its servers is invalid.
    static constexpr double kMostRemoved = 0.5;
    static constexpr float kMostRate = 1e6F;  // upper bound of `elsewhere` and `cold_rate`

    // `planners`: number of configured planners; those beyond kMaxPlanners are ignored.
    explicit Follower(std::size_t planners);

    enum class ApplyResult {
        accepted,
        renewed,  // the plan held has been extended, or is a duplicate of it
        old,      // its id is lower than the newest accepted one; nothing changed
        unknown,  // extends a plan that is not held: request the full plan; nothing changed
        invalid,  // the plan fails validation; nothing changed
    };
    // Validates a plan and stores it. `asked_at`: when the forwarder sent the request that the plan answers.
    // The plan's validity starts then, so that a delayed plan never stays in force here for longer than its
    // planner assumes.
    ApplyResult apply(Millis now, Millis asked_at, Plan plan);

    // The merged advice of all unexpired plans, valid until the first of them expires. Empty if fewer than a
    // majority of planners have one.
    kelplb::Guidance guidance(Millis now) const;
    // When the next plan expires and guidance() changes because of it; none if no unexpired plan is held.
    std::optional<Millis> next_end(Millis now) const;

    // The newest plan id accepted, by planner; for reports and for requests for a newer plan.
    const std::vector<PlanId>& seen() const { return seen_; }
    // Whether an unexpired plan of this planner is held, so that a plan with `same` can extend it.
    bool holds(std::size_t planner, Millis now) const;
    std::size_t majority() const { return plans_.size() / 2 + 1; }

private:
    struct Held {
        Plan plan;  // servers sorted by incarnation, without duplicates
        Millis until = 0;
    };
    static bool is_valid(const Plan& plan);

    std::vector<std::optional<Held>> plans_;
    std::vector<PlanId> seen_;
    std::vector<Millis> accepted_at_;  // by planner
};

}  // namespace cobaltshift::plan
