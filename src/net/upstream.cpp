#include "net/upstream.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cstdlib>

#include "log/log.hpp"

namespace cobaltshift {

namespace {
constexpr std::size_t kReadSize = 4096;
constexpr int kMostInterim = 16;
// What the kernel holds unread counts as memory too, and an endless answer fills it at once.
constexpr int kKernelBuffer = 64 * 1024;

// How long the server keeps the connection by its Keep-Alive (RFC 2068 19.7.1), in ms; 0: it does not say.
Millis keep_alive_for(const HttpResponse& response) {
    const std::string field(response[http::field::keep_alive]);
    const auto at = field.find("timeout=");
    return at == std::string::npos ? 0 : 1000.0 * std::max(0, std::atoi(field.c_str() + at + 8));
}
// A machine without power or behind a cut says nothing: the kernel asks for it while an answer is awaited.
void watch_for_death(tcp::socket& socket, Millis after) {
    const int user_timeout = static_cast<int>(after), on = 1, second = 1,
              probes = std::max(1, static_cast<int>(after / 1000) - 1);
    const int fd = socket.native_handle();
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout, sizeof user_timeout);
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &second, sizeof second);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &second, sizeof second);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}
}  // namespace

UpstreamManner UpstreamManner::platform() {
    UpstreamManner manner;
    manner.stamp = [](HttpRequest& message, Millis left) {
        // Whole milliseconds would round a short time to nothing.
        message.set("X-Time-Left", std::to_string(static_cast<long long>(left * 1000)) + "u");
    };
    manner.judge = [](const HttpResponse& response) {
        const unsigned status = response.result_int();
        if (status == 200) return Outcome::completed;
        if ((status == 503 || status == 504) && response["X-Unprocessed"] == "1") return Outcome::saturated;
        return Outcome::errored;
    };
    return manner;
}

Upstream::Upstream(asio::io_context& io, const Clock& clock, Limits limits, Handlers handlers,
                   UpstreamManner manner)
    : io_(io),
      clock_(clock),
      dead_after_(limits.dead_after),
      handlers_(std::move(handlers)),
      manner_(std::move(manner)),
      pool_(*this, limits) {}

Upstream::~Upstream() = default;

// ---- What is asked of it ----------------------------------------------------------------------------------

void Upstream::send(AttemptKey key, ServerId server, const tcp::endpoint& to, RequestPtr request,
                    Millis until) {
    pool_.send(key, server, to, std::move(request), until);
}

void Upstream::probe(ServerId server, const tcp::endpoint& to) {
    auto request = std::make_shared<HttpRequest>(http::verb::get, manner_.probe_path, 11);
    request->set(http::field::host, to.address().to_string());
    pool_.probe(server, to, std::move(request));
}

void Upstream::expire(AttemptKey key) { pool_.expire(key); }
void Upstream::cancel(AttemptKey key) { pool_.cancel(key); }
void Upstream::withdraw_request(RequestId id) { pool_.withdraw_request(id); }
void Upstream::withdraw_server(ServerId server) { pool_.withdraw_server(server); }
void Upstream::close_idle(ServerId server) { pool_.close_idle(server); }
void Upstream::retire(ServerId server) { pool_.retire(server); }

// ---- What the pool asks of sockets ------------------------------------------------------------------------

void Upstream::set_timer(const ConnectionPtr& connection, Millis at) {
    connection->channel.timer.expires_at(clock_.point(at));
    connection->channel.timer.async_wait([this, connection](error_code ec) {
        if (!ec) pool_.timer_fired(connection);
    });
}

void Upstream::cancel_timer(Connection& connection) { connection.channel.timer.cancel(); }

void Upstream::connect(const ConnectionPtr& connection) {
    tcp::socket& socket = connection->channel.socket;
    error_code ec;
    socket.open(connection->to.protocol(), ec);
    if (!ec) socket.set_option(tcp::no_delay(true), ec);
    if (!ec) socket.non_blocking(true, ec);
    if (!ec) socket.set_option(asio::socket_base::receive_buffer_size(kKernelBuffer), ec);
    if (!ec && dead_after_ > 0) watch_for_death(socket, dead_after_);
    if (ec) return pool_.connected(connection, false);
    socket.async_connect(connection->to,
                         [this, connection](error_code error) { pool_.connected(connection, !error); });
}

void Upstream::write(const ConnectionPtr& connection) {
    Pool::Job& job = *connection->job;
    Channel& channel = connection->channel;
    HttpRequest& message = *job.request;
    if (!job.probe) manner_.stamp(message, std::max(0.0, job.until - clock_.now()));
    channel.out.clear();
    channel.out_done = 0;
    http::request_serializer<http::string_body> text(message);
    error_code wrong;
    while (!wrong && !text.is_done())
        text.next(wrong, [&](error_code&, const auto& buffers) {
            for (auto at = asio::buffer_sequence_begin(buffers); at != asio::buffer_sequence_end(buffers);
                 ++at) {
                const asio::const_buffer part = *at;
                channel.out.append(static_cast<const char*>(part.data()), part.size());
            }
            text.consume(asio::buffer_size(buffers));
        });
    // Directly: nearly every request fits, and how much of it has gone out is known at once.
    error_code ec;
    const std::size_t bytes = channel.socket.write_some(asio::buffer(channel.out), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) ec = {};
    wrote(connection, ec, bytes);
}

void Upstream::wrote(const ConnectionPtr& connection, error_code ec, std::size_t bytes) {
    Channel& channel = connection->channel;
    channel.out_done += bytes;
    if (ec) return pool_.write_failed(connection);
    if (channel.out_done == channel.out.size()) return pool_.written(connection);
    const auto rest = asio::buffer(channel.out) + channel.out_done;
    channel.socket.async_write_some(rest, [this, connection](error_code error, std::size_t n) {
        if (connection->state == exchange::ConnectionState::writing) wrote(connection, error, n);
    });
}

void Upstream::read(const ConnectionPtr& connection) {
    Channel& channel = connection->channel;
    channel.parser.emplace();
    channel.parser->header_limit(kMaxHeader);
    channel.parser->body_limit(manner_.body_bytes);
    channel.parser->eager(false);
    channel.head_bytes = 0;
    parse(connection);
}

void Upstream::parse(const ConnectionPtr& connection) {
    Channel& channel = connection->channel;
    while (!channel.parser->is_done()) {
        const error_code ec = feed(*channel.parser, channel.in, channel.head_bytes);
        if (ec == http::error::need_more) return receive(connection);
        // An answer that only the connection's end would end may have been cut short.
        if (ec || channel.parser->need_eof()) return pool_.broken(connection);
    }
    const unsigned status = channel.parser->get().result_int();
    if (status / 100 == 1) {
        // More follows, but not without end.
        if (status == 101 || ++channel.interim > kMostInterim) return pool_.broken(connection);
        return read(connection);
    }
    const exchange::AnswerEnd how{channel.parser->keep_alive(), channel.in.size() > 0};
    HttpResponse response = channel.parser->release();
    channel.parser.reset();
    pool_.answered(connection, std::move(response), how);
}

void Upstream::receive(const ConnectionPtr& connection) {
    Channel& channel = connection->channel;
    channel.socket.async_read_some(
        channel.in.prepare(kReadSize), [this, connection](error_code ec, std::size_t bytes) {
            if (connection->state != exchange::ConnectionState::reading) return;
            if (ec) return pool_.broken(connection);
            try {
                connection->channel.in.commit(bytes);
                parse(connection);
            } catch (const std::exception& error) {
                // Of one answer: what goes wrong with it must not touch the others.
                log_line("upstream.failed", std::string("an answer failed: ") + error.what());
                if (connection->job) pool_.broken(connection);
            }
        });
}

bool Upstream::quiet(Connection& connection) { return peek(connection.channel.socket) == Quiet::nothing; }

void Upstream::rest(const ConnectionPtr& connection) {
    Channel& channel = connection->channel;
    if (channel.out.capacity() > kReadSize) channel.out = std::string();
    channel.interim = 0;
    if (channel.in.capacity() > kReadSize) channel.in.shrink_to_fit();
    channel.socket.async_wait(tcp::socket::wait_read,
                              [this, connection](error_code) { pool_.woke(connection); });
}

void Upstream::close(Connection& connection) {
    error_code ignored;
    connection.channel.socket.close(ignored);
}

// ---- The protocol's words ---------------------------------------------------------------------------------

bool Upstream::is_stray(const Connection& connection, const HttpResponse& response) const {
    return manner_.stray && manner_.stray(*connection.job->request, response);
}

Millis Upstream::kept_for(const HttpResponse& response) const {
    return manner_.heeds_keep_alive ? keep_alive_for(response) : 0;
}

}  // namespace cobaltshift
