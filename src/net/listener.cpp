#include "net/listener.hpp"

#include <sstream>

#include "log/log.hpp"
#include "net/form.hpp"

namespace cobaltshift {

namespace {

constexpr Millis kAlwaysUrgent = 0;  // of an answer that has waited elsewhere
constexpr Millis kLingerTime = 500;  // for the client to read the last answer
constexpr std::size_t kLingerBytes = 256 * 1024;
constexpr std::chrono::milliseconds kAcceptRetry{20}, kSweep{50};
// Which connections may go for another: silent ones never used, those long in sending their first request,
// and idle ones that a client may still count on, but not within 2 s.
constexpr Millis kSilentGrace = 20, kSlowGrace = 150, kIdleGrace = 2000;
constexpr std::size_t kReadSize = 4096, kAhead = kMaxHeader;
// What the kernel holds unread counts as memory too, and a sender at full speed fills it.
constexpr int kKernelBuffer = 64 * 1024;

http::status status_for(error_code ec) {
    if (ec == http::error::body_limit) return http::status::payload_too_large;
    if (ec == http::error::header_limit) return http::status::request_header_fields_too_large;
    return http::status::bad_request;
}

}  // namespace

// One connection: idle, reading a request, waiting for its answer, writing that, and so on until it closes.
class Listener::Session : public Client, public std::enable_shared_from_this<Session> {
public:
    enum class State { idle, reading, waiting, writing, lingering, closed };

    Session(Listener& owner, tcp::socket socket)
        : owner_(owner), socket_(std::move(socket)), since_(owner.clock_.now()) {
        owner_.book(account_, 1);
    }

    State state() const { return state_; }
    // An idle one that has nothing in the kernel either: closing it takes no request away.
    bool quiet() { return state_ == State::idle && in_.size() == 0 && peek(socket_) != Quiet::bytes; }

    Account account() const { return account_; }

    std::optional<OpenRequest> open_request() const {
        using Stage = OpenRequest::Stage;
        const Millis age = owner_.clock_.now() - began_;
        switch (state_) {
            case State::reading:
                return OpenRequest{Stage::reading, {}, age, 0};
            case State::waiting:
                return OpenRequest{Stage::waiting, log_name_, age, 0};
            case State::writing:
                return OpenRequest{Stage::answering, log_name_, age, answer_left()};
            default:
                return {};
        }
    }

    // Which go first to make room for another, the least first; kStays: it does not go.
    static constexpr int kStays = 4;
    int rank(Millis now) const {
        const Millis age = now - since_;
        if (state_ == State::idle && new_ && age >= kSilentGrace) return 0;
        if (state_ == State::lingering && age >= kSilentGrace) return 1;
        if (state_ == State::reading && new_ && age >= kSlowGrace) return 2;
        if (state_ == State::idle && !new_ && age >= kIdleGrace) return 3;
        return kStays;
    }

    void start() {
        error_code ec;
        socket_.set_option(tcp::no_delay(true), ec);
        socket_.non_blocking(true, ec);
        until_ = since_ + owner_.front_.bounds().head_time;  // from the start, whatever comes when
        receive();
    }

    void answer(HttpResponse response) override { answer_urgent_at(std::move(response), kAlwaysUrgent); }

    void answer_urgent_at(HttpResponse response, Millis urgent_at) override {
        if (state_ != State::waiting) return;  // the client has left
        release();
        write(std::move(response), keep_, urgent_at);
    }

    void close() {
        if (state_ == State::closed) return;
        const State before = state_;
        enter(State::closed);
        if (paced_ != 0) owner_.link_->withdraw(std::exchange(paced_, 0));
        error_code ignored;
        socket_.close(ignored);
        release();
        if (before == State::waiting) owner_.front_.client_gone(id_);
        owner_.closed(*this);
    }

    bool is_due(Millis now) const { return until_ > 0 && now >= until_; }
    void time_is_up() {
        if (state_ == State::reading) return reject(http::status::request_timeout);
        if (state_ == State::writing) {
            if (waits_for_turn()) return;
            log_answer_cut();
        }
        close();
    }

    Sessions::iterator place;

private:
    void enter(State state) {
        state_ = state;
        owner_.book(account_, std::size_t(-1));
        account_ = state == State::lingering || state == State::closed ? Account::none
                   : new_                                              ? Account::silent
                   : state == State::idle                              ? Account::kept
                                                                       : Account::busy;
        owner_.book(account_, 1);
    }

    void idle() {
        enter(State::idle);
        since_ = owner_.clock_.now();
        const Millis idle_time = owner_.front_.bounds().idle_time;
        until_ = idle_time > 0 ? since_ + idle_time : 0;
        if (owner_.stopped_ && quiet()) return close();
        owner_.sessions_.splice(owner_.sessions_.end(), owner_.sessions_, place);
        if (in_.size() > 0) return begin();
        if (in_.capacity() > kReadSize) in_.shrink_to_fit();
        receive();
        owner_.accept();  // one that waits may now find room
    }

    // At most one read is under way, in whichever state: it notices the client's leaving too. It has its own
    // place for the bytes, since what has come before may be used up meanwhile.
    void receive() {
        if (receiving_ || state_ == State::closed) return;
        receiving_ = true;
        socket_.async_read_some(
            asio::buffer(chunk_), [this, self = shared_from_this()](error_code ec, std::size_t n) {
                receiving_ = false;
                if (state_ == State::closed) return;
                try {
                    received(ec, n);
                } catch (const std::exception& error) {
                    // Of one connection: what goes wrong with it must not touch the
                    // others.
                    log_line("listener.failed", std::string("a connection failed: ") + error.what());
                    close();
                }
            });
    }

    void received(error_code ec, std::size_t n) {
        if (state_ == State::lingering) {
            discarded_ += n;
            if (ec || discarded_ > kLingerBytes) return close();
            return receive();
        }
        if (ec) {
            // What waits for the link in turns would be written for nobody.
            if (state_ != State::writing || paced_ != 0) return close();
            left_ = true;
            return;
        }
        in_.commit(asio::buffer_copy(in_.prepare(n), asio::buffer(chunk_, n)));
        if (state_ == State::idle) return begin();
        if (state_ == State::reading) return parse();
        // The next request, ahead of this one's answer. It is read when its turn comes; the reading goes on
        // for the client's leaving.
        if (state_ == State::waiting && in_.size() < kAhead) receive();
    }

    void begin() {
        enter(State::reading);
        began_ = owner_.clock_.now();
        bounds_ = owner_.front_.bounds();
        log_name_.clear();
        if (!new_ || until_ == 0) until_ = began_ + bounds_.head_time;
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
            const error_code ec = feed(*parser_, in_, head_bytes_, bounds_.header);
            if (ec == http::error::need_more) return receive();
            if (ec) return reject(status_for(ec));
            if (parser_->is_header_done() && !head_seen_) {
                head_seen_ = true;
                if (!look_at_head()) return;
            }
        }
        handle();
    }

    // No body is read before its head is found good and there is room for it. False: it was turned away.
    bool look_at_head() {
        const HttpRequest& head = parser_->get();
        const auto fault = owner_.front_.fault(head);
        const std::size_t length =
            parser_->chunked() ? std::min(bounds_.body, kMaxBody) : parser_->content_length().value_or(0);
        until_ += bounds_.read_time - bounds_.head_time;
        if (fault) {
            keep_ = !framing_fault(head) && length == 0 && head.keep_alive();
            write(HttpResponse(*fault, 11), keep_);
            return false;
        }
        if (owner_.body_bytes_ + length > owner_.limits_.body_bytes) {
            reject(http::status::service_unavailable);
            return false;
        }
        claimed_ = length;
        owner_.body_bytes_ += length;
        return true;
    }

    void handle() {
        const bool chunked = parser_->chunked();
        auto request = std::make_shared<HttpRequest>(parser_->release());
        parser_.reset();
        keep_ = request->keep_alive();
        new_ = false;
        if (auto response = owner_.front_.local(*request)) return write(std::move(*response), keep_);
        // What follows the chunks may add to the head.
        if (chunked && owner_.front_.fault(*request)) return reject(http::status::bad_request);
        std::string name = owner_.front_.name_of(*request);
        if (!name.empty() && !owner_.open_.insert(name).second)
            return write(HttpResponse(http::status::conflict, 11), keep_);
        log_name_ = name.empty() ? owner_.front_.log_name_of(*request) : name;
        open_name_ = std::move(name);
        enter(State::waiting);
        until_ = 0;
        id_ = owner_.front_.arrived(std::move(request), owner_.clock_.now() - began_, weak_from_this());
        if (in_.size() < kAhead) receive();
    }

    void release() {
        owner_.body_bytes_ -= std::exchange(claimed_, 0);
        if (!open_name_.empty()) owner_.open_.erase(open_name_);
        open_name_.clear();
    }

    std::size_t answer_left() const { return paced_ != 0 ? owner_.link_->left(paced_) : out_.body().size(); }
    // Its reader can do nothing about a turn that has not come: the time counts from each piece on.
    bool waits_for_turn() {
        if (paced_ == 0) return false;
        const Millis now = owner_.clock_.now();
        until_ = owner_.link_->unread_since(paced_).value_or(now) + owner_.limits_.write_time;
        return now < until_;
    }
    void log_answer_cut() const {
        const Millis age = owner_.clock_.now() - began_;
        log_line("listener.answer_cut",
                 "an answer was not read in time and is cut: " + log_name_ + ", " +
                     std::to_string(answer_left()) + " bytes left after " +
                     std::to_string(static_cast<long>(age)) + " ms",
                 {{"request", log_name_},
                  {"bytes_left", static_cast<std::uint64_t>(answer_left())},
                  {"age_ms", age}});
    }

    void reject(http::status status) { write(HttpResponse(status, 11), false); }

    void write(HttpResponse response, bool keep) { write(std::move(response), keep, kAlwaysUrgent); }
    void write(HttpResponse response, bool keep, Millis urgent_at) {
        enter(State::writing);
        release();
        parser_.reset();
        until_ = owner_.clock_.now() + owner_.limits_.write_time;
        out_ = std::move(response);
        out_.version(11);
        // One that asks once and stays for good would keep the next from asking at all.
        keep = keep && !owner_.draining_ && !owner_.crowded();
        out_.keep_alive(keep);
        out_.prepare_payload();
        if (owner_.link_ && write_paced(keep, urgent_at)) return;
        http::async_write(socket_, out_, [this, self = shared_from_this(), keep](error_code ec, std::size_t) {
            written(ec, keep);
        });
    }
    void written(error_code ec, bool keep) {
        if (state_ != State::writing) return;
        out_ = {};
        paced_ = 0;
        if (ec || left_) return close();
        if (keep) return idle();
        linger();
    }
    // Long answers take turns on the machine's link. False: it is short, and goes out at once.
    bool write_paced(bool keep, Millis urgent_at) {
        if (!owner_.link_->is_long(out_.body().size())) {
            owner_.link_->sent(out_.body().size());
            return false;
        }
        std::ostringstream head;
        head << out_.base();
        std::string bytes = std::move(head).str();
        bytes += out_.body();
        out_ = {};
        paced_ = owner_.link_->write(
            socket_, std::move(bytes), urgent_at,
            [this, self = shared_from_this(), keep](error_code ec) { written(ec, keep); });
        return true;
    }

    // Closed with bytes unread, the kernel would reset the connection and the answer with it.
    void linger() {
        enter(State::lingering);
        since_ = owner_.clock_.now();
        until_ = since_ + kLingerTime;
        error_code ec;
        socket_.shutdown(tcp::socket::shutdown_send, ec);
        in_.clear();
        receive();
    }

    Listener& owner_;
    tcp::socket socket_;
    State state_ = State::idle;
    Account account_ = Account::silent;
    bool receiving_ = false;
    bool new_ = true;    // no request has come whole and good yet
    bool left_ = false;  // the client has, while its answer was written
    bool head_seen_ = false;
    bool keep_ = true;
    std::array<char, kReadSize> chunk_;
    beast::flat_buffer in_;
    std::optional<http::request_parser<http::string_body>> parser_;
    HttpResponse out_;
    PacedLink::Write paced_ = 0;  // of a long answer that takes turns with others; 0: none
    RequestId id_ = 0;
    std::string open_name_, log_name_;  // of the request that waits; of that or of the one that is answered
    std::size_t head_bytes_ = 0, claimed_ = 0, discarded_ = 0;
    Front::Bounds bounds_;                      // as of the request that is read
    Millis since_ = 0, began_ = 0, until_ = 0;  // in this state; its request; closed or told off after
};

Listener::Listener(asio::io_context& io, const Clock& clock, Front& front, Limits limits, PacedLink* link)
    : io_(io),
      clock_(clock),
      front_(front),
      limits_(limits),
      link_(link),
      acceptor_(io),
      retry_(io),
      sweep_(io) {}
Listener::~Listener() = default;

void Listener::listen(const tcp::endpoint& at) {
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.set_option(
        asio::socket_base::receive_buffer_size(kKernelBuffer));  // passed on to what it takes
    acceptor_.bind(at);
    acceptor_.listen(1024);
    acceptor_.non_blocking(true);
    accept();
    sweep();
}

void Listener::accept() {
    if (accepting_ || paused_ || stopped_) return;
    // One over the limit is taken and another goes for it. With all others busy the next waits in the kernel
    // until one is idle or closes.
    if (sessions_.size() > limits_.connections && !make_room()) return;
    accepting_ = true;
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        accepting_ = false;
        if (stopped_) return;
        if (!ec) admit(std::move(socket));
        if (ec == asio::error::no_descriptors || ec == error_code(ENFILE, boost::system::system_category()) ||
            ec == asio::error::no_buffer_space || ec == asio::error::no_memory) {
            // The connection stays in the kernel, and asking again at once would spin.
            log_line("listener.accept", "accept: " + ec.message());
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

// Closes the first by rank of those wanted that may go; false if there is none.
template <class Wanted>
bool Listener::let_go(Wanted wanted) {
    const Millis now = clock_.now();
    std::shared_ptr<Session> first;
    int rank = Session::kStays;
    for (const auto& session : sessions_) {  // those quiet longest come first
        const int own = session->rank(now);
        if (own >= rank || !wanted(session->account())) continue;
        if (session->state() == Session::State::idle && !session->quiet()) continue;
        first = session, rank = own;
        if (rank == 0) break;
    }
    if (!first) return false;
    const bool accepting = std::exchange(accepting_, true);  // not from within its closing
    first->close();
    accepting_ = accepting;
    return true;
}

bool Listener::make_room() {
    return let_go([](Account) { return true; });
}

void Listener::admit(tcp::socket socket) {
    auto session = std::make_shared<Session>(*this, std::move(socket));
    session->place = sessions_.insert(sessions_.end(), session);
    session->start();
    if (too_silent()) let_go([](Account account) { return account == Account::silent; });
}

void Listener::closed(Session& session) {
    sessions_.erase(session.place);
    accept();
}

// One timer for all connections' time limits: none is exact, and one each would cost more than the requests.
void Listener::sweep() {
    sweep_.expires_after(kSweep);
    sweep_.async_wait([this](error_code ec) {
        if (ec) return;
        const Millis now = clock_.now();
        std::vector<std::shared_ptr<Session>> due;
        for (const auto& session : sessions_)
            if (session->is_due(now)) due.push_back(session);
        for (const auto& session : due) session->time_is_up();
        while (crowded() && let_go([](Account account) { return account == Account::kept; })) {
        }
        while (too_silent() && let_go([](Account account) { return account == Account::silent; })) {
        }
        accept();
        sweep();
    });
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

std::vector<Listener::OpenRequest> Listener::open_requests() const {
    std::vector<OpenRequest> open;
    for (const auto& session : sessions_)
        if (auto request = session->open_request()) open.push_back(std::move(*request));
    return open;
}

}  // namespace cobaltshift
