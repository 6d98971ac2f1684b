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
constexpr Millis kConnectWithin = 400, kIdleClose = 9000, kDeadAfter = 2500;
constexpr double kConnectionShare = 0.25;  // of the descriptors, to other proxies, for all services
constexpr std::size_t kLeastConnections = 32, kLeastServices = 4;
constexpr Millis kBodyTime = 30000;
constexpr std::size_t kMostBody = 64 << 20;
constexpr int kIdBits = 48;  // of a request's number; above it its pool's
constexpr std::uint32_t kProxies = 15;
constexpr Millis kRetryLeaving = 60;  // at another proxy: this one takes no new connections any more

HttpResponse unsettled() {
    return refusal(*NotRun::from({Execution::not_run, Reason::unsettled}), routing::kRetryUnsettled);
}

Host host_of(const routing::ListedServer& server) {
    Host host;
    host.name = server.life;
    host.dial = {asio::ip::address_v4(server.ip), server.traffic_port};
    host.zone = server.zone;
    host.born = server.born;
    host.units = server.units;
    host.phase = server.phase;
    return host;
}
}  // namespace

struct Outbound::Pool {
    Pool(Outbound& owner, const std::string& name, std::uint64_t index)
        : service(name), number(index), dialect(around(owner), budget(owner.boot_)) {
        config.seed = owner.seed_ + index;
        std::optional<ZoneId> zone;
        if (const auto at = owner.zones_.find(owner.boot_.zone); at != owner.zones_.end()) zone = at->second;
        config.settings = admission::module_settings(zone, kProxies);
        for (const auto& [zone_name, id] : owner.zones_) {
            (void)id;
            config.zone(zone_name);
        }
        Upstream::Limits limits;
        limits.connect_timeout = kConnectWithin;
        limits.idle_close = kIdleClose;
        const std::size_t services =
            std::max(kLeastServices, owner.configuration_ ? owner.configuration_->services.size() : 0);
        limits.connections = std::max(
            kLeastConnections,
            static_cast<std::size_t>(static_cast<double>(owner.boot_.file_limit) * kConnectionShare) /
                services);
        limits.settle = 0;
        limits.dead_after = kDeadAfter;
        sidecar = std::make_unique<Sidecar>(owner.io_, owner.clock_, config, limits, dialect);
        sidecar->start();
    }
    static MeshDialect::Around around(Outbound& owner) {
        return {owner.clock_, owner.around_.live_proxies,
                [&owner] { return owner.configuration_ ? owner.configuration_->edition : 0; },
                [&owner](const std::string& life) {
                    owner.directory_.avoid(owner.clock_.now(), life);
                    owner.registry_changed();
                },
                [&owner](const std::string& life, std::uint64_t edition) {
                    if (const auto ip = owner.directory_.ip_of(life)) owner.around_.newer(*ip, edition);
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

Outbound::Outbound(asio::io_context& io, const Clock& clock, const boot::Boot& boot, Around around,
                   std::uint64_t seed)
    : io_(io),
      clock_(clock),
      boot_(boot),
      around_(std::move(around)),
      seed_(seed),
      lots_(seed),
      early_(clock.now()),
      early_timer_(io),
      avoid_timer_(io) {
    ZoneId next = 0;
    for (const auto& [zone, region] : boot.zones) zones_[zone] = next++;
}

Outbound::~Outbound() { *alive_ = false; }

void Outbound::hold(std::shared_ptr<const config::Configuration> configuration) {
    configuration_ = std::move(configuration);
    for (const auto& [name, service] : configuration_->services) pool(name);
    early_timer_.cancel();
    for (auto& early : early_.take()) {
        EarlyRequest& request = early.request;
        const auto client = request.client.lock();
        if (!client) continue;
        if (auto response = local(*request.message))
            client->answer(std::move(*response));
        else
            later_[early.id] = arrived(std::move(request.message), request.spent + clock_.now() - early.came,
                                       std::move(request.client));
    }
}

// The first configuration has not come in time: what waits for it is told when to come back.
void Outbound::refuse_early() {
    for (const auto& early : early_.take())
        if (const auto client = early.request.client.lock()) client->answer(unsettled());
}

Outbound::Pool& Outbound::pool(const std::string& service) {
    auto& found = pools_[service];
    if (!found) {
        found = std::make_unique<Pool>(*this, service, by_number_.size());
        by_number_.push_back(found.get());
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
    for (Pool* pool : by_number_) pool->sidecar->answer_all();
}

bool Outbound::busy() const {
    return std::any_of(by_number_.begin(), by_number_.end(),
                       [](const Pool* p) { return p->sidecar->unanswered() > 0; });
}

// ---- Servers ----------------------------------------------------------------------------------------------

void Outbound::registry_changed() {
    if (listing_) return;
    listing_ = true;
    asio::post(io_, [this, alive = alive_] {
        if (*alive) list_servers();
    });
}

void Outbound::list_servers() {
    listing_ = false;
    const auto lists = directory_.list(clock_.now(), around_.each);
    for (auto& [service, pool] : pools_) {
        HostList list;
        list.whole = true;
        if (const auto at = lists.by_service.find(service); at != lists.by_service.end())
            for (const routing::ListedServer& server : at->second) list.hosts.push_back(host_of(server));
        pool->sidecar->told(list);
    }
    if (lists.again_at == 0) return;
    avoid_timer_.expires_at(clock_.point(lists.again_at));
    avoid_timer_.async_wait([this, alive = alive_](error_code ec) {
        if (*alive && !ec) registry_changed();
    });
}

// ---- Requests ---------------------------------------------------------------------------------------------

Front::Bounds Outbound::bounds() const {
    Bounds b;
    b.body = kMostBody;
    b.read_time = kBodyTime;
    if (!configuration_) return b;
    const config::Limits& limits = configuration_->limits;
    b.header = std::clamp<std::size_t>(limits.max_header_bytes, 1024, 1 << 20);
    b.body = std::min<std::uint64_t>(limits.max_body_bytes, kMostBody);
    b.head_time = std::max(100.0, limits.header_read_ms);
    b.read_time = b.head_time + kBodyTime;
    b.idle_time = std::max(100.0, limits.idle_timeout_ms);
    return b;
}

std::optional<http::status> Outbound::fault(const HttpRequest& head) {
    if (const auto fault = framing_fault(head)) return fault;
    if (std::distance(head.begin(), head.end()) > kMaxFields)
        return http::status::request_header_fields_too_large;
    const auto target = head.target();
    if (target.empty() || target.front() != '/' || path_fault({target.data(), target.size()}))
        return http::status::bad_request;
    if (head.count(http::field::host) != 1 || head.count(kRequestId) != 1 || head[kRequestId].empty() ||
        head.count(kDeadline) > 1 || (head.count(kDeadline) == 1 && !read_ms(head[kDeadline])))
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
    if (refuses_new_) return refusal(*NotRun::from({Execution::not_run, Reason::leaving}), kRetryLeaving);
    if (!configuration_) {
        if (early_.may_wait(clock_.now())) return {};
        return unsettled();
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
    const Millis client_left = read_ms((*request)[kDeadline]).value_or(route->deadline_ms);
    Millis left = routing::time_left(*route, client_left, spent);
    if (answers_at_) left = std::max(0.0, std::min(left, *answers_at_ - clock_.now()));
    // Whatever Connection names, these stay: the server and the admission go by them.
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
    Pool& to = pool(routing::choose_service(*route, lots_.unit()));
    const RequestId id = to.sidecar->arrived(std::move(request), left, std::move(client));
    return to.number << kIdBits | id;
}

void Outbound::client_gone(RequestId id) {
    if (early_.is_early(id)) {
        early_.remove(id);
        const auto later = later_.find(id);
        if (later == later_.end()) return;
        id = later->second;
    }
    by_number_.at(id >> kIdBits)->sidecar->client_gone(id & ((1ULL << kIdBits) - 1));
}

std::string Outbound::status() const {
    Json::Value all;
    for (const auto& [service, pool] : pools_) {
        Json::Value& one = all[service];
        const auto& counts = pool->dialect.counts();
        one["requests"] = Json::UInt64(counts.requests);
        one["tries"] = Json::UInt64(counts.tries);
        one["bounced"] = Json::UInt64(counts.bounced);
        one["vetoed"] = Json::UInt64(counts.vetoed);
        one["broken"] = Json::UInt64(counts.broken);
        one["refused"] = Json::UInt64(counts.refused);
        one["failed"] = Json::UInt64(counts.failed);
        one["module"] = pool->sidecar->tally();
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, all);
}

}  // namespace cobaltshift::proxy
