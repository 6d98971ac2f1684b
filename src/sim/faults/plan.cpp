// What happens to planners, to forwarders as their readers, and to the way between them.
#include "sim/faults/common.hpp"
#include "sim/models/forwarder.hpp"
#include "sim/models/planner.hpp"

namespace cobaltshift::sim {

namespace {

// Dies and comes back; amount: what has become of its disk meanwhile (0 as a crash leaves it, 1 lost whole, 2
// a bit of it rotten, 3 full).
const Registered kDown = Registered::fault("planner-down", [](Scene& scene, const Fault& fault) {
    PlannerDesk& desk = one_of<PlannerDesk>(scene, fault, "planner");
    scene.kernel.at(fault.at, [&desk] { desk.stop(); });
    scene.kernel.at(fault.at + fault.length, [&desk, amount = fault.amount] {
        if (desk.core()) return;
        desk.disk().crash();
        if (amount == 1) desk.disk().lose_all();
        if (amount == 2) desk.disk().rot();
        if (amount == 3) desk.disk().fill();
        desk.boot();
    });
});
// Dies and never returns.
const Registered kDead = Registered::fault("planner-dead", [](Scene& scene, const Fault& fault) {
    PlannerDesk& desk = one_of<PlannerDesk>(scene, fault, "planner");
    scene.kernel.at(fault.at, [&desk] { desk.stop(); });
});
const Registered kLying = Registered::fault("lying", [](Scene& scene, const Fault& fault) {
    PlannerDesk& desk = one_of<PlannerDesk>(scene, fault, "planner");
    scene.kernel.at(fault.at, [&desk] { desk.lie(true); });
    scene.kernel.at(fault.at + fault.length, [&desk] { desk.lie(false); });
});
// Its list lags; amount: by so many ms, three changes in ten.
const Registered kLag = Registered::fault("lag", [](Scene& scene, const Fault& fault) {
    PlannerDesk& desk = one_of<PlannerDesk>(scene, fault, "planner");
    scene.kernel.at(fault.at, [&desk, amount = fault.amount] { desk.lag(amount); });
    scene.kernel.at(fault.at + fault.length, [&desk] { desk.lag(0); });
});
const Registered kRestart = Registered::fault("restart", [](Scene& scene, const Fault& fault) {
    Forwarder& forwarder = one_of<Forwarder>(scene, fault, "forwarder");
    scene.kernel.at(fault.at, [&forwarder] { forwarder.restart(); });
});

bool planner(const std::string& name) { return name.starts_with("planner-"); }
bool odd(const std::string& name) { return (name.back() - '0') % 2 != 0; }

// All that goes to and from planners: amount is the part lost; others are doubled, bent, and delayed past
// their life.
const Registered kLossy = Registered::fault("lossy", [](Scene& scene, const Fault& fault) {
    Link link;
    link.delay = {1, 300, 0.1, 8000};
    link.loss = fault.amount, link.doubled = 0.1, link.bent = 0.03;
    impose(
        scene, fault,
        [](const std::string& from, const std::string& to) { return planner(from) || planner(to); }, link);
});
// Planners with an odd number hear only from forwarders with an odd one, the others from the others.
const Registered kSplit = Registered::fault("split", [](Scene& scene, const Fault& fault) {
    Link link;
    link.cut = true;
    impose(
        scene, fault,
        [](const std::string& from, const std::string& to) {
            return (planner(from) || planner(to)) && odd(from) != odd(to);
        },
        link);
});

}  // namespace

}  // namespace cobaltshift::sim
