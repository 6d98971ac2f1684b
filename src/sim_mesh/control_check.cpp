#include "sim_mesh/control_check.hpp"

#include <unordered_map>

#include "sim_mesh/control_schedule.hpp"

namespace cobaltshift::simmesh {

using Safeguard = ControlCheck::Safeguard;

const char* name_of(Safeguard safeguard) {
    switch (safeguard) {
        case Safeguard::none:
            return "none";
        case Safeguard::majority_for_readings:
            return "a majority's word for readings";
        case Safeguard::majority_for_refusals:
            return "a majority's word for refusals";
        case Safeguard::acknowledged_after_commit:
            return "the commit before the acknowledgement";
        case Safeguard::lost_disk_is_another_member:
            return "a lost disk is another member";
    }
    return "?";
}

ControlChecked check(const ControlCheck& what) {
    ControlChecked checked;
    std::unordered_map<std::uint64_t, unsigned> seen;  // state -> deviations that were left, and one
    std::vector<Schedule> open;
    open.emplace_back(what);
    while (!open.empty()) {
        Schedule schedule = std::move(open.back());
        open.pop_back();
        ++checked.schedules;
        while (!schedule.over()) {
            unsigned& left = seen[schedule.state()];
            if (left > schedule.left()) {
                ++checked.revisited;
                break;
            }
            if (left == 0) ++checked.states;
            left = schedule.left() + 1;
            schedule.deviate([&](Schedule&& other, const char* kind) {
                ++checked.struck[kind];
                open.push_back(std::move(other));
            });
            schedule.step();
            ++checked.steps;
        }
        if (!schedule.broken().empty()) {
            checked.broken = schedule.broken();
            checked.trace = schedule.trace();
            return checked;
        }
        if (checked.states >= what.most_states) {
            checked.complete = false;
            return checked;
        }
    }
    return checked;
}

}  // namespace cobaltshift::simmesh
