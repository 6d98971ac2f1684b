#include "lab/soak_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cobaltshift::lab {

namespace {

using asio::awaitable;
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr int kCapacity = 16;
constexpr std::chrono::milliseconds kBeatEvery{500};
constexpr double kSilent = 0.004, kLong = 0.02, kLarge = 0.05;  // of the requests
constexpr std::size_t kLargeBody = 300 * 1024;

struct Server {
    asio::io_context& io;
    SoakServerPlace place;
    SoakLedger& ledger;
    kelplb::Random random;
    std::shared_ptr<const bool> stopped;
    std::uint64_t beats = 0;
};
using ServerPtr = std::shared_ptr<Server>;

awaitable<void> pause(asio::io_context& io, double ms) {
    asio::steady_timer timer(io, std::chrono::microseconds(static_cast<long>(ms * 1000)));
    co_await timer.async_wait(kTuple);
}

HttpResponse answer_of(Server& server, const HttpRequest& request) {
    HttpResponse response(http::status::ok, 11);
    if (request.target() == "/health") {
        response.set("Instance", server.place.life);
    } else if (request["Expect-Instance"] != server.place.life) {
        response.result(421);
        response.set("Not-Run", "1");
    } else {
        response.set("Postmark", "soak." + server.place.life);
        response.body() = std::string(request["Request-Id"]);
        if (server.random.unit() < kLarge) response.body().append(kLargeBody, 'x');
    }
    response.set("Request-Id", request["Request-Id"]);
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    return response;
}

awaitable<void> serve(ServerPtr server, tcp::socket socket) {
    beast::flat_buffer buffer;
    while (!*server->stopped) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(1 << 20);
        const auto [read_error, read] = co_await http::async_read(socket, buffer, parser, kTuple);
        if (read_error) co_return;
        const HttpRequest request = parser.release();
        HttpResponse response = answer_of(*server, request);
        if (response.result_int() == 200 && request.target() != "/health") {
            server->ledger.ran(std::string(request["Request-Id"]));
            const double lot = server->random.unit();
            if (lot < kSilent) {  // it never answers, until its caller lets go
                char byte;
                co_await socket.async_read_some(asio::buffer(&byte, 1), kTuple);
                co_return;
            }
            co_await pause(server->io, lot < kSilent + kLong ? 1500 * server->random.unit()
                                                             : 5 + 60 * server->random.unit());
        }
        const auto [write_error, written] = co_await http::async_write(socket, response, kTuple);
        if (write_error || !request.keep_alive()) co_return;
    }
}

awaitable<void> accept(ServerPtr server) {
    const tcp::endpoint at(asio::ip::make_address(server->place.ip), server->place.app_port);
    tcp::acceptor acceptor(server->io, at);
    while (!*server->stopped) {
        auto [error, socket] = co_await acceptor.async_accept(kTuple);
        if (!error) asio::co_spawn(server->io, serve(server, std::move(socket)), asio::detached);
    }
}

awaitable<void> beat_once(ServerPtr server) {
    const SoakServerPlace& place = server->place;
    beast::tcp_stream stream(server->io);
    stream.expires_after(std::chrono::seconds(1));
    const tcp::endpoint to(asio::ip::make_address(place.ip), place.control_port);
    if (const auto [error] = co_await stream.async_connect(to, kTuple); error) co_return;
    HttpRequest request(http::verb::put, "/api/servers/" + place.life, 11);
    request.set(http::field::host, place.ip);
    request.set(http::field::content_type, "application/json");
    request.body() = R"({"service":")" + place.service + R"(","address":")" + place.ip + ":" +
                     std::to_string(place.app_port) + R"(","zone":"north","edition":"v1","capacity":)" +
                     std::to_string(kCapacity) + R"(,"state":"open","warmup_left_s":0,"call_seq":)" +
                     std::to_string(++server->beats) + "}";
    request.prepare_payload();
    if (const auto [error, bytes] = co_await http::async_write(stream, request, kTuple); error) co_return;
    beast::flat_buffer buffer;
    HttpResponse response;
    co_await http::async_read(stream, buffer, response, kTuple);
}

awaitable<void> beat(ServerPtr server) {
    while (!*server->stopped) {
        co_await beat_once(server);
        co_await pause(server->io, static_cast<double>(kBeatEvery.count()));
    }
}

}  // namespace

void start_soak_server(asio::io_context& io, SoakServerPlace place, SoakLedger& ledger, std::uint64_t seed,
                       std::shared_ptr<const bool> stopped) {
    auto server = std::make_shared<Server>(
        Server{io, std::move(place), ledger, kelplb::Random(seed), std::move(stopped)});
    asio::co_spawn(io, accept(server), asio::detached);
    asio::co_spawn(io, beat(server), asio::detached);
}

}  // namespace cobaltshift::lab
