// Rule: a planner tells what it has found out. Reports make it remove a server, and a plan that says so is
// made within two of the gaps that planners keep between plans, not at the next look at the whole.
#include <algorithm>
#include <map>

#include "sim/plan_facts.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::sim {

namespace {

constexpr Millis kBound = 100;  // the gap is 50 ms. Stated here again, so that it is held against something

class Prompt : public Part {
public:
    explicit Prompt(Scene& scene) : scene_(scene) {
        scene.bus.on<PlannerKnows>(kName, [this](const PlannerKnows& k) {
            State& one = planners_[k.planner];
            one.known = k.removed;
            // Those that are taken back can wait: they cost work, not requests. Some only leave the list.
            if (std::includes(one.told.begin(), one.told.end(), one.known.begin(), one.known.end()))
                one.since = -1;
            else if (one.since < 0)
                one.since = scene_.kernel.now();
        });
        scene.bus.on<PlanChanged>(kName, [this](const PlanChanged& c) {
            State& one = planners_[c.planner];
            look(c.planner, one);
            one.told = one.known, one.since = -1;
        });
        scene.bus.on<PlannerTurned>(kName, [this](const PlannerTurned& t) { planners_.erase(t.planner); });
    }
    void over() override {
        for (const auto& [planner, one] : planners_) look(planner, one);
    }

private:
    static constexpr const char* kName = "prompt";
    struct State {
        std::vector<plan::ServerIncarnation> known, told;
        Millis since = -1;  // that they differ
    };
    void look(Node planner, const State& one) {
        if (one.since >= 0 && scene_.kernel.now() > one.since + kBound)
            scene_.broken(kName, "planner " + std::to_string(planner) + " told late who is removed",
                          "planner " + std::to_string(planner));
    }
    Scene& scene_;
    std::map<Node, State> planners_;
};

const Registered kChecker = Registered::checker("prompt", [](Scene& scene) { scene.add<Prompt>(scene); });

}  // namespace

}  // namespace cobaltshift::sim
