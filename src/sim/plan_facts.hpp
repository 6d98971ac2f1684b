// What models tell the bus of planners and the way to them.
#pragma once

#include "plan/types.hpp"
#include "sim/facts.hpp"

namespace cobaltshift::sim {

inline std::string name_of(plan::PlanId id) {
    return std::to_string(id.epoch) + "." + std::to_string(id.sequence);
}

struct PlannerTurned {
    Node planner;
    bool up;
    plan::PlanId id;
    std::string text() const {
        return "planner " + std::to_string(planner) + (up ? " starts from " + name_of(id) : " dies");
    }
};
struct PlanChanged {
    Node planner;
    plan::PlanId id;
    std::string text() const { return "planner " + std::to_string(planner) + " has plan " + name_of(id); }
};
struct PlannerKnows {
    Node planner;
    std::vector<plan::ServerIncarnation> removed;
    std::string text() const {
        std::string text = "planner " + std::to_string(planner) + " removes";
        for (const plan::ServerIncarnation& life : removed) text += " server " + std::to_string(life.id);
        return removed.empty() ? text + " none" : text;
    }
};
struct PlanAsked {
    Node forwarder, planner;
    std::uint64_t question;
    std::string text() const {
        return "forwarder " + std::to_string(forwarder) + " asks planner " + std::to_string(planner) +
               ", question " + std::to_string(question);
    }
};
struct GrantLeft {
    plan::ServerIncarnation life;  // of the cold server
    double rate, slice;            // attempts a second; the planner's slice for this life
};
struct PlanLeft {  // the planner
    Node forwarder, planner;
    std::uint64_t question;
    plan::PlanId id;
    std::vector<GrantLeft> grants = {};  // as the planner meant them, before any lie
    Millis life = 0;                     // of the plan, from now at the most
    std::string text() const {
        return "planner " + std::to_string(planner) + " answers question " + std::to_string(question) +
               " with " + name_of(id) + " to forwarder " + std::to_string(forwarder);
    }
};
struct PlanCame {  // to the forwarder
    Node forwarder, planner;
    std::uint64_t question;
    bool newest;  // of that planner's questions
    bool taken;
    bool had, has;          // a live plan of this planner, before and after
    plan::PlanId before;    // seen
    plan::PlanId seen;      // afterwards
    bool nonsense = false;  // read, and no plan that could be meant
    std::string text() const {
        return "forwarder " + std::to_string(forwarder) + (taken ? " takes" : " refuses") +
               " the answer to question " + std::to_string(question) + " of planner " +
               std::to_string(planner) + ", has " + name_of(seen);
    }
};

}  // namespace cobaltshift::sim
