// The table of scenarios. Each is a command of cobaltshift-lab under its name.
#include "lab/control_world.hpp"
#include "lab/cost.hpp"
#include "lab/lease_cost.hpp"
#include "lab/lease_world.hpp"
#include "lab/leases.hpp"
#include "lab/planners.hpp"
#include "lab/probing.hpp"
#include "lab/request_world.hpp"
#include "lab/scenario.hpp"
#include "lab/sim_world.hpp"
#include "lab/sites.hpp"
#include "lab/soak.hpp"

namespace cobaltshift::lab {

const std::vector<Scenario>& scenarios() {
    static const std::vector<Scenario> all = {
        {"plan-world", "500 (quick) or 20,000 days of faults in virtual time: no rule is broken", plan_world},
        {"lease-world", "2,000 (quick) or 20,000 days of keepers and holders: no two ever act at once",
         lease_world},
        {"control-world",
         "1,000 (quick) or 20,000 days of the control plane: cuts, races, losses, many changes; linearizable",
         control_world},
        {"request-world",
         "1,000 (quick) or 20,000 days of requests: answers lost, doubled and late, resets, cuts; no rule "
         "broken",
         request_world},
        {"soak",
         "control nodes, proxies and clients that keep their connections, under signals, restarts and "
         "changes in "
         "series: nothing is lost",
         soak},
        {"leases", "keepers and holders as processes, links and machines failing: no two ever act at once",
         leases},
        {"lease-cost", "rights and entries a second, syncs, CPU, time without a leader, on processes",
         lease_cost},
        {"probing",
         "sidecars that share probing, killed, stopped and cut off: no server unprobed for long, none often",
         probing},
        {"sites",
         "who leads the sites of a fleet: halls, leaders, keepers and links failing; states and steps in "
         "order",
         sites},
        {"planners", "real forwarders and planners, these killed and restarted under load", planners},
        {"plan-path", "from a server's first failure to the first request spared, part by part", plan_path},
        {"cost", "what a request costs one forwarder: straight against through, in one run", cost},
        {"cost-instructions", "instructions a request against those recorded (callgrind)", cost_instructions},
        {"planner-cost", "CPU, memory and bytes of one planner before more and more forwarders",
         planner_cost},
    };
    return all;
}

}  // namespace cobaltshift::lab
