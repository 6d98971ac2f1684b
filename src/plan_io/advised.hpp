// Connects a sidecar to the planners: observes it, reports to the planners, and passes their merged guidance
// to it. Not thread-safe: everything runs on the given io_context's thread.
#pragma once

#include <set>

#include "net/sidecar.hpp"
#include "plan/follower.hpp"
#include "plan/meter.hpp"
#include "plan_io/client.hpp"

namespace cobaltshift::plan {

class PlanAgent : public Sidecar::Observer {
public:
    // Throws SecretError. Must be destroyed before the sidecar.
    PlanAgent(asio::io_context& io, const Clock& clock, Sidecar& sidecar, const Config& config,
              const ClientSettings& settings);
    ~PlanAgent() override;

    const Client::Counts& counts() const { return client_.counts(); }

    void listed(const std::vector<kelplb::ServerInfo>& servers, bool whole) override;
    void arrived(std::uint32_t class_index) override { meter_.arrived(class_index); }
    void sent(ServerId server) override { meter_.sent(server); }
    void ended(ServerId server, kelplb::Outcome outcome, Millis duration, bool late) override;

private:
    Report report(std::size_t planner);
    void guide();  // passes the current guidance to the sidecar

    const Clock& clock_;
    Sidecar& sidecar_;
    Meter meter_;
    Follower follower_;
    std::set<ServerId> removed_;  // servers removed by the guidance in force
    bool guided_ = false;         // the sidecar holds guidance that is not empty
    asio::steady_timer expiry_;   // of the plan that expires next
    Client client_;
};

}  // namespace cobaltshift::plan
