// Tests of a Listener with a paced link over loopback sockets: answers waiting for the link must not time
// out.
#include <doctest/doctest.h>

#include <future>
#include <thread>

#include "net/listener.hpp"

using namespace cobaltshift;

namespace {

constexpr double kBytesPerMs = 200;
constexpr std::size_t kAnswerBytes = 60000;  // 300 ms of link time
constexpr Millis kWriteTime = 150;

// Answers all requests at once when `count` have arrived. The number in a request's path is the time from
// which its answer is urgent.
class BatchFront : public Front {
public:
    explicit BatchFront(std::size_t count) : count_(count) {}
    std::optional<http::status> fault(const HttpRequest&) override { return {}; }
    std::optional<HttpResponse> local(const HttpRequest&) override { return {}; }
    std::string request_id_of(const HttpRequest&) const override { return {}; }
    RequestId arrived(RequestPtr request, Millis, std::weak_ptr<Client> client) override {
        waiting_.emplace_back(std::stod(std::string(request->target().substr(1))), std::move(client));
        if (waiting_.size() < count_) return waiting_.size();
        for (const auto& [urgent_at, receiver] : waiting_) {
            HttpResponse response(http::status::ok, 11);
            response.body().assign(kAnswerBytes, 'a');
            if (const auto waiting = receiver.lock())
                waiting->answer_urgent_at(std::move(response), urgent_at);
        }
        return waiting_.size();
    }
    void client_gone(RequestId) override {}

private:
    const std::size_t count_;
    std::vector<std::pair<Millis, std::weak_ptr<Client>>> waiting_;
};

// A client that has sent one request.
class TestClient {
public:
    TestClient(const tcp::endpoint& at, const std::string& path) : socket_(io_) {
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

TEST_CASE("paced listener: an answer that waits for the link longer than the write timeout is not cut off") {
    asio::io_context io(1);
    Clock clock;
    BatchFront front(4);
    PacedLink link(io, clock, kBytesPerMs);
    Listener::Limits limits;
    limits.write_time = kWriteTime;
    Listener listener(io, clock, front, limits, &link);
    listener.listen({asio::ip::address_v4::loopback(), 0});
    std::thread loop([&io] { io.run(); });
    std::vector<std::unique_ptr<TestClient>> test_clients;
    for (const char* path : {"/4", "/1", "/3", "/2"})
        test_clients.push_back(std::make_unique<TestClient>(listener.endpoint(), path));
    std::vector<std::future<std::size_t>> answers;
    for (const auto& one : test_clients)
        answers.push_back(std::async(std::launch::async, [&one] { return one->answer_bytes(); }));
    for (auto& answer : answers) CHECK(answer.get() == kAnswerBytes);
    io.stop();
    loop.join();
}

TEST_CASE("paced listener: two listeners on one link together keep to its rate") {
    asio::io_context io(1);
    Clock clock;
    BatchFront front(4);
    PacedLink link(io, clock, kBytesPerMs);
    Listener clients(io, clock, front, {}, &link), proxies(io, clock, front, {}, &link);
    clients.listen({asio::ip::address_v4::loopback(), 0});
    proxies.listen({asio::ip::address_v4::loopback(), 0});
    std::thread loop([&io] { io.run(); });
    const Millis begun = clock.now();
    std::vector<std::unique_ptr<TestClient>> test_clients;
    for (Listener* listener : {&clients, &proxies, &clients, &proxies})
        test_clients.push_back(std::make_unique<TestClient>(listener->endpoint(), "/1"));
    std::vector<std::future<std::size_t>> answers;
    for (const auto& one : test_clients)
        answers.push_back(std::async(std::launch::async, [&one] { return one->answer_bytes(); }));
    for (auto& answer : answers) CHECK(answer.get() == kAnswerBytes);
    // The last pieces are handed to the kernel slightly before the link could carry them.
    CHECK(clock.now() - begun > 0.9 * 4 * kAnswerBytes / kBytesPerMs);
    io.stop();
    loop.join();
}

TEST_CASE("paced listener: release() hands all queued answers to the kernel at once") {
    constexpr double kSlowBytesPerMs = 10;  // 24 s for the queued answers
    asio::io_context io(1);
    Clock clock;
    BatchFront front(4);
    PacedLink link(io, clock, kSlowBytesPerMs);
    Listener listener(io, clock, front, {}, &link);
    listener.listen({asio::ip::address_v4::loopback(), 0});
    std::thread loop([&io] { io.run(); });
    const Millis begun = clock.now();
    std::vector<std::unique_ptr<TestClient>> test_clients;
    for (int i = 0; i < 4; ++i)
        test_clients.push_back(std::make_unique<TestClient>(listener.endpoint(), "/1"));
    std::vector<std::future<std::size_t>> answers;
    for (const auto& one : test_clients)
        answers.push_back(std::async(std::launch::async, [&one] { return one->answer_bytes(); }));
    std::promise<void> released;
    asio::post(io, [&] { link.release(), released.set_value(); });
    released.get_future().wait();
    for (auto& answer : answers) CHECK(answer.get() == kAnswerBytes);
    CHECK(clock.now() - begun < 0.5 * 4 * kAnswerBytes / kSlowBytesPerMs);
    io.stop();
    loop.join();
}
