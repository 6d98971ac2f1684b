#include "net/upstream.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cstdlib>

#include "log/log.hpp"

namespace cobaltshift {

namespace {
constexpr std::size_t kReadBytes = 4096;
constexpr int kMaxInterimResponses = 16;
constexpr std::size_t kLoggedInputBytes = 150;  // of input that belongs to no request
// Unread data in the kernel counts towards the process's memory, and an endless answer fills that buffer at
// once.
constexpr int kReceiveBufferBytes = 64 * 1024;
// An answer of up to this many bytes is read without waiting for room.
constexpr std::size_t kShortAnswerBytes = 64 * 1024;
constexpr std::size_t kConnectionBytes = 8 * 1024;  // charged for a connection and input that has just come

// The timeout in the server's Keep-Alive header (RFC 2068 19.7.1), in ms; 0: none given.
Millis keep_alive_timeout_ms(const HttpResponse& response) {
    const std::string field(response[http::field::keep_alive]);
    const auto at = field.find("timeout=");
    return at == std::string::npos ? 0 : 1000.0 * std::max(0, std::atoi(field.c_str() + at + 8));
}
// Makes the kernel detect a peer that has lost power or is cut off by a network partition, and so never
// closes the connection, while an answer is awaited. `after`: in ms.
void enable_dead_peer_detection(tcp::socket& socket, Millis after) {
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

UpstreamProtocol UpstreamProtocol::platform() {
    UpstreamProtocol upstream_protocol;
    upstream_protocol.prepare_request = [](HttpRequest& message, Millis left) {
        // In microseconds: whole milliseconds would round a short time to 0.
        message.set("X-Time-Left", std::to_string(static_cast<long long>(left * 1000)) + "u");
    };
    upstream_protocol.outcome_of = [](const HttpResponse& response) {
        const unsigned status = response.result_int();
        if (status == 200) return Outcome::completed;
        if ((status == 503 || status == 504) && response["X-Unprocessed"] == "1") return Outcome::saturated;
        return Outcome::errored;
    };
    upstream_protocol.is_refusal = [outcome_of = upstream_protocol.outcome_of](const HttpResponse& response) {
        return outcome_of(response) == Outcome::saturated;
    };
    return upstream_protocol;
}

Upstream::Upstream(asio::io_context& io, const Clock& clock, Limits limits, Handlers handlers,
                   UpstreamProtocol upstream_protocol, MemoryAccount* memory)
    : io_(io),
      clock_(clock),
      dead_peer_timeout_(limits.dead_peer_timeout),
      handlers_(std::move(handlers)),
      protocol_(std::move(upstream_protocol)),
      memory_(memory),
      pool_(*this, limits) {
    if (memory_) memory_->add(*this);
}

Upstream::~Upstream() {
    if (memory_) memory_->remove(*this);
}

// ---- Public interface -------------------------------------------------------------------------------------

void Upstream::send(AttemptKey key, ServerId server, const tcp::endpoint& to, RequestPtr request,
                    Millis until) {
    pool_.send(key, server, to, std::move(request), until);
}

void Upstream::probe(ServerId server, const tcp::endpoint& to) {
    auto request = std::make_shared<HeldRequest>(http::verb::get, protocol_.probe_path, 11);
    request->set(http::field::host, to.address().to_string());
    pool_.probe(server, to, std::move(request));
}

void Upstream::expire(AttemptKey key) { pool_.expire(key); }
void Upstream::cancel(AttemptKey key) { pool_.cancel(key); }
void Upstream::withdraw_request(RequestId id) { pool_.withdraw_request(id); }
void Upstream::withdraw_server(ServerId server) { pool_.withdraw_server(server); }
void Upstream::close_idle(ServerId server) { pool_.close_idle(server); }
void Upstream::retire(ServerId server) { pool_.retire(server); }

// ---- Operations required by ConnectionPool ----------------------------------------------------------------

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
    if (!ec) socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
    if (!ec && dead_peer_timeout_ > 0) enable_dead_peer_detection(socket, dead_peer_timeout_);
    if (ec) return pool_.connected(connection, false);
    socket.async_connect(connection->to,
                         [this, connection](error_code error) { pool_.connected(connection, !error); });
}

void Upstream::write(const ConnectionPtr& connection) {
    Pool::Job& job = *connection->job;
    Channel& channel = connection->channel;
    HttpRequest& message = *job.request;
    if (!job.probe) protocol_.prepare_request(message, std::max(0.0, job.until - clock_.now()));
    channel.output_written = 0;
    channel.output_message = job.request;
    channel.output_head.clear();
    http::request_serializer<http::string_body> serializer(message);
    serializer.split(true);
    error_code serialize_error;
    while (!serialize_error && !serializer.is_header_done())
        serializer.next(serialize_error, [&](error_code&, const auto& buffers) {
            for (auto at = asio::buffer_sequence_begin(buffers); at != asio::buffer_sequence_end(buffers);
                 ++at) {
                const asio::const_buffer part = *at;
                channel.output_head.append(static_cast<const char*>(part.data()), part.size());
            }
            serializer.consume(asio::buffer_size(buffers));
        });
    // Written synchronously first: nearly every request fits into the send buffer, and the number of bytes
    // sent is known at once.
    error_code ec;
    const std::size_t bytes = channel.socket.write_some(channel.unwritten(), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) ec = {};
    wrote(connection, ec, bytes);
}

std::array<asio::const_buffer, 2> Upstream::Channel::unwritten() const {
    const std::string& body = output_message->body();
    const std::size_t body_written =
        output_written > output_head.size() ? output_written - output_head.size() : 0;
    return {asio::buffer(output_head) + output_written, asio::buffer(body) + body_written};
}

void Upstream::wrote(const ConnectionPtr& connection, error_code ec, std::size_t bytes) {
    Channel& channel = connection->channel;
    channel.output_written += bytes;
    if (ec) return pool_.write_failed(connection, channel.output_written > 0);
    const auto unwritten = channel.unwritten();
    if (asio::buffer_size(unwritten) == 0) {
        if (protocol_.writes_requests_once) channel.output_message->release_body();
        return pool_.written(connection);
    }
    // The operation keeps the message: the attempt may end before the operation does.
    channel.socket.async_write_some(
        unwritten, [this, connection, message = channel.output_message](error_code error, std::size_t n) {
            if (connection->state == exchange::ConnectionState::writing) wrote(connection, error, n);
        });
}

void Upstream::read(const ConnectionPtr& connection) {
    Channel& channel = connection->channel;
    channel.parser.emplace();
    channel.parser->header_limit(kMaxHeader);
    channel.parser->body_limit(protocol_.body_bytes);
    channel.parser->eager(false);
    channel.head_bytes = 0;
    channel.head_seen = false;
    channel.granted_bytes = 0;
    channel.output_message.reset();
    parse(connection);
}

void Upstream::charge_held(Channel& channel) {
    std::size_t bytes = kConnectionBytes + channel.input.capacity();
    // While an answer arrives, the kernel may hold more of it.
    if (channel.parser)
        bytes += std::max(channel.granted_bytes, channel.parser->get().body().size()) + kReceiveBufferBytes;
    channel.charge.set(bytes);
}

// The answer whose request was sent last: dropping older ones, which are nearer to their end, would let none
// of many get there.
Upstream::ConnectionPtr Upstream::newest_answer() const {
    ConnectionPtr newest;
    pool_.for_each_attempt([&](const ConnectionPtr& connection) {
        if (connection->state != exchange::ConnectionState::reading) return;
        if (!connection->channel.parser->is_header_done()) return;
        if (!newest || connection->job->sent_at > newest->job->sent_at) newest = connection;
    });
    return newest;
}

// Servers send as fast as they are read, so that an answer's age costs nothing: clients that are slow go
// first, and they alone for an answer that waits for room.
std::optional<double> Upstream::highest_cost(Millis, const MemoryAccount::Eligible& eligible) const {
    if (eligible.min_age > 0) return {};
    const ConnectionPtr newest = newest_answer();
    return newest ? std::optional(static_cast<double>(newest->channel.charge.bytes())) : std::nullopt;
}

void Upstream::release_costliest(Millis, const MemoryAccount::Eligible&) {
    const ConnectionPtr connection = newest_answer();
    if (!connection) return;
    log_line("upstream.answer_dropped", "the process holds too much memory: a server's answer is broken off");
    pool_.broken(connection);
}

// Whether the answer whose head has come may be read now. If not, it waits for room or has been broken off.
bool Upstream::may_read_answer(const ConnectionPtr& connection) {
    const Channel& channel = connection->channel;
    const auto length = static_cast<std::size_t>(channel.parser->content_length().value_or(0));
    if (!memory_ || length <= kShortAnswerBytes || connection->job->probe) return true;
    make_room(connection, length);
    if (memory_->may_take(length)) {
        grant(connection, length);
        return true;
    }
    if (memory_->can_ever_take(length))
        wait_for_room(connection, length);
    else
        pool_.broken(connection);
    return false;
}

void Upstream::grant(const ConnectionPtr& connection, std::size_t length) {
    connection->channel.granted_bytes = length;
    charge_held(connection->channel);
}

// The answer stays with its sender, whose bytes are not read: the kernel holds back more of them.
void Upstream::wait_for_room(const ConnectionPtr& connection, std::size_t length) {
    charge_held(connection->channel);
    if (handlers_.answer_waits) handlers_.answer_waits(connection->job->key);
    connection->channel.in_line =
        memory_->wait_for_room(length, connection->job->until, [this, connection, length] {
            connection->channel.in_line.reset();
            grant(connection, length);
            parse_contained(connection);
        });
}

void Upstream::leave_line(Channel& channel) {
    if (channel.in_line) memory_->leave_line(*channel.in_line);
    channel.in_line.reset();
}

// A success is passed on once it is whole, and its request is not sent again. Where the rest of the answer
// has no room beside the request's body, that body is freed: a try after a break of the answer is given up.
void Upstream::make_room(const ConnectionPtr& connection, std::size_t length) {
    const auto& parser = *connection->channel.parser;
    const RequestPtr& request = connection->job->request;
    if (memory_->has_room_to_grant(length) || is_to_be_written(request)) return;
    if (protocol_.outcome_of(parser.get()) == Outcome::completed &&
        owner_of(*connection, parser.get()) == exchange::AnswerOwner::this_request)
        request->release_body();
}

// Whether an attempt has yet to write this request.
bool Upstream::is_to_be_written(const RequestPtr& request) const {
    bool found = false;
    pool_.for_each_attempt([&](const ConnectionPtr& connection) {
        found = found || (connection->job->request == request &&
                          connection->state != exchange::ConnectionState::reading);
    });
    return found;
}

void Upstream::parse(const ConnectionPtr& connection) {
    Channel& channel = connection->channel;
    while (!channel.parser->is_done()) {
        const error_code ec = parse_received(*channel.parser, channel.input, channel.head_bytes);
        if (ec == http::error::need_more) {
            charge_held(channel);
            return receive(connection);
        }
        // An answer delimited by the end of the connection may have been truncated.
        if (ec || channel.parser->need_eof()) return pool_.broken(connection);
        if (channel.parser->is_header_done() && !std::exchange(channel.head_seen, true) &&
            !may_read_answer(connection))
            return;
    }
    const unsigned status = channel.parser->get().result_int();
    if (status / 100 == 1) {
        // An interim response; the number accepted is bounded.
        if (status == 101 || ++channel.interim_responses > kMaxInterimResponses)
            return pool_.broken(connection);
        return read(connection);
    }
    const exchange::AnswerEnd how{channel.parser->keep_alive(), channel.input.size() > 0};
    HttpResponse response = channel.parser->release();
    channel.parser.reset();
    charge_held(channel);
    pool_.answered(connection, std::move(response), how);
}

void Upstream::receive(const ConnectionPtr& connection) {
    Channel& channel = connection->channel;
    channel.socket.async_read_some(channel.input.prepare(kReadBytes),
                                   [this, connection](error_code ec, std::size_t bytes) {
                                       if (connection->state != exchange::ConnectionState::reading) return;
                                       if (ec) return pool_.broken(connection);
                                       connection->channel.input.commit(bytes);
                                       parse_contained(connection);
                                   });
}

// An error must not affect the other connections.
void Upstream::parse_contained(const ConnectionPtr& connection) {
    try {
        parse(connection);
    } catch (const std::exception& error) {
        log_line("upstream.failed", std::string("processing a server's answer failed: ") + error.what());
        if (connection->job) pool_.broken(connection);
    }
}

bool Upstream::is_reusable(Connection& connection) {
    return peek(connection.channel.socket) == PendingInput::nothing;
}

bool Upstream::late_input(const ConnectionPtr& connection) {
    char bytes[kLoggedInputBytes];
    const auto n =
        ::recv(connection->channel.socket.native_handle(), bytes, sizeof bytes, MSG_PEEK | MSG_DONTWAIT);
    if (n <= 0) return false;  // its end
    std::string start(bytes, static_cast<std::size_t>(n));
    log_line("upstream.late_input", "input on an idle connection, which is closed: " + start,
             {{"input", start}});
    return true;
}

void Upstream::watch_idle(const ConnectionPtr& connection) {
    Channel& channel = connection->channel;
    if (channel.output_head.capacity() > kReadBytes) free_memory(channel.output_head);
    channel.interim_responses = 0;
    if (channel.input.capacity() > kReadBytes) channel.input.shrink_to_fit();
    channel.socket.async_wait(tcp::socket::wait_read,
                              [this, connection](error_code) { pool_.idle_readable(connection); });
}

void Upstream::close(Connection& connection) {
    error_code ignored;
    connection.channel.socket.close(ignored);
    leave_line(connection.channel);
    connection.channel.charge.set(0);
}

// ---- Protocol ---------------------------------------------------------------------------------------------

exchange::AnswerOwner Upstream::owner_of(const Connection& connection, const HttpResponse& response) const {
    if (!protocol_.owner_of) return exchange::AnswerOwner::this_request;
    return protocol_.owner_of(*connection.job->request, response);
}

Millis Upstream::keep_alive_time(const HttpResponse& response) const {
    return protocol_.honors_keep_alive ? keep_alive_timeout_ms(response) : 0;
}

}  // namespace cobaltshift
