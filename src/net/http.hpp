// What both sides of the sidecar share of HTTP.
#pragma once

#include <sys/socket.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>
#include <vector>

namespace kelplb::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;
using RequestPtr = std::shared_ptr<const HttpRequest>;

constexpr std::uint32_t kMaxHeader = 16 * 1024;
constexpr std::uint64_t kMaxBody = 64 * 1024;

// Headers that speak of one connection only, and those that Connection names, stay on it.
template <class Fields>
void strip_hop_by_hop(Fields& fields) {
    std::vector<std::string> names;
    for (const auto& name : http::token_list(fields[http::field::connection])) names.emplace_back(name);
    for (const auto& name : names)  // but never what tells a server that it has seen a request before
        if (!beast::iequals(name, "Idempotency-Key") && !beast::iequals(name, "X-Correlation-Id"))
            fields.erase(name);
    for (const char* name : {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
                             "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"})
        fields.erase(name);
}

// What a look at a quiet connection shows without taking anything from it.
enum class Quiet { nothing, bytes, ended };
inline Quiet peek(tcp::socket& socket) {
    char byte;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) return Quiet::bytes;
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) ? Quiet::nothing
                                                                                : Quiet::ended;
}

}  // namespace kelplb::net
