// Counts, breaks nothing: the course of the day for whoever draws it: how long each answer took, and what was
// asked and became of it in each half second.
#include "sim/facts.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::sim {

namespace {

class Watch : public Part {
public:
    explicit Watch(Scene& scene) : scene_(scene) {
        scene.bus.on<Asked>("course", [this](const Asked& a) {
            if (asked_at_.size() <= a.request) asked_at_.resize(a.request + 1);
            asked_at_[a.request] = scene_.kernel.now();
        });
        scene.bus.on<Answered>("course", [this](const Answered& a) {
            Course& course = scene_.course();
            const Millis at = asked_at_.at(a.request);
            const auto slot = static_cast<std::size_t>(at / Course::kSlot);
            if (course.slots.size() <= slot) course.slots.resize(slot + 1);
            ++course.slots[slot][static_cast<std::size_t>(a.end)];
            if (a.end == End::in_time || a.end == End::late)
                course.times.push_back(static_cast<float>(scene_.kernel.now() - at));
        });
    }

private:
    Scene& scene_;
    std::vector<Millis> asked_at_;
};

const Registered kChecker = Registered::checker("course", [](Scene& scene) {
    if (scene.day.get("course", 0) > 0) scene.add<Watch>(scene);
});

}  // namespace

}  // namespace cobaltshift::sim
