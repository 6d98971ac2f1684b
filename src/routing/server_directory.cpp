#include "routing/server_directory.hpp"

#include <algorithm>

#include "admission/module_settings.hpp"

namespace cobaltshift::routing {

namespace {
constexpr Millis kAvoidMs = 700;
}

void ServerDirectory::avoid(Millis now, const std::string& instance_id) {
    avoided_until_[instance_id] = now + kAvoidMs;
}

// The start time is fixed when the instance is first seen: the module takes a server with another start time
// for another process.
Millis ServerDirectory::start_time(Millis now, const registry::ServerRecord& server) const {
    if (const auto known = start_times_.find(server.instance_id); known != start_times_.end())
        return known->second;
    if (server.warmup_left_s <= 0) return 0;
    return now + server.warmup_left_s * 1000 - admission::kWarmUpMs;
}

ServerDirectory::Lists ServerDirectory::list(Millis now, const EachNode& each_node) {
    Lists lists;
    std::map<std::string, Millis> current_start_times;
    ip_of_.clear();
    std::erase_if(avoided_until_, [now](const auto& one) { return one.second <= now; });
    each_node([&](const registry::NodeRecord& node, registry::MemberState standing) {
        if (!node.server || node.server->instance_id.empty() || standing == registry::MemberState::gone)
            return;
        const registry::ServerRecord& server = *node.server;
        current_start_times[server.instance_id] = start_time(now, server);
        ip_of_[server.instance_id] = node.ip;
        const auto avoided = avoided_until_.find(server.instance_id);
        if (avoided != avoided_until_.end())
            lists.first_avoid_expiry = lists.first_avoid_expiry == 0
                                           ? avoided->second
                                           : std::min(lists.first_avoid_expiry, avoided->second);
        const bool open = node.ready && !node.leaving && !server.closing &&
                          standing == registry::MemberState::alive && avoided == avoided_until_.end();
        ListedServer listed;
        listed.instance_id = server.instance_id;
        listed.ip = node.ip;
        listed.traffic_port = node.traffic_port;
        listed.zone = node.zone;
        listed.phase = open ? Phase::on : Phase::draining;
        listed.born = current_start_times[server.instance_id];
        listed.units = std::max(1U, server.capacity);
        lists.by_service[server.service].push_back(std::move(listed));
    });
    start_times_ = std::move(current_start_times);
    return lists;
}

std::optional<std::uint32_t> ServerDirectory::ip_of(const std::string& instance_id) const {
    const auto at = ip_of_.find(instance_id);
    if (at == ip_of_.end()) return {};
    return at->second;
}

}  // namespace cobaltshift::routing
