// A forwarder's share in the plan: watches the sidecar, reports to the planners, and hands it their guidance.
#pragma once

#include <set>

#include "net/sidecar.hpp"
#include "plan/follower.hpp"
#include "plan/meter.hpp"
#include "plan_io/client.hpp"

namespace cobaltshift::plan {

class Advised : public Sidecar::Observer {
public:
    // Throws SecretError. Must go before the sidecar does.
    Advised(asio::io_context& io, const Clock& clock, Sidecar& sidecar, const Config& config,
            const ClientSettings& settings);
    ~Advised() override;

    const Client::Counts& counts() const { return client_.counts(); }

    void listed(const std::vector<kelplb::ServerInfo>& servers, bool whole) override;
    void arrived(std::uint32_t class_index) override { meter_.arrived(class_index); }
    void sent(ServerId server) override { meter_.sent(server); }
    void ended(ServerId server, kelplb::Outcome outcome, Millis duration, bool late) override;

private:
    Report report(std::size_t planner);
    void guide();

    const Clock& clock_;
    Sidecar& sidecar_;
    Meter meter_;
    Follower follower_;
    std::set<ServerId> left_alone_;  // by the plans in force
    bool guided_ = false;            // something was said that has not been taken back
    asio::steady_timer end_;
    Client client_;
};

}  // namespace cobaltshift::plan
