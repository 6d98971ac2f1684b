// Rules of leases. No two holders have the right to one task at one moment of true time. No fence is anybody
// else's, and none is lower than one given before it for the task. What is acted upon takes acts in the order
// of their fences. At the end of a day whose troubles end early, every task is held again.
#include <map>

#include "sim/models/holder.hpp"

namespace cobaltshift::sim {

namespace {

class Rights : public Part {
public:
    explicit Rights(Scene& scene) : scene_(scene) {
        if (scene.day.count("holders", 0) == 0) return;
        scene.bus.on<RightHeld>(kName, [this](const RightHeld& r) { held(r); });
        scene.bus.on<RightOver>(kName, [this](const RightOver& r) {
            auto& now = now_[r.task];
            const auto at = now.find(r.holder);
            if (at == now.end()) return;
            const bool early = at->second.until > scene_.kernel.now();
            since_[r.task] = std::min(scene_.kernel.now(), at->second.until);
            if (early) scene_.figure("rights given back") += 1;
            now.erase(at);
        });
        scene.bus.on<Acted>(kName, [this](const Acted& a) {
            if (!a.admitted) return;
            lease::Fence& highest = acted_[a.task];
            if (a.fence < highest)
                scene_.broken(kName,
                              a.task + " takes an act under " + std::to_string(a.fence) + " after " +
                                  std::to_string(highest),
                              a.task);
            highest = std::max(highest, a.fence);
        });
    }
    void over() override {
        if (scene_.day.count("holders", 0) == 0 || scene_.day.get("lease.quiet", 0) <= 0) return;
        for (std::size_t n = 0; n < scene_.day.count("tasks", 2); ++n) {
            const std::string task = "task-" + std::to_string(n);
            bool held = false;
            for (const HolderDesk* desk : scene_.all<HolderDesk>()) held = held || desk->holds(task);
            if (!held) scene_.broken(kName, "nobody holds " + task + " at the end", task);
        }
    }

private:
    static constexpr const char* kName = "rights";
    void held(const RightHeld& r) {
        const Millis now = scene_.kernel.now();
        auto& all = now_[r.task];
        for (const auto& [holder, other] : all)
            if (holder != r.holder && other.until > now + 1e-6)
                scene_.broken(kName,
                              holder_name(r.holder) + " and " + holder_name(holder) +
                                  " both have the right to " + r.task + " (" + std::to_string(r.fence) +
                                  ", " + std::to_string(other.fence) + "), the other's for " +
                                  std::to_string(other.until - now) + " ms more",
                              r.task);
        const auto [owner, fresh] = owners_.try_emplace({r.task, r.fence}, r.holder);
        if (!fresh && owner->second != r.holder)
            scene_.broken(kName, "fence " + std::to_string(r.fence) + " of " + r.task + " is given twice",
                          r.task);
        const auto [fenced, first] = tasks_.try_emplace(r.fence, r.task);
        if (!first && fenced->second != r.task)
            scene_.broken(kName, "fence " + std::to_string(r.fence) + " is of two tasks", r.task);
        lease::Fence& highest = highest_[r.task];
        if (r.fence < highest)
            scene_.broken(
                kName,
                r.task + " is held under " + std::to_string(r.fence) + " after " + std::to_string(highest),
                r.task);
        if (r.fence > highest) {
            scene_.figure("rights gained") += 1;
            if (highest > 0) {
                // From the end of the one before to this: how long nobody could act.
                Millis ended = since_.count(r.task) ? since_[r.task] : now;
                for (const auto& [holder, other] : all) ended = std::max(ended, std::min(now, other.until));
                scene_.at_least("longest without a holder", now - ended);
            }
        }
        if (r.fence == highest && !all.count(r.holder) && since_.count(r.task))  // the same one again
            scene_.at_least("longest without a holder", now - since_[r.task]);
        highest = std::max(highest, r.fence);
        all[r.holder] = {r.fence, r.until};
        scene_.kernel.note(r.fence * 31 + r.holder);
    }
    struct Now {
        lease::Fence fence;
        Millis until;
    };
    Scene& scene_;
    std::map<std::string, std::map<Node, Now>> now_;
    std::map<std::string, Millis> since_;
    std::map<std::pair<std::string, lease::Fence>, Node> owners_;
    std::map<lease::Fence, std::string> tasks_;
    std::map<std::string, lease::Fence> highest_, acted_;
};

const Registered kChecker = Registered::checker("rights", [](Scene& scene) { scene.add<Rights>(scene); });

}  // namespace

}  // namespace cobaltshift::sim
