// What the coroutines of a soak share: waiting, elapsed time, and one HTTP call on a connection of its own.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <optional>

#include "net/http.hpp"

namespace cobaltshift::lab {

using asio::awaitable;
using SteadyTime = std::chrono::steady_clock::time_point;

// Completion token: errors come as the first element of a tuple, not as exceptions.
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

inline double ms_since(SteadyTime at) {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - at).count();
}

inline awaitable<void> pause(asio::io_context& io, double ms) {
    asio::steady_timer timer(io, std::chrono::microseconds(static_cast<long>(ms * 1000)));
    co_await timer.async_wait(kTuple);
}

// Sends one request; none if no whole answer comes within `patience`. `host`: of its Host field; empty: the
// address.
inline awaitable<std::optional<HttpResponse>> call_once(asio::io_context& io, tcp::endpoint to,
                                                        HttpRequest request,
                                                        std::chrono::milliseconds patience,
                                                        std::string host = {}) {
    beast::tcp_stream stream(io);
    stream.expires_after(patience);
    request.set(http::field::host, host.empty() ? to.address().to_string() : host);
    request.prepare_payload();
    const auto [connect_error] = co_await stream.async_connect(to, kTuple);
    if (connect_error) co_return std::nullopt;
    const auto [write_error, written] = co_await http::async_write(stream, request, kTuple);
    if (write_error) co_return std::nullopt;
    beast::flat_buffer buffer;
    HttpResponse response;
    const auto [read_error, read] = co_await http::async_read(stream, buffer, response, kTuple);
    if (read_error) co_return std::nullopt;
    co_return response;
}

}  // namespace cobaltshift::lab
