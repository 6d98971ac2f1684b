#include "lab/bare_http.hpp"

#include <array>
#include <charconv>

namespace cobaltshift::lab {

namespace {
constexpr std::string_view kEnd = "\r\n\r\n", kNumber = "00000000";
const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/plain\r\n\r\nok";
}  // namespace

struct BareServer::Connection : std::enable_shared_from_this<Connection> {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    void read() {
        socket.async_read_some(asio::buffer(chunk), [self = shared_from_this()](error_code ec,
                                                                                std::size_t n) {
            if (ec) return;
            // Ends of heads, one of which may be cut by the end of what has come.
            std::size_t requests = 0;
            for (std::size_t i = 0; i < n; ++i) {
                const char c = self->chunk[i];
                self->matched = c == kEnd[self->matched] ? self->matched + 1 : c == '\r' ? 1 : 0;
                if (self->matched == kEnd.size()) self->matched = 0, ++requests;
            }
            if (requests == 0) return self->read();
            self->out.clear();
            for (; requests > 0; --requests) self->out += kAnswer;
            asio::async_write(self->socket, asio::buffer(self->out), [self](error_code failed, std::size_t) {
                if (!failed) self->read();
            });
        });
    }
    tcp::socket socket;
    std::array<char, 8192> chunk;
    std::size_t matched = 0;
    std::string out;
};

BareServer::BareServer(asio::io_context& io) : acceptor_(io, {asio::ip::make_address("127.0.0.2"), 0}) {
    accept();
}

void BareServer::accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        if (ec) return;
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        std::make_shared<Connection>(std::move(socket))->read();
        accept();
    });
}

struct BareClients::Connection : std::enable_shared_from_this<Connection> {
    Connection(asio::io_context& io, BareClients& clients)
        : socket(io), of(&clients), out(clients.request_) {}
    void ask() {
        if (!of) return;
        if (of->paused_) {
            waits = true;
            return;
        }
        // Each has a number of its own, as a forwarder turns away what it holds already.
        const std::string number = std::to_string(++of->asked_ % 100000000);
        if (of->number_at_ != std::string::npos)
            out.replace(of->number_at_ + kNumber.size() - number.size(), number.size(), number);
        asio::async_write(socket, asio::buffer(out), [self = shared_from_this()](error_code ec, std::size_t) {
            if (ec && self->of) ++self->of->other_;
        });
        in.clear();
        read();
    }
    void read() {
        socket.async_read_some(asio::buffer(chunk),
                               [self = shared_from_this()](error_code ec, std::size_t n) {
                                   if (!self->of) return;
                                   if (ec) {
                                       ++self->of->other_;
                                       return;
                                   }
                                   self->in.append(self->chunk.data(), n);
                                   self->answer();
                               });
    }
    void answer() {
        const auto head = in.find(kEnd);
        if (head == std::string::npos) return read();
        std::size_t length = 0;
        for (const char* name : {"Content-Length: ", "content-length: "})
            if (const auto at = in.find(name); at != std::string::npos && at < head)
                std::from_chars(in.data() + at + 16, in.data() + head, length);
        if (in.size() < head + kEnd.size() + length) return read();
        ++of->answered_;
        if (in.compare(0, 12, "HTTP/1.1 200") != 0) ++of->other_;
        if (of->due_ > 0 && of->answered_ >= of->due_ && of->told_) std::exchange(of->told_, nullptr)();
        ask();
    }
    tcp::socket socket;
    BareClients* of;
    std::array<char, 8192> chunk;
    std::string in, out;
    bool waits = false;
};

BareClients::BareClients(asio::io_context& io, tcp::endpoint to, std::size_t connections, std::string request)
    : request_(std::move(request)), number_at_(request_.find(kNumber)) {
    for (std::size_t i = 0; i < connections; ++i) {
        auto one = std::make_shared<Connection>(io, *this);
        connections_.push_back(one);
        one->socket.async_connect(to, [one](error_code ec) {
            if (!one->of) return;
            if (ec) {
                ++one->of->other_;
                return;
            }
            error_code ignored;
            one->socket.set_option(tcp::no_delay(true), ignored);
            one->ask();
        });
    }
}

BareClients::~BareClients() {
    for (const auto& one : connections_) {
        one->of = nullptr;
        error_code ignored;
        one->socket.close(ignored);
    }
}

void BareClients::pause(bool on) {
    paused_ = on;
    if (on) return;
    for (const auto& one : connections_)
        if (std::exchange(one->waits, false)) one->ask();
}

}  // namespace cobaltshift::lab
