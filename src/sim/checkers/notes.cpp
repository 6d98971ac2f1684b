// Rule of notes: a number that each holder of a task raises by one over what it found is never left twice,
// and what a keeper has said is left is there at the end. So no note is lost, none comes back, and none is
// left by whose right was over.
#include <map>

#include "sim/models/holder.hpp"

namespace cobaltshift::sim {

namespace {

class Notes : public Part {
public:
    explicit Notes(Scene& scene) : scene_(scene) {
        if (scene.day.get("notes", 0) <= 0) return;
        scene.bus.on<Noted>(kName, [this](const Noted& n) {
            scene_.figure("notes left") += 1;
            // Told late, a lower one may come after a higher: but never the same one twice.
            const auto [at, fresh] = left_[n.task].try_emplace(n.value, n.fence);
            if (!fresh)
                scene_.broken(kName, n.text() + ", as was left under " + std::to_string(at->second), n.task);
        });
    }
    void over() override {
        for (const auto& [task, values] : left_) {
            const std::uint64_t highest = values.rbegin()->first;
            // By the keeper that has applied most.
            const lease::LeaseServer* best = nullptr;
            for (const KeeperDesk* desk : scene_.all<KeeperDesk>())
                if (desk->office() && (!best || desk->office()->applied() > best->applied()))
                    best = desk->office();
            const std::string left = best ? best->book().note(task) : "";
            if (best && (left.empty() || std::stoull(left) < highest))
                scene_.broken(
                    kName,
                    "'" + left + "' is left for " + task + " at the end, not " + std::to_string(highest),
                    task);
        }
    }

private:
    static constexpr const char* kName = "notes";
    Scene& scene_;
    std::map<std::string, std::map<std::uint64_t, lease::Fence>> left_;
};

const Registered kChecker = Registered::checker("notes", [](Scene& scene) { scene.add<Notes>(scene); });

}  // namespace

}  // namespace cobaltshift::sim
