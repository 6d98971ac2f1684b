#include "proxy/inbound.hpp"

#include <boost/beast/http/empty_body.hpp>

#include "hop/server_answer.hpp"
#include "log/log.hpp"
#include "net/form.hpp"

namespace cobaltshift::proxy {

namespace {
constexpr Millis kConnectTimeoutMs = 1000, kIdleCloseMs = 9000, kHeadTimeoutMs = 5000, kReadTimeoutMs = 30000,
                 kIdleTimeoutMs = 30000, kReuseDelayMs = 0.5, kMaxDeadlineMs = 600000;
// Subtracted from the deadline that the server is given, so that it answers before its caller gives up.
constexpr Millis kAnswerMarginMs = 40;
constexpr std::size_t kMaxConnections = 64;
// An answer becomes urgent on the link once its request is 1.5 target latencies old, or when its caller gives
// up within kUrgentBeforeDeadlineMs.
constexpr double kUrgentAfterTargets = 1.5;
constexpr Millis kUrgentBeforeDeadlineMs = 1000;
constexpr std::uint64_t kMaxBodyBytes = 64 << 20;
// Room in a head for what proxies add to a client's.
constexpr std::size_t kProxyHeaderBytes = 16 * 1024;
constexpr std::ptrdiff_t kMaxHopFields = kMaxFields + 10;

Millis urgent_at(Millis arrived_at, const Hop& hop, Millis deadline) {
    return std::min(arrived_at + kUrgentAfterTargets * hop.target_ms, deadline - kUrgentBeforeDeadlineMs);
}

UpstreamProtocol upstream_protocol() {
    UpstreamProtocol m;
    m.prepare_request = [](HttpRequest& message, Millis left) {
        message.set(kDeadline, std::to_string(static_cast<long long>(std::max(1.0, left - kAnswerMarginMs))));
    };
    m.outcome_of = [](const HttpResponse& response) {
        return response.result_int() / 100 == 2 ? Outcome::completed : Outcome::errored;
    };
    m.owner_of = owner_of_answer;
    m.is_refusal = is_refusal;
    m.runs_whole_requests_only = false;
    m.writes_requests_once = true;
    m.body_bytes = kMaxBodyBytes;
    m.honors_keep_alive = true;
    return m;
}
}  // namespace

Inbound::Inbound(asio::io_context& io, const Clock& clock, const boot::Boot& boot, Callbacks callbacks,
                 const PacedLink* link, MemoryAccount* memory)
    : io_(io),
      clock_(clock),
      boot_(boot),
      callbacks_(std::move(callbacks)),
      requests_(*this),
      link_(link),
      upstream_(io, clock,
                Upstream::Limits{{kConnectTimeoutMs, kIdleCloseMs, kMaxConnections, kReuseDelayMs}, 0},
                {[this](AttemptKey key, Outcome outcome, HttpResponse* response) {
                     ended(key.id, outcome, response);
                 },
                 [](ServerId, Outcome, Millis) {},
                 [this](AttemptKey key) { requests_.answer_waits(clock_.now(), key.id); }},
                upstream_protocol(), memory),
      timer_(io) {}

bool Inbound::on_heartbeat(const std::string& instance_id, std::uint32_t capacity, bool closing,
                           std::uint64_t call_seq) {
    if (instance_id != admission().instance_id()) upstream_.retire(0);
    return requests_.on_heartbeat(clock_.now(), instance_id, capacity, closing, call_seq);
}

void Inbound::on_deregistered(const std::string& instance_id) {
    requests_.on_deregistered(clock_.now(), instance_id);
}

void Inbound::leave() { requests_.leave(clock_.now()); }

void Inbound::check_health(const std::string& path, std::uint32_t capacity,
                           const std::function<void(const std::string&)>& on_healthy) {
    struct HealthCheck {
        explicit HealthCheck(asio::io_context& io) : stream(io) {}
        beast::tcp_stream stream;
        http::request<http::empty_body> request;
        beast::flat_buffer in;
        http::response<http::string_body> response;
    };
    auto check = std::make_shared<HealthCheck>(io_);
    check->request.method(http::verb::get);
    check->request.target(path);
    check->request.set(http::field::host, boot_.ip);
    check->request.set(http::field::connection, "close");
    check->stream.expires_after(std::chrono::seconds(1));
    check->stream.async_connect(*boot_.app_address, [=, this](error_code ec) {
        if (ec) return;
        http::async_write(check->stream, check->request, [=, this](error_code ec, std::size_t) {
            if (ec) return;
            http::async_read(check->stream, check->in, check->response,
                             [=, this](error_code ec, std::size_t) {
                                 if (ec || check->response.result_int() != 200) return;
                                 const std::string instance_id(check->response["Instance"]);
                                 if (instance_id.empty() || !admission().instance_id().empty()) return;
                                 requests_.on_healthy(clock_.now(), instance_id, capacity);
                                 if (admission().instance_id() == instance_id) on_healthy(instance_id);
                             });
        });
    });
}

Front::Bounds Inbound::bounds() const {
    Bounds b;
    const std::size_t of_clients = callbacks_.max_header_bytes ? callbacks_.max_header_bytes() : kMaxHeader;
    b.header = of_clients + kProxyHeaderBytes;
    b.body = kMaxBodyBytes;
    b.head_time = kHeadTimeoutMs, b.read_time = kReadTimeoutMs, b.idle_time = kIdleTimeoutMs;
    return b;
}

std::optional<http::status> Inbound::fault(const HttpRequest& head) {
    if (const auto fault = framing_fault(head)) return fault;
    if (std::distance(head.begin(), head.end()) > kMaxHopFields)
        return http::status::request_header_fields_too_large;
    // Only proxies may send requests to the server: anything without a proxy's fields is rejected.
    if (head.count(kHop) != 1 || !parse_hop(head[kHop]) || head.count(kInstance) != 1 ||
        head.count(kRequestId) != 1 || head.count(kCaller) != 1 || !parse_ms(head[kDeadline]))
        return http::status::bad_request;
    return {};
}

// The request has not been passed on: its caller may go to another proxy.
void Inbound::mark_rejection(HttpResponse& response) const {
    mark_verdict(response, {Execution::not_run, Reason::full});
}

RequestId Inbound::arrived(RequestPtr request, Millis spent, std::weak_ptr<Client> client) {
    const Millis now = clock_.now();
    const admission::Ticket ticket = requests_.next_ticket();
    const Hop hop = *parse_hop((*request)[kHop]);
    if (hop.edition > callbacks_.edition()) callbacks_.on_newer_edition(hop.edition);
    admission::Arrival arrival;
    arrival.id = std::string((*request)[kRequestId]);
    arrival.instance_id = std::string((*request)[kInstance]);
    arrival.once = hop.once();
    arrival.may_wait = hop.may_wait;
    arrival.rank = hop.rank;
    arrival.kind = {static_cast<int>(hop.kind), hop.rank, static_cast<long>(hop.target_ms)};
    arrival.target = hop.target_ms;
    arrival.deadline = now - spent + std::min(kMaxDeadlineMs, *parse_ms((*request)[kDeadline]));
    request->erase(kHop);
    strip_hop_by_hop(*request);
    request->prepare_payload();
    held_[ticket] = {std::move(request), std::move(client), urgent_at(now - spent, hop, arrival.deadline)};
    requests_.arrived(now, ticket, arrival, link_state());
    return ticket;
}

std::optional<admission::LinkState> Inbound::link_state() const {
    if (!link_) return {};
    return admission::LinkState{link_->backlog(), link_->bytes_per_ms(), link_->long_answer_bytes()};
}

void Inbound::begin(admission::Ticket ticket, Millis until) {
    upstream_.send({ticket, 0}, 0, *boot_.app_address, held_.at(ticket).message, until);
}

void Inbound::refuse(admission::Ticket ticket, Reason reason) {
    answer(ticket, proxy_answer({Execution::not_run, reason}));
}

void Inbound::ended(admission::Ticket ticket, Outcome outcome, HttpResponse* response) {
    admission::ServerResult end;
    end.success = outcome == Outcome::completed;
    HttpResponse said;
    const unsigned status = response ? response->result_int() : 0;
    const bool named = response && response->count(kRequestId) > 0;
    if (response) {
        end.answer_bytes = response->body().size();
        said = leaf::try_handle_all(
            [&]() -> leaf::result<HttpResponse> { return validate_server_answer(std::move(*response)); },
            [&](const Failure& failure) {
                end.failure = failure;
                return proxy_answer(failure);
            },
            [&] {
                end.failure = Failure{};
                return proxy_answer(Failure{});
            });
    } else {
        end.failure = hop::failure_without_answer(outcome);
        said = proxy_answer(*end.failure);
    }
    if (response && end.failure && end.failure->reason == Reason::turned_away)
        log_turned_away(ticket, status, named);
    requests_.ended(clock_.now(), ticket, end);
    answer(ticket, std::move(said));
}

void Inbound::log_turned_away(admission::Ticket ticket, unsigned status, bool named) const {
    const auto held = held_.find(ticket);
    if (held == held_.end()) return;
    const std::string id((*held->second.message)[kRequestId]);
    log_line("GD014 turned away",
             "the server answered " + id + " with " + std::to_string(status) +
                 (named ? " under its id" : " and named no request"),
             {{"request", id}, {"status", std::uint64_t{status}}, {"named", named}});
}

void Inbound::answer(admission::Ticket ticket, HttpResponse response) {
    const auto at = held_.find(ticket);
    if (at == held_.end()) return;
    const auto client = at->second.client.lock();
    const Millis urgent_at = at->second.urgent_at;
    response.set(kRequestId, (*at->second.message)[kRequestId]);
    held_.erase(at);
    if (!client) return;
    if (callbacks_.edition() > 0) response.set(kEdition, std::to_string(callbacks_.edition()));
    client->answer_urgent_at(std::move(response), urgent_at);
}

void Inbound::client_gone(RequestId id) {
    if (requests_.withdraw(id)) held_.erase(id);
}

void Inbound::schedule_advance() {
    asio::post(io_, [this] { requests_.advance(clock_.now()); });
}

void Inbound::set_timer(Millis when) {
    timer_.expires_at(clock_.point(when));
    timer_.async_wait([this](error_code ec) {
        if (!ec) requests_.timer_fired(clock_.now());
    });
}

}  // namespace cobaltshift::proxy
