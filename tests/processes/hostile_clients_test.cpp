// Clients that nobody controls against the mesh's own processes: each proxy stays within its memory and its
// descriptors, none ends, and an ordinary request is answered while the crowd is still there. The verdicts
// rest on no time and on no share of served requests.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>

#include "processes/crowd.hpp"
#include "processes/mesh_under_test.hpp"

namespace cobaltshift::process_tests {
namespace {

// Of the configuration that the mesh gets (lab/soak_operator.cpp).
constexpr std::size_t kMaxHeaderBytes = 16384, kMaxBodyBytes = 4 << 20;

using Address = tcp::endpoint (MeshUnderTest::*)() const;
constexpr Address kOutbound = &MeshUnderTest::outbound, kInbound = &MeshUnderTest::inbound;

class HostileClients : public testing::Test {
protected:
    explicit HostileClients(std::size_t answer_bytes = 0) : mesh_(io_, answer_bytes) {}

    void add(Address address, std::size_t clients, Behaviour behaviour) {
        waiting_.push_back({address, clients, std::move(behaviour)});
    }
    void run() {
        asio::co_spawn(io_, mesh_.watch(), [](const std::exception_ptr&) {});
        asio::co_spawn(io_, day(), [this](const std::exception_ptr& fault) {
            io_.stop();
            if (fault) std::rethrow_exception(fault);
        });
        io_.run();
        EXPECT_TRUE(mesh_.all_alive()) << "a process has ended";
        ASSERT_EQ(mesh_.peaks().size(), 2U);
        for (const auto& [name, peak] : mesh_.peaks()) {
            std::printf("%s: at most %.1f MB of %zu, %zu descriptors of %zu\n", name.c_str(), peak.memory_mb,
                        kMemoryMb, peak.descriptors, kFileLimit);
            EXPECT_LE(peak.memory_mb, static_cast<double>(kMemoryMb)) << name;
            EXPECT_LE(peak.descriptors, kFileLimit) << name;
        }
    }
    asio::io_context io_{1};

private:
    struct Group {
        Address address;
        std::size_t clients;
        Behaviour behaviour;
    };
    awaitable<void> day() {
        const bool started = co_await mesh_.start_server();
        EXPECT_TRUE(started) << "no ordinary request was served before the crowd came";
        if (!started) co_return;
        std::vector<std::unique_ptr<Crowd>> crowds;
        for (const Group& group : waiting_) {
            crowds.push_back(std::make_unique<Crowd>(io_, (mesh_.*group.address)()));
            crowds.back()->add(group.clients, group.behaviour);
        }
        for (const auto& crowd : crowds) co_await crowd->run();
        const bool served = co_await mesh_.serves_ordinary_request();
        EXPECT_TRUE(served) << "no ordinary request was served beside the crowd";
    }

    MeshUnderTest mesh_;
    std::vector<Group> waiting_;
};

class HostileReaders : public HostileClients {
protected:
    static constexpr std::size_t kAnswerBytes = 2 << 20;
    HostileReaders() : HostileClients(kAnswerBytes) {}
};

// Both proxies hold an answer whole until its client has read it.
TEST_F(HostileReaders, LongAnswersThatAreReadSlowlyStayWithinTheMemory) {
    add(kOutbound, 60, read_slowly(io_));
    run();
}

// A short line of a head is held as a field many times its size.
TEST_F(HostileClients, HeadsOfManyShortFieldsStayWithinTheMemory) {
    add(kOutbound, 180, send_pieces(request_head("GET"), "a:\r\n", kMaxHeaderBytes - 400));
    run();
}
TEST_F(HostileClients, HeadsOfManyShortFieldsFromPeersStayWithinTheMemory) {
    add(kInbound, 80, send_pieces(request_head("GET"), "a:\r\n", 1 << 20));
    run();
}

TEST_F(HostileClients, HeadsOverTheLimitStayWithinTheMemory) {
    add(kOutbound, 120, send_pieces(request_head("GET") + "X-Long: ", "x", 4 << 20));
    run();
}
TEST_F(HostileClients, HeadsWithoutEndFromPeersStayWithinTheMemory) {
    add(kInbound, 80, send_pieces(request_head("GET") + "X-Long: ", "x", (1 << 20) - 400));
    run();
}

TEST_F(HostileClients, EmptyLinesBeforeARequestStayWithinTheMemory) {
    add(kOutbound, 120, send_pieces("", "\r\n", 4 << 20));
    add(kInbound, 80, send_pieces("", "\r\n", 4 << 20));
    run();
}

// Nothing bounds what an unfinished chunked body may hold beside the others.
TEST_F(HostileClients, UnfinishedBodiesInLargeChunksStayWithinTheMemory) {
    add(kOutbound, 60,
        send_pieces(request_head("POST") + "Transfer-Encoding: chunked\r\n\r\n", chunk_of(1 << 20),
                    kMaxBodyBytes - (1 << 20)));
    run();
}
TEST_F(HostileClients, UnfinishedBodiesInSmallChunksStayWithinTheMemory) {
    add(kOutbound, 60,
        send_pieces(request_head("POST") + "Transfer-Encoding: chunked\r\n\r\n", chunk_of(16),
                    kMaxBodyBytes));
    run();
}
// The proxy beside the server gets them as bodies with a length.
TEST_F(HostileClients, WholeChunkedBodiesStayWithinTheMemory) {
    add(kOutbound, 60, send_chunked_body(256 * 1024, kMaxBodyBytes - (1 << 20)));
    run();
}

// Requests behind one that is at work wait unread in the kernel.
TEST_F(HostileClients, RequestsSentOnWithoutReadingStayWithinTheMemory) {
    add(kOutbound, 120, send_pieces("", request_head("GET") + "\r\n", 4 << 20));
    run();
}

TEST_F(HostileReaders, AllOfThemTogetherStayWithinTheMemory) {
    add(kOutbound, 30, read_slowly(io_));
    add(kOutbound, 30, send_pieces(request_head("GET"), "a:\r\n", kMaxHeaderBytes - 400));
    add(kOutbound, 20,
        send_pieces(request_head("POST") + "Transfer-Encoding: chunked\r\n\r\n", chunk_of(64 * 1024),
                    kMaxBodyBytes - (1 << 20)));
    add(kOutbound, 20, send_chunked_body(4096, kMaxBodyBytes / 2));
    add(kInbound, 20, send_pieces(request_head("GET") + "X-Long: ", "x", (1 << 20) - 400));
    run();
}

}  // namespace
}  // namespace cobaltshift::process_tests
