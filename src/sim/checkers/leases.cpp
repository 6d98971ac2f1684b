// Rule: what one planner has granted of a cold server and may still be in force somewhere, over all
// forwarders and over the planner's own restarts, is never more than its slice of it. Counted by what left
// it, whether it arrives or not: a grant is in force until its life is over.
#include <algorithm>
#include <map>

#include "sim/plan_facts.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::sim {

namespace {

constexpr double kRounding = 1e-5;

class Leases : public Part {
public:
    explicit Leases(Scene& scene) : scene_(scene) {
        scene.bus.on<PlanLeft>(kName, [this](const PlanLeft& left) {
            for (const GrantLeft& grant : left.grants) granted(left, grant);
        });
    }

private:
    static constexpr const char* kName = "leases";
    struct Lease {
        Node forwarder;
        double rate, slice;
        Millis until;
    };
    void granted(const PlanLeft& left, const GrantLeft& grant) {
        const Millis now = scene_.kernel.now();
        auto& leases = leases_[{left.planner, grant.life}];
        std::erase_if(leases, [&](const Lease& l) {
            return l.until <= now || (l.forwarder == left.forwarder && l.rate <= grant.rate);
        });
        leases.push_back({left.forwarder, grant.rate, grant.slice, now + left.life});
        std::map<Node, double>
            most;  // a forwarder holds one plan of a planner: the greatest, as it may be lost
        double slice = 0;
        for (const Lease& l : leases) {
            most[l.forwarder] = std::max(most[l.forwarder], l.rate);
            slice = std::max(slice, l.slice);
        }
        double sum = 0;
        for (const auto& [forwarder, rate] : most) sum += rate;
        if (slice > 0) scene_.at_least("lease peak", sum / slice);
        if (sum > slice * (1 + kRounding))
            scene_.broken(kName,
                          "planner " + std::to_string(left.planner) + " has granted " + std::to_string(sum) +
                              " a second of server " + std::to_string(grant.life.id) + ", its slice is " +
                              std::to_string(slice),
                          "planner " + std::to_string(left.planner));
    }
    Scene& scene_;
    std::map<std::pair<Node, plan::ServerIncarnation>, std::vector<Lease>> leases_;
};

const Registered kChecker = Registered::checker("leases", [](Scene& scene) { scene.add<Leases>(scene); });

}  // namespace

}  // namespace cobaltshift::sim
