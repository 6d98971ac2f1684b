#include "routing/server_directory.hpp"

#include <algorithm>

#include "admission/module_settings.hpp"

namespace cobaltshift::routing {

namespace {
constexpr Millis kAvoidFor = 700;
}

void ServerDirectory::avoid(Millis now, const std::string& life) { avoided_[life] = now + kAvoidFor; }

// As of when this life was first heard: the module takes another start for another process.
Millis ServerDirectory::born(Millis now, const registry::ServerRecord& server) const {
    if (const auto known = born_.find(server.life); known != born_.end()) return known->second;
    if (server.warmup_left_s <= 0) return 0;
    return now + server.warmup_left_s * 1000 - admission::kWarmWithin;
}

ServerDirectory::Lists ServerDirectory::list(Millis now, const EachNode& each_node) {
    Lists lists;
    std::map<std::string, Millis> born_now;
    ip_of_.clear();
    std::erase_if(avoided_, [now](const auto& one) { return one.second <= now; });
    each_node([&](const registry::NodeRecord& node, registry::Standing standing) {
        if (!node.server || node.server->life.empty() || standing == registry::Standing::gone) return;
        const registry::ServerRecord& server = *node.server;
        born_now[server.life] = born(now, server);
        ip_of_[server.life] = node.ip;
        const auto avoided = avoided_.find(server.life);
        if (avoided != avoided_.end())
            lists.again_at =
                lists.again_at == 0 ? avoided->second : std::min(lists.again_at, avoided->second);
        const bool open = node.ready && !node.leaving && !server.closing &&
                          standing == registry::Standing::alive && avoided == avoided_.end();
        ListedServer listed;
        listed.life = server.life;
        listed.ip = node.ip;
        listed.traffic_port = node.traffic_port;
        listed.zone = node.zone;
        listed.phase = open ? Phase::on : Phase::fading;
        listed.born = born_now[server.life];
        listed.units = std::max(1U, server.capacity);
        lists.by_service[server.service].push_back(std::move(listed));
    });
    born_ = std::move(born_now);
    return lists;
}

std::optional<std::uint32_t> ServerDirectory::ip_of(const std::string& life) const {
    const auto at = ip_of_.find(life);
    if (at == ip_of_.end()) return {};
    return at->second;
}

}  // namespace cobaltshift::routing
