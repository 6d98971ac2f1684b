// Rule: every accepted request gets exactly one final answer, before its deadline, and nothing after it.
#include <vector>

#include "sim/facts.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::sim {

namespace {

class Answers : public Part {
public:
    explicit Answers(Scene& scene) : scene_(scene) {
        scene.bus.on<Asked>(kName, [this](const Asked& a) {
            if (open_.size() <= a.request) open_.resize(a.request + 1);
            open_[a.request] = {a.deadline, true};
        });
        scene.bus.on<Answered>(kName, [this](const Answered& a) {
            State& one = open_.at(a.request);
            if (!one.open)
                scene_.broken(kName, name_of(a.request) + " has a second final answer", name_of(a.request));
            if (scene_.kernel.now() > one.deadline + 1e-6)
                scene_.broken(kName, name_of(a.request) + " is answered after its deadline",
                              name_of(a.request));
            one.open = false;
            scene_.kernel.note(a.request * 4 + static_cast<std::uint64_t>(a.end));
        });
        scene.bus.on<Sent>(kName, [this](const Sent& s) {
            if (!open_.at(s.request).open)
                scene_.broken(kName, name_of(s.request) + " is sent after its answer", name_of(s.request));
        });
        scene.bus.on<Dropped>(kName, [this](const Dropped& d) { open_.at(d.request).open = false; });
    }
    void over() override {
        for (RequestNo n = 0; n < open_.size(); ++n)
            if (open_[n].open) scene_.broken(kName, name_of(n) + " has no answer", name_of(n));
    }

private:
    static constexpr const char* kName = "final answer";
    struct State {
        Millis deadline = 0;
        bool open = false;
    };
    Scene& scene_;
    std::vector<State> open_;
};

const Registered kChecker = Registered::checker("answers", [](Scene& scene) { scene.add<Answers>(scene); });

}  // namespace

}  // namespace cobaltshift::sim
