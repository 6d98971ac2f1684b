#include "gossip_io/status.hpp"

#include <nlohmann/json.hpp>

namespace cobaltshift::gossip_io {

std::string status_text(const gossip::Gossip& gossip, const Counts& counts) {
    using nlohmann::json;
    constexpr const char* kStates[] = {"alive", "suspect", "gone"};
    json nodes = json::array();
    for (const registry::Entry& entry : gossip.registry().entries()) {
        const NodeRecord& record = entry.record;
        json node{{"ip", address_text(record.ip)},
                  {"role", record.role == registry::NodeRole::control_node ? "hub" : "proxy"},
                  {"zone", record.zone},
                  {"standing", kStates[static_cast<std::size_t>(entry.state)]},
                  {"life", record.incarnation},
                  {"seq", record.seq},
                  {"configuration", record.config_edition},
                  {"ready", record.ready},
                  {"leaving", record.leaving}};
        if (record.server)
            node["server"] = {{"life", record.server->instance_id},
                              {"service", record.server->service},
                              {"closing", record.server->closing}};
        nodes.push_back(std::move(node));
    }
    json links = json::array();
    for (const auto& link : gossip.links())
        links.push_back({{"ip", address_text(link.ip)}, {"eager", link.eager}});
    const auto& events = gossip.counts();
    const json status{{"ip", address_text(gossip.self().ip)},
                      {"joined", gossip.joined()},
                      {"digest", gossip.registry().digest()},
                      {"nodes", nodes},
                      {"links", links},
                      {"datagrams",
                       {{"sent", counts.sent},
                        {"sent_bytes", counts.sent_bytes},
                        {"received", counts.received},
                        {"received_bytes", counts.received_bytes},
                        {"dropped", counts.dropped},
                        {"unsent", counts.unsent}}},
                      {"events",
                       {{"comparisons", events.comparisons},
                        {"news_twice", events.duplicates},
                        {"suspected", events.suspected},
                        {"gone", events.gone},
                        {"refuted", events.refuted},
                        {"lives_raised", events.incarnations_raised},
                        {"records_refused", events.records_refused}}}};
    // Names come from other processes and may hold arbitrary bytes: invalid UTF-8 is replaced.
    return status.dump(-1, ' ', true, json::error_handler_t::replace);
}

}  // namespace cobaltshift::gossip_io
