#include "plan_io/planner_node.hpp"

#include <set>

#include "log/log.hpp"
#include "names.hpp"

namespace cobaltshift::plan {

namespace {

// The plan id on disk may lag: a restarted planner learns the newest one from the forwarders' reports.
constexpr Millis kSaveIntervalMs = 5000;

Config for_discovery(const ServerSettings& settings) {
    Config config;
    config.discovery = settings.discovery;
    return config;
}

}  // namespace

PlannerNode::PlannerNode(asio::io_context& io, ServerSettings settings)
    : settings_(std::move(settings)),
      config_(for_discovery(settings_)),
      planner_(settings_.core, load_id(), clock_.now()),
      server_(io, clock_, planner_, settings_, Secret::from_file(settings_.secret_file)),
      discovery_(io, config_, {[this](const HostList& list) { update_servers(list); }, [] {}}),
      tick_timer_(io),
      publish_timer_(io) {
    server_.on_publish_due([this] { schedule_publish(); });
    save(true);  // before anything is published under this epoch
    discovery_.watch(true);
    tick();
}

PlanId PlannerNode::load_id() {
    if (settings_.state_folder.empty()) return {};
    std::string why;
    state_ = load_state(settings_.state_folder, why);
    if (!why.empty()) log_line("planner.state", "starting without the saved state: " + why, {{"why", why}});
    return state_ ? state_->id : PlanId{};
}

void PlannerNode::update_servers(const HostList& list) {
    std::vector<kelplb::ServerInfo> infos;
    std::set<ServerId> taken;
    for (const auto& [name, id] : names_) taken.insert(id);
    for (const Host& host : list.hosts) {
        auto at = names_.find(host.name);
        if (at == names_.end()) {
            const ServerId id = server_number(host.name, [&](ServerId n) { return taken.count(n) > 0; });
            taken.insert(id);
            at = names_.emplace(host.name, id).first;
        }
        infos.push_back({at->second, 0, host.cell, host.phase, host.born, host.units});
    }
    planner_.listed(clock_.now(), infos, list.is_full);
    // Drop the names of servers that are gone, so that names_ does not grow without bound.
    std::set<ServerId> gone;
    for (const auto& info : infos)
        if (info.phase == kelplb::Phase::off) gone.insert(info.id);
    std::set<ServerId> named;
    for (const auto& info : infos) named.insert(info.id);
    std::erase_if(names_, [&](const auto& at) {
        return gone.count(at.second) || (list.is_full && !named.count(at.second));
    });
    if (state_) planner_.restore_removed(clock_.now(), state_->removed);
    state_.reset();
}

void PlannerNode::tick() {
    publish(planner_.tick(clock_.now()));
    tick_timer_.expires_after(std::chrono::milliseconds(static_cast<long>(settings_.tick)));
    tick_timer_.async_wait([this](error_code ec) {
        if (!ec && !stopped_) tick();
    });
}

void PlannerNode::publish(bool changed) {
    if (!changed) return;
    server_.changed();
    save(false);
}

void PlannerNode::schedule_publish() {
    const auto due = planner_.publish_due();
    if (!due || std::exchange(publish_scheduled_, true)) return;
    publish_timer_.expires_at(clock_.point(std::max(*due, clock_.now())));
    publish_timer_.async_wait([this](error_code ec) {
        publish_scheduled_ = false;
        // A tick may have published in the meantime.
        if (!ec && !stopped_ && planner_.publish_due()) publish(planner_.publish(clock_.now()));
    });
}

void PlannerNode::save(bool always) {
    const Millis now = clock_.now();
    if (settings_.state_folder.empty() || (!always && now < saved_at_ + kSaveIntervalMs)) return;
    saved_at_ = now;
    std::string why;
    if (!save_state(settings_.state_folder, {planner_.id(), planner_.removed_incarnations()}, why))
        log_line("planner.state", why);
}

void PlannerNode::stop() {
    stopped_ = true;
    tick_timer_.cancel();
    publish_timer_.cancel();
    server_.stop();
    save(true);
}

}  // namespace cobaltshift::plan
