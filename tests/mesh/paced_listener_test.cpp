// A Listener whose long answers take turns on a link, over loopback sockets: what waits for its turn is not
// cut.
#include <doctest/doctest.h>

#include <future>
#include <thread>

#include "net/listener.hpp"

using namespace cobaltshift;

namespace {

constexpr double kBytesPerMs = 200;
constexpr std::size_t kAnswerBytes = 60000;  // 300 ms of the link
constexpr Millis kWriteTime = 150;

// Answers all requests together once `together` have come: each urgent from the path's digits on.
class Together : public Front {
public:
    explicit Together(std::size_t together) : together_(together) {}
    std::optional<http::status> fault(const HttpRequest&) override { return {}; }
    std::optional<HttpResponse> local(const HttpRequest&) override { return {}; }
    std::string name_of(const HttpRequest&) const override { return {}; }
    RequestId arrived(RequestPtr request, Millis, std::weak_ptr<Client> client) override {
        waiting_.emplace_back(std::stod(std::string(request->target().substr(1))), std::move(client));
        if (waiting_.size() < together_) return waiting_.size();
        for (const auto& [urgent_at, who] : waiting_) {
            HttpResponse response(http::status::ok, 11);
            response.body().assign(kAnswerBytes, 'a');
            if (const auto waits = who.lock()) waits->answer_urgent_at(std::move(response), urgent_at);
        }
        return waiting_.size();
    }
    void client_gone(RequestId) override {}

private:
    const std::size_t together_;
    std::vector<std::pair<Millis, std::weak_ptr<Client>>> waiting_;
};

// A client with one request.
class Asking {
public:
    Asking(const tcp::endpoint& at, const std::string& path) : socket_(io_) {
        socket_.connect(at);
        HttpRequest request(http::verb::get, path, 11);
        request.set(http::field::host, "a");
        http::write(socket_, request);
    }
    std::size_t answer_bytes() {
        beast::flat_buffer buffer;
        HttpResponse response;
        error_code ec;
        http::read(socket_, buffer, response, ec);
        return ec ? 0 : response.body().size();
    }

private:
    asio::io_context io_;
    tcp::socket socket_;
};

}  // namespace

TEST_CASE("paced listener: an answer that waits longer for its turn than a reader may take is not cut") {
    asio::io_context io(1);
    Clock clock;
    Together front(4);
    PacedLink link(io, clock, kBytesPerMs);
    Listener::Limits limits;
    limits.write_time = kWriteTime;
    Listener listener(io, clock, front, limits, &link);
    listener.listen({asio::ip::address_v4::loopback(), 0});
    std::thread loop([&io] { io.run(); });
    std::vector<std::unique_ptr<Asking>> asking;
    for (const char* path : {"/4", "/1", "/3", "/2"})
        asking.push_back(std::make_unique<Asking>(listener.endpoint(), path));
    std::vector<std::future<std::size_t>> answers;
    for (const auto& one : asking)
        answers.push_back(std::async(std::launch::async, [&one] { return one->answer_bytes(); }));
    for (auto& answer : answers) CHECK(answer.get() == kAnswerBytes);
    io.stop();
    loop.join();
}

TEST_CASE("paced listener: two listeners on one link take no more of it than it bears") {
    asio::io_context io(1);
    Clock clock;
    Together front(4);
    PacedLink link(io, clock, kBytesPerMs);
    Listener clients(io, clock, front, {}, &link), proxies(io, clock, front, {}, &link);
    clients.listen({asio::ip::address_v4::loopback(), 0});
    proxies.listen({asio::ip::address_v4::loopback(), 0});
    std::thread loop([&io] { io.run(); });
    const Millis begun = clock.now();
    std::vector<std::unique_ptr<Asking>> asking;
    for (Listener* listener : {&clients, &proxies, &clients, &proxies})
        asking.push_back(std::make_unique<Asking>(listener->endpoint(), "/1"));
    std::vector<std::future<std::size_t>> answers;
    for (const auto& one : asking)
        answers.push_back(std::async(std::launch::async, [&one] { return one->answer_bytes(); }));
    for (auto& answer : answers) CHECK(answer.get() == kAnswerBytes);
    // The last pieces are with the kernel a little ahead of the link.
    CHECK(clock.now() - begun > 0.9 * 4 * kAnswerBytes / kBytesPerMs);
    io.stop();
    loop.join();
}

TEST_CASE(
    "paced listener: before the process ends, what waits for its turn is handed to the kernel at once") {
    constexpr double kSlowBytesPerMs = 10;  // 24 s for what waits
    asio::io_context io(1);
    Clock clock;
    Together front(4);
    PacedLink link(io, clock, kSlowBytesPerMs);
    Listener listener(io, clock, front, {}, &link);
    listener.listen({asio::ip::address_v4::loopback(), 0});
    std::thread loop([&io] { io.run(); });
    const Millis begun = clock.now();
    std::vector<std::unique_ptr<Asking>> asking;
    for (int i = 0; i < 4; ++i) asking.push_back(std::make_unique<Asking>(listener.endpoint(), "/1"));
    std::vector<std::future<std::size_t>> answers;
    for (const auto& one : asking)
        answers.push_back(std::async(std::launch::async, [&one] { return one->answer_bytes(); }));
    std::promise<void> released;
    asio::post(io, [&] { link.release(), released.set_value(); });
    released.get_future().wait();
    for (auto& answer : answers) CHECK(answer.get() == kAnswerBytes);
    CHECK(clock.now() - begun < 0.5 * 4 * kAnswerBytes / kSlowBytesPerMs);
    io.stop();
    loop.join();
}
