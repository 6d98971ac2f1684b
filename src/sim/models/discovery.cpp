#include "sim/models/discovery.hpp"

#include "sim/models/archive.hpp"

namespace cobaltshift::sim {

Discovery::Discovery(Scene& scene) : scene_(scene), lots_(scene.kernel.stream("discovery")) {}

void Discovery::start() {
    for (const Archive* server : scene_.all<Archive>()) list_[server->id()] = server->info();
}

std::vector<kelplb::ServerInfo> Discovery::list() const {
    std::vector<kelplb::ServerInfo> all;
    for (const auto& [id, info] : list_)
        if (info.phase != kelplb::Phase::off) all.push_back(info);
    return all;
}

void Discovery::subscribe(Hear hear, std::function<Millis()> lag) {
    readers_.push_back({std::move(hear), std::move(lag)});
}

void Discovery::say(const kelplb::ServerInfo& info) {
    list_[info.id] = info;
    for (std::size_t i = 0; i < readers_.size(); ++i) {
        const Millis lag = readers_[i].lag ? readers_[i].lag() : 0;
        scene_.kernel.after(20 + 300 * lots_.unit() + lag, [this, i, info] { readers_[i].hear(info); });
    }
}

namespace {
const Registered kModel = Registered::model("discovery", [](Scene& scene) { scene.add<Discovery>(scene); });
}  // namespace

}  // namespace cobaltshift::sim
