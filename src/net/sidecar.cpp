#include "net/sidecar.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>

#include "log/log.hpp"
#include "net/discovery.hpp"
#include "net/peers.hpp"
#include "net/tally.hpp"

namespace cobaltshift {

Sidecar::Sidecar(asio::io_context& io, const Clock& clock, Config& config, Upstream::Limits limits,
                 MemoryAccount* memory)
    : Sidecar(io, clock, config, limits, std::make_unique<PlatformDialect>(config), nullptr, memory) {}

Sidecar::Sidecar(asio::io_context& io, const Clock& clock, Config& config, Upstream::Limits limits,
                 Dialect& dialect, MemoryAccount* memory)
    : Sidecar(io, clock, config, limits, nullptr, &dialect, memory) {}

Sidecar::Sidecar(asio::io_context& io, const Clock& clock, Config& config, Upstream::Limits limits,
                 std::unique_ptr<Dialect> own, Dialect* other, MemoryAccount* memory)
    : io_(io),
      clock_(clock),
      config_(config),
      own_dialect_(std::move(own)),
      dialect_(other ? *other : *own_dialect_),
      caller_(*this, config.settings, config.seed),
      upstream_(io, clock, limits,
                {[this](AttemptKey key, Outcome outcome, HttpResponse* response) {
                     caller_.attempt_ended(key, outcome, response);
                 },
                 [this](ServerId id, Outcome outcome, Millis duration) {
                     caller_.probe_ended(id, outcome, duration);
                 }},
                dialect_.upstream_protocol(), memory),
      timer_(io) {}

Sidecar::~Sidecar() = default;

void Sidecar::connect_to(Discovery& discovery, Peers* peers) { discovery_ = &discovery, peers_ = peers; }

void Sidecar::start() {
    caller_.push(Started{});
    if (config_.known) apply_list(*config_.known, true);
}

Sidecar::ObjectCounts Sidecar::object_counts() const {
    const Balancer::Held module = caller_.balancer().held();
    return {caller_.requests() + module.requests, upstream_.in_flight(), caller_.servers().size(),
            module.servers, upstream_.pools()};
}

std::string Sidecar::tally() const { return tally_line(caller_.balancer().tally(), upstream_.counts()); }

void Sidecar::metrics(MetricsText& text) const {
    tally_metrics(caller_.balancer().tally(), upstream_.counts(), text);
    text.gauge("cobaltshift_requests_open", "taken and not answered yet",
               static_cast<double>(caller_.unanswered()));
}

// ---- Events -----------------------------------------------------------------------------------------------

RequestId Sidecar::arrived(RequestPtr message, Millis time_left, std::weak_ptr<Client> client) {
    return caller_.arrived(std::move(message), time_left, std::move(client));
}

void Sidecar::client_gone(RequestId id) { caller_.client_gone(id); }

void Sidecar::apply_list(const HostList& list, bool saved) {
    const ListKind kind = saved ? ListKind::saved : list.is_full ? ListKind::full : ListKind::incremental;
    holds_list_ = true;
    const std::vector<ServerInfo> listed = caller_.update_servers(kind, list.is_full, list.hosts);
    if (observer_) observer_->listed(listed, list.is_full);
}

std::vector<ServerInfo> Sidecar::listed() const {
    std::vector<ServerInfo> all;
    for (const auto& [id, server] : caller_.servers())
        if (server.listed) all.push_back({id, 0, 0, server.phase, server.born, 1});
    return all;
}

std::optional<tcp::endpoint> Sidecar::endpoint_of(ServerId id) const {
    const auto at = caller_.servers().find(id);
    if (at == caller_.servers().end() || !at->second.listed) return {};
    return at->second.dial;
}

void Sidecar::list_failed() { caller_.push(ServerList{ListKind::failed, {}}); }

void Sidecar::on_peer_message(std::uint32_t from, std::vector<std::uint8_t> bytes) {
    caller_.push(PeerMessage{from, std::move(bytes)});
}

// ---- Operations required by caller::Caller ----------------------------------------------------------------

void Sidecar::post_pump() {
    asio::post(io_, [this] { caller_.pump(); });
}

void Sidecar::wake_at(Millis at) {
    timer_.expires_at(clock_.point(at));
    timer_.async_wait([this](error_code ec) {
        if (!ec) caller_.wake();
    });
}

void Sidecar::answer(const ClientPtr& waiting, Response&& response, bool own) {
    if (!own) {
        strip_hop_by_hop(response);
        dialect_.strip_internal_headers(response);
    }
    if (const auto client = waiting.lock()) client->answer(std::move(response));
}

void Sidecar::ended(ServerId server, Outcome outcome, Millis duration, std::uint32_t class_index) {
    if (!observer_) return;
    const auto& classes = config_.settings.classes;
    const bool late = class_index < classes.size() && duration > classes[class_index].latency_target;
    observer_->ended(server, outcome, duration, late);
}

void Sidecar::carry_out(const SendToPeer& action) {
    if (peers_) peers_->send(action.to, action.bytes);
}

void Sidecar::carry_out(const Subscribe& action) {
    if (config_.settings.subscribe_to_list && discovery_) discovery_->watch(action.active);
}

void Sidecar::carry_out(const FetchList&) {
    if (discovery_) discovery_->fetch();
}

void Sidecar::log(const std::string& text, const std::string& server) const {
    log_line("module", (server.empty() ? server : server + " ") + text, {{"server", server}});
}

}  // namespace cobaltshift
