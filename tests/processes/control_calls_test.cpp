// Calls to the control nodes by clients that nobody controls: whatever a body holds, the leader goes on
// leading, each node stays within its memory, and the configuration can be read and changed afterwards.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "processes/mesh_under_test.hpp"

namespace cobaltshift::process_tests {
namespace {

constexpr std::size_t kControlNodes = 3, kCallsOfOneSize = 4;
constexpr std::size_t kBodyBytes[] = {80 << 10, 320 << 10, (1 << 20) - 1024};
constexpr std::chrono::milliseconds kPatience{30000};
constexpr double kPatienceMs = 30000, kPauseMs = 50, kSettleMs = 2000;

MeshSettings three_control_nodes() {
    MeshSettings settings;
    settings.control_nodes = kControlNodes;
    return settings;
}

// JSON that is no configuration, of many values.
std::string list_of_zeros(std::size_t bytes) {
    std::string text = "[0";
    while (text.size() + 3 <= bytes) text += ",0";
    return text + "]";
}

struct CurrentConfiguration {
    tcp::endpoint leader;
    std::string edition;
};

class ControlCalls : public testing::Test {
protected:
    // From the node that answers by itself; the others refer to it.
    awaitable<std::optional<CurrentConfiguration>> read_configuration() {
        const auto since = std::chrono::steady_clock::now();
        while (lab::ms_since(since) < kPatienceMs) {
            for (const tcp::endpoint& node : mesh_.controls()) {
                const HttpRequest read(http::verb::get, "/api/config", 11);
                const auto response = co_await lab::call_once(io_, node, read, kPatience);
                if (!response || response->result() != http::status::ok) continue;
                const std::string key = "\"edition\":\"", &body = response->body();
                const std::size_t from = body.find(key) + key.size();
                co_return CurrentConfiguration{node, body.substr(from, body.find('"', from) - from)};
            }
            co_await lab::pause(io_, kPauseMs);
        }
        co_return std::nullopt;
    }

    awaitable<void> put(CurrentConfiguration to, std::string body) {
        HttpRequest request(http::verb::put, "/api/config", 11);
        request.set(http::field::if_match, to.edition);
        request.body() = std::move(body);
        co_await lab::call_once(io_, to.leader, std::move(request), kPatience);
        --open_calls_;
    }

    awaitable<void> day() {
        const bool started = co_await mesh_.start_server();
        EXPECT_TRUE(started) << "no ordinary request was served";
        const auto before = co_await read_configuration();
        EXPECT_TRUE(before) << "the configuration could not be read";
        if (!before) co_return;
        const std::size_t changes_of_leader = mesh_.changes_of_leader();
        for (const std::size_t bytes : kBodyBytes) {
            open_calls_ = kCallsOfOneSize;
            for (std::size_t i = 0; i < kCallsOfOneSize; ++i)
                asio::co_spawn(io_, put(*before, list_of_zeros(bytes)), asio::detached);
            while (open_calls_ > 0) co_await lab::pause(io_, kPauseMs);
        }
        co_await lab::pause(io_, kSettleMs);
        EXPECT_EQ(mesh_.changes_of_leader(), changes_of_leader) << "the leader has lost its term";
        const auto after = co_await read_configuration();
        EXPECT_TRUE(after) << "the configuration could not be read any more";
        EXPECT_TRUE(after && after->leader == before->leader) << "another node leads";
        co_await mesh_.configure();
        const bool served = co_await mesh_.serves_ordinary_request();
        EXPECT_TRUE(served) << "no ordinary request was served afterwards";
    }

    void run() {
        asio::co_spawn(io_, mesh_.watch(), [](const std::exception_ptr&) {});
        asio::co_spawn(io_, day(), [this](const std::exception_ptr& fault) {
            io_.stop();
            if (fault) std::rethrow_exception(fault);
        });
        io_.run();
        EXPECT_TRUE(mesh_.all_alive()) << "a process has ended";
        for (const auto& [name, peak] : mesh_.peaks()) {
            std::printf("%s: at most %.1f MB of %zu\n", name.c_str(), peak.memory_mb, kMemoryMb);
            EXPECT_LE(peak.memory_mb, static_cast<double>(kMemoryMb)) << name;
        }
    }

    asio::io_context io_{1};
    MeshUnderTest mesh_{io_, three_control_nodes()};
    std::size_t open_calls_ = 0;
};

// A body that is refused was parsed again at each event until a majority had confirmed the leader.
TEST_F(ControlCalls, OfManyValuesLeaveTheLeaderItsTerm) { run(); }

}  // namespace
}  // namespace cobaltshift::process_tests
