#include "lab/http_server.hpp"

#include <sstream>

namespace cobaltshift::lab {

class HttpServer::Connection : public Exchange, public std::enable_shared_from_this<Connection> {
public:
    Connection(HttpServer& owner, tcp::socket socket) : owner_(&owner), socket_(std::move(socket)) {}

    void read() {
        parser_.emplace();
        parser_->body_limit(owner_->body_limit_);
        http::async_read(socket_, in_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
            if (!self->owner_) return;
            if (ec) return self->leave();
            self->request_ = self->parser_->release();
            self->waiting_ = true;
            self->owner_->handler_(self);
        });
    }
    const HttpRequest& request() const override { return request_; }
    void respond(HttpResponse response) override {
        if (!owner_ || !std::exchange(waiting_, false)) return;
        out_ = std::move(response);
        out_.version(11);
        out_.keep_alive(request_.keep_alive() && out_.keep_alive());
        out_.prepare_payload();
        http::async_write(socket_, out_, [self = shared_from_this()](error_code ec, std::size_t) {
            if (!self->owner_) return;
            if (ec || !self->out_.keep_alive()) return self->leave();
            self->read();
        });
    }
    void reset() override {
        if (!owner_) return;
        error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        leave();
    }
    void leave() {
        error_code ignored;
        socket_.close(ignored);
        HttpServer* owner = std::exchange(owner_, nullptr);
        if (owner) owner->connections_.erase(shared_from_this());
    }

private:
    HttpServer* owner_;  // null once closed
    tcp::socket socket_;
    beast::flat_buffer in_;
    std::optional<http::request_parser<http::string_body>> parser_;
    HttpRequest request_;
    HttpResponse out_;
    bool waiting_ = false;
};

HttpServer::HttpServer(asio::io_context& io, Handler handler, std::uint64_t body_limit)
    : io_(io),
      handler_(std::move(handler)),
      body_limit_(body_limit),
      acceptor_(io),
      at_(asio::ip::make_address("127.0.0.2"), 0) {
    hold();
    open();
}

HttpServer::~HttpServer() {
    error_code ignored;
    acceptor_.close(ignored);
    const auto all = connections_;
    for (const auto& connection : all) connection->reset();
}

// Bound, but not listening: refuses, and nobody else gets the port meanwhile. Connections go out from
// 127.0.0.1, so none of theirs can take it either.
void HttpServer::hold() {
    acceptor_.open(at_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at_);
    at_ = acceptor_.local_endpoint();
}

void HttpServer::open() {
    if (std::exchange(listening_, true)) return;
    acceptor_.listen(1024);
    accept();
}

void HttpServer::close() {
    if (!std::exchange(listening_, false)) return;
    error_code ignored;
    acceptor_.close(ignored);
    const auto all = connections_;
    for (const auto& connection : all) connection->reset();
    hold();
}

void HttpServer::accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) return;
        if (!ec) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            ++opened_;
            auto connection = std::make_shared<Connection>(*this, std::move(socket));
            connections_.insert(connection);
            connection->read();
        }
        accept();
    });
}

std::string text_of(const tcp::endpoint& endpoint) {
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

HttpResponse plain(unsigned status, std::string body) {
    HttpResponse response(static_cast<http::status>(status), 11);
    response.body() = std::move(body);
    return response;
}

}  // namespace cobaltshift::lab
