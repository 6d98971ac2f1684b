// One request at the limits of the users' pages, in calm, on proxies with the memory of those pages: it is
// served, and the proxies stay within their memory.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>

#include "lab/crowd.hpp"
#include "processes/mesh_under_test.hpp"

namespace cobaltshift::process_tests {

using namespace lab;

namespace {

constexpr std::size_t kPagesMemoryMb = 260, kPagesMaxBodyBytes = 64 << 20, kChunkBytes = 1 << 20;
constexpr std::size_t kAnswerBytes = (64 << 20) - 1024;
constexpr unsigned kDeadlineMs = 100000, kRouteDeadlineS = 100;

MeshSettings settings_of_the_pages() {
    MeshSettings settings;
    settings.memory_mb = kPagesMemoryMb;
    settings.configuration = {kPagesMaxBodyBytes, kRouteDeadlineS};
    settings.habits.large = 1;
    settings.habits.large_bytes = kAnswerBytes;
    settings.habits.large_from_body = kChunkBytes;  // the ordinary request gets a short one
    return settings;
}

class LargestRequest : public testing::Test {
protected:
    // Sends a chunked body of the largest size; the status of the answer, 0: none came whole.
    awaitable<unsigned> send_to(tcp::endpoint to) {
        tcp::socket socket(io_, to.protocol());
        const auto [connect_error] = co_await socket.async_connect(to, kTuple);
        if (connect_error) co_return 0;
        std::string head = request_head("POST", kDeadlineMs) + "Transfer-Encoding: chunked\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(head), kTuple);
        const std::string chunk = chunk_of(kChunkBytes);
        for (std::size_t sent = 0; sent < kPagesMaxBodyBytes; sent += kChunkBytes) {
            const auto [error, count] = co_await asio::async_write(socket, asio::buffer(chunk), kTuple);
            if (error) break;
        }
        const std::string end = "0\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(end), kTuple);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(2 * kAnswerBytes);
        const auto [error, count] = co_await http::async_read(socket, buffer, parser, kTuple);
        co_return error || parser.get().body().size() < kAnswerBytes ? parser.get().result_int() + 1000
                                                                     : parser.get().result_int();
    }
    using Address = tcp::endpoint (MeshUnderTest::*)() const;
    awaitable<void> day(Address to) {
        const bool started = co_await mesh_.start_server();
        EXPECT_TRUE(started) << "no ordinary request was served";
        const unsigned status = co_await send_to((mesh_.*to)());
        EXPECT_EQ(status, 200U) << "1000 more: not the whole answer";
    }
    void run(Address to) {
        asio::co_spawn(io_, mesh_.watch(), [](const std::exception_ptr&) {});
        asio::co_spawn(io_, day(to), [this](const std::exception_ptr& fault) {
            io_.stop();
            if (fault) std::rethrow_exception(fault);
        });
        io_.run();
        EXPECT_TRUE(mesh_.all_alive()) << "a process has ended";
        for (const auto& [name, peak] : mesh_.peaks()) {
            std::printf("%s: at most %.1f MB of %zu\n", name.c_str(), peak.memory_mb, kPagesMemoryMb);
            EXPECT_LE(peak.memory_mb, static_cast<double>(kPagesMemoryMb)) << name;
        }
    }

    asio::io_context io_{1};
    MeshUnderTest mesh_{io_, settings_of_the_pages()};
};

TEST_F(LargestRequest, WithTheLargestAnswerThroughTwoProxiesIsServed) { run(&MeshUnderTest::outbound); }

// One proxy holds the body and the answer for both of its sides.
TEST_F(LargestRequest, WithTheLargestAnswerThroughOneProxyIsServed) {
    run(&MeshUnderTest::server_side_outbound);
}

}  // namespace
}  // namespace cobaltshift::process_tests
