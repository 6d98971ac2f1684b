// Rule: all forwarders together keep under a cold server's budget: over any window, what fells it times what
// it can do, with room for chance, since shares are drawn by lot.
#include <deque>
#include <map>
#include <string_view>

#include "sim/models/archive.hpp"

namespace cobaltshift::sim {

namespace {

constexpr double kChance = 1.25;  // over the mean, that a budget leaves to a lot

class ColdBudget : public Part {
public:
    explicit ColdBudget(Scene& scene) : scene_(scene), servers_(scene.day) {
        scene.bus.on<Received>(kName, [this](const Received& r) {
            const Millis now = scene_.kernel.now();
            auto& window = windows_[r.server];
            window.emplace_back(now, r.work);
            while (window.front().first < now - servers_.fall_window) window.pop_front();
            double sum = 0;
            for (const auto& [when, work] : window) sum += work;
            const double budget = servers_.overload_multiple * r.share * static_cast<double>(servers_.slots) *
                                  servers_.fall_window * kChance;
            scene_.at_least("cold peak", sum / budget);
            if (sum > budget)
                scene_.broken(kName,
                              "server " + std::to_string(r.server) + " got more than a cold one's budget",
                              "server " + std::to_string(r.server));
        });
        // What a former life was sent fells nobody.
        scene.bus.on<ServerTurned>(kName, [this](const ServerTurned& t) {
            if (std::string_view(t.how) == "returns cold") windows_.erase(t.server);
        });
    }

private:
    static constexpr const char* kName = "cold budget";
    Scene& scene_;
    const ArchiveSettings servers_;
    std::map<kelplb::ServerId, std::deque<std::pair<Millis, Millis>>> windows_;
};

const Registered kChecker =
    Registered::checker("cold_budget", [](Scene& scene) { scene.add<ColdBudget>(scene); });

}  // namespace

}  // namespace cobaltshift::sim
