#include "control_io/peers.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "log/log.hpp"
#include "raft/codec.hpp"

namespace cobaltshift::control {

namespace {

constexpr char kDirect = 'A', kForwarded = 'B';
constexpr std::size_t kReadChunkBytes = 16 * 1024, kMaxOutboundConnections = 16;

// Sets TCP_USER_TIMEOUT: data that stays unacknowledged for kStallTimeout closes the connection. Without it,
// a network partition would go unnoticed, as no error is reported.
void set_stall_timeout(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const unsigned milliseconds = static_cast<unsigned>(kStallTimeout.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

}  // namespace

// ---- Outbound connection to a peer -----------------------------------------------------------------------

struct Peers::OutboundConnection : std::enable_shared_from_this<OutboundConnection> {
    OutboundConnection(Peers& of, std::uint32_t ip)
        : peers(of),
          alive(of.alive_),
          to(asio::ip::address_v4(ip), of.port_),
          socket(of.io_),
          timer(of.io_) {}

    void send(std::string frame) {
        if (queued + frame.size() > kMaxQueuedBytes) {
            ++peers.counts_.dropped;
            return;
        }
        queued += frame.size();
        queue.push_back(std::move(frame));
        if (!connecting && !connected) connect();
        if (connected && !writing) write();
    }
    void arm_timeout(std::chrono::milliseconds time) {
        timer.expires_after(time);
        timer.async_wait([self = weak_from_this()](error_code ec) {
            if (const auto s = self.lock(); s && !ec) s->drop();
        });
    }
    void connect() {
        ++peers.counts_.connect_attempts;
        connecting = true;
        const std::uint64_t own_generation = ++generation;
        socket = tcp::socket(peers.io_);
        arm_timeout(kStallTimeout);
        socket.async_connect(to, [self = shared_from_this(), own_generation](error_code ec) {
            if (own_generation != self->generation || !*self->alive) return;
            self->connecting = false;
            if (ec) return self->drop();
            set_stall_timeout(self->socket);
            self->connected = true;
            self->watch_for_close();
            self->write();
        });
    }
    // The peer never sends on this connection: anything readable means that it was closed or is broken.
    void watch_for_close() {
        socket.async_wait(tcp::socket::wait_read,
                          [self = shared_from_this(), own_generation = generation](error_code) {
                              if (own_generation == self->generation && *self->alive) self->drop();
                          });
    }
    void write() {
        if (queue.empty()) return arm_timeout(kIdleTimeout);
        writing = true;
        arm_timeout(kStallTimeout);
        const std::string& frame = queue.front();
        socket.async_write_some(
            asio::buffer(frame.data() + written, frame.size() - written),
            [self = shared_from_this(), own_generation = generation](error_code ec, std::size_t n) {
                if (own_generation != self->generation || !*self->alive) return;
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
        ++generation;
        if (!queue.empty()) ++peers.counts_.broken;
        peers.counts_.dropped += queue.size();
        queue.clear();
        queued = written = 0;
        connecting = connected = writing = false;
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
    std::uint64_t generation = 0;  // connection attempts; handlers of earlier ones are ignored
    bool connecting = false, connected = false, writing = false;
};

// ---- Inbound connection from a peer ----------------------------------------------------------------------

struct Peers::InboundConnection : std::enable_shared_from_this<InboundConnection> {
    InboundConnection(Peers& of, std::uint64_t number, tcp::socket from)
        : peers(of), alive(of.alive_), number(number), socket(std::move(from)), timer(of.io_) {}
    ~InboundConnection() {
        if (*alive) peers.inbound_.erase(number);
    }
    void read() {
        timer.expires_after(in.empty() ? 2 * kIdleTimeout : kStallTimeout);
        timer.async_wait([self = weak_from_this()](error_code ec) {
            if (const auto s = self.lock(); s && !ec) s->close();
        });
        const std::size_t had = in.size();
        in.resize(had + kReadChunkBytes);
        socket.async_read_some(asio::buffer(in.data() + had, kReadChunkBytes),
                               [self = shared_from_this(), had](error_code ec, std::size_t n) {
                                   if (ec || !*self->alive) return self->close();
                                   self->in.resize(had + n);
                                   self->parse_frames();
                               });
    }
    void parse_frames() {
        std::size_t at = 0;
        while (in.size() >= at + 4) {
            std::size_t size = 0;
            for (std::size_t i = 4; i > 0; --i) size = size << 8 | static_cast<unsigned char>(in[at + i - 1]);
            if (size > raft::kMaxMessageBytes + 1) return close();
            if (in.size() < at + 4 + size) break;
            if (!peers.deliver(std::string_view(in).substr(at + 4, size))) return close();
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

// ---- Peers -----------------------------------------------------------------------------------------------

Peers::Peers(asio::io_context& io, const std::string& ip, std::uint16_t port, MessageHandler on_message)
    : io_(io),
      ip_(asio::ip::make_address_v4(ip)),
      port_(port),
      on_message_(std::move(on_message)),
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
    for (auto& [ip, connection] : outbound_) connection->drop();
    outbound_.clear();
    for (auto& [number, weak] : inbound_)
        if (const auto connection = weak.lock()) connection->close();
}

// Decodes and delivers one message. False: the bytes are no valid message.
bool Peers::deliver(std::string_view bytes) {
    std::string why;
    if (!bytes.empty() && (bytes.front() == kDirect || bytes.front() == kForwarded)) {
        const auto message = raft::decode_message(bytes.substr(1), why);
        if (message) {
            if (!stopped_) on_message_(*message, bytes.front() == kForwarded);
            return true;
        }
    }
    ++counts_.refused;
    return false;
}

void Peers::receive() {
    socket_.async_receive_from(asio::buffer(in_), from_,
                               [this, alive = alive_](error_code ec, std::size_t n) {
                                   if (!*alive || stopped_) return;
                                   if (!ec) {
                                       deliver({in_.data(), n});
                                       if (*alive && !stopped_) receive();
                                       return;
                                   }
                                   // Mostly the ICMP error of an earlier datagram sent to a peer that is
                                   // down.
                                   receive_timer_.expires_after(std::chrono::milliseconds(5));
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
        if (inbound_.size() < kMaxInboundConnections) {
            const std::uint64_t number = next_inbound_++;
            const auto connection = std::make_shared<InboundConnection>(*this, number, std::move(socket));
            inbound_[number] = connection;
            connection->read();
        }
        accept();
    });
}

void Peers::send(std::uint32_t ip, const raft::Message& message, bool forwarded) {
    if (stopped_ || ip == 0 || ip == ip_.to_uint()) return;
    std::string bytes(1, forwarded ? kForwarded : kDirect);
    bytes += raft::encode(message);
    if (bytes.size() <= kMaxDatagramBytes) {
        ++counts_.datagrams;
        error_code ec;
        socket_.send_to(asio::buffer(bytes), {asio::ip::address_v4(ip), port_}, 0, ec);
        if (ec) ++counts_.dropped;
        return;
    }
    ++counts_.frames;
    auto& connection = outbound_[ip];
    if (!connection) {
        if (outbound_.size() > kMaxOutboundConnections) {
            const auto other =
                outbound_.begin()->first == ip ? std::next(outbound_.begin()) : outbound_.begin();
            other->second->drop();
            outbound_.erase(other);
        }
        connection = std::make_shared<OutboundConnection>(*this, ip);
    }
    std::string frame;
    for (int i = 0; i < 4; ++i) frame += static_cast<char>(bytes.size() >> (8 * i));
    connection->send(frame + bytes);
}

}  // namespace cobaltshift::control
