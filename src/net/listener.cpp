#include "net/listener.hpp"

#include <sstream>

#include "log/log.hpp"
#include "net/form.hpp"

namespace cobaltshift {

namespace {

constexpr Millis kAlwaysUrgent = 0;  // answers without an urgency time have already waited elsewhere
// The bounds on the time and the input while a client reads the last answer on a connection.
constexpr Millis kLingerTimeMs = 500;
constexpr std::size_t kMaxLingerBytes = 256 * 1024;
constexpr std::chrono::milliseconds kAcceptRetryDelay{20}, kSweepInterval{50};
// The ages from which a connection may be closed in favour of another: without any request data, while
// sending its first request, and idle after a request. Clients may still reuse an idle connection, hence the
// 2 s.
constexpr Millis kUnusedGraceMs = 20, kFirstRequestGraceMs = 150, kIdleGraceMs = 2000;
constexpr std::size_t kReadBytes = 4096, kMaxPipelinedBytes = kMaxHeader;
// Unread data in the kernel counts towards the process's memory, and a fast sender fills that buffer.
constexpr int kReceiveBufferBytes = 64 * 1024;
// Charged for a connection: its objects here, and input that has just arrived.
constexpr std::size_t kConnectionBytes = 8 * 1024;
// Charged for each byte of a head's whole lines: a line of four bytes is held as a field of some 80.
constexpr std::size_t kBytesHeldPerHeadByte = 24;
// A body of up to this many bytes is read even if there is no room left: others make room for it.
constexpr std::size_t kShortBodyBytes = 64 * 1024;

http::status status_for(error_code ec) {
    if (ec == http::error::body_limit) return http::status::payload_too_large;
    if (ec == http::error::header_limit) return http::status::request_header_fields_too_large;
    return http::status::bad_request;
}

}  // namespace

// One client connection: it repeats idle, reading a request, waiting for its answer and writing the answer
// until it closes. Before it closes after an answer, it lingers until the client has read that.
class Listener::Session : public Client, public std::enable_shared_from_this<Session> {
public:
    enum class State { idle, reading, waiting, writing, lingering, closed };

    Session(Listener& owner, tcp::socket socket)
        : owner_(owner),
          socket_(std::move(socket)),
          charge_(owner.memory_),
          state_since_(owner.clock_.now()) {
        owner_.adjust_count(usage_, 1);
        charge_.set(kConnectionBytes);
    }

    State state() const { return state_; }
    // Idle without received data, neither here nor in the kernel: closing it loses no request.
    bool is_quiet() {
        return state_ == State::idle && input_.size() == 0 && peek(socket_) != PendingInput::bytes;
    }

    Usage usage() const { return usage_; }

    std::optional<OpenRequest> open_request() const {
        using Stage = OpenRequest::Stage;
        const Millis age = owner_.clock_.now() - request_began_;
        switch (state_) {
            case State::reading:
                return OpenRequest{Stage::reading, {}, age, 0};
            case State::waiting:
                return OpenRequest{Stage::waiting, log_name_, age, 0};
            case State::writing:
                return OpenRequest{Stage::answering, log_name_, age, unsent_bytes()};
            default:
                return {};
        }
    }

    // The order in which connections are closed to make room for another, lowest first; kNotEvictable: never.
    static constexpr int kNotEvictable = 4;
    int eviction_rank(Millis now) const {
        const Millis age = now - state_since_;
        if (state_ == State::idle && is_new_ && age >= kUnusedGraceMs) return 0;
        if (state_ == State::lingering && age >= kUnusedGraceMs) return 1;
        if (state_ == State::reading && is_new_ && age >= kFirstRequestGraceMs) return 2;
        if (state_ == State::idle && !is_new_ && age >= kIdleGraceMs) return 3;
        return kNotEvictable;
    }

    // What keeping this connection costs (see MemoryAccount), if it can be released: its client has yet to
    // send or to read something.
    std::optional<double> memory_cost(Millis now, const MemoryAccount::Eligible& eligible) const {
        const bool client_is_due = state_ == State::reading || state_ == State::writing ||
                                   state_ == State::lingering || leaves_input_unread_;
        if (!client_is_due || state_ == State::closed) return {};
        const bool is_eligible =
            now - busy_since_ >= eligible.min_age || (eligible.long_requests && reads_long_request());
        if (!is_eligible) return {};
        return static_cast<double>(charge_.bytes()) * (now - busy_since_ + 1);
    }
    void release_memory() {
        if (state_ == State::reading) return reject(http::status::service_unavailable);
        if (state_ == State::writing) log_answer_cut();
        close();
    }

    void start() {
        error_code ec;
        socket_.set_option(tcp::no_delay(true), ec);
        socket_.non_blocking(true, ec);
        deadline_ = state_since_ +
                    owner_.front_.bounds().head_time;  // from the start, independent of when data arrives
        receive();
    }

    void answer(HttpResponse response) override { answer_urgent_at(std::move(response), kAlwaysUrgent); }

    void answer_urgent_at(HttpResponse response, Millis urgent_at) override {
        if (state_ != State::waiting) return;  // the client has disconnected
        release_request();
        write(std::move(response), keep_, urgent_at);
    }

    void close() {
        if (state_ == State::closed) return;
        const State before = state_;
        set_state(State::closed);
        if (paced_write_ != 0) owner_.link_->cancel(std::exchange(paced_write_, 0));
        error_code ignored;
        socket_.close(ignored);
        release_request();
        charge_.set(0);
        if (before == State::waiting) owner_.front_.client_gone(id_);
        owner_.closed(*this);
    }

    bool is_overdue(Millis now) const { return deadline_ > 0 && now >= deadline_; }
    void on_timeout() {
        if (state_ == State::reading) return reject(http::status::request_timeout);
        if (state_ == State::writing) {
            if (is_waiting_for_link()) return;
            log_answer_cut();
        }
        close();
    }

    Sessions::iterator place;

private:
    void set_state(State state) {
        state_ = state;
        busy_since_ = owner_.clock_.now();
        owner_.adjust_count(usage_, std::size_t(-1));
        usage_ = state == State::lingering || state == State::closed ? Usage::none
                 : is_new_                                           ? Usage::unused
                 : state == State::idle                              ? Usage::kept_alive
                                                                     : Usage::busy;
        owner_.adjust_count(usage_, 1);
    }

    // Whether the client may fill the kernel's buffer faster than it is read here.
    bool may_have_unread_input() const {
        return leaves_input_unread_ || state_ == State::reading || state_ == State::lingering;
    }
    bool reads_long_request() const {
        return state_ == State::reading &&
               charge_.bytes() > kConnectionBytes + kReceiveBufferBytes + kShortBodyBytes;
    }
    // Brings the charge up to date with what is held for this connection.
    void charge_held() {
        std::size_t bytes = kConnectionBytes + input_.capacity() + answer_bytes_;
        if (parser_)
            bytes += kBytesHeldPerHeadByte * head_bytes_ +
                     std::max(reserved_body_bytes_, parser_->get().body().size());
        if (may_have_unread_input()) bytes += kReceiveBufferBytes;
        charge_.set(bytes);
    }

    void become_idle() {
        set_state(State::idle);
        state_since_ = owner_.clock_.now();
        const Millis idle_time = owner_.front_.bounds().idle_time;
        deadline_ = idle_time > 0 ? state_since_ + idle_time : 0;
        if (owner_.stopped_ && is_quiet()) return close();
        owner_.sessions_.splice(owner_.sessions_.end(), owner_.sessions_, place);
        if (input_.size() > 0) return begin_request();
        if (input_.capacity() > kReadBytes) input_.shrink_to_fit();
        receive();
        charge_held();
        owner_.accept();  // a waiting connection may now be accepted
    }

    // Starts a read unless one is pending. There is a read pending in every state, as it also detects that
    // the client disconnects. It has a buffer of its own because the input buffer may be consumed meanwhile.
    void receive() {
        if (receiving_ || state_ == State::closed) return;
        receiving_ = true;
        leaves_input_unread_ = false;
        socket_.async_read_some(
            asio::buffer(read_buffer_), [this, self = shared_from_this()](error_code ec, std::size_t n) {
                receiving_ = false;
                if (state_ == State::closed) return;
                try {
                    received(ec, n);
                } catch (const std::exception& error) {
                    // Contained to this connection: an error must not affect the others.
                    log_line("listener.failed",
                             std::string("processing a client's request failed: ") + error.what());
                    close();
                }
            });
    }

    void received(error_code ec, std::size_t n) {
        if (state_ == State::lingering) {
            discarded_ += n;
            if (ec || discarded_ > kMaxLingerBytes) return close();
            return receive();
        }
        if (ec) {
            // A paced answer is dropped: it would take link time for a client that has disconnected.
            if (state_ != State::writing || paced_write_ != 0) return close();
            client_gone_ = true;
            return;
        }
        input_.commit(asio::buffer_copy(input_.prepare(n), asio::buffer(read_buffer_, n)));
        if (state_ == State::idle) return begin_request();
        if (state_ == State::reading) return parse();
        // A pipelined request; it is parsed after the answer. Reads go on, to detect a disconnect.
        if (state_ == State::waiting && input_.size() < kMaxPipelinedBytes)
            receive();
        else
            leaves_input_unread_ = true;
        charge_held();
    }

    void begin_request() {
        set_state(State::reading);
        request_began_ = owner_.clock_.now();
        bounds_ = owner_.front_.bounds();
        log_name_.clear();
        if (!is_new_ || deadline_ == 0) deadline_ = request_began_ + bounds_.head_time;
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(bounds_.header));
        parser_->body_limit(bounds_.body);
        parser_->eager(false);
        head_seen_ = false;
        head_bytes_ = 0;
        parse();
    }

    void parse() {
        while (!parser_->is_done()) {
            const error_code ec = parse_received(*parser_, input_, head_bytes_, bounds_.header);
            if (ec == http::error::need_more) {
                charge_held();
                return receive();
            }
            if (ec) return reject(status_for(ec));
            if (parser_->is_header_done() && !head_seen_) {
                head_seen_ = true;
                if (!accept_head()) return;
            }
        }
        dispatch();
    }

    // Validates the head and reserves memory for the body before the body is read. False: the request was
    // rejected.
    bool accept_head() {
        const HttpRequest& head = parser_->get();
        const auto fault = owner_.front_.fault(head);
        const std::size_t length =
            parser_->chunked() ? std::min(bounds_.body, kMaxBody) : parser_->content_length().value_or(0);
        deadline_ += bounds_.read_time - bounds_.head_time;
        if (fault) {
            keep_ = !framing_fault(head) && length == 0 && head.keep_alive();
            write(rejection(*fault), keep_);
            return false;
        }
        if (!owner_.has_room_for_body(length)) {
            reject(http::status::service_unavailable);
            return false;
        }
        reserved_body_bytes_ = length;
        owner_.body_bytes_ += length;
        return true;
    }

    void dispatch() {
        const bool chunked = parser_->chunked();
        HttpRequest message = parser_->release();
        parser_.reset();
        charge_held();  // the request has a charge of its own from here on
        const auto request = std::make_shared<HeldRequest>(std::move(message), owner_.memory_);
        keep_ = request->keep_alive();
        is_new_ = false;
        if (auto response = owner_.front_.local(*request)) return write(std::move(*response), keep_);
        // The trailers of a chunked body may have added fields to the head.
        if (chunked && owner_.front_.fault(*request)) return reject(http::status::bad_request);
        std::string name = owner_.front_.request_id_of(*request);
        if (!name.empty() && !owner_.open_ids_.insert(name).second)
            return write(rejection(http::status::conflict), keep_);
        log_name_ = name.empty() ? owner_.front_.log_name(*request) : name;
        open_name_ = std::move(name);
        set_state(State::waiting);
        deadline_ = 0;
        id_ = owner_.front_.arrived(request, owner_.clock_.now() - request_began_, weak_from_this());
        if (state_ != State::waiting) return;
        if (input_.size() < kMaxPipelinedBytes)
            receive();
        else
            leaves_input_unread_ = true;
        charge_held();
    }

    void release_request() {
        owner_.body_bytes_ -= std::exchange(reserved_body_bytes_, 0);
        if (!open_name_.empty()) owner_.open_ids_.erase(open_name_);
        open_name_.clear();
    }

    std::size_t unsent_bytes() const {
        return paced_write_ != 0 ? owner_.link_->unsent_bytes(paced_write_) : response_.body().size();
    }
    // Whether a paced answer is waiting for the link. The client has no influence on that wait, so its time
    // to read counts from the start of each piece.
    bool is_waiting_for_link() {
        if (paced_write_ == 0) return false;
        const Millis now = owner_.clock_.now();
        deadline_ = owner_.link_->piece_pending_since(paced_write_).value_or(now) + owner_.limits_.write_time;
        return now < deadline_;
    }
    void log_answer_cut() const {
        const Millis age = owner_.clock_.now() - request_began_;
        log_line("listener.answer_cut",
                 "the client did not read its answer in time, connection closed: " + log_name_ + ", " +
                     std::to_string(unsent_bytes()) + " bytes left after " +
                     std::to_string(static_cast<long>(age)) + " ms",
                 {{"request", log_name_},
                  {"bytes_left", static_cast<std::uint64_t>(unsent_bytes())},
                  {"age_ms", age}});
    }

    HttpResponse rejection(http::status status) const {
        HttpResponse response(status, 11);
        owner_.front_.mark_rejection(response);
        return response;
    }
    void reject(http::status status) { write(rejection(status), false); }

    void write(HttpResponse response, bool keep) { write(std::move(response), keep, kAlwaysUrgent); }
    void write(HttpResponse response, bool keep, Millis urgent_at) {
        set_state(State::writing);
        release_request();
        parser_.reset();
        deadline_ = owner_.clock_.now() + owner_.limits_.write_time;
        response_ = std::move(response);
        response_.version(11);
        // Clients that ask once and keep their connection would take the places that new requests need.
        keep = keep && !owner_.draining_ && !owner_.near_limit();
        response_.keep_alive(keep);
        response_.prepare_payload();
        answer_bytes_ = response_.body().size();
        charge_held();
        if (owner_.link_ && write_paced(keep, urgent_at)) return;
        http::async_write(
            socket_, response_,
            [this, self = shared_from_this(), keep](error_code ec, std::size_t) { written(ec, keep); });
    }
    void written(error_code ec, bool keep) {
        if (state_ != State::writing) return;
        free_memory(response_.body());
        response_ = {};
        answer_bytes_ = 0;
        paced_write_ = 0;
        if (ec || client_gone_) return close();
        if (keep) return become_idle();
        linger();
    }
    // Queues a long answer for the paced link. False: the answer is short and is to be written at once.
    bool write_paced(bool keep, Millis urgent_at) {
        if (!owner_.link_->is_long(response_.body().size())) {
            owner_.link_->record_sent(response_.body().size());
            return false;
        }
        std::ostringstream head;
        head << response_.base();
        PacedLink::Message message{std::move(head).str(), std::move(response_.body())};
        response_ = {};
        paced_write_ = owner_.link_->write(
            socket_, std::move(message), urgent_at,
            [this, self = shared_from_this(), keep](error_code ec) { written(ec, keep); });
        return true;
    }

    // Closing a socket with unread input makes the kernel reset the connection, which may discard the answer.
    // So the output is shut down and input is discarded until the client closes.
    void linger() {
        set_state(State::lingering);
        state_since_ = owner_.clock_.now();
        deadline_ = state_since_ + kLingerTimeMs;
        error_code ec;
        socket_.shutdown(tcp::socket::shutdown_send, ec);
        input_.clear();
        input_.shrink_to_fit();
        receive();
        charge_held();
    }

    Listener& owner_;
    tcp::socket socket_;
    MemoryAccount::Charge charge_;
    State state_ = State::idle;
    Usage usage_ = Usage::unused;
    bool receiving_ = false;
    bool is_new_ = true;        // no complete valid request yet
    bool client_gone_ = false;  // the client disconnected while its answer was written
    bool head_seen_ = false;
    bool keep_ = true;
    bool leaves_input_unread_ = false;  // the kernel may hold more input, up to its buffer's size
    std::array<char, kReadBytes> read_buffer_;
    beast::flat_buffer input_;
    std::optional<http::request_parser<http::string_body>> parser_;
    HttpResponse response_;
    PacedLink::WriteId paced_write_ = 0;  // the write of a long answer on the paced link; 0: none
    RequestId id_ = 0;
    std::string open_name_;  // id of the request that awaits its answer
    std::string log_name_;   // of that request or of the one being answered
    std::size_t head_bytes_ = 0, reserved_body_bytes_ = 0, discarded_ = 0;
    std::size_t answer_bytes_ = 0;  // of the answer that is held here or by the link, until it is written
    Front::Bounds bounds_;          // for the current request
    Millis state_since_ = 0;        // start of the state idle or lingering
    Millis busy_since_ = 0;         // start of the current state, whichever it is
    Millis request_began_ = 0;      // start of the current request
    Millis deadline_ = 0;           // time of the timeout; 0: none
};

Listener::Listener(asio::io_context& io, const Clock& clock, Front& front, Limits limits, PacedLink* link,
                   MemoryAccount* memory)
    : io_(io),
      clock_(clock),
      front_(front),
      limits_(limits),
      link_(link),
      memory_(memory),
      acceptor_(io),
      accept_retry_timer_(io),
      sweep_timer_(io) {
    if (memory_) memory_->add(*this);
}
Listener::~Listener() {
    if (memory_) memory_->remove(*this);
}

void Listener::listen(const tcp::endpoint& at) {
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes));  // inherited by accepted sockets
    acceptor_.bind(at);
    acceptor_.listen(static_cast<int>(limits_.backlog));
    acceptor_.non_blocking(true);
    accept();
    sweep();
}

void Listener::accept() {
    if (accepting_ || accept_paused_ || stopped_) return;
    // One connection over the limit is accepted, and another is closed for it. While all others are busy,
    // further connections wait in the kernel's backlog until one becomes idle or closes.
    if (sessions_.size() > limits_.connections && !evict_any()) return;
    accepting_ = true;
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        accepting_ = false;
        if (stopped_) return;
        if (!ec) add_session(std::move(socket));
        if (ec == asio::error::no_descriptors || ec == error_code(ENFILE, boost::system::system_category()) ||
            ec == asio::error::no_buffer_space || ec == asio::error::no_memory) {
            // The connection stays in the backlog, so retrying at once would be a busy loop.
            log_line("listener.accept", "accept failed: " + ec.message());
            accept_paused_ = true;
            accept_retry_timer_.expires_after(kAcceptRetryDelay);
            accept_retry_timer_.async_wait([this](error_code stop) {
                accept_paused_ = false;
                if (!stop) accept();
            });
            return;
        }
        accept();
    });
}

// Closes the connection of the lowest eviction rank among the candidates; false if there is none to close.
template <class Predicate>
bool Listener::evict(Predicate candidate) {
    const Millis now = clock_.now();
    std::shared_ptr<Session> first;
    int eviction_rank = Session::kNotEvictable;
    for (const auto& session : sessions_) {  // least recently active first
        const int own = session->eviction_rank(now);
        if (own >= eviction_rank || !candidate(session->usage())) continue;
        if (session->state() == Session::State::idle && !session->is_quiet()) continue;
        first = session, eviction_rank = own;
        if (eviction_rank == 0) break;
    }
    if (!first) return false;
    const bool accepting = std::exchange(accepting_, true);  // closing must not start an accept
    first->close();
    accepting_ = accepting;
    return true;
}

bool Listener::evict_any() {
    return evict([](Usage) { return true; });
}

bool Listener::has_room_for_body(std::size_t bytes) const {
    if (body_bytes_ + bytes > limits_.body_bytes) return false;
    return !memory_ || bytes <= kShortBodyBytes || memory_->has_room(bytes);
}

std::shared_ptr<Listener::Session> Listener::costliest_session(
    Millis now, const MemoryAccount::Eligible& eligible) const {
    std::shared_ptr<Session> costliest;
    double highest = 0;
    for (const auto& session : sessions_) {
        const auto cost = session->memory_cost(now, eligible);
        if (!cost || (costliest && *cost <= highest)) continue;
        costliest = session;
        highest = *cost;
    }
    return costliest;
}

std::optional<double> Listener::highest_cost(Millis now, const MemoryAccount::Eligible& eligible) const {
    const auto session = costliest_session(now, eligible);
    return session ? session->memory_cost(now, eligible) : std::nullopt;
}

void Listener::release_costliest(Millis now, const MemoryAccount::Eligible& eligible) {
    if (const auto session = costliest_session(now, eligible)) session->release_memory();
}

void Listener::add_session(tcp::socket socket) {
    auto session = std::make_shared<Session>(*this, std::move(socket));
    session->place = sessions_.insert(sessions_.end(), session);
    session->start();
    if (too_many_unused()) evict([](Usage usage) { return usage == Usage::unused; });
}

void Listener::closed(Session& session) {
    sessions_.erase(session.place);
    accept();
}

// Enforces the time limits of all connections with one timer. They need no precision, and a timer for each
// connection would cost more than the requests.
void Listener::sweep() {
    sweep_timer_.expires_after(kSweepInterval);
    sweep_timer_.async_wait([this](error_code ec) {
        if (ec) return;
        const Millis now = clock_.now();
        std::vector<std::shared_ptr<Session>> due;
        for (const auto& session : sessions_)
            if (session->is_overdue(now)) due.push_back(session);
        for (const auto& session : due) session->on_timeout();
        while (near_limit() && evict([](Usage usage) { return usage == Usage::kept_alive; })) {
        }
        while (too_many_unused() && evict([](Usage usage) { return usage == Usage::unused; })) {
        }
        accept();
        sweep();
    });
}

void Listener::drain() {
    draining_ = true;
    const Sessions all = sessions_;
    for (const auto& session : all)
        if (session->is_quiet()) session->close();
}

void Listener::stop_accepting() {
    error_code ec;
    for (tcp::socket socket(io_);;) {
        acceptor_.accept(socket, ec);
        if (ec) break;
        add_session(std::move(socket));
        socket = tcp::socket(io_);
    }
    stopped_ = true;
    acceptor_.close(ec);
    drain();
}

bool Listener::busy() const { return !sessions_.empty(); }

std::vector<Listener::OpenRequest> Listener::open_requests() const {
    std::vector<OpenRequest> open;
    for (const auto& session : sessions_)
        if (auto request = session->open_request()) open.push_back(std::move(*request));
    return open;
}

}  // namespace cobaltshift
