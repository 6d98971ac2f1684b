#include "plan_io/server.hpp"

#include <boost/beast/core/tcp_stream.hpp>
#include <charconv>

#include "log/log.hpp"
#include "plan/codec.hpp"

namespace cobaltshift::plan {

namespace {

constexpr std::chrono::seconds kIdle{60}, kReading{5};  // the slow are dropped
constexpr Millis kLongestWait = 20000;
constexpr std::chrono::milliseconds kAcceptRetry{20};

std::optional<std::uint64_t> number_of(std::string_view text) {
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return {};
    return value;
}

std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

class Server::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Server& owner, tcp::socket socket)
        : owner_(owner), stream_(std::move(socket)), timer_(owner.io_) {}

    void read() {
        parser_.emplace();
        parser_->header_limit(kMaxHeader);
        parser_->body_limit(kMaxMessage);
        // Idle until the first byte, then it has to come quickly.
        stream_.expires_after(kIdle);
        stream_.async_read_some(in_.prepare(4096), [self = shared_from_this()](error_code ec, std::size_t n) {
            if (ec) return self->leave();
            self->in_.commit(n);
            self->stream_.expires_after(kReading);
            http::async_read(self->stream_, self->in_, *self->parser_,
                             [self](error_code error, std::size_t) { self->taken(error); });
        });
    }
    void answer_plan() {
        if (!std::exchange(waits_, false)) return;
        owner_.waiting_.remove(this);
        timer_.cancel();
        ++owner_.counts_.plans;
        const Plan plan = owner_.planner_.plan(owner_.clock_.now(), forwarder_, has_);
        respond(http::status::ok, encode(plan));
    }
    void leave() {
        if (waits_) owner_.waiting_.remove(this);
        waits_ = false;
        timer_.cancel();
        error_code ignored;
        stream_.socket().close(ignored);
        owner_.connections_.erase(this);
    }

private:
    void taken(error_code ec) {
        if (ec == http::error::body_limit)
            return refuse(http::status::payload_too_large, "the message is too long");
        if (ec == http::error::end_of_stream || ec == beast::error::timeout) return leave();
        if (ec) return refuse(http::status::bad_request, ec.message());
        request_ = parser_->release();
        owner_.counts_.bytes_in += request_.body().size() + request_.target().size();
        const std::string_view target = view(request_.target());
        const std::string_view path = target.substr(0, target.find('?'));
        const bool report = path == "/v1/report", plan = path == "/v1/plan", session = path == "/v1/session";
        if (!report && !plan && !session) return refuse(http::status::not_found, "no such path");
        if (request_.method() != (report ? http::verb::post : http::verb::get))
            return refuse(http::status::method_not_allowed, "not with this method");
        forwarder_ = std::string(request_["X-Plan-Forwarder"]);
        if (forwarder_.empty() || forwarder_.size() > kMaxName)
            return refuse(http::status::bad_request, "X-Plan-Forwarder is missing or too long");
        const std::string_view code = view(request_["X-Plan-Code"]);
        if (session) {
            nonce_ = std::string(request_["X-Plan-Nonce"]);
            if (!owner_.secret_.right(code, {"session", forwarder_, nonce_}))
                return refuse(http::status::unauthorized, "the code is wrong");
            session_ = std::to_string(owner_.next_session_++);
            count_ = "0";
            return respond(http::status::ok, session_);
        }
        session_ = std::string(request_["X-Plan-Session"]);
        count_ = std::string(request_["X-Plan-Count"]);
        nonce_.clear();
        const auto number = number_of(session_), count = number_of(count_);
        if (!number || !count)
            return refuse(http::status::bad_request, "X-Plan-Session or X-Plan-Count is no number");
        if (!owner_.secret_.right(
                code, {report ? "report" : "plan", forwarder_, session_, count_, target, request_.body()}))
            return refuse(http::status::unauthorized, "the code is wrong");
        if (*number < owner_.first_session_ || *number >= owner_.next_session_)
            return refuse(http::status::conflict, "the session is over");
        // Whatever is wrong with what it says is found before anything is kept of it.
        std::string why;
        std::optional<Report> said;
        if (report) {
            said = decode_report(request_.body(), why);
            if (said && said->forwarder != forwarder_) why = "the report is another forwarder's";
        } else if (!parse_plan_target(target)) {
            why = "after or wait_ms can't be read";
        }
        if (!why.empty()) return refuse(http::status::bad_request, why);
        Seen& seen = owner_.seen(forwarder_);
        if (*number < seen.session) return refuse(http::status::conflict, "the session is over");
        if (*number > seen.session) seen.session = *number, seen.reports = seen.plans = 0;
        std::uint64_t& last = report ? seen.reports : seen.plans;
        if (*count <= last) return refuse(http::status::conflict, "the message has been here before");
        last = *count;
        if (report) return take(*said);
        waits_ = true;
        if (has_ != owner_.planner_.id() || wait_ <= 0) return answer_plan();
        owner_.waiting_.push_back(this);
        stream_.expires_never();
        timer_.expires_after(std::chrono::milliseconds(static_cast<long>(wait_)));
        timer_.async_wait([self = shared_from_this()](error_code error) {
            if (!error) self->answer_plan();
        });
    }
    void take(const Report& said) {
        ++owner_.counts_.reports;
        const auto taken = owner_.planner_.report(owner_.clock_.now(), said);
        if (owner_.on_turn_ && owner_.planner_.publish_due()) owner_.on_turn_();
        switch (taken) {
            case Planner::Taken::taken:
                return respond(http::status::ok, "taken");
            case Planner::Taken::repeated:
                return respond(http::status::ok, "repeated");
            case Planner::Taken::want_full:
                return respond(http::status::ok, "full");
            case Planner::Taken::refused:
                return refuse(http::status::too_many_requests,
                              "counters that make no sense, or too many forwarders");
        }
    }
    // after=EPOCH.SEQUENCE&wait_ms=N, both needed.
    bool parse_plan_target(std::string_view target) {
        const auto value = [&](std::string_view name) -> std::string_view {
            const auto at = target.find(name);
            if (at == std::string_view::npos || (target[at - 1] != '?' && target[at - 1] != '&')) return {};
            const auto from = at + name.size();
            return target.substr(from, target.find('&', from) - from);
        };
        const std::string_view after = value("after=");
        const auto dot = after.find('.');
        if (dot == std::string_view::npos) return false;
        const auto epoch = number_of(after.substr(0, dot)), sequence = number_of(after.substr(dot + 1));
        const auto wait = number_of(value("wait_ms="));
        if (!epoch || !sequence || !wait) return false;
        has_ = {*epoch, *sequence};
        wait_ = std::min(static_cast<Millis>(*wait), kLongestWait);
        return true;
    }
    void refuse(http::status status, const std::string& why) {
        ++owner_.counts_.refused;
        respond(status, why, status != http::status::conflict && status != http::status::too_many_requests);
    }
    void respond(http::status status, std::string body, bool close = false) {
        out_ = HttpResponse(status, 11);
        out_.body() = std::move(body);
        out_.keep_alive(!close && request_.keep_alive());
        if (owner_.secret_.given())
            out_.set("X-Plan-Code", owner_.secret_.code({"answer", forwarder_, session_, count_, nonce_,
                                                         std::to_string(out_.result_int()), out_.body()}));
        out_.prepare_payload();
        owner_.counts_.bytes_out += out_.body().size();
        stream_.expires_after(std::chrono::milliseconds(static_cast<long>(owner_.settings_.writing)));
        http::async_write(stream_, out_, [self = shared_from_this()](error_code ec, std::size_t) {
            if (ec == beast::error::timeout) ++self->owner_.counts_.dropped;
            if (ec || !self->out_.keep_alive()) return self->leave();
            self->out_ = {};
            self->read();
        });
    }

    Server& owner_;
    beast::tcp_stream stream_;
    asio::steady_timer timer_;
    beast::flat_buffer in_;
    std::optional<http::request_parser<http::string_body>> parser_;
    HttpRequest request_;
    HttpResponse out_;
    std::string forwarder_, session_, count_, nonce_;
    PlanId has_;
    Millis wait_ = 0;
    bool waits_ = false;
};

Server::Server(asio::io_context& io, const Clock& clock, Planner& planner, const ServerSettings& settings,
               Secret secret)
    : io_(io),
      clock_(clock),
      planner_(planner),
      settings_(settings),
      secret_(std::move(secret)),
      acceptor_(io),
      retry_(io),
      // Above those of any former life, so that its messages are known as such: by the epoch, and by the time
      // for one that has lost it.
      first_session_(
          std::max<std::uint64_t>(planner.id().epoch << 24, static_cast<std::uint64_t>(clock.now() * 1000))),
      next_session_(first_session_) {
    acceptor_.open(settings.listen.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(settings.listen);
    acceptor_.listen(4096);
    accept();
}

Server::~Server() { stop(); }

void Server::stop() {
    error_code ignored;
    acceptor_.close(ignored);
    retry_.cancel();
    const auto all = connections_;
    for (const auto& [key, connection] : all) connection->leave();
}

void Server::accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        if (!acceptor_.is_open()) return;
        if (ec) {  // out of descriptors, say: what waits stays in the kernel, and asking at once would spin
            retry_.expires_after(kAcceptRetry);
            retry_.async_wait([this](error_code stopped) {
                if (!stopped) accept();
            });
            return;
        }
        if (connections_.size() < settings_.connections) {
            ++counts_.connections;
            auto connection = std::make_shared<Connection>(*this, std::move(socket));
            connections_[connection.get()] = connection;
            connection->read();
        } else {
            ++counts_.dropped;  // closed as it goes out of scope
        }
        accept();
    });
}

void Server::changed() {
    const auto all = waiting_;
    for (Connection* connection : all) connection->answer_plan();
}

// Bounded: the one unheard longest goes, and with it every session up to its own, so that nothing of it can
// be played again. Whoever still uses one of those gets a 409 and takes a new one.
Server::Seen& Server::seen(const std::string& forwarder) {
    const auto at = seen_.find(forwarder);
    if (at != seen_.end()) {
        seen_order_.splice(seen_order_.end(), seen_order_, at->second.order);
        return at->second;
    }
    if (seen_.size() >= 2 * settings_.core.forwarders) {
        const auto oldest = seen_.find(seen_order_.front());
        first_session_ = std::max(first_session_, oldest->second.session + 1);
        seen_.erase(oldest);
        seen_order_.pop_front();
    }
    Seen& fresh = seen_[forwarder];
    fresh.order = seen_order_.insert(seen_order_.end(), forwarder);
    return fresh;
}

}  // namespace cobaltshift::plan
