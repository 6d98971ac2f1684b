#include "plan_io/advised.hpp"

namespace cobaltshift::plan {

PlanAgent::PlanAgent(asio::io_context& io, const Clock& clock, Sidecar& sidecar, const Config& config,
                     const ClientSettings& settings)
    : clock_(clock),
      sidecar_(sidecar),
      // The seed and the time make the incarnation a new one at each start.
      meter_(config.name, config.seed ^ static_cast<std::uint64_t>(clock.now() * 1000), config.classes.size(),
             settings.planners.size()),
      follower_(settings.planners.size()),
      expiry_(io),
      client_(io, clock, config.name, config.seed, settings, Secret::from_file(settings.secret_file),
              {[this](std::size_t planner) { return report(planner); },
               [this](std::size_t planner, std::uint64_t sequence, bool full) {
                   meter_.acknowledged(planner, sequence, full);
               },
               [this](std::size_t, Millis asked_at, const Plan& plan) {
                   const auto taken = follower_.apply(clock_.now(), asked_at, plan);
                   const bool accepted =
                       taken == Follower::ApplyResult::accepted || taken == Follower::ApplyResult::renewed;
                   if (accepted) guide();
                   return accepted;
               },
               [this](std::size_t planner) {
                   return follower_.holds(planner, clock_.now()) ? follower_.seen()[planner] : PlanId{};
               }}) {
    meter_.listed(sidecar_.listed(), true);
    sidecar_.set_observer(this);
}

PlanAgent::~PlanAgent() {
    sidecar_.set_observer(nullptr);
    if (guided_) sidecar_.set_guidance({});
}

void PlanAgent::listed(const std::vector<kelplb::ServerInfo>& servers, bool whole) {
    meter_.listed(servers, whole);
    guide();  // the plans may already cover servers that have just been listed
}

void PlanAgent::ended(ServerId server, kelplb::Outcome outcome, Millis duration, bool late) {
    meter_.ended(server, outcome, duration, late);
    if (is_urgent(outcome, late, removed_.count(server) > 0)) client_.report_early();
}

Report PlanAgent::report(std::size_t planner) {
    for (const auto& info : sidecar_.listed()) meter_.set_removed(info.id, false);
    for (const ServerId id : sidecar_.removed()) meter_.set_removed(id, true);
    return meter_.report(planner, follower_.seen());
}

void PlanAgent::guide() {
    const Millis now = clock_.now();
    kelplb::Guidance guidance = follower_.guidance(now);
    if (guidance.servers.empty() && !guided_) return;
    guided_ = !guidance.servers.empty();
    removed_.clear();
    for (const auto& server : guidance.servers)
        if (server.removed) removed_.insert(server.server);
    sidecar_.set_guidance(std::move(guidance));
    const auto next = follower_.next_end(now);
    if (!next) return;
    expiry_.expires_at(clock_.point(*next));
    expiry_.async_wait([this](error_code ec) {
        if (!ec) guide();
    });
}

}  // namespace cobaltshift::plan
