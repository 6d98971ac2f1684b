// HTTP definitions and helpers shared by the client and server sides of the sidecar.
#pragma once

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cobaltshift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

constexpr std::uint32_t kMaxHeader = 16 * 1024;
constexpr std::uint64_t kMaxBody = 64 * 1024;
// Servers commonly accept 100 header fields and drop the connection if there are more. The client learns no
// reason from that and would retry forever. The difference is room for the fields that are added on the way.
constexpr std::ptrdiff_t kMaxFields = 90;
// Of the fields behind a chunked body, and of one chunk's size with its extension.
constexpr std::size_t kMaxTrailerBytes = kMaxHeader;

// Headers that identify a request or stamp an answer: a Connection header can't remove them, as repeats,
// answers and their senders are known by them.
constexpr const char* kEndToEndHeaders[] = {"Idempotency-Key", "X-Correlation-Id", "Request-Id", "Postmark"};

// Frees a string's memory. Assigning an empty one would keep it.
inline void free_memory(std::string& text) { std::string().swap(text); }

// Removes the hop-by-hop headers and the headers named by Connection.
template <class Fields>
void strip_hop_by_hop(Fields& fields) {
    std::vector<std::string> names;
    for (const auto& name : http::token_list(fields[http::field::connection])) names.emplace_back(name);
    const auto is_kept = [](const std::string& name) {
        return std::any_of(std::begin(kEndToEndHeaders), std::end(kEndToEndHeaders),
                           [&](const char* kept) { return beast::iequals(name, kept); });
    };
    for (const auto& name : names)
        if (!is_kept(name)) fields.erase(name);
    for (const char* name : {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
                             "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"})
        fields.erase(name);
}

// Whether a header field continues on the next line (obs-fold).
inline bool has_folded_line(std::string_view head) {
    return head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos;
}

// Feeds the received bytes to a parser that is not eager; need_more once they are consumed. `head_bytes`
// counts the bytes of the head over all calls for one message. The limit on the head is enforced here because
// the parser consumes complete lines as they arrive and checks its own limit only against the unconsumed
// rest, so an endless head sent in complete lines would be stored without bound. Trailers are consumed at
// once when they are whole.
template <class Parser>
error_code parse_received(Parser& parser, beast::flat_buffer& in, std::size_t& head_bytes,
                          std::size_t max_head = kMaxHeader) {
    error_code ec = http::error::need_more;
    if (in.size() == 0) return ec;
    const bool in_head = !parser.is_header_done();
    const std::size_t consumed = parser.put(in.data(), ec);
    if constexpr (Parser::value_type::is_request::value) {
        // A folded line (RFC 9112 5.2) is consumed together with its field. It is rejected because servers
        // interpret folding differently.
        if (in_head && has_folded_line({static_cast<const char*>(in.data().data()), consumed}))
            return http::error::bad_obs_fold;
    }
    in.consume(consumed);
    if (in_head) head_bytes += consumed;
    const bool too_long =
        in_head ? in.size() + head_bytes >= max_head : in.size() >= std::min(max_head, kMaxTrailerBytes);
    if ((ec == http::error::need_more && too_long) || head_bytes > max_head) return http::error::header_limit;
    return ec;
}

// Peeks at a connection's receive buffer without blocking or consuming data. `ended`: closed by the peer or
// broken.
enum class PendingInput { nothing, bytes, ended };
inline PendingInput peek(tcp::socket& socket) {
    char byte;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) return PendingInput::bytes;
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) ? PendingInput::nothing
                                                                                : PendingInput::ended;
}

}  // namespace cobaltshift
