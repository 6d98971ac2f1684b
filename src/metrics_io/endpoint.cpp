#include "metrics_io/endpoint.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "log/log.hpp"

namespace cobaltshift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

struct MetricsEndpoint::Connection {
    Connection(asio::ip::tcp::socket s, std::shared_ptr<std::size_t> count)
        : stream(std::move(s)), open(std::move(count)) {
        ++*open;
        parser.header_limit(kMaxHeadBytes);
        parser.body_limit(0);
        stream.expires_after(kTimeout);
    }
    ~Connection() { --*open; }
    beast::tcp_stream stream;
    beast::flat_buffer input{kMaxHeadBytes};
    http::request_parser<http::empty_body> parser;
    http::response<http::string_body> response;
    std::shared_ptr<std::size_t> open;
};

MetricsEndpoint::MetricsEndpoint(asio::io_context& io, const asio::ip::tcp::endpoint& listen, Render render)
    : io_(io), render_(std::move(render)), acceptor_(io, listen) {
    accept();
}

MetricsEndpoint::~MetricsEndpoint() { *alive_ = false; }

void MetricsEndpoint::accept() {
    acceptor_.async_accept([this, alive = alive_](error_code ec, asio::ip::tcp::socket socket) {
        if (!*alive || ec == asio::error::operation_aborted) return;
        if (ec) {  // e.g. out of descriptors: retry after a pause
            log_line("metrics.accept", "accept on the metrics endpoint failed: " + ec.message());
            auto pause = std::make_shared<asio::steady_timer>(io_, std::chrono::seconds(1));
            return pause->async_wait([this, alive, pause](error_code) {
                if (*alive) accept();
            });
        }
        accept();
        if (*open_ >= kMaxConnections) return;  // closes the connection
        const auto connection = std::make_shared<Connection>(std::move(socket), open_);
        http::async_read(
            connection->stream, connection->input, connection->parser,
            [this, alive, connection](error_code wrong, std::size_t) {
                if (!*alive || wrong) return;
                const auto& request = connection->parser.get();
                const bool found = request.target() == "/metrics" && request.method() == http::verb::get;
                auto& response = connection->response;
                response.result(found ? http::status::ok : http::status::not_found);
                response.set(http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
                response.keep_alive(false);
                if (found) response.body() = render_();
                response.prepare_payload();
                http::async_write(connection->stream, response, [connection](error_code, std::size_t) {
                    error_code ignored;
                    connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                });
            });
    });
}

}  // namespace cobaltshift
