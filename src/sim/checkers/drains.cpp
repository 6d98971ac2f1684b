// Rule: nothing new goes to a server that this forwarder has been told drains or is gone.
#include <map>
#include <set>

#include "sim/facts.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::sim {

namespace {

class Drains : public Part {
public:
    explicit Drains(Scene& scene) : scene_(scene) {
        scene.bus.on<Told>(kName, [this](const Told& t) {
            auto& open = open_[t.forwarder];
            if (t.whole) open.clear();
            for (const auto& s : t.servers) {
                if (s.phase == kelplb::Phase::on)
                    open.insert(s.id);
                else
                    open.erase(s.id);
            }
        });
        scene.bus.on<Sent>(kName, [this](const Sent& s) {
            if (!open_[s.forwarder].count(s.server))
                scene_.broken(kName,
                              "forwarder " + std::to_string(s.forwarder) + " sends to server " +
                                  std::to_string(s.server) + ", told as draining or gone",
                              name_of(s.request));
        });
    }

private:
    static constexpr const char* kName = "drains";
    Scene& scene_;
    std::map<Node, std::set<kelplb::ServerId>> open_;
};

const Registered kChecker = Registered::checker("drains", [](Scene& scene) { scene.add<Drains>(scene); });

}  // namespace

}  // namespace cobaltshift::sim
