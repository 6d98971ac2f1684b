#include "lab/crowd.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>

namespace cobaltshift::lab {

namespace {

constexpr double kReconnectMs = 50, kStayMs = 2000, kPatienceMs = 60000, kSlowReadEveryMs = 100;
constexpr std::size_t kSlowReadBytes = 2048, kWriteBytes = 64 * 1024;
constexpr int kSmallReceiveBuffer = 4096;

std::string next_id() {
    static std::uint64_t number = 0;
    return "hostile-" + std::to_string(++number);
}

// Until the other side closes the connection; what it sends is thrown away.
awaitable<void> wait_for_close(tcp::socket& socket) {
    char bytes[1024];
    for (;;) {
        const auto [error, count] = co_await socket.async_read_some(asio::buffer(bytes), kTuple);
        if (error) co_return;
    }
}

awaitable<bool> send_all(tcp::socket& socket, const std::string& text) {
    const auto [error, count] = co_await asio::async_write(socket, asio::buffer(text), kTuple);
    co_return !error;
}

// Sends `piece` until `bytes` are sent. False: the connection has ended.
awaitable<bool> send_repeatedly(tcp::socket& socket, const std::string& piece, std::size_t bytes) {
    std::string block = piece;
    while (block.size() < kWriteBytes) block += piece;
    const std::size_t pieces_of_block = block.size() / piece.size();
    for (std::size_t left = (bytes + piece.size() - 1) / piece.size(); left > 0;) {
        const std::size_t pieces = std::min(left, pieces_of_block);
        const auto part = asio::buffer(block.data(), pieces * piece.size());
        const auto [error, count] = co_await asio::async_write(socket, part, kTuple);
        if (error) co_return false;
        left -= pieces;
    }
    co_return true;
}

}  // namespace

std::string request_head(const std::string& method, unsigned deadline_ms) {
    return method + " /plain/hostile HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: " + next_id() +
           "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
}

std::string hop_head(const std::string& method, const std::string& instance_id) {
    return request_head(method) +
           "Caller: desk\r\nMesh-Hop: p;1;1000;2;1;2\r\nExpect-Instance: " + instance_id + "\r\n";
}

std::string chunk_of(std::size_t bytes) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes);
    return size + std::string(bytes, 'c') + "\r\n";
}

Behaviour read_slowly(asio::io_context& io) {
    return [&io](tcp::socket& socket, bool& part_done) -> awaitable<void> {
        socket.set_option(asio::socket_base::receive_buffer_size(kSmallReceiveBuffer));
        const bool sent = co_await send_all(socket, request_head("GET") + "\r\n");
        if (!sent) co_return;
        char bytes[kSlowReadBytes];
        for (const auto since = std::chrono::steady_clock::now(); ms_since(since) < kPatienceMs;) {
            const auto [error, count] = co_await socket.async_read_some(asio::buffer(bytes), kTuple);
            if (error) co_return;
            part_done = true;
            co_await pause(io, kSlowReadEveryMs);
        }
    };
}

Behaviour send_pieces(std::string start, std::string piece, std::size_t bytes) {
    return [=](tcp::socket& socket, bool& part_done) -> awaitable<void> {
        const bool started = co_await send_all(socket, start);
        if (!started) co_return;
        const bool sent = co_await send_repeatedly(socket, piece, bytes);
        part_done = true;
        if (sent) co_await wait_for_close(socket);
    };
}

Behaviour send_chunked_body(std::size_t chunk_bytes, std::size_t bytes) {
    return [=](tcp::socket& socket, bool& part_done) -> awaitable<void> {
        const bool started =
            co_await send_all(socket, request_head("POST") + "Transfer-Encoding: chunked\r\n\r\n");
        if (!started) co_return;
        const bool sent = co_await send_repeatedly(socket, chunk_of(chunk_bytes), bytes);
        if (!sent) co_return;
        const bool ended = co_await send_all(socket, "0\r\n\r\n");
        part_done = true;
        if (!ended) co_return;
        char byte;
        co_await socket.async_read_some(asio::buffer(&byte, 1), kTuple);
    };
}

void Crowd::add(std::size_t clients, const Behaviour& behaviour) {
    for (std::size_t i = 0; i < clients; ++i) {
        clients_.push_back(std::make_shared<Client>(Client{behaviour}));
        asio::co_spawn(io_, keep_on(io_, to_, clients_.back(), stopped_), asio::detached);
    }
}

awaitable<void> Crowd::keep_on(asio::io_context& io, tcp::endpoint to, std::shared_ptr<Client> client,
                               std::shared_ptr<const bool> stopped) {
    while (!*stopped) {
        tcp::socket socket(io, to.protocol());
        const auto [error] = co_await socket.async_connect(to, kTuple);
        if (!error) co_await client->behaviour(socket, client->part_done);
        client->part_done = true;
        co_await pause(io, kReconnectMs);
    }
}

awaitable<void> Crowd::run() {
    const auto since = std::chrono::steady_clock::now();
    const auto all_done = [&] {
        return std::all_of(clients_.begin(), clients_.end(), [](const auto& one) { return one->part_done; });
    };
    while (!all_done() && ms_since(since) < kPatienceMs) co_await pause(io_, kReconnectMs);
    co_await pause(io_, kStayMs);
}

}  // namespace cobaltshift::lab
