#include "net/listener.hpp"

#include <charconv>
#include <cmath>

#include "net/log.hpp"

namespace kelplb::net {

namespace {

constexpr std::chrono::seconds kReadTime{10};   // for a whole request, from its first byte
constexpr std::chrono::seconds kWriteTime{10};  // for an answer that the client does not read
constexpr std::chrono::seconds kLingerTime{1};  // for the client to read the last answer
constexpr std::size_t kLingerBytes = 1 << 20;
constexpr std::chrono::milliseconds kAcceptRetry{20};
// Taken off the client's time: the answer has to be there before it gives up, not on its way.
constexpr Millis kAnswerMargin = 5;

// "480m" or "480000u"; nothing else.
std::optional<Millis> parse_time_left(beast::string_view text) {
    double value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr + 1 != end || !std::isfinite(value) || value < 0) return {};
    if (*parsed.ptr == 'm') return value;
    if (*parsed.ptr == 'u') return value / 1000;
    return {};
}

bool given_once(const HttpRequest& request, const char* name) {
    return request.count(name) == 1 && !request[name].empty();
}

}  // namespace

// One connection: idle, reading a request, waiting for its answer, writing that, and so on until it closes.
class Listener::Session : public Client, public std::enable_shared_from_this<Session> {
public:
    enum class State { idle, reading, waiting, writing, lingering, closed };

    Session(Listener& owner, tcp::socket socket)
        : owner_(owner), socket_(std::move(socket)), timer_(owner.io_) {}

    State state() const { return state_; }
    bool is_new() const { return new_; }  // nothing has come on it yet
    // An idle one that has nothing in the kernel either: closing it takes no request away.
    bool quiet() { return state_ == State::idle && in_.size() == 0 && peek(socket_) != Quiet::bytes; }

    void start() {
        error_code ec;
        socket_.set_option(tcp::no_delay(true), ec);
        socket_.non_blocking(true, ec);
        idle();
    }

    void answer(HttpResponse response) override {
        if (state_ != State::waiting) return;  // the client has left
        write(std::move(response), keep_);
    }

    void close() {
        if (state_ == State::closed) return;
        const State before = state_;
        state_ = State::closed;
        timer_.cancel();
        error_code ignored;
        socket_.close(ignored);
        if (before == State::waiting) owner_.sidecar_.client_gone(id_);
        owner_.closed(*this);
    }

    Sessions::iterator place;

private:
    void idle() {
        state_ = State::idle;
        if (owner_.stopped_ && quiet()) return close();
        owner_.sessions_.splice(owner_.sessions_.end(), owner_.sessions_, place);
        if (in_.size() > 0) return read();
        if (in_.capacity() > kMaxHeader) in_.shrink_to_fit();
        watch();
        owner_.make_room();
    }

    // Wakes when there is something to read: the next request, or the client's leaving.
    void watch() {
        if (watching_) return;
        watching_ = true;
        socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code ec) {
            watching_ = false;
            if (state_ == State::closed) return;
            if (ec) return close();
            if (state_ == State::idle) return read();
            if (state_ != State::waiting) return;
            const Quiet seen = peek(socket_);
            if (seen == Quiet::ended) return close();
            if (seen == Quiet::nothing) return watch();
            // The next request, ahead of this one's answer. It is read when its turn comes.
        });
    }

    void limit(std::chrono::steady_clock::duration time) {
        timer_.expires_after(time);
        timer_.async_wait([this, self = shared_from_this(), state = state_](error_code ec) {
            if (ec || state_ != state) return;
            if (state_ == State::reading) return reject(http::status::request_timeout);
            close();
        });
    }

    void read() {
        state_ = State::reading;
        new_ = false;
        began_ = owner_.clock_.now();
        parser_.emplace();
        parser_->header_limit(kMaxHeader);
        parser_->body_limit(kMaxBody);
        limit(kReadTime);
        http::async_read(
            socket_, in_, *parser_, [this, self = shared_from_this()](error_code ec, std::size_t) {
                if (state_ != State::reading) return;
                if (!ec) return handle();
                // What can't be read is told so. A connection that ended takes no answer.
                if (ec == http::error::end_of_stream || ec == http::error::partial_message ||
                    ec.category() != http::make_error_code(http::error::end_of_stream).category())
                    return close();
                if (ec == http::error::body_limit) return reject(http::status::payload_too_large);
                if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
                    return reject(http::status::request_header_fields_too_large);
                reject(http::status::bad_request);
            });
    }

    void handle() {
        timer_.cancel();
        auto request = std::make_shared<HttpRequest>(parser_->release());
        parser_.reset();
        keep_ = request->keep_alive();
        if (request->target() == "/healthz" && request->method() == http::verb::get) {
            const bool ready = owner_.ready();
            return write(HttpResponse(ready ? http::status::ok : http::status::service_unavailable, 11),
                         keep_);
        }
        if (request->method() != http::verb::get && request->method() != http::verb::post)
            return write(HttpResponse(http::status::method_not_allowed, 11), keep_);
        const auto time_left = parse_time_left((*request)["X-Time-Left"]);
        if (!given_once(*request, "X-Correlation-Id") || !given_once(*request, "X-Service-Class") ||
            !given_once(*request, "X-Time-Left") || request->count("Idempotency-Key") > 1 || !time_left ||
            request->target().empty() || request->target().front() != '/')
            return write(HttpResponse(http::status::bad_request, 11), keep_);
        strip_hop_by_hop(*request);
        request->version(11);
        request->prepare_payload();
        state_ = State::waiting;
        const Millis spent = owner_.clock_.now() - began_;
        id_ = owner_.sidecar_.arrived(std::move(request), std::max(0.0, *time_left - spent - kAnswerMargin),
                                      weak_from_this());
        watch();
    }

    void reject(http::status status) { write(HttpResponse(status, 11), false); }

    void write(HttpResponse response, bool keep) {
        state_ = State::writing;
        out_ = std::move(response);
        out_.version(11);
        keep = keep && !owner_.draining_;
        out_.keep_alive(keep);
        out_.prepare_payload();
        limit(kWriteTime);
        http::async_write(socket_, out_, [this, self = shared_from_this(), keep](error_code ec, std::size_t) {
            if (state_ != State::writing) return;
            timer_.cancel();
            out_ = {};
            if (ec) return close();
            if (keep) return idle();
            linger();
        });
    }

    // Closed with bytes unread, the kernel would reset the connection and the answer with it.
    void linger() {
        state_ = State::lingering;
        error_code ec;
        socket_.shutdown(tcp::socket::shutdown_send, ec);
        in_.clear();
        limit(kLingerTime);
        discard();
    }
    void discard() {
        in_.clear();
        socket_.async_read_some(in_.prepare(4096),
                                [this, self = shared_from_this()](error_code ec, std::size_t n) {
                                    if (state_ != State::lingering) return;
                                    discarded_ += n;
                                    if (ec || discarded_ > kLingerBytes) return close();
                                    discard();
                                });
    }

    Listener& owner_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    State state_ = State::idle;
    bool watching_ = false;
    bool new_ = true;
    beast::flat_buffer in_;
    std::optional<http::request_parser<http::string_body>> parser_;
    HttpResponse out_;
    RequestId id_ = 0;
    Millis began_ = 0;
    bool keep_ = true;
    std::size_t discarded_ = 0;
};

Listener::Listener(asio::io_context& io, const Clock& clock, Sidecar& sidecar, std::size_t connections)
    : io_(io), clock_(clock), sidecar_(sidecar), most_(connections), acceptor_(io), retry_(io) {}
Listener::~Listener() = default;

void Listener::listen(const tcp::endpoint& at) {
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen(1024);
    acceptor_.non_blocking(true);
    accept();
}

void Listener::accept() {
    if (accepting_ || paused_ || stopped_) return;
    if (sessions_.size() > most_)
        return;  // all busy: the next waits in the kernel until one is idle or closes
    accepting_ = true;
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        accepting_ = false;
        if (stopped_) return;
        if (!ec) admit(std::move(socket));
        if (ec == asio::error::no_descriptors || ec == error_code(ENFILE, boost::system::system_category()) ||
            ec == asio::error::no_buffer_space || ec == asio::error::no_memory) {
            // The connection stays in the kernel, and asking again at once would spin.
            log_line("accept: " + ec.message());
            paused_ = true;
            retry_.expires_after(kAcceptRetry);
            retry_.async_wait([this](error_code stop) {
                paused_ = false;
                if (!stop) accept();
            });
            return;
        }
        accept();
    });
}

// One over the limit is taken, and the one idle longest goes for it. Closing it ahead of the need would, with
// all others busy, close the newest before its request has come, over and over.
void Listener::make_room() {
    if (sessions_.size() <= most_) return;
    const auto spare = std::find_if(sessions_.begin(), sessions_.end(),
                                    [](const auto& session) { return session->quiet(); });
    if (spare == sessions_.end() || (*spare == sessions_.back() && (*spare)->is_new())) return;
    const auto session = *spare;
    session->close();
}

void Listener::admit(tcp::socket socket) {
    auto session = std::make_shared<Session>(*this, std::move(socket));
    session->place = sessions_.insert(sessions_.end(), session);
    session->start();
}

void Listener::closed(Session& session) {
    sessions_.erase(session.place);
    accept();
}

void Listener::drain() {
    draining_ = true;
    const Sessions all = sessions_;
    for (const auto& session : all)
        if (session->quiet()) session->close();
}

void Listener::stop_accepting() {
    error_code ec;
    for (tcp::socket socket(io_);;) {
        acceptor_.accept(socket, ec);
        if (ec) break;
        admit(std::move(socket));
        socket = tcp::socket(io_);
    }
    stopped_ = true;
    acceptor_.close(ec);
    drain();
}

bool Listener::busy() const { return !sessions_.empty(); }

}  // namespace kelplb::net
