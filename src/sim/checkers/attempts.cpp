// Rule: never two attempts of a request out at once, and at most four of them.
#include <vector>

#include "sim/facts.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::sim {

namespace {

class Attempts : public Part {
public:
    explicit Attempts(Scene& scene) : scene_(scene), all_(scene.figure("attempts")) {
        scene.bus.on<Sent>(kName, [this](const Sent& s) {
            if (known_.size() <= s.request) known_.resize(s.request + 1);
            State& one = known_[s.request];
            all_ += 1;
            if (++one.made > 4)
                scene_.broken(kName, name_of(s.request) + " has more than four attempts", name_of(s.request));
            if (++one.out > 1)
                scene_.broken(kName, name_of(s.request) + " has two attempts out at once",
                              name_of(s.request));
        });
        scene.bus.on<AttemptOver>(kName, [this](const AttemptOver& a) { --known_.at(a.request).out; });
    }

private:
    static constexpr const char* kName = "attempts";
    struct State {
        int made = 0, out = 0;
    };
    Scene& scene_;
    double& all_;
    std::vector<State> known_;
};

const Registered kChecker = Registered::checker("attempts", [](Scene& scene) { scene.add<Attempts>(scene); });

}  // namespace

}  // namespace cobaltshift::sim
