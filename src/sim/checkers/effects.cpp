// Rule: no effect happens twice. Unsafe requests go again only if they certainly never ran, keyed ones only
// within the window in which servers drop repeats; a refusal promises that nothing has run.
#include <unordered_map>

#include "sim/facts.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::sim {

namespace {

constexpr Millis kDedup = 3000;  // of the servers, as forwarders are told

class Effects : public Part {
public:
    explicit Effects(Scene& scene) : scene_(scene), runs_(scene.figure("runs")) {
        scene.bus.on<Asked>(kName, [this](const Asked& a) {
            if (a.kind != Kind::safe) effects_[a.request] = {a.kind, 0, 0};
        });
        scene.bus.on<Ran>(kName, [this](const Ran& r) {
            runs_ += 1;
            const auto at = effects_.find(r.request);
            if (at == effects_.end()) return;
            Effect& effect = at->second;
            const Millis now = scene_.kernel.now();
            if (effect.kind == Kind::keyed) {
                if (effect.runs > 0 && now < effect.ran_at + kDedup) return;  // dropped by all servers
                effect.ran_at = now;
            }
            if (++effect.runs > 1)
                scene_.broken(kName, name_of(r.request) + " took effect twice", name_of(r.request));
        });
        scene.bus.on<Answered>(kName, [this](const Answered& a) {
            const auto at = effects_.find(a.request);
            if (at != effects_.end() && a.end == End::refused && at->second.kind == Kind::once &&
                at->second.runs > 0)
                scene_.broken(kName, name_of(a.request) + " is refused and has run", name_of(a.request));
        });
    }

private:
    static constexpr const char* kName = "effects";
    struct Effect {
        Kind kind;
        Millis ran_at;
        int runs;
    };
    Scene& scene_;
    double& runs_;
    std::unordered_map<RequestNo, Effect> effects_;
};

const Registered kChecker = Registered::checker("effects", [](Scene& scene) { scene.add<Effects>(scene); });

}  // namespace

}  // namespace cobaltshift::sim
