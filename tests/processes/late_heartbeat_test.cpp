// A heartbeat that was sent before a server deregistered and arrives after its proxy has restarted: no
// request may reach that server any more (DRAIN).
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "processes/mesh_under_test.hpp"

namespace cobaltshift::process_tests {
namespace {

using lab::kTuple;
using lab::pause;

constexpr int kMaxTries = 300, kTriesAfterTheEnd = 20;
constexpr double kPauseMs = 100;

class LateHeartbeat : public testing::Test {
protected:
    awaitable<unsigned> beat(std::uint64_t call_seq) {
        std::string body = R"({"service":"goods","address":")" + mesh_.server().address().to_string() +
                           R"(:8628","zone":"north","edition":"v1","capacity":8,"state":"open",)" +
                           R"("warmup_left_s":0,"call_seq":)" + std::to_string(call_seq) + "}";
        return mesh_.call_server_proxy(http::verb::put, kPath, std::move(body));
    }
    awaitable<unsigned> deregister() { return mesh_.call_server_proxy(http::verb::delete_, kPath, ""); }

    // The server reads nothing and answers nothing: only that it is called counts.
    awaitable<void> count_calls() {
        tcp::acceptor acceptor(io_, mesh_.server());
        for (;;) {
            const auto [error, socket] = co_await acceptor.async_accept(kTuple);
            if (error) co_return;
            ++calls_;
        }
    }
    awaitable<void> until_called() {
        co_await mesh_.configure();
        for (int i = 0; i < kMaxTries && calls_ == 0; ++i) {
            co_await beat(1);
            co_await mesh_.request_once();
            co_await pause(io_, kPauseMs);
        }
        EXPECT_GT(calls_, 0) << "the server was never called while it was open";
    }
    // The late heartbeat comes; requests go on.
    awaitable<void> expect_no_calls_after_late_beat() {
        const int before = calls_;
        const unsigned acknowledged = co_await beat(2);
        EXPECT_EQ(acknowledged, 200U);
        for (int i = 0; i < kTriesAfterTheEnd; ++i) {
            co_await mesh_.request_once();
            co_await pause(io_, kPauseMs);
        }
        EXPECT_EQ(calls_, before) << "requests reached a server that had deregistered";
    }
    void run(awaitable<void> day) {
        asio::co_spawn(io_, count_calls(), asio::detached);
        asio::co_spawn(io_, std::move(day), [this](const std::exception_ptr& fault) {
            io_.stop();
            if (fault) std::rethrow_exception(fault);
        });
        io_.run();
    }

    static constexpr const char* kPath = "/api/servers/i-late";
    asio::io_context io_{1};
    MeshUnderTest mesh_{io_, MeshSettings{}};
    int calls_ = 0;
};

TEST_F(LateHeartbeat, AfterARestartBehindTheDeregistrationReadmitsNothing) {
    const auto day = [this]() -> awaitable<void> {
        co_await until_called();
        const unsigned acknowledged = co_await deregister();
        EXPECT_EQ(acknowledged, 200U);
        const bool restarted = co_await mesh_.restart_server_proxy();
        EXPECT_TRUE(restarted);
        co_await expect_no_calls_after_late_beat();
    };
    run(day());
}

TEST_F(LateHeartbeat, AfterADeregistrationThatARestartedProxyTookReadmitsNothing) {
    const auto day = [this]() -> awaitable<void> {
        co_await until_called();
        const bool restarted = co_await mesh_.restart_server_proxy();
        EXPECT_TRUE(restarted);
        const unsigned acknowledged = co_await deregister();
        EXPECT_EQ(acknowledged, 200U);
        co_await expect_no_calls_after_late_beat();
    };
    run(day());
}

// The first of two restarts must not make the others forget the end.
TEST_F(LateHeartbeat, AfterTwoRestartsReadmitsNothing) {
    const auto day = [this]() -> awaitable<void> {
        co_await until_called();
        const unsigned acknowledged = co_await deregister();
        EXPECT_EQ(acknowledged, 200U);
        for (int i = 0; i < 2; ++i) {
            const bool restarted = co_await mesh_.restart_server_proxy();
            EXPECT_TRUE(restarted);
        }
        co_await expect_no_calls_after_late_beat();
    };
    run(day());
}

}  // namespace
}  // namespace cobaltshift::process_tests
