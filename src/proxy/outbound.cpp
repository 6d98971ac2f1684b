#include "proxy/outbound.hpp"

#include <json/json.h>

#include <algorithm>

#include "admission/module_settings.hpp"
#include "net/form.hpp"
#include "net/path.hpp"
#include "routing/service_choice.hpp"

namespace cobaltshift::proxy {

using config::Route;

namespace {
constexpr Millis kConnectTimeoutMs = 400, kIdleCloseMs = 9000, kDeadAfterMs = 2500;
constexpr double kConnectionShare = 0.25;  // of the file descriptors, for connections to other proxies
constexpr std::size_t kMinConnections = 32, kMinServices = 4;
constexpr Millis kBodyTimeoutMs = 30000;
constexpr std::size_t kMaxBodyBytes = 64 << 20;
constexpr int kRequestIdBits = 48;  // low bits of a RequestId; the high bits are the service client's number
constexpr std::uint32_t kAssumedProxies = 15;
constexpr Millis kLeavingRetryMs = 60;  // soon, as another proxy has to be used

HttpResponse no_configuration_refusal() {
    return refusal(*NotRun::from({Execution::not_run, Reason::no_configuration}),
                   routing::kNoConfigurationRetryMs);
}

Host host_of(const routing::ListedServer& server) {
    Host host;
    host.name = server.instance_id;
    host.dial = {asio::ip::address_v4(server.ip), server.traffic_port};
    host.zone = server.zone;
    host.born = server.born;
    host.units = server.units;
    host.phase = server.phase;
    return host;
}
}  // namespace

struct Outbound::ServiceClient {
    ServiceClient(Outbound& outbound, const std::string& name, std::uint64_t index)
        : service(name), number(index), dialect(dependencies(outbound), budget(outbound.boot_)) {
        config.seed = outbound.seed_ + index;
        std::optional<ZoneId> zone;
        if (const auto at = outbound.zones_.find(outbound.boot_.zone); at != outbound.zones_.end())
            zone = at->second;
        config.settings = admission::module_settings(zone, kAssumedProxies);
        for (const auto& [zone_name, id] : outbound.zones_) {
            (void)id;
            config.zone(zone_name);
        }
        Upstream::Limits limits;
        limits.connect_timeout = kConnectTimeoutMs;
        limits.idle_close = kIdleCloseMs;
        const std::size_t services =
            std::max(kMinServices, outbound.configuration_ ? outbound.configuration_->services.size() : 0);
        limits.connections = std::max(
            kMinConnections,
            static_cast<std::size_t>(static_cast<double>(outbound.boot_.file_limit) * kConnectionShare) /
                services);
        limits.reuse_delay = 0;
        limits.dead_peer_timeout = kDeadAfterMs;
        sidecar = std::make_unique<Sidecar>(outbound.io_, outbound.clock_, config, limits, dialect,
                                            outbound.memory_);
        sidecar->start();
    }
    static MeshDialect::Dependencies dependencies(Outbound& outbound) {
        return {outbound.clock_, outbound.callbacks_.live_proxies,
                [&outbound] { return outbound.configuration_ ? outbound.configuration_->edition : 0; },
                [&outbound](const std::string& instance_id) {
                    outbound.directory_.avoid(outbound.clock_.now(), instance_id);
                    outbound.registry_changed();
                },
                [&outbound](const std::string& instance_id, std::uint64_t edition) {
                    if (const auto ip = outbound.directory_.ip_of(instance_id))
                        outbound.callbacks_.on_peer_edition(*ip, edition);
                }};
    }
    static admission::RetryBudget::Settings budget(const boot::Boot& boot) {
        admission::RetryBudget::Settings s;
        s.ratio = boot.bound("retry_ratio", s.ratio);
        s.slack = boot.bound("retry_slack", s.slack);
        s.window = boot.bound("retry_window_s", s.window / 1000) * 1000;
        return s;
    }

    std::string service;
    std::uint64_t number;
    Config config;
    MeshDialect dialect;
    std::unique_ptr<Sidecar> sidecar;
};

Outbound::Outbound(asio::io_context& io, const Clock& clock, const boot::Boot& boot, Callbacks callbacks,
                   std::uint64_t seed, MemoryAccount* memory)
    : io_(io),
      clock_(clock),
      boot_(boot),
      callbacks_(std::move(callbacks)),
      seed_(seed),
      memory_(memory),
      random_(seed),
      early_(clock.now()),
      early_timer_(io),
      avoid_timer_(io) {
    ZoneId next = 0;
    for (const auto& [zone, region] : boot.zones) zones_[zone] = next++;
}

Outbound::~Outbound() { *alive_ = false; }

void Outbound::apply_configuration(std::shared_ptr<const config::Configuration> configuration) {
    configuration_ = std::move(configuration);
    for (const auto& [name, service] : configuration_->services) service_client(name);
    early_timer_.cancel();
    for (auto& early : early_.take()) {
        EarlyRequest& request = early.request;
        const auto client = request.client.lock();
        if (!client) continue;
        if (auto response = local(*request.message))
            client->answer(std::move(*response));
        else
            reassigned_ids_[early.id] =
                arrived(std::move(request.message), request.spent + clock_.now() - early.arrived_at,
                        std::move(request.client));
    }
}

// Refuses the requests that wait for the first configuration, with a time to retry.
void Outbound::refuse_early() {
    for (const auto& early : early_.take())
        if (const auto client = early.request.client.lock()) client->answer(no_configuration_refusal());
}

Outbound::ServiceClient& Outbound::service_client(const std::string& service) {
    auto& found = clients_[service];
    if (!found) {
        found = std::make_unique<ServiceClient>(*this, service, clients_by_number_.size());
        clients_by_number_.push_back(found.get());
        registry_changed();
    }
    return *found;
}

void Outbound::refuse_new() {
    refuses_new_ = true;
    refuse_early();
}

void Outbound::answer_all() {
    refuse_early();
    for (ServiceClient* service_client : clients_by_number_) service_client->sidecar->answer_all();
}

bool Outbound::busy() const {
    return std::any_of(clients_by_number_.begin(), clients_by_number_.end(),
                       [](const ServiceClient* p) { return p->sidecar->unanswered() > 0; });
}

// ---- Servers ----------------------------------------------------------------------------------------------

void Outbound::registry_changed() {
    if (list_scheduled_) return;
    list_scheduled_ = true;
    asio::post(io_, [this, alive = alive_] {
        if (*alive) list_servers();
    });
}

void Outbound::list_servers() {
    list_scheduled_ = false;
    const auto lists = directory_.list(clock_.now(), callbacks_.visit_proxies);
    for (auto& [service, service_client] : clients_) {
        HostList list;
        list.is_full = true;
        if (const auto at = lists.by_service.find(service); at != lists.by_service.end())
            for (const routing::ListedServer& server : at->second) list.hosts.push_back(host_of(server));
        service_client->sidecar->apply_list(list);
    }
    if (lists.first_avoid_expiry == 0) return;
    avoid_timer_.expires_at(clock_.point(lists.first_avoid_expiry));
    avoid_timer_.async_wait([this, alive = alive_](error_code ec) {
        if (*alive && !ec) registry_changed();
    });
}

// ---- Requests ---------------------------------------------------------------------------------------------

Front::Bounds Outbound::bounds() const {
    Bounds b;
    b.body = kMaxBodyBytes;
    b.read_time = kBodyTimeoutMs;
    if (!configuration_) return b;
    const config::Limits& limits = configuration_->limits;
    b.header = max_header_bytes();
    b.body = std::min<std::uint64_t>(limits.max_body_bytes, kMaxBodyBytes);
    b.head_time = std::max(100.0, limits.header_read_ms);
    b.read_time = b.head_time + kBodyTimeoutMs;
    b.idle_time = std::max(100.0, limits.idle_timeout_ms);
    return b;
}

std::size_t Outbound::max_header_bytes() const {
    constexpr std::size_t kLeast = 1024, kMost = 1 << 20;
    return configuration_ ? std::clamp<std::size_t>(configuration_->limits.max_header_bytes, kLeast, kMost)
                          : kMaxHeader;
}

std::optional<http::status> Outbound::fault(const HttpRequest& head) {
    if (const auto fault = framing_fault(head)) return fault;
    if (std::distance(head.begin(), head.end()) > kMaxFields)
        return http::status::request_header_fields_too_large;
    const auto target = head.target();
    if (target.empty() || target.front() != '/' || path_fault({target.data(), target.size()}))
        return http::status::bad_request;
    if (head.count(http::field::host) != 1 || head.count(kRequestId) != 1 || head[kRequestId].empty() ||
        head.count(kDeadline) > 1 || (head.count(kDeadline) == 1 && !parse_ms(head[kDeadline])))
        return http::status::bad_request;
    if (head.method() == http::verb::head || head.method() == http::verb::connect ||
        head.method() == http::verb::unknown)
        return http::status::method_not_allowed;
    return {};
}

const Route* Outbound::route_of(const HttpRequest& request) const {
    const auto host = request[http::field::host], target = request.target();
    return configuration_->find({host.data(), host.size()}, {target.data(), target.size()});
}

std::optional<HttpResponse> Outbound::local(const HttpRequest& request) {
    if (refuses_new_) return refusal(*NotRun::from({Execution::not_run, Reason::leaving}), kLeavingRetryMs);
    if (!configuration_) {
        if (early_.may_wait(clock_.now())) return {};
        return no_configuration_refusal();
    }
    if (!route_of(request)) return HttpResponse(http::status::not_found, 11);
    return {};
}

RequestId Outbound::arrived(RequestPtr request, Millis spent, std::weak_ptr<Client> client) {
    if (!configuration_) {
        const RequestId id = early_.add(clock_.now(), {std::move(request), std::move(client), spent});
        early_timer_.expires_at(clock_.point(early_.until()));
        early_timer_.async_wait([this, alive = alive_](error_code ec) {
            if (*alive && !ec) refuse_early();
        });
        return id;
    }
    const Route* route = route_of(*request);
    const Millis client_left = parse_ms((*request)[kDeadline]).value_or(route->deadline_ms);
    Millis left = routing::time_left(*route, client_left, spent);
    if (answers_at_) left = std::max(0.0, std::min(left, *answers_at_ - clock_.now()));
    // Keep these even if the client's Connection field names them: the server and the admission need them.
    const std::string name((*request)[kRequestId]), host((*request)[http::field::host]);
    strip_hop_by_hop(*request);
    request->set(kRequestId, name);
    request->set(http::field::host, host);
    for (const char* ours : {kVerdict, kEdition, kInstance}) request->erase(ours);
    Hop hop;
    hop.kind = route->kind;
    hop.rank = route->priority;
    hop.target_ms = route->target_ms;
    hop.tries = std::max(1U, route->tries);
    request->set(kHop, to_text(hop));
    request->set(kCaller, boot_.service);
    request->prepare_payload();
    ServiceClient& to = service_client(routing::choose_service(*route, random_.unit()));
    const RequestId id = to.sidecar->arrived(std::move(request), left, std::move(client));
    return to.number << kRequestIdBits | id;
}

void Outbound::client_gone(RequestId id) {
    if (early_.is_early(id)) {
        early_.remove(id);
        const auto reassigned = reassigned_ids_.find(id);
        if (reassigned == reassigned_ids_.end()) return;
        id = reassigned->second;
    }
    clients_by_number_.at(id >> kRequestIdBits)->sidecar->client_gone(id & ((1ULL << kRequestIdBits) - 1));
}

hop::AttemptRules::Counts Outbound::counts() const {
    hop::AttemptRules::Counts sum;
    for (const ServiceClient* client : clients_by_number_) {
        const auto& counts = client->dialect.counts();
        sum.unmarked += counts.unmarked;
        sum.refused.unsent += counts.refused.unsent;
        sum.refused.by_admission += counts.refused.by_admission;
        sum.refused.by_server += counts.refused.by_server;
        sum.refused.server_unreachable += counts.refused.server_unreachable;
    }
    return sum;
}

std::string Outbound::status() const {
    Json::Value all;
    for (const auto& [service, service_client] : clients_) {
        Json::Value& one = all[service];
        const auto& counts = service_client->dialect.counts();
        one["requests"] = Json::UInt64(counts.requests);
        one["tries"] = Json::UInt64(counts.tries);
        one["bounced"] = Json::UInt64(counts.bounced);
        one["vetoed"] = Json::UInt64(counts.vetoed);
        one["broken"] = Json::UInt64(counts.broken);
        one["refused"] = Json::UInt64(counts.refused.total());
        one["failed"] = Json::UInt64(counts.failed);
        one["module"] = service_client->sidecar->tally();
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, all);
}

}  // namespace cobaltshift::proxy
