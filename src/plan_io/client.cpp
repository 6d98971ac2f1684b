#include "plan_io/client.hpp"

#include <boost/beast/core/tcp_stream.hpp>
#include <sstream>

#include "plan/codec.hpp"

namespace cobaltshift::plan {

namespace {
constexpr Millis kFirstBackoffMs = 100, kMaxBackoffMs = 5000;
constexpr std::chrono::milliseconds kConnectTimeout{1000}, kResponseTimeout{2000};
constexpr Millis kWaitMarginMs = 800;   // response timeout of a plan request beyond its wait
constexpr Millis kFirstPlanMs = 500;    // the first plan is requested within this time
constexpr double kRefusedPause = 0.25;  // mean pause after a refused plan, as a part of the report interval
}  // namespace

class Client::Channel : public std::enable_shared_from_this<Channel> {
public:
    Channel(Client& owner, std::size_t planner, bool reports)
        : owner_(&owner),
          planner_(planner),
          reports_(reports),
          timer_(owner.io_),
          pace_(owner.settings_.report, owner.clock_.now() + owner.random_.unit() * owner.settings_.report) {
    }  // a random phase, so that forwarders don't synchronize

    // The first plan is requested soon even if the report interval is long.
    void start() {
        const Millis first = pace_.due() - owner_->clock_.now();
        schedule(reports_ ? first : std::min(first, owner_->random_.unit() * kFirstPlanMs));
    }
    void report_early() {
        const Millis now = owner_->clock_.now();
        // While a report is in flight or backing off, the next one covers the new events.
        if (reports_ && pace_.report_early(now) && idle_) schedule(pace_.due() - now);
    }
    void stop() {
        owner_ = nullptr;
        timer_.cancel();
        close();
    }

private:
    Session& session() { return owner_->sessions_[planner_]; }

    void schedule(Millis delay) {
        idle_ = backoff_ == 0;
        timer_.expires_after(std::chrono::microseconds(static_cast<long>(std::max(0.0, delay) * 1000)));
        // The handler of a wait that had already expired when the timer was set again still runs; it must not
        // start a second request.
        timer_.async_wait([self = shared_from_this(), id = ++wait_id_](error_code ec) {
            if (!ec && self->owner_ && self->wait_id_ == id) self->next();
        });
    }
    // Destroys the stream as well, so that its file descriptor is freed.
    void close() {
        if (stream_) stream_->close();
        stream_.reset();
        in_.clear();
    }
    void failed() {
        ++owner_->counts_.failures;
        close();
        backoff_ = std::min(std::max(kFirstBackoffMs, backoff_ * 2), kMaxBackoffMs);
        schedule(owner_->random_.unit() * backoff_);  // full jitter
    }
    void next() {
        idle_ = false;
        if (stream_) return send_request();
        stream_ = std::make_unique<beast::tcp_stream>(owner_->io_);
        stream_->expires_after(kConnectTimeout);
        stream_->async_connect(owner_->settings_.planners[planner_],
                               [self = shared_from_this()](error_code ec) {
                                   if (!self->owner_) return;
                                   if (ec) return self->failed();
                                   error_code ignored;
                                   self->stream_->socket().set_option(tcp::no_delay(true), ignored);
                                   self->send_request();
                               });
    }
    void send_request() {
        asked_at_ = owner_->clock_.now();
        std::string target, body, nonce, code;
        session_ = session().number;
        requesting_session_ = session_.empty();
        const Secret& secret = owner_->secret_;
        http::verb verb = http::verb::get;
        if (requesting_session_) {
            target = "/v1/session";
            std::ostringstream random;
            for (int i = 0; i < 4; ++i)
                random << std::hex << static_cast<std::uint64_t>(owner_->random_.unit() * 0x1p53);
            nonce = random.str();
            count_ = "0";
            code = secret.code({"session", owner_->name_, nonce});
        } else if (reports_) {
            verb = http::verb::post;
            target = "/v1/report";
            const Report report = owner_->handlers_.report(planner_);
            sequence_ = report.sequence;
            pace_.sent(asked_at_, owner_->random_.unit());
            body = encode(report);
            count_ = std::to_string(++session().reports);
            code = secret.code({"report", owner_->name_, session_, count_, target, body});
        } else {
            const PlanId has = owner_->handlers_.has(planner_);
            target = "/v1/plan?after=" + std::to_string(has.epoch) + "." + std::to_string(has.sequence) +
                     "&wait_ms=" + std::to_string(static_cast<long>(owner_->settings_.wait));
            count_ = std::to_string(++session().plans);
            code = secret.code({"plan", owner_->name_, session_, count_, target, body});
        }
        nonce_ = nonce;
        request_ = HttpRequest(verb, target, 11);
        request_.set(http::field::host, "planner");
        request_.set("X-Plan-Forwarder", owner_->name_);
        if (requesting_session_) {
            request_.set("X-Plan-Nonce", nonce);
        } else {
            request_.set("X-Plan-Session", session_);
            request_.set("X-Plan-Count", count_);
        }
        if (secret.given()) request_.set("X-Plan-Code", code);
        request_.body() = std::move(body);
        request_.prepare_payload();
        stream_->expires_after(
            reports_ || requesting_session_
                ? kResponseTimeout
                : std::chrono::milliseconds(static_cast<long>(owner_->settings_.wait + kWaitMarginMs)));
        http::async_write(*stream_, request_, [self = shared_from_this()](error_code ec, std::size_t) {
            if (!self->owner_ || !self->stream_) return;
            if (ec) return self->failed();
            self->parser_.emplace();
            self->parser_->body_limit(kMaxMessage);
            http::async_read(*self->stream_, self->in_, *self->parser_,
                             [self](error_code error, std::size_t) {
                                 if (!self->owner_ || !self->stream_) return;
                                 if (error) return self->failed();
                                 self->handle_response();
                             });
        });
    }
    void handle_response() {
        const auto& answer = parser_->get();
        const bool keep = parser_->keep_alive();
        const auto received_code = answer["X-Plan-Code"];
        const std::string status = std::to_string(answer.result_int());
        if (!owner_->secret_.verify({received_code.data(), received_code.size()},
                                    {"answer", owner_->name_, requesting_session_ ? answer.body() : session_,
                                     count_, nonce_, status, answer.body()}))
            return failed();
        if (answer.result() == http::status::conflict && !requesting_session_) {
            if (session().number == session_) session().number.clear();
            return failed();
        }
        if (answer.result() != http::status::ok) return failed();
        if (requesting_session_) {
            if (answer.body().empty() || answer.body().size() > 20) return failed();
            if (session().number.empty()) {  // the other channel may have been faster
                session() = {answer.body(), 0, 0};
            }
            if (!keep) close();
            return next();
        }
        backoff_ = 0;
        if (reports_) {
            ++owner_->counts_.reports;
            owner_->handlers_.acknowledged(planner_, sequence_, answer.body() == "full");
            if (!keep) close();
            return schedule(pace_.due() - owner_->clock_.now());
        }
        std::string why;
        const auto plan = decode_plan(answer.body(), why);
        if (!plan || plan->planner != planner_) return failed();
        ++owner_->counts_.plans;
        const bool taken = owner_->handlers_.plan(planner_, asked_at_, *plan);
        if (!taken) ++owner_->counts_.refused;
        if (!keep) close();
        if (!taken)
            return schedule(owner_->settings_.report * kRefusedPause * (0.5 + owner_->random_.unit()));
        // At least 50 ms between requests: a planner that responds at once to every request must not cause a
        // busy loop.
        const Millis took = owner_->clock_.now() - asked_at_;
        schedule(std::max(0.0, 50 - took));
    }

    Client* owner_;  // null once stopped
    std::size_t planner_;
    bool reports_;
    asio::steady_timer timer_;
    std::unique_ptr<beast::tcp_stream> stream_;
    beast::flat_buffer in_;
    HttpRequest request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    std::string session_, count_, nonce_;
    bool requesting_session_ = false;
    std::uint64_t sequence_ = 0;
    Millis asked_at_ = 0, backoff_ = 0;
    ReportSchedule pace_;        // schedule of reports
    std::uint64_t wait_id_ = 0;  // of the newest wait on timer_
    bool idle_ = false;          // waiting for the next scheduled request, without a failure before it
};

Client::Client(asio::io_context& io, const Clock& clock, std::string name, std::uint64_t seed,
               ClientSettings settings, Secret secret, Handlers handlers)
    : io_(io),
      clock_(clock),
      name_(std::move(name)),
      random_(seed),
      settings_(std::move(settings)),
      secret_(std::move(secret)),
      handlers_(std::move(handlers)),
      sessions_(settings_.planners.size()) {
    if (name_.size() > kMaxName) name_.resize(kMaxName);
    for (std::size_t p = 0; p < settings_.planners.size(); ++p)
        for (const bool reports : {true, false}) {
            channels_.push_back(std::make_shared<Channel>(*this, p, reports));
            channels_.back()->start();
        }
}

void Client::report_early() {
    for (const auto& channel : channels_) channel->report_early();
}

Client::~Client() {
    for (const auto& channel : channels_) channel->stop();
}

}  // namespace cobaltshift::plan
