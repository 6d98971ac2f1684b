#include "control_io/peers.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "log/log.hpp"
#include "raft/codec.hpp"

namespace cobaltshift::control {

namespace {

constexpr char kOwn = 'A', kPassedOn = 'B';
constexpr std::size_t kChunk = 16 * 1024, kMostLines = 16;

// Whatever is not acknowledged so long ends the connection: a cut says nothing.
void give_up_soon(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const unsigned milliseconds = static_cast<unsigned>(kStuck.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

}  // namespace

// ---- A connection to another hub -------------------------------------------------------------------------

struct Peers::Line : std::enable_shared_from_this<Line> {
    Line(Peers& of, std::uint32_t ip)
        : peers(of),
          alive(of.alive_),
          to(asio::ip::address_v4(ip), of.port_),
          socket(of.io_),
          timer(of.io_) {}

    void send(std::string frame) {
        if (queued + frame.size() > kMostQueued) {
            ++peers.counts_.dropped;
            return;
        }
        queued += frame.size();
        queue.push_back(std::move(frame));
        if (!dialling && !up) dial();
        if (up && !writing) write();
    }
    void watch(std::chrono::milliseconds time) {
        timer.expires_after(time);
        timer.async_wait([self = weak_from_this()](error_code ec) {
            if (const auto s = self.lock(); s && !ec) s->drop();
        });
    }
    void dial() {
        ++peers.counts_.dialled;
        dialling = true;
        const std::uint64_t life = ++lives;
        socket = tcp::socket(peers.io_);
        watch(kStuck);
        socket.async_connect(to, [self = shared_from_this(), life](error_code ec) {
            if (life != self->lives || !*self->alive) return;
            self->dialling = false;
            if (ec) return self->drop();
            give_up_soon(self->socket);
            self->up = true;
            self->listen();
            self->write();
        });
    }
    // Nothing is ever said on it by the other side: whatever comes is its end.
    void listen() {
        socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), life = lives](error_code) {
            if (life == self->lives && *self->alive) self->drop();
        });
    }
    void write() {
        if (queue.empty()) return watch(kIdle);
        writing = true;
        watch(kStuck);
        const std::string& frame = queue.front();
        socket.async_write_some(asio::buffer(frame.data() + written, frame.size() - written),
                                [self = shared_from_this(), life = lives](error_code ec, std::size_t n) {
                                    if (life != self->lives || !*self->alive) return;
                                    self->writing = false;
                                    if (ec) return self->drop();
                                    self->written += n;
                                    if (self->written == self->queue.front().size()) {
                                        self->queued -= self->written;
                                        self->written = 0;
                                        self->queue.pop_front();
                                    }
                                    self->write();
                                });
    }
    void drop() {
        ++lives;
        if (!queue.empty()) ++peers.counts_.broken;
        peers.counts_.dropped += queue.size();
        queue.clear();
        queued = written = 0;
        dialling = up = writing = false;
        timer.cancel();
        error_code ignored;
        socket.close(ignored);
    }

    Peers& peers;
    std::shared_ptr<bool> alive;
    const tcp::endpoint to;
    tcp::socket socket;
    asio::steady_timer timer;
    std::deque<std::string> queue;
    std::size_t queued = 0, written = 0;
    std::uint64_t lives = 0;  // what is over answers in vain
    bool dialling = false, up = false, writing = false;
};

// ---- One from another hub --------------------------------------------------------------------------------

struct Peers::Session : std::enable_shared_from_this<Session> {
    Session(Peers& of, std::uint64_t number, tcp::socket from)
        : peers(of), alive(of.alive_), number(number), socket(std::move(from)), timer(of.io_) {}
    ~Session() {
        if (*alive) peers.sessions_.erase(number);
    }
    void read() {
        timer.expires_after(in.empty() ? 2 * kIdle : kStuck);
        timer.async_wait([self = weak_from_this()](error_code ec) {
            if (const auto s = self.lock(); s && !ec) s->close();
        });
        const std::size_t had = in.size();
        in.resize(had + kChunk);
        socket.async_read_some(asio::buffer(in.data() + had, kChunk),
                               [self = shared_from_this(), had](error_code ec, std::size_t n) {
                                   if (ec || !*self->alive) return self->close();
                                   self->in.resize(had + n);
                                   self->look();
                               });
    }
    void look() {
        std::size_t at = 0;
        while (in.size() >= at + 4) {
            std::size_t size = 0;
            for (std::size_t i = 4; i > 0; --i) size = size << 8 | static_cast<unsigned char>(in[at + i - 1]);
            if (size > raft::kMaxMessageBytes + 1) return close();
            if (in.size() < at + 4 + size) break;
            if (!peers.take(std::string_view(in).substr(at + 4, size))) return close();
            if (!*alive || !socket.is_open()) return;
            at += 4 + size;
        }
        in.erase(0, at);
        if (in.empty()) in.shrink_to_fit();
        read();
    }
    void close() {
        error_code ignored;
        timer.cancel();
        socket.close(ignored);
    }

    Peers& peers;
    std::shared_ptr<bool> alive;
    const std::uint64_t number;
    tcp::socket socket;
    asio::steady_timer timer;
    std::string in;
};

// ---- All of them -----------------------------------------------------------------------------------------

Peers::Peers(asio::io_context& io, const std::string& ip, std::uint16_t port, Heard heard)
    : io_(io),
      ip_(asio::ip::make_address_v4(ip)),
      port_(port),
      heard_(std::move(heard)),
      socket_(io, {ip_, port}),
      acceptor_(io, {ip_, port}),
      receive_timer_(io),
      accept_timer_(io) {
    error_code ignored;
    socket_.non_blocking(true, ignored);
    receive();
    accept();
}

Peers::~Peers() {
    stop();
    *alive_ = false;
}

void Peers::stop() {
    stopped_ = true;
    error_code ignored;
    socket_.close(ignored);
    acceptor_.close(ignored);
    receive_timer_.cancel();
    accept_timer_.cancel();
    for (auto& [ip, line] : lines_) line->drop();
    lines_.clear();
    for (auto& [number, weak] : sessions_)
        if (const auto session = weak.lock()) session->close();
}

// False: they are no message.
bool Peers::take(std::string_view bytes) {
    std::string why;
    if (!bytes.empty() && (bytes.front() == kOwn || bytes.front() == kPassedOn)) {
        const auto message = raft::decode_message(bytes.substr(1), why);
        if (message) {
            if (!stopped_) heard_(*message, bytes.front() == kPassedOn);
            return true;
        }
    }
    ++counts_.refused;
    return false;
}

void Peers::receive() {
    socket_.async_receive_from(
        asio::buffer(in_), from_, [this, alive = alive_](error_code ec, std::size_t n) {
            if (!*alive || stopped_) return;
            if (!ec) {
                take({in_.data(), n});
                if (*alive && !stopped_) receive();
                return;
            }
            receive_timer_.expires_after(
                std::chrono::milliseconds(5));  // an error of the last that was sent, most often
            receive_timer_.async_wait([this, alive](error_code wait) {
                if (!wait && *alive && !stopped_) receive();
            });
        });
}

void Peers::accept() {
    acceptor_.async_accept([this, alive = alive_](error_code ec, tcp::socket socket) {
        if (!*alive || stopped_) return;
        if (ec) {
            accept_timer_.expires_after(std::chrono::milliseconds(50));
            accept_timer_.async_wait([this, alive](error_code wait) {
                if (!wait && *alive && !stopped_) accept();
            });
            return;
        }
        if (sessions_.size() < kMostConnections) {
            const std::uint64_t number = next_session_++;
            const auto session = std::make_shared<Session>(*this, number, std::move(socket));
            sessions_[number] = session;
            session->read();
        }
        accept();
    });
}

void Peers::send(std::uint32_t ip, const raft::Message& message, bool passed_on) {
    if (stopped_ || ip == 0 || ip == ip_.to_uint()) return;
    std::string bytes(1, passed_on ? kPassedOn : kOwn);
    bytes += raft::encode(message);
    if (bytes.size() <= kLongestDatagram) {
        ++counts_.datagrams;
        error_code ec;
        socket_.send_to(asio::buffer(bytes), {asio::ip::address_v4(ip), port_}, 0, ec);
        if (ec) ++counts_.dropped;
        return;
    }
    ++counts_.frames;
    auto& line = lines_[ip];
    if (!line) {
        if (lines_.size() > kMostLines) {
            const auto other = lines_.begin()->first == ip ? std::next(lines_.begin()) : lines_.begin();
            other->second->drop();
            lines_.erase(other);
        }
        line = std::make_shared<Line>(*this, ip);
    }
    std::string frame;
    for (int i = 0; i < 4; ++i) frame += static_cast<char>(bytes.size() >> (8 * i));
    line->send(frame + bytes);
}

}  // namespace cobaltshift::control
