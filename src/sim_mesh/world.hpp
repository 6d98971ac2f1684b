// A whole mesh in virtual time, from one seed: hubs, proxies, application servers, clients and operators
// round the real cores (control::Replica, gossip::Gossip, admission::Admission, kelplb::Balancer,
// configuration), with a model of network and disks, and the users' rules watching. Entry type of the
// package: World; play() makes one, plays a scenario to its end and says what came of it. Called by
// tests/mesh. Free of I/O: no clock, thread, file or random device.
#pragma once

#include "sim_mesh/clients.hpp"
#include "sim_mesh/hub.hpp"
#include "sim_mesh/operator.hpp"
#include "sim_mesh/proxy.hpp"
#include "sim_mesh/script.hpp"

namespace cobaltshift::simmesh {

struct Played {
    std::vector<Finding> findings;
    double sent = 0, served = 0;
    std::size_t acknowledged = 0;
    std::uint64_t events = 0;
    Millis virtual_ms = 0;
    std::map<unsigned, std::uint64_t> statuses;
    std::map<std::string, std::uint64_t> struck;  // what truly struck, by its name
    std::map<std::string, double> margins;        // the worst of each timed promise, as a share of its bound
    double share() const { return sent == 0 ? 1 : served / sent; }
};

Played play(const Scenario& scenario, const Safeguards& safeguards = {});

class World {
public:
    static constexpr Ip kOperator = 1;

    World(const Fleet& fleet, const Safeguards& without);
    ~World();
    World(const World&) = delete;

    Timeline time;
    const Bounds bounds;
    const Safeguards safeguards;

private:
    const Fleet fleet_;
    kelplb::Random random_;

public:
    Network net;
    Rules rules;
    Clients clients;
    Operators operators;

    void strike(const char* what) { ++struck_[what]; }  // counted: a day that nothing struck proves nothing
    const std::map<std::string, std::uint64_t>& struck() const { return struck_; }
    const Fleet& fleet() const { return fleet_; }
    const std::vector<Ip>& seeds() const { return seeds_; }
    std::uint64_t draw() { return 1 + static_cast<std::uint64_t>(random_.unit() * 0x1p52); }
    double unit() { return random_.unit(); }
    kelplb::ZoneId zone_number(const std::string& zone) const {
        return static_cast<kelplb::ZoneId>(std::stoul(zone.substr(1)));
    }

    Node* node(Ip ip);      // none: it does not run
    Server* server(Ip ip);  // none: it has ended
    std::string service_of(Ip ip) const { return sites_.at(ip).service; }
    std::vector<Ip> hubs() const;  // as the operator knows them
    std::vector<Ip> proxy_ips() const;
    Ip leader() const;  // 0: none

    // ---- What scenarios do. None of these from within a process' own call.
    void start(Ip ip, bool first_boot);
    void end(Ip ip, bool power);
    void wipe(Ip ip);
    Ip replace_hub(Ip ip);  // gone for good; another one at a new address
    Disk& disk(Ip ip) { return sites_.at(ip).disk; }
    void start_server(Ip ip, bool warm);
    void end_server(Ip ip);
    void crash_server(Ip ip);
    void set_service(Ip ip, const std::string& service) { sites_.at(ip).service = service; }
    void trouble(Ip ip, bool on) { rules.touch.trouble(time.now(), ip, sites_.at(ip).hub, on); }
    void cut(Ip from, Ip to, bool on);

private:
    struct Site {                        // a machine, and what outlives its process
        bool hub = false, gone = false;  // gone: another has taken its place
        std::string service;
        Disk disk;
        std::unique_ptr<Node> node;
        std::unique_ptr<Server> server;
    };
    Ip add(bool hub, std::size_t number);

    std::map<std::string, std::uint64_t> struck_;
    std::map<Ip, Site> sites_;
    std::vector<Ip> seeds_;
    std::uint64_t lives_ = 0;
    Ip next_ip_ = 0x0a000001;
};

}  // namespace cobaltshift::simmesh
