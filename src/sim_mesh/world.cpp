#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

namespace {
Bounds bounds_of(const Fleet& fleet) {
    Bounds bounds;
    bounds.retry_slack = fleet.slack;
    return bounds;
}
}  // namespace

World::World(const Fleet& fleet, const Safeguards& without)
    : bounds(bounds_of(fleet)),
      safeguards(without),
      fleet_(fleet),
      random_(fleet.seed),
      net(time, fleet.seed + 1),
      rules(time, bounds),
      clients(*this),
      operators(*this) {
    net.add(kOperator, "z0", true);
    net.start(kOperator);
    for (std::size_t i = 0; i < fleet.hubs; ++i) seeds_.push_back(add(true, i));
    std::vector<Ip> branches;
    for (std::size_t i = 0; i < fleet.proxies; ++i) branches.push_back(add(false, i));
    for (const Ip ip : seeds_) start(ip, true);
    for (const Ip ip : branches) {
        start(ip, true);
        start_server(ip, true);
    }
}

World::~World() = default;

Ip World::add(bool hub, std::size_t number) {
    const Ip ip = next_ip_++;
    net.add(ip, "z" + std::to_string(number % fleet_.zones), hub);
    Site& site = sites_[ip];
    site.hub = hub;
    if (!hub) site.service = "s" + std::to_string(number / fleet_.zones % fleet_.services);
    return ip;
}

Node* World::node(Ip ip) {
    const auto at = sites_.find(ip);
    return at == sites_.end() ? nullptr : at->second.node.get();
}

Server* World::server(Ip ip) { return sites_.at(ip).server.get(); }

std::vector<Ip> World::hubs() const {
    std::vector<Ip> all;
    for (const auto& [ip, site] : sites_)
        if (site.hub && !site.gone) all.push_back(ip);
    return all;
}

std::vector<Ip> World::proxy_ips() const {
    std::vector<Ip> all;
    for (const auto& [ip, site] : sites_)
        if (!site.hub) all.push_back(ip);
    return all;
}

Ip World::leader() const {
    Ip leader = 0;
    raft::Term term = 0;
    for (const auto& [ip, site] : sites_) {
        const auto* hub = dynamic_cast<const Hub*>(site.node.get());
        if (hub && hub->leads() && hub->replica()->raft().term() >= term)
            leader = ip, term = hub->replica()->raft().term();
    }
    return leader;
}

// ---- Processes -------------------------------------------------------------------------------------------

void World::start(Ip ip, bool first_boot) {
    Site& site = sites_.at(ip);
    if (site.node || site.gone) return;
    net.start(ip);
    if (site.hub)
        site.node = std::make_unique<Hub>(*this, ip, site.disk, first_boot);
    else
        site.node = std::make_unique<Proxy>(*this, ip, site.service, first_boot);
}

void World::end(Ip ip, bool power) {
    Site& site = sites_.at(ip);
    net.end(ip, power);
    site.node.reset();
    if (site.hub) return;
    clients.process_ended(ip);
    if (site.server) site.server->disconnect_all();
    if (power) crash_server(ip);
}

void World::wipe(Ip ip) {
    end(ip, false);
    disk(ip).stored.reset();
}

Ip World::replace_hub(Ip ip) {
    if (sites_.at(ip).node) end(ip, true);
    sites_.at(ip).gone = true;
    const Ip fresh = add(true, ip % fleet_.zones);
    start(fresh, false);
    return fresh;
}

void World::start_server(Ip ip, bool warm) {
    Site& site = sites_.at(ip);
    if (site.server) return;
    Server::Settings settings;
    settings.capacity = static_cast<std::uint32_t>(fleet_.capacity);
    settings.work = fleet_.work;
    site.server =
        std::make_unique<Server>(*this, ip, site.service, "i-" + std::to_string(++lives_), settings, warm);
}

void World::end_server(Ip ip) { sites_.at(ip).server.reset(); }

void World::crash_server(Ip ip) {
    if (Server* one = server(ip)) one->crash();
    end_server(ip);
}

void World::cut(Ip from, Ip to, bool on) {
    net.cut(from, to, on);
    const bool core = sites_.at(from).hub && sites_.at(to).hub;
    rules.touch.trouble(time.now(), from, core, on);
    rules.touch.trouble(time.now(), to, core, on);
}

}  // namespace cobaltshift::simmesh
