#include "plan/meter.hpp"

namespace cobaltshift::plan {

Meter::Meter(std::string name, std::uint64_t incarnation, std::size_t classes, std::size_t planners)
    : name_(std::move(name)),
      incarnation_(incarnation),
      demand_(std::min(classes, kMaxClasses)),
      planners_(planners) {
    if (name_.size() > kMaxName) name_.resize(kMaxName);
}

void Meter::listed(const std::vector<kelplb::ServerInfo>& servers, bool whole) {
    if (whole)
        for (auto& [id, entry] : servers_) entry.listed = false;
    for (const auto& info : servers) {
        const bool gone = info.phase == kelplb::Phase::off;
        auto at = servers_.find(info.id);
        if (at == servers_.end()) {
            if (gone || servers_.size() >= kMaxServers) continue;
            at = servers_.emplace(info.id, Entry{}).first;
            at->second.report.life = {info.id, info.online_since};
        } else if (at->second.report.life.born != info.online_since) {
            // Another incarnation: its counts start at 0, without the attempts outstanding at the former
            // one.
            at->second.report = {};
            at->second.report.life = {info.id, info.online_since};
            touch(at->second);
        }
        at->second.listed = !gone;
    }
    std::erase_if(servers_,
                  [](const auto& at) { return !at.second.listed && at.second.report.outstanding == 0; });
}

Meter::Entry* Meter::find(ServerId server) {
    const auto at = servers_.find(server);
    return at == servers_.end() ? nullptr : &at->second;
}

void Meter::arrived(std::uint32_t class_index) {
    if (class_index < demand_.size()) ++demand_[class_index];
}

void Meter::sent(ServerId server) {
    Entry* entry = find(server);
    if (!entry) return;
    ++entry->report.attempts;
    ++entry->report.outstanding;
    touch(*entry);
}

void Meter::ended(ServerId server, kelplb::Outcome outcome, Millis duration, bool late) {
    Entry* entry = find(server);
    if (!entry || entry->report.outstanding == 0) return;  // sent to a former incarnation
    ServerReport& report = entry->report;
    --report.outstanding;
    ++report.outcomes[static_cast<std::size_t>(outcome)];
    if (outcome == kelplb::Outcome::completed) {
        report.latency.add(duration);
        if (late) ++report.late;
    }
    touch(*entry);
    if (!entry->listed && report.outstanding == 0) servers_.erase(server);
}

void Meter::set_removed(ServerId server, bool removed) {
    Entry* entry = find(server);
    if (!entry || entry->report.removed == removed) return;
    entry->report.removed = removed;
    touch(*entry);
}

Report Meter::report(std::size_t planner, std::vector<PlanId> seen) {
    PlannerState& state = planners_.at(planner);
    Report report{name_, incarnation_, ++state.sequence, state.full, {}, demand_, std::move(seen)};
    for (const auto& [id, entry] : servers_)
        if (state.full || entry.changed_at > state.acknowledged) report.servers.push_back(entry.report);
    state.built_at = tick_;
    return report;
}

void Meter::acknowledged(std::size_t planner, std::uint64_t sequence, bool want_full) {
    PlannerState& state = planners_.at(planner);
    if (sequence != state.sequence) return;  // one report is in flight at a time: this one was abandoned
    state.full = want_full;
    if (!want_full) state.acknowledged = state.built_at;
}

}  // namespace cobaltshift::plan
