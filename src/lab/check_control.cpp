#include "lab/check_control.hpp"

#include <future>

#include "sim_mesh/control_check.hpp"

namespace cobaltshift::lab {

namespace {

using simmesh::ControlCheck;
using simmesh::ControlChecked;
using Safeguard = ControlCheck::Safeguard;

struct Plan {
    Safeguard out;
    unsigned deviations;
    std::uint64_t seed;
};

ControlChecked play(const Plan& plan, bool quick) {
    ControlCheck what;
    what.out = plan.out;
    what.deviations = plan.deviations;
    what.seed = plan.seed;
    if (quick) what.most_states = 4'000'000;
    return simmesh::check(what);
}

}  // namespace

Result check_control(const Run& run) {
    std::vector<Plan> plans = {{Safeguard::majority_for_readings, 1, run.seed},
                               {Safeguard::majority_for_refusals, 1, run.seed},
                               {Safeguard::acknowledged_after_commit, 1, run.seed},
                               {Safeguard::lost_disk_is_another_member, 2, run.seed}};
    const std::uint64_t seeds = run.quick ? 3 : 16;
    for (std::uint64_t s = 0; s < seeds; ++s) plans.push_back({Safeguard::none, 1, run.seed * 100 + s});
    if (!run.quick) plans.push_back({Safeguard::none, 2, run.seed});
    std::vector<std::future<ControlChecked>> running;
    for (const Plan& plan : plans)
        running.push_back(std::async(std::launch::async, [plan, &run] { return play(plan, run.quick); }));
    Result result;
    result.columns(
        {"taken out", "deviations", "seed", "states", "steps", "schedules", "met before", "found"});
    for (std::size_t i = 0; i < plans.size(); ++i) {
        const Plan& plan = plans[i];
        const ControlChecked checked = running[i].get();
        const std::string name = std::string(simmesh::name_of(plan.out)) + ", " +
                                 std::to_string(plan.deviations) + " deviations, seed " +
                                 std::to_string(plan.seed);
        result.row({simmesh::name_of(plan.out), std::to_string(plan.deviations), std::to_string(plan.seed),
                    std::to_string(checked.states), std::to_string(checked.steps),
                    std::to_string(checked.schedules), std::to_string(checked.revisited), checked.broken});
        if (plan.out == Safeguard::none) {
            result.at_most("broken, nothing taken out: " + name, checked.broken.empty() ? 0 : 1, 0);
            if (plan.deviations == 1) result.at_least("all states: " + name, checked.complete, 1);
            if (!checked.complete) result.note(name + ": ended at its bound of states, not all were met");
            for (const auto& [kind, count] : checked.struck)
                result.note(name + ": " + kind + ": " + std::to_string(count));
        } else {
            result.at_least("found, taken out: " + name, checked.broken.empty() ? 0 : 1, 1);
        }
        for (const std::string& line : checked.trace) result.note(name + ": " + line);
    }
    return result;
}

}  // namespace cobaltshift::lab
