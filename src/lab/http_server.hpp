// A small HTTP/1.1 server on a loopback address, for the stand-ins: hands each request to one handler, which
// answers it now, later or never. One connection carries one request at a time. Single-threaded.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

#include "net/http.hpp"

namespace cobaltshift::lab {

class HttpServer {
public:
    // A request that awaits its answer. Answering one whose connection has gone has no effect.
    class Exchange {
    public:
        virtual ~Exchange() = default;
        virtual const HttpRequest& request() const = 0;
        virtual void respond(HttpResponse response) = 0;
        virtual void reset() = 0;  // the connection breaks, with RST
    };
    using ExchangePtr = std::shared_ptr<Exchange>;
    using Handler = std::function<void(ExchangePtr)>;

    // Listens at once on an ephemeral port of 127.0.0.2. Must outlive the running of the loop.
    HttpServer(asio::io_context& io, Handler handler, std::uint64_t body_limit = kMaxBody);
    ~HttpServer();

    tcp::endpoint at() const { return at_; }
    // As a process that dies: resets all connections, and new ones are refused until open().
    void close();
    void open();  // at the same address again
    std::size_t opened() const { return opened_; }
    std::size_t connections() const { return connections_.size(); }

private:
    class Connection;
    void hold();
    void accept();

    asio::io_context& io_;
    Handler handler_;
    std::uint64_t body_limit_;
    tcp::acceptor acceptor_;
    tcp::endpoint at_;
    std::unordered_set<std::shared_ptr<Connection>> connections_;
    bool listening_ = false;
    std::size_t opened_ = 0;
};

std::string text_of(const tcp::endpoint& endpoint);  // ADDRESS:PORT
HttpResponse plain(unsigned status, std::string body = "");

}  // namespace cobaltshift::lab
