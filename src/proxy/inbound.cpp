#include "proxy/inbound.hpp"

#include <boost/beast/http/empty_body.hpp>

#include "net/form.hpp"

namespace cobaltshift::proxy {

namespace {
constexpr Millis kConnectWithin = 1000, kIdleClose = 9000, kHeadTime = 5000, kReadTime = 30000,
                 kIdleTime = 30000, kSettle = 0.5, kLate = 40, kLongest = 600000;
constexpr std::size_t kConnections = 64;
constexpr std::uint64_t kMostBody = 64 << 20;

UpstreamManner manner() {
    UpstreamManner m;
    m.stamp = [](HttpRequest& message, Millis left) {
        message.set(kDeadline, std::to_string(static_cast<long long>(std::max(1.0, left - kLate))));
    };
    m.judge = [](const HttpResponse& response) {
        return response.result_int() / 100 == 2 ? Outcome::completed : Outcome::errored;
    };
    m.stray = [](const HttpRequest& request, const HttpResponse& response) {
        const auto id = response[kRequestId];
        // A success without an id is nobody's; a refusal without one is taken for this request's.
        return id.empty() ? response.result_int() / 100 == 2 : id != request[kRequestId];
    };
    m.body_bytes = kMostBody;
    m.heeds_keep_alive = true;
    return m;
}
}  // namespace

Inbound::Inbound(asio::io_context& io, const Clock& clock, const boot::Boot& boot, Around around,
                 const PacedLink* link)
    : io_(io),
      clock_(clock),
      boot_(boot),
      around_(std::move(around)),
      link_(link),
      upstream_(io, clock, Upstream::Limits{{kConnectWithin, kIdleClose, kConnections, kSettle}, 0},
                {[this](AttemptKey key, Outcome outcome, HttpResponse* response) {
                     ended(key.id, outcome, response);
                 },
                 [](ServerId, Outcome, Millis) {}},
                manner()),
      timer_(io) {}

bool Inbound::beat(const std::string& life, std::uint32_t capacity, bool closing, std::uint64_t call_seq) {
    if (life != admission_.life()) upstream_.retire(0);
    const bool taken = admission_.beat(life, capacity, closing, call_seq);
    look();
    return taken;
}

void Inbound::gone(const std::string& life) {
    admission_.gone(life);
    look();
}

void Inbound::leave() {
    admission_.leave();
    look();
}

void Inbound::ask_health(const std::string& path, std::uint32_t capacity,
                         std::function<void(const std::string&)> well) {
    struct Asking {
        explicit Asking(asio::io_context& io) : stream(io) {}
        beast::tcp_stream stream;
        http::request<http::empty_body> request;
        beast::flat_buffer in;
        http::response<http::string_body> response;
    };
    auto asking = std::make_shared<Asking>(io_);
    asking->request.method(http::verb::get);
    asking->request.target(path);
    asking->request.set(http::field::host, boot_.ip);
    asking->request.set(http::field::connection, "close");
    asking->stream.expires_after(std::chrono::seconds(1));
    asking->stream.async_connect(*boot_.app_address, [=, this](error_code ec) {
        if (ec) return;
        http::async_write(asking->stream, asking->request, [=, this](error_code ec, std::size_t) {
            if (ec) return;
            http::async_read(asking->stream, asking->in, asking->response,
                             [=, this](error_code ec, std::size_t) {
                                 if (ec || asking->response.result_int() != 200) return;
                                 const std::string life(asking->response["Instance"]);
                                 if (life.empty() || !admission_.life().empty()) return;
                                 admission_.seen_well(life, capacity);
                                 well(life);
                                 look();
                             });
        });
    });
}

Front::Bounds Inbound::bounds() const {
    Bounds b;
    b.header = (1 << 20) + kMaxHeader;  // the most that a configuration lets clients send, and our own fields
    b.body = kMostBody;
    b.head_time = kHeadTime, b.read_time = kReadTime, b.idle_time = kIdleTime;
    return b;
}

std::optional<http::status> Inbound::fault(const HttpRequest& head) {
    if (const auto fault = framing_fault(head)) return fault;
    // From a proxy alone: whoever else calls here has no say in what the server runs.
    if (head.count(kHop) != 1 || !read_hop(head[kHop]) || head.count(kInstance) != 1 ||
        head.count(kRequestId) != 1 || head.count(kCaller) != 1 || !read_ms(head[kDeadline]))
        return http::status::bad_request;
    return {};
}

RequestId Inbound::arrived(RequestPtr request, Millis spent, std::weak_ptr<Client> client) {
    const Millis now = clock_.now();
    const admission::Ticket ticket = next_++;
    const Hop hop = *read_hop((*request)[kHop]);
    if (hop.edition > around_.edition()) around_.newer(hop.edition);
    admission::Offer offer;
    offer.ticket = ticket;
    offer.id = std::string((*request)[kRequestId]);
    offer.life = std::string((*request)[kInstance]);
    offer.once = hop.once();
    offer.may_wait = hop.may_wait;
    offer.rank = hop.rank;
    offer.deadline = now - spent + std::min(kLongest, *read_ms((*request)[kDeadline]));
    offer.due = now + hop.target_ms;
    request->erase(kHop);
    strip_hop_by_hop(*request);
    request->prepare_payload();
    Job& job = jobs_[ticket];
    job.message = std::move(request);
    job.client = std::move(client);
    job.deadline = offer.deadline;
    job.kind = {static_cast<int>(hop.kind), hop.rank, static_cast<long>(hop.target_ms)};
    promise_link(job, offer);
    const admission::Answer said = admission_.offer(now, offer);
    if (said.act == admission::Act::begin) begin(ticket);
    if (said.act == admission::Act::refuse) answer(ticket, own_answer({Execution::not_run, said.reason}));
    if (said.act == admission::Act::wait) look_soon();
    return ticket;
}

// Long answers alone: short ones pass between their pieces.
void Inbound::promise_link(Job& job, admission::Offer& offer) {
    if (!link_) return;
    const double bytes = answer_sizes_.expected(job.kind);
    if (!link_->is_long(static_cast<std::size_t>(bytes))) return;
    offer.link_wait = link_->backlog() + promised_bytes_ / link_->bytes_per_ms();
    offer.link_time = bytes / link_->bytes_per_ms();
    job.promised_bytes = bytes;
    promised_bytes_ += bytes;
}

void Inbound::forget(std::unordered_map<admission::Ticket, Job>::iterator job) {
    promised_bytes_ -= job->second.promised_bytes;
    jobs_.erase(job);
}

void Inbound::begin(admission::Ticket ticket) {
    Job& job = jobs_.at(ticket);
    job.at_work = true;
    job.began = clock_.now();
    // The server stops by itself at the deadline that it is handed; a little later it is taken for silent.
    const Millis until = job.deadline + kLate;
    deadlines_.emplace(std::pair(until, ticket), true);
    upstream_.send({ticket, 0}, 0, *boot_.app_address, job.message, until);
    look_soon();
}

void Inbound::ended(admission::Ticket ticket, Outcome outcome, HttpResponse* response) {
    const auto at = jobs_.find(ticket);
    if (at == jobs_.end()) return;
    const Millis took = clock_.now() - at->second.began;
    deadlines_.erase({at->second.deadline + kLate, ticket});
    HttpResponse said;
    bool worked = true;
    if (response) {
        answer_sizes_.learn(at->second.kind, response->body().size());
        said = leaf::try_handle_all(
            [&]() -> leaf::result<HttpResponse> { return server_answer(std::move(*response)); },
            [&](const Failure& failure) {
                worked = failure.execution != Execution::not_run;
                return own_answer(failure);
            },
            [] { return own_answer(Failure{}); });
        strip_hop_by_hop(said);
    } else {
        worked = outcome != Outcome::refused_connection && outcome != Outcome::superseded;
        said = own_answer(worked ? Failure{Execution::may_have_run,
                                           outcome == Outcome::overdue ? Reason::silent : Reason::broken}
                                 : Failure{Execution::not_run, Reason::unreachable});
    }
    admission_.ended(ticket, worked && outcome == Outcome::completed ? took : 0, worked);
    answer(ticket, std::move(said));
    look_soon();
}

void Inbound::answer(admission::Ticket ticket, HttpResponse response) {
    const auto at = jobs_.find(ticket);
    if (at == jobs_.end()) return;
    const auto client = at->second.client.lock();
    forget(at);
    if (!client) return;
    if (around_.edition() > 0) response.set(kEdition, std::to_string(around_.edition()));
    client->answer(std::move(response));
}

void Inbound::client_gone(RequestId id) {
    const auto at = jobs_.find(id);
    if (at == jobs_.end()) return;
    if (at->second.at_work) return upstream_.cancel({id, 0});  // ended() follows
    admission_.withdraw(id);
    forget(at);
}

void Inbound::look_soon() {
    if (std::exchange(looking_, true)) return;
    asio::post(io_, [this] { look(); });
}

void Inbound::look() {
    looking_ = false;
    const Millis now = clock_.now();
    for (const auto& turned : admission_.turned(now))
        answer(turned.ticket, own_answer({Execution::not_run, turned.reason}));
    for (const admission::Ticket ticket : admission_.next(now)) begin(ticket);
    while (!deadlines_.empty() && deadlines_.begin()->first.first <= now) {
        const admission::Ticket late = deadlines_.begin()->first.second;
        deadlines_.erase(deadlines_.begin());
        upstream_.expire({late, 0});
    }
    Millis next = admission_.due();
    if (!deadlines_.empty() && (next == 0 || deadlines_.begin()->first.first < next))
        next = deadlines_.begin()->first.first;
    if (next == 0 || next == armed_for_) return;
    armed_for_ = next;
    timer_.expires_at(clock_.point(next));
    timer_.async_wait([this](error_code ec) {
        if (ec) return;
        armed_for_ = 0;
        look();
    });
}

}  // namespace cobaltshift::proxy
