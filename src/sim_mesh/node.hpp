// What proxies and hubs have in common: the news (gossip::Gossip) and the feed of configurations, glued as
// gossip_io::GossipTransport and config::ConfigDistributor glue them. Entry type: Node, one life of a
// process. Base of Proxy and Hub.
#pragma once

#include <map>
#include <optional>

#include "config/fetch_schedule.hpp"
#include "config/startup_confirmation.hpp"
#include "gossip/gossip.hpp"
#include "sim_mesh/network.hpp"
#include "sim_mesh/rules.hpp"

namespace cobaltshift::simmesh {

class World;

class Node {
public:
    // `restarted`: a process may have run at this address before.
    Node(World& world, Ip ip, registry::NodeRole role, bool restarted);
    virtual ~Node() = default;
    Node(const Node&) = delete;

    Ip ip() const { return ip_; }
    const std::shared_ptr<const config::Configuration>& held() const { return held_; }
    config::Edition edition() const { return held_ ? held_->edition : 0; }
    const gossip::Gossip& gossip() const { return gossip_; }
    bool leaving() const { return leaving_; }

protected:
    void begin();  // once the process is there
    void tell(const std::function<void(registry::NodeRecord&)>& change);
    void hold(std::shared_ptr<const config::Configuration> configuration);
    void hint(Ip ip, config::Edition edition);
    void ask_current(Ip ip, std::function<void(config::CurrentAnswer)> done);
    void unreachable(Ip ip);
    void after(Millis delay, Task what);
    std::vector<Ip> hubs() const;
    std::size_t live_proxies() const;
    Millis now() const;
    virtual void registry_changed() {}
    virtual void on_former_self(const std::optional<registry::NodeRecord>&) {}
    virtual void heard_of(Ip, config::Edition) {}
    virtual void on_new_configuration() {}

    World& world_;
    const Ip ip_;
    bool leaving_ = false;

private:
    friend class World;
    void act();
    void act_soon();
    void fetch();
    void ask(Ip from);
    void fetched(Ip from, std::shared_ptr<const config::Configuration> got, bool answered);

    gossip::Gossip gossip_;
    bool acting_soon_ = false, fetch_armed_ = false, former_self_reported_ = false;
    Millis armed_ = 1e18;
    std::shared_ptr<const config::Configuration> held_;
    config::FetchSchedule schedule_;
    std::map<Ip, Task> asking_;  // by whom is asked: drops the ask
};

}  // namespace cobaltshift::simmesh
