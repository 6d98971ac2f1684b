#include "lab/check_lease.hpp"

#include <cstdio>
#include <future>
#include <thread>

#include "sim/check/lease_check.hpp"

namespace cobaltshift::lab {

namespace {

using check::LeaseCheck;
using check::LeaseChecked;
using Guard = LeaseCheck::Guard;

struct Plan {
    Guard out;
    bool from_start;
    unsigned deviations;
    std::uint64_t seeds;
};

struct Done {
    LeaseChecked sum;
    std::uint64_t seeds = 0, found_with = 0;
};

// Seed by seed, until one breaks a rule.
Done play(const Plan& plan, std::uint64_t first_seed) {
    Done done;
    for (std::uint64_t s = 0; s < plan.seeds; ++s) {
        LeaseCheck what;
        what.out = plan.out;
        what.from_start = plan.from_start;
        what.deviations = plan.deviations;
        what.seed = first_seed * 100 + s;
        LeaseChecked one = check::check(what);
        ++done.seeds;
        std::fprintf(stderr, "%s%s, %u deviations, seed %llu: %llu states, %s\n", check::name_of(plan.out),
                     plan.from_start ? ", from the start" : "", plan.deviations,
                     static_cast<unsigned long long>(what.seed), static_cast<unsigned long long>(one.states),
                     one.broken.empty() ? "nothing broken" : one.broken.c_str());
        done.sum.states += one.states, done.sum.steps += one.steps, done.sum.schedules += one.schedules;
        done.sum.revisited += one.revisited, done.sum.stale_refused += one.stale_refused;
        done.sum.whole = done.sum.whole && one.whole;
        for (const auto& [kind, count] : one.struck) done.sum.struck[kind] += count;
        if (one.broken.empty()) continue;
        done.found_with = what.seed;
        done.sum.broken = one.broken;
        done.sum.trace = one.trace;
        break;
    }
    return done;
}

}  // namespace

Result check_lease(const Run& run) {
    const std::uint64_t few = run.quick ? 2 : 8;
    std::vector<Plan> plans = {
        {Guard::none, false, 1, few},   {Guard::none, true, 2, 1},
        {Guard::no_drift, false, 1, 8}, {Guard::no_wait_of_a_new_leader, false, 1, 16},
        {Guard::no_gate, false, 1, 8},
    };
    if (!run.quick) {
        plans.push_back({Guard::none, false, 2, 1});
        plans.push_back({Guard::right_from_answer, false, 2, 1});
        plans.push_back({Guard::vote_not_written, true, 3, 1});
    }
    std::vector<std::future<Done>> running;
    for (const Plan& plan : plans)
        running.push_back(std::async(std::launch::async, [&plan, &run] { return play(plan, run.seed); }));
    Result result;
    result.columns(
        {"guard out", "from", "deviations", "seeds", "states", "steps", "schedules", "met before", "found"});
    for (std::size_t i = 0; i < plans.size(); ++i) {
        const Plan& plan = plans[i];
        const Done done = running[i].get();
        const std::string name = check::name_of(plan.out);
        result.row({name, plan.from_start ? "the start" : "a held right", std::to_string(plan.deviations),
                    std::to_string(done.seeds), std::to_string(done.sum.states),
                    std::to_string(done.sum.steps), std::to_string(done.sum.schedules),
                    std::to_string(done.sum.revisited), done.sum.broken});
        const std::string where = name + (plan.from_start ? ", from the start" : "");
        if (plan.out == Guard::none) {
            result.at_most("broken rules, guard out: " + where, done.sum.broken.empty() ? 0 : 1, 0);
            result.at_least("all states within the bound: " + where, done.sum.whole, 1);
            if (!plan.from_start)
                result.at_least("stale acts refused by the gate", static_cast<double>(done.sum.stale_refused),
                                1);
            for (const auto& [kind, count] : done.sum.struck)
                result.note(where + ": " + kind + ": " + std::to_string(count));
        } else {
            result.at_least("found, guard out: " + where, done.sum.broken.empty() ? 0 : 1, 1);
        }
        if (done.sum.broken.empty()) continue;
        result.note("trace, guard out: " + where + ", seed " + std::to_string(done.found_with));
        for (const std::string& line : done.sum.trace) result.note("  " + line);
    }
    return result;
}

}  // namespace cobaltshift::lab
