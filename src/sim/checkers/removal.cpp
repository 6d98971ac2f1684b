// Counts, breaks nothing: from the start of a server's errors until every forwarder leaves it alone, by its
// own window or on the fleet's word. Those that some never left count with the whole time of the errors.
#include <algorithm>
#include <map>
#include <set>

#include "sim/models/archive.hpp"
#include "sim/models/forwarder.hpp"

namespace cobaltshift::sim {

namespace {

constexpr Millis kLook = 100;

class Removal : public Part {
public:
    explicit Removal(Scene& scene) : scene_(scene) {}
    void start() override { look(); }

private:
    void look() {
        const Millis now = scene_.kernel.now();
        std::vector<const Archive*> failing;
        for (const Archive* server : scene_.all<Archive>()) {
            const auto known = since_.find(server->id());
            if (server->failing() > 0 && known == since_.end())
                since_[server->id()] = {now, false};
            else if (server->failing() <= 0 && known != since_.end()) {
                if (!known->second.second) count(now - known->second.first, true);
                since_.erase(known);
            }
            if (server->failing() > 0 && !since_[server->id()].second) failing.push_back(server);
        }
        if (!failing.empty()) {
            std::map<kelplb::ServerId, std::size_t> know;
            std::size_t forwarders = 0;
            for (const Forwarder* f : scene_.all<Forwarder>()) {
                ++forwarders;
                std::set<kelplb::ServerId> out;
                for (const auto& g : f->follower().guidance(now).servers)
                    if (g.removed) out.insert(g.server);
                for (const kelplb::ServerId id : f->balancer().removed()) out.insert(id);
                for (const kelplb::ServerId id : out) ++know[id];
            }
            for (const Archive* server : failing)
                if (know[server->id()] == forwarders) {
                    since_[server->id()].second = true;
                    count(now - since_[server->id()].first, false);
                }
        }
        if (now < scene_.day.length) scene_.kernel.after(kLook, [this] { look(); });
    }
    void count(Millis took, bool never) {
        scene_.figure("removal ms") += took;
        scene_.figure("removals") += 1;
        scene_.figure("never removed") += never;
    }
    Scene& scene_;
    std::map<kelplb::ServerId, std::pair<Millis, bool>> since_;  // and whether it is counted
};

const Registered kChecker = Registered::checker("removal", [](Scene& scene) { scene.add<Removal>(scene); });

}  // namespace

}  // namespace cobaltshift::sim
