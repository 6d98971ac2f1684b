#include "lab/soak_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <list>
#include <sstream>

#include "lab/soak_io.hpp"

namespace cobaltshift::lab {

namespace {

constexpr std::chrono::milliseconds kHeartbeatPatience{1000};
constexpr double kHeartbeatMs = 500;
constexpr double kSilent = 0.004, kLong = 0.02;  // of the requests
constexpr std::size_t kShortAnswer = 4096, kLongRequest = 64 * 1024;
constexpr std::size_t kMaxRequestBody = 64 << 20;
constexpr double kMaxLateCopyMs = 12;
// An instance's life, and for how long its address is without one.
constexpr double kMinLifeMs = 2500, kMaxLifeMs = 9000, kMaxGapMs = 600;
constexpr double kDrainMs = 2600, kMaxAckWaitMs = 2000;
constexpr double kCrashShare = 0.5;  // of the instances; the others leave in order

// One connection from the proxy. Nothing is written to it while `writing`.
struct Connection {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::uint64_t number = 0;
    bool writing = false;

    void reset() {
        error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }
};
using ConnectionPtr = std::shared_ptr<Connection>;

struct Server {
    asio::io_context& io;
    SoakServerPlace place;
    SoakServerHabits habits;
    SoakLedger& ledger;
    kelplb::Random random;
    std::shared_ptr<const bool> stopped;
    std::uint64_t instance = 1, heartbeats = 0, connections_accepted = 0;
    bool running = true, closing = false;
    std::size_t working = 0;
    std::list<std::weak_ptr<Connection>> connections = {};

    std::string instance_id() const { return place.name + "." + std::to_string(instance); }
    bool chance(double share) { return share > 0 && random.unit() < share; }
    std::size_t open_connections() {
        connections.remove_if([](const std::weak_ptr<Connection>& one) { return one.expired(); });
        return connections.size();
    }
};
using ServerPtr = std::shared_ptr<Server>;

// ---- Requests ---------------------------------------------------------------------------------------------

// As the users' wire examples have it: without the request's id.
HttpResponse refusal_when_full() {
    HttpResponse response(http::status::service_unavailable, 11);
    response.set("Not-Run", "1");
    return response;
}

HttpResponse refusal_of_other_instance(const Server& server) {
    HttpResponse response(http::status::misdirected_request, 11);
    response.set("Instance", server.instance_id());
    return response;
}

HttpResponse health(const Server& server) {
    HttpResponse response(server.closing ? http::status::service_unavailable : http::status::ok, 11);
    response.set("Instance", server.instance_id());
    return response;
}

HttpResponse success(Server& server, const HttpRequest& request) {
    HttpResponse response(http::status::ok, 11);
    response.set("Request-Id", request["Request-Id"]);
    response.set("Postmark", "soak." + server.instance_id());
    response.body() = std::string(request["Request-Id"]);
    const bool may_be_large = request.body().size() >= server.habits.large_from_body;
    if (may_be_large && server.chance(server.habits.large))
        response.body().append(server.habits.large_bytes, 'x');
    return response;
}

std::string text_of(const HttpResponse& response) {
    std::ostringstream text;
    text << response;
    return std::move(text).str();
}

// False: the connection has ended.
awaitable<bool> write(ConnectionPtr connection, std::string text) {
    connection->writing = true;
    const auto [error, written] = co_await asio::async_write(connection->socket, asio::buffer(text), kTuple);
    connection->writing = false;
    co_return !error;
}

// Writes late what belongs to no request, unless an answer is being written at that moment.
awaitable<void> write_late(ServerPtr server, ConnectionPtr connection, std::string text) {
    co_await pause(server->io, kMaxLateCopyMs * server->random.unit());
    if (connection->writing || !connection->socket.is_open()) co_return;
    co_await write(connection, std::move(text));
}

// False: the connection has ended.
awaitable<bool> answer(ServerPtr server, ConnectionPtr connection, HttpResponse response, bool keep_alive) {
    response.keep_alive(keep_alive);
    response.prepare_payload();
    const bool written = co_await write(connection, text_of(response));
    if (!written || !keep_alive) co_return false;
    const bool is_short = response.body().size() < kShortAnswer;
    if (is_short && server->chance(server->habits.late_copy))
        asio::co_spawn(server->io, write_late(server, connection, text_of(response)), asio::detached);
    if (server->chance(server->habits.nameless_refusal)) {
        HttpResponse refusal = refusal_when_full();
        refusal.prepare_payload();
        asio::co_spawn(server->io, write_late(server, connection, text_of(refusal)), asio::detached);
    }
    co_return true;
}

// Writes an answer in chunks until its reader closes the connection.
awaitable<void> answer_endlessly(ConnectionPtr connection, const HttpRequest& request) {
    constexpr std::size_t kChunkBytes = 0x10000;
    std::string head =
        "HTTP/1.1 200 OK\r\nPostmark: soak.endless\r\nTransfer-Encoding: chunked\r\nRequest-Id: ";
    head += std::string(request["Request-Id"]) + "\r\n\r\n";
    bool open = co_await write(connection, std::move(head));
    const std::string chunk = "10000\r\n" + std::string(kChunkBytes, 'x') + "\r\n";
    while (open) open = co_await write(connection, chunk);
}

// Runs the request and answers it. False: the connection has ended.
awaitable<bool> run(ServerPtr server, ConnectionPtr connection, const HttpRequest& request) {
    if (server->habits.endless_gets && request.method() == http::verb::get) {
        co_await answer_endlessly(connection, request);
        co_return false;
    }
    const std::uint64_t instance = server->instance;
    server->ledger.ran(std::string(request["Request-Id"]),
                       server->instance_id() + " connection " + std::to_string(connection->number));
    ++server->working;
    const double lot = server->random.unit();
    if (lot < kSilent) {  // it never answers, until its caller closes the connection
        char byte;
        co_await connection->socket.async_read_some(asio::buffer(&byte, 1), kTuple);
    } else {
        co_await pause(server->io,
                       lot < kSilent + kLong ? 1500 * server->random.unit() : 5 + 60 * server->random.unit());
    }
    if (instance != server->instance) co_return false;  // it crashed meanwhile
    --server->working;
    if (lot < kSilent) co_return false;
    if (server->chance(server->habits.reset_after_run)) {
        connection->reset();
        co_return false;
    }
    const bool keep_alive =
        request.keep_alive() && !server->closing && !server->chance(server->habits.closing_answer);
    const bool open = co_await answer(server, connection, success(*server, request), keep_alive);
    co_return open;
}

// Answers one request whose head and body are read. False: the connection has ended.
awaitable<bool> handle(ServerPtr server, ConnectionPtr connection, const HttpRequest& request) {
    std::optional<HttpResponse> unrun;
    if (request.target() == "/health")
        unrun = health(*server);
    else if (request["Expect-Instance"] != server->instance_id())
        unrun = refusal_of_other_instance(*server);
    else if (server->working >= server->habits.capacity)
        unrun = refusal_when_full();
    const bool open = unrun ? co_await answer(server, connection, std::move(*unrun), request.keep_alive())
                            : co_await run(server, connection, request);
    co_return open;
}

awaitable<void> serve(ServerPtr server, ConnectionPtr connection) {
    beast::flat_buffer buffer;
    while (!*server->stopped) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(kMaxRequestBody);
        const auto [head_error, head_bytes] =
            co_await http::async_read_header(connection->socket, buffer, parser, kTuple);
        if (head_error) co_return;
        if (parser.content_length().value_or(0) > kLongRequest &&
            server->chance(server->habits.early_refusal)) {
            co_await answer(server, connection, refusal_when_full(), false);
            co_return;
        }
        if (!parser.is_done()) {
            const auto [error, bytes] = co_await http::async_read(connection->socket, buffer, parser, kTuple);
            if (error) co_return;
        }
        const HttpRequest request = parser.release();
        const bool open = co_await handle(server, connection, request);
        if (!open) co_return;
    }
}

awaitable<void> accept(ServerPtr server) {
    const tcp::endpoint at(asio::ip::make_address(server->place.ip), server->place.app_port);
    tcp::acceptor acceptor(server->io, at);
    while (!*server->stopped) {
        auto [error, socket] = co_await acceptor.async_accept(kTuple);
        if (error) continue;
        auto connection = std::make_shared<Connection>(std::move(socket));
        const std::size_t most = server->habits.max_connections;
        if (!server->running || (most > 0 && server->open_connections() >= most)) {
            connection->reset();
            continue;
        }
        connection->number = ++server->connections_accepted;
        server->connections.push_back(connection);
        asio::co_spawn(server->io, serve(server, connection), asio::detached);
    }
}

// ---- Heartbeats and instances -----------------------------------------------------------------------------

// One call to the proxy beside it; true if it was acknowledged.
awaitable<bool> call(ServerPtr server, http::verb method, std::string body) {
    HttpRequest request(method, "/api/servers/" + server->instance_id(), 11);
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    const tcp::endpoint to(asio::ip::make_address(server->place.ip), server->place.control_port);
    const auto response = co_await call_once(server->io, to, std::move(request), kHeartbeatPatience);
    co_return response && response->result_int() / 100 == 2;
}

awaitable<bool> heartbeat_once(ServerPtr server) {
    const SoakServerPlace& place = server->place;
    std::string body = R"({"service":")" + place.service + R"(","address":")" + place.ip + ":" +
                       std::to_string(place.app_port) + R"(","zone":"north","edition":"v1","capacity":)" +
                       std::to_string(server->habits.capacity) + R"(,"state":")" +
                       (server->closing ? "closing" : "open") + R"(","warmup_left_s":0,"call_seq":)" +
                       std::to_string(++server->heartbeats) + "}";
    const bool acknowledged = co_await call(server, http::verb::put, std::move(body));
    co_return acknowledged;
}

awaitable<void> send_heartbeats(ServerPtr server) {
    while (!*server->stopped) {
        if (server->running) co_await heartbeat_once(server);
        co_await pause(server->io, kHeartbeatMs);
    }
}

void end_instance(Server& server) {
    server.running = false;
    ++server.instance;
    server.heartbeats = server.working = 0;
    server.closing = false;
    for (const auto& one : server.connections)
        if (const ConnectionPtr connection = one.lock()) connection->reset();
    server.connections.clear();
}

awaitable<void> leave_in_order(ServerPtr server) {
    server->closing = true;
    bool acknowledged = false;
    for (double waited = 0; !acknowledged && waited < kMaxAckWaitMs; waited += kHeartbeatMs / 2) {
        acknowledged = co_await heartbeat_once(server);
        co_await pause(server->io, kHeartbeatMs / 2);
    }
    if (acknowledged) co_await pause(server->io, kDrainMs);
    co_await call(server, http::verb::delete_, "");
}

awaitable<void> replace_instances(ServerPtr server) {
    while (!*server->stopped) {
        co_await pause(server->io, kMinLifeMs + (kMaxLifeMs - kMinLifeMs) * server->random.unit());
        if (*server->stopped) co_return;
        if (!server->chance(kCrashShare)) co_await leave_in_order(server);
        end_instance(*server);
        co_await pause(server->io, kMaxGapMs * server->random.unit());
        server->running = true;
    }
}

}  // namespace

void start_soak_server(asio::io_context& io, SoakServerPlace place, SoakServerHabits habits,
                       SoakLedger& ledger, std::uint64_t seed, std::shared_ptr<const bool> stopped) {
    auto server = std::make_shared<Server>(
        Server{io, std::move(place), habits, ledger, kelplb::Random(seed), std::move(stopped)});
    asio::co_spawn(io, accept(server), asio::detached);
    asio::co_spawn(io, send_heartbeats(server), asio::detached);
    if (habits.replaced) asio::co_spawn(io, replace_instances(server), asio::detached);
}

}  // namespace cobaltshift::lab
