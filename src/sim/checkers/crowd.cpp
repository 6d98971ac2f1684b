// Counts, breaks nothing: what all forwarders together do to one server and to one another in the busiest
// second, and how much of its even part a server gets while it fails. Only where the day sets `peers`.
#include <cmath>
#include <map>

#include "sim/models/archive.hpp"

namespace cobaltshift::sim {

namespace {

class Crowd : public Part {
public:
    explicit Crowd(Scene& scene) : scene_(scene), forwarders_(scene.day.get("forwarders", 12)) {
        if (scene.day.count("peers", 0) == 0) return;
        scene.bus.on<Opened>(kName, [this](const Opened& o) {
            scene_.figure("connects") += 1;
            count(connects_[o.server], "connects peak");
        });
        scene.bus.on<Probed>(kName, [this](const Probed& p) {
            scene_.figure("probes") += 1;
            count(probes_[p.server], "probes peak");
        });
        scene.bus.on<Spoke>(kName, [this](const Spoke& s) {
            const auto datagrams = static_cast<double>(s.datagrams);
            scene_.figure("told bytes") += datagrams * static_cast<double>(s.bytes);
            count(heard_, "datagrams peak", datagrams / forwarders_);
        });
        scene.bus.on<Sent>(kName, [this](const Sent& s) {
            const auto all = scene_.all<Archive>();
            for (const Archive* server : all)
                if (server->failing() > 0) {
                    even_ += 1 / static_cast<double>(all.size());
                    failing_ += server->id() == s.server;
                }
        });
    }
    void over() override {
        if (even_ > 0) scene_.figure("failing peak") = failing_ / even_;
    }

private:
    static constexpr const char* kName = "crowd";
    struct Second {
        double number = -1, count = 0;
    };
    void count(Second& in, const char* figure, double more = 1) {
        const double now = std::floor(scene_.kernel.now() / 1000);
        if (in.number != now) in = {now, 0};
        scene_.at_least(figure, in.count += more);
    }
    Scene& scene_;
    const double forwarders_;
    std::map<kelplb::ServerId, Second> connects_, probes_;
    Second heard_;
    double even_ = 0, failing_ = 0;
};

const Registered kChecker = Registered::checker("crowd", [](Scene& scene) { scene.add<Crowd>(scene); });

}  // namespace

}  // namespace cobaltshift::sim
