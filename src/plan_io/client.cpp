#include "plan_io/client.hpp"

#include <boost/beast/core/tcp_stream.hpp>
#include <sstream>

#include "plan/codec.hpp"

namespace cobaltshift::plan {

namespace {
constexpr Millis kFirstBackoff = 100, kLongestBackoff = 5000;
constexpr std::chrono::milliseconds kConnect{1000}, kAnswer{2000};
constexpr Millis kBeyondWait = 800, kFirstPlan = 500;
constexpr double kRefusedPause = 0.25;  // of the reports' period, after a plan that was not taken
}  // namespace

class Client::Line : public std::enable_shared_from_this<Line> {
public:
    Line(Client& owner, std::size_t planner, bool reports)
        : owner_(&owner),
          planner_(planner),
          reports_(reports),
          timer_(owner.io_),
          pace_(owner.settings_.report, owner.clock_.now() + owner.random_.unit() * owner.settings_.report) {
    }  // not in step with others

    // A plan is wanted soon, however seldom reports are.
    void start() {
        const Millis first = pace_.due() - owner_->clock_.now();
        later(reports_ ? first : std::min(first, owner_->random_.unit() * kFirstPlan));
    }
    void news() {
        const Millis now = owner_->clock_.now();
        // One that is out, or failing, is not hurried: its successor takes the news along.
        if (reports_ && pace_.news(now) && resting_) later(pace_.due() - now);
    }
    void stop() {
        owner_ = nullptr;
        timer_.cancel();
        close();
    }

private:
    Link& link() { return owner_->links_[planner_]; }

    void later(Millis delay) {
        resting_ = backoff_ == 0;
        timer_.expires_after(std::chrono::microseconds(static_cast<long>(std::max(0.0, delay) * 1000)));
        // One that had expired already when it was set anew still comes, and must not ask beside this one.
        timer_.async_wait([self = shared_from_this(), turn = ++turn_](error_code ec) {
            if (!ec && self->owner_ && self->turn_ == turn) self->next();
        });
    }
    // A connection's descriptor is freed with it.
    void close() {
        if (stream_) stream_->close();
        stream_.reset();
        in_.clear();
    }
    void failed() {
        ++owner_->counts_.failures;
        close();
        backoff_ = std::min(std::max(kFirstBackoff, backoff_ * 2), kLongestBackoff);
        later(owner_->random_.unit() * backoff_);  // full jitter
    }
    void next() {
        resting_ = false;
        if (stream_) return ask();
        stream_ = std::make_unique<beast::tcp_stream>(owner_->io_);
        stream_->expires_after(kConnect);
        stream_->async_connect(owner_->settings_.planners[planner_],
                               [self = shared_from_this()](error_code ec) {
                                   if (!self->owner_) return;
                                   if (ec) return self->failed();
                                   error_code ignored;
                                   self->stream_->socket().set_option(tcp::no_delay(true), ignored);
                                   self->ask();
                               });
    }
    void ask() {
        asked_at_ = owner_->clock_.now();
        std::string target, body, nonce, code;
        session_ = link().session;
        asks_session_ = session_.empty();
        const Secret& secret = owner_->secret_;
        http::verb verb = http::verb::get;
        if (asks_session_) {
            target = "/v1/session";
            std::ostringstream drawn;
            for (int i = 0; i < 4; ++i)
                drawn << std::hex << static_cast<std::uint64_t>(owner_->random_.unit() * 0x1p53);
            nonce = drawn.str();
            count_ = "0";
            code = secret.code({"session", owner_->name_, nonce});
        } else if (reports_) {
            verb = http::verb::post;
            target = "/v1/report";
            const Report report = owner_->handlers_.report(planner_);
            sequence_ = report.sequence;
            pace_.sent(asked_at_, owner_->random_.unit());
            body = encode(report);
            count_ = std::to_string(++link().reports);
            code = secret.code({"report", owner_->name_, session_, count_, target, body});
        } else {
            const PlanId has = owner_->handlers_.has(planner_);
            target = "/v1/plan?after=" + std::to_string(has.epoch) + "." + std::to_string(has.sequence) +
                     "&wait_ms=" + std::to_string(static_cast<long>(owner_->settings_.wait));
            count_ = std::to_string(++link().plans);
            code = secret.code({"plan", owner_->name_, session_, count_, target, body});
        }
        nonce_ = nonce;
        request_ = HttpRequest(verb, target, 11);
        request_.set(http::field::host, "planner");
        request_.set("X-Plan-Forwarder", owner_->name_);
        if (asks_session_) {
            request_.set("X-Plan-Nonce", nonce);
        } else {
            request_.set("X-Plan-Session", session_);
            request_.set("X-Plan-Count", count_);
        }
        if (secret.given()) request_.set("X-Plan-Code", code);
        request_.body() = std::move(body);
        request_.prepare_payload();
        stream_->expires_after(reports_ || asks_session_ ? kAnswer
                                                         : std::chrono::milliseconds(static_cast<long>(
                                                               owner_->settings_.wait + kBeyondWait)));
        http::async_write(*stream_, request_, [self = shared_from_this()](error_code ec, std::size_t) {
            if (!self->owner_ || !self->stream_) return;
            if (ec) return self->failed();
            self->parser_.emplace();
            self->parser_->body_limit(kMaxMessage);
            http::async_read(*self->stream_, self->in_, *self->parser_,
                             [self](error_code error, std::size_t) {
                                 if (!self->owner_ || !self->stream_) return;
                                 if (error) return self->failed();
                                 self->answered();
                             });
        });
    }
    void answered() {
        const auto& answer = parser_->get();
        const bool keep = parser_->keep_alive();
        const auto said = answer["X-Plan-Code"];
        const std::string status = std::to_string(answer.result_int());
        if (!owner_->secret_.right({said.data(), said.size()},
                                   {"answer", owner_->name_, asks_session_ ? answer.body() : session_, count_,
                                    nonce_, status, answer.body()}))
            return failed();
        if (answer.result() == http::status::conflict && !asks_session_) {
            if (link().session == session_) link().session.clear();
            return failed();
        }
        if (answer.result() != http::status::ok) return failed();
        if (asks_session_) {
            if (answer.body().empty() || answer.body().size() > 20) return failed();
            if (link().session.empty()) {  // the other line may have been first
                link() = {answer.body(), 0, 0};
            }
            if (!keep) close();
            return next();
        }
        backoff_ = 0;
        if (reports_) {
            ++owner_->counts_.reports;
            owner_->handlers_.acknowledged(planner_, sequence_, answer.body() == "full");
            if (!keep) close();
            return later(pace_.due() - owner_->clock_.now());
        }
        std::string why;
        const auto plan = decode_plan(answer.body(), why);
        if (!plan || plan->planner != planner_) return failed();
        ++owner_->counts_.plans;
        const bool taken = owner_->handlers_.plan(planner_, asked_at_, *plan);
        if (!taken) ++owner_->counts_.refused;
        if (!keep) close();
        if (!taken) return later(owner_->settings_.report * kRefusedPause * (0.5 + owner_->random_.unit()));
        // A planner that answers at once, whatever it is asked, is not to be asked in a spin.
        const Millis took = owner_->clock_.now() - asked_at_;
        later(std::max(0.0, 50 - took));
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
    bool asks_session_ = false;
    std::uint64_t sequence_ = 0;
    Millis asked_at_ = 0, backoff_ = 0;
    Pace pace_;               // of reports
    std::uint64_t turn_ = 0;  // of the timer
    bool resting_ = false;    // until the time that pace_ says
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
      links_(settings_.planners.size()) {
    if (name_.size() > kMaxName) name_.resize(kMaxName);
    for (std::size_t p = 0; p < settings_.planners.size(); ++p)
        for (const bool reports : {true, false}) {
            lines_.push_back(std::make_shared<Line>(*this, p, reports));
            lines_.back()->start();
        }
}

void Client::news() {
    for (const auto& line : lines_) line->news();
}

Client::~Client() {
    for (const auto& line : lines_) line->stop();
}

}  // namespace cobaltshift::plan
