#include "plan_io/server.hpp"

#include <boost/beast/core/tcp_stream.hpp>
#include <charconv>

#include "log/log.hpp"
#include "plan/codec.hpp"

namespace cobaltshift::plan {

namespace {

constexpr std::chrono::seconds kIdleTimeout{60}, kReadTimeout{5};  // then the connection is closed
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
        // The idle timeout applies until the first byte, then the read timeout for the rest of the message.
        stream_.expires_after(kIdleTimeout);
        stream_.async_read_some(in_.prepare(4096), [self = shared_from_this()](error_code ec, std::size_t n) {
            if (ec) return self->close();
            self->in_.commit(n);
            self->stream_.expires_after(kReadTimeout);
            http::async_read(self->stream_, self->in_, *self->parser_,
                             [self](error_code error, std::size_t) { self->handle(error); });
        });
    }
    void answer_plan() {
        if (!std::exchange(waiting_for_plan_, false)) return;
        owner_.waiting_.remove(this);
        timer_.cancel();
        ++owner_.counts_.plans;
        const Plan plan = owner_.planner_.plan(owner_.clock_.now(), forwarder_, has_);
        respond(http::status::ok, encode(plan));
    }
    void close() {
        if (waiting_for_plan_) owner_.waiting_.remove(this);
        waiting_for_plan_ = false;
        timer_.cancel();
        error_code ignored;
        stream_.socket().close(ignored);
        owner_.connections_.erase(this);
    }

private:
    void handle(error_code ec) {
        if (ec == http::error::body_limit)
            return refuse(http::status::payload_too_large, "the message is too long");
        if (ec == http::error::end_of_stream || ec == beast::error::timeout) return close();
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
            if (!owner_.secret_.verify(code, {"session", forwarder_, nonce_}))
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
        if (!owner_.secret_.verify(
                code, {report ? "report" : "plan", forwarder_, session_, count_, target, request_.body()}))
            return refuse(http::status::unauthorized, "the code is wrong");
        if (*number < owner_.first_session_ || *number >= owner_.next_session_)
            return refuse(http::status::conflict, "the session is over");
        // The content is validated before the message changes any state.
        std::string why;
        std::optional<Report> message;
        if (report) {
            message = decode_report(request_.body(), why);
            if (message && message->forwarder != forwarder_) why = "the report is another forwarder's";
        } else if (!parse_plan_target(target)) {
            why = "after or wait_ms can't be read";
        }
        if (!why.empty()) return refuse(http::status::bad_request, why);
        ReplayState& state = owner_.replay_state(forwarder_);
        if (*number < state.session) return refuse(http::status::conflict, "the session is over");
        if (*number > state.session) state.session = *number, state.reports = state.plans = 0;
        std::uint64_t& last = report ? state.reports : state.plans;
        if (*count <= last) return refuse(http::status::conflict, "the message has been here before");
        last = *count;
        if (report) return accept(*message);
        waiting_for_plan_ = true;
        if (has_ != owner_.planner_.id() || wait_ <= 0) return answer_plan();
        owner_.waiting_.push_back(this);
        stream_.expires_never();
        timer_.expires_after(std::chrono::milliseconds(static_cast<long>(wait_)));
        timer_.async_wait([self = shared_from_this()](error_code error) {
            if (!error) self->answer_plan();
        });
    }
    void accept(const Report& report) {
        ++owner_.counts_.reports;
        const auto result = owner_.planner_.report(owner_.clock_.now(), report);
        if (owner_.on_publish_due_ && owner_.planner_.publish_due()) owner_.on_publish_due_();
        switch (result) {
            case Planner::ReportResult::accepted:
                return respond(http::status::ok, "taken");
            case Planner::ReportResult::repeated:
                return respond(http::status::ok, "repeated");
            case Planner::ReportResult::want_full:
                return respond(http::status::ok, "full");
            case Planner::ReportResult::refused:
                return refuse(http::status::too_many_requests,
                              "counters that make no sense, or too many forwarders");
        }
    }
    // Parses after=EPOCH.SEQUENCE&wait_ms=N; both are required.
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
            if (ec || !self->out_.keep_alive()) return self->close();
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
    bool waiting_for_plan_ = false;
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
      // Above all sessions of former instances, so that their messages are rejected: by the epoch, or by the
      // time if the epoch has been lost.
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
    for (const auto& [key, connection] : all) connection->close();
}

void Server::accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        if (!acceptor_.is_open()) return;
        // For example out of file descriptors: pending connections stay in the kernel's queue, and accepting
        // again at once would spin.
        if (ec) {
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
            ++counts_.dropped;  // the socket is closed when it goes out of scope
        }
        accept();
    });
}

void Server::changed() {
    const auto all = waiting_;
    for (Connection* connection : all) connection->answer_plan();
}

// The map is bounded: the least recently heard forwarder is evicted, and all sessions up to its own become
// invalid, so that none of its messages can be replayed. A forwarder that still uses one of these gets a 409
// and asks for a new session.
Server::ReplayState& Server::replay_state(const std::string& forwarder) {
    const auto at = replay_states_.find(forwarder);
    if (at != replay_states_.end()) {
        lru_.splice(lru_.end(), lru_, at->second.lru_position);
        return at->second;
    }
    if (replay_states_.size() >= 2 * settings_.core.forwarders) {
        const auto oldest = replay_states_.find(lru_.front());
        first_session_ = std::max(first_session_, oldest->second.session + 1);
        replay_states_.erase(oldest);
        lru_.pop_front();
    }
    ReplayState& fresh = replay_states_[forwarder];
    fresh.lru_position = lru_.insert(lru_.end(), forwarder);
    return fresh;
}

}  // namespace cobaltshift::plan
