#include "lab/soak_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>

#include "lab/soak_io.hpp"

namespace cobaltshift::lab {

namespace {

using Steady = std::chrono::steady_clock;
constexpr std::chrono::milliseconds kDeadline{8000};
// Longer than this past its deadline without an answer, a request is held for good.
constexpr std::chrono::milliseconds kAnswerWithin{10000};
// Shares of the requests: written in two parts with a pause between, two written at once, read slowly.
constexpr double kHalved = 0.2, kPaired = 0.1, kSlowlyRead = 0.03, kLargeBody = 0.1, kLongRest = 0.05;
constexpr std::size_t kLargeBytes = 200 * 1024;

class Client {
public:
    Client(SoakClients& clients, std::uint64_t seed)
        : clients_(clients), random_(seed), name_(std::to_string(seed)) {}

    awaitable<void> run() {
        while (!*clients_.stopped) {
            if (!connected_) co_await connect();
            if (!connected_) {
                co_await pause(clients_.io, 20 + 80 * random_.unit());
                continue;
            }
            co_await use_connection();
            co_await pause(clients_.io,
                           random_.unit() < kLongRest ? 3000 * random_.unit() : 60 * random_.unit());
        }
        --clients_.open;
    }

private:
    awaitable<void> connect() {
        buffer_.clear();
        stream_.emplace(clients_.io);
        stream_->expires_after(std::chrono::seconds(1));
        const tcp::endpoint proxy = clients_.pick_proxy();
        proxy_ = proxy.address().to_string();
        const auto [error] = co_await stream_->async_connect(proxy, kTuple);
        connected_ = !error;
    }

    SoakRequest next_request() {
        return {"soak" + name_ + "x" + std::to_string(++count_), random_.unit() < 0.5, false};
    }
    std::string text_of(const SoakRequest& request) {
        std::string body(random_.unit() < kLargeBody ? kLargeBytes : 20, 'b');
        return std::string("POST ") + (request.registered ? "/registered/x" : "/plain/x") +
               " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: " + request.id +
               "\r\nDeadline-Ms: " + std::to_string(kDeadline.count()) +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    awaitable<void> use_connection() {
        std::vector<SoakRequest> requests{next_request()};
        std::string text = text_of(requests[0]);
        if (random_.unit() < kPaired) {
            requests.push_back(next_request());
            text += text_of(requests[1]);
        }
        const bool written = co_await write(text);
        const Steady::time_point last_byte = Steady::now();
        bool closing = false;
        for (SoakRequest& request : requests) {
            request.behind_close = closing;
            if (!connected_ || (!written && requests.size() > 1 && &request != &requests[0])) {
                clients_.ledger.ended(
                    request, closing || written ? SoakEnd::closed_unanswered : SoakEnd::closed_before,
                    ms_since(last_byte), proxy_);
                continue;
            }
            const bool last = co_await read_answer(request, written, last_byte);
            closing = closing || last;
        }
        if (closing) connected_ = false;
    }

    // False: the connection ended before the last byte was with the system.
    awaitable<bool> write(const std::string& text) {
        std::size_t from = 0;
        if (random_.unit() < kHalved) {
            from = 1 + random_.below(text.size() - 1);
            const bool first = co_await write_part(std::string_view(text).substr(0, from));
            if (!first) co_return false;
            co_await pause(clients_.io, 200 * random_.unit());
        }
        const bool all = co_await write_part(std::string_view(text).substr(from));
        co_return all;
    }
    awaitable<bool> write_part(std::string_view part) {
        stream_->expires_after(kAnswerWithin);
        const auto [error, bytes] =
            co_await asio::async_write(*stream_, asio::buffer(part.data(), part.size()), kTuple);
        write_fault_ = error ? error.message() : "";
        co_return !error;
    }

    // True: this answer is the connection's last.
    awaitable<bool> read_answer(const SoakRequest& request, bool written, Steady::time_point last_byte) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(1 << 22);
        stream_->expires_after(kAnswerWithin);
        error_code error;
        if (random_.unit() < kSlowlyRead) {
            error = std::get<0>(co_await http::async_read_header(*stream_, buffer_, parser, kTuple));
            if (!error) co_await pause(clients_.io, 700 * random_.unit());
        }
        // With a parser that is done, or has failed, it would wait for bytes of another answer.
        if (!error && !parser.is_done())
            error = std::get<0>(co_await http::async_read(*stream_, buffer_, parser, kTuple));
        if (error) {
            connected_ = false;
            if (error == beast::error::timeout)
                clients_.ledger.held(request, proxy_, ms_since(last_byte), written ? "" : write_fault_);
            clients_.ledger.ended(request, written ? SoakEnd::closed_unanswered : SoakEnd::closed_before,
                                  ms_since(last_byte), proxy_);
            co_return true;
        }
        const HttpResponse response = parser.release();
        judge(request, response, ms_since(last_byte));
        co_return !response.keep_alive();
    }

    void judge(const SoakRequest& request, const HttpResponse& response, double after_ms) {
        const unsigned status = response.result_int();
        const bool success = status / 100 == 2;
        const std::string answered(response["Request-Id"]);
        if (success && (response["Postmark"].empty() || !response.body().starts_with(request.id)))
            clients_.ledger.accuse("MIXED", request.id + " got a success that is not its server's");
        if (!answered.empty() && answered != request.id)
            clients_.ledger.accuse("MIXED", request.id + " got the answer of " + answered);
        if (status / 100 == 4 && status != 408 && status != 421 && status != 429)
            clients_.ledger.accuse("DENIED", request.id + " got " + std::to_string(status));
        const bool promise = status == 503 || status == 429 || status == 408 || status == 421;
        clients_.ledger.ended(request,
                              success   ? SoakEnd::served
                              : promise ? SoakEnd::refused
                                        : SoakEnd::failed,
                              after_ms, proxy_ + " with " + std::to_string(status));
    }

    SoakClients& clients_;
    kelplb::Random random_;
    const std::string name_;
    std::string proxy_, write_fault_;  // its address; of the last write
    std::optional<beast::tcp_stream> stream_;
    beast::flat_buffer buffer_;
    std::uint64_t count_ = 0;
    bool connected_ = false;
};

}  // namespace

void start_soak_client(SoakClients& clients, std::uint64_t seed) {
    ++clients.open;
    auto client = std::make_shared<Client>(clients, seed);
    asio::co_spawn(
        clients.io, [client]() -> awaitable<void> { co_await client->run(); }, asio::detached);
}

}  // namespace cobaltshift::lab
