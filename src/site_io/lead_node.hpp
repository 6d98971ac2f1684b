// A process that leads sites, or stands by to: the Lead with its right and its note at the keepers, what
// shared probing tells, discovery's list, and people's orders. Entry type: LeadNode.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lease_io/line.hpp"
#include "lease_io/rights.hpp"
#include "metrics/text.hpp"
#include "net/discovery.hpp"
#include "probing_io/datagrams.hpp"
#include "probing_io/settings.hpp"
#include "site_io/settings.hpp"

namespace cobaltshift::site {

class LeadNode {
public:
    // `name`: of this process, for people. Throws plan::SecretError, or boost::system::system_error if it
    // can't listen.
    LeadNode(lease::asio::io_context& io, const std::string& name, const lease::KeepersSettings& keepers,
             const probing::ProbingSettings& probing, const SiteSettings& settings);
    ~LeadNode();

    // Gives its right back; at the planned end. `done` is called once that is known, or after a short while.
    void stop(std::function<void()> done);
    void metrics(MetricsText& text) const;

private:
    void turn();
    void look();
    void told(const HostList& list);
    void heard();
    void ask_orders();
    void log_turns();

    lease::asio::io_context& io_;
    const SiteSettings settings_;
    const lease::Secret secret_;
    const std::string name_;
    Config config_;  // discovery's address
    Lead lead_;
    lease::Fence fence_ = 0;  // led under
    Book logged_;
    probing::Prober ear_;  // of what probers tell; it probes nothing itself
    probing::Datagrams datagrams_;
    lease::LeaseClient rights_;
    std::vector<std::unique_ptr<lease::ReplicaConnection>> lines_;  // for orders
    std::uint64_t question_ = 0, asker_;
    Discovery discovery_;
    std::map<std::string, std::pair<kelplb::ServerId, std::string>> servers_;  // by name: number and site
    std::map<std::string, bool> orders_;
    lease::asio::steady_timer look_;
    lease::Millis orders_due_ = 0;
    std::function<void()> stopped_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift::site
