// Clients that nobody controls against the mesh's own processes: each proxy stays within its memory and its
// descriptors, none ends, and an ordinary request is answered while the crowd is still there. The verdicts
// rest on no time and on no share of served requests.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>

#include "lab/crowd.hpp"
#include "processes/mesh_under_test.hpp"

namespace cobaltshift::process_tests {

using namespace lab;

namespace {

// Of the configuration that the mesh gets (lab/soak_operator.cpp).
constexpr std::size_t kMaxHeaderBytes = 16384, kMaxBodyBytes = 4 << 20;
constexpr std::size_t kServerCapacity = 200;
const std::string kChunkedBody = "Transfer-Encoding: chunked\r\n\r\n";

MeshSettings with_answers_of(std::size_t bytes) {
    MeshSettings settings;
    settings.habits.capacity = kServerCapacity;
    settings.habits.large = bytes > 0 ? 1 : 0;
    settings.habits.large_bytes = bytes;
    return settings;
}

using Address = tcp::endpoint (MeshUnderTest::*)() const;
// A whole request, and a part of a second one.
std::string one_and_a_half_requests() {
    return request_head("GET") + "\r\n" + request_head("POST") + "Content-Length: 100\r\n\r\nx";
}

constexpr Address kOutbound = &MeshUnderTest::outbound, kInbound = &MeshUnderTest::inbound,
                  kControl = &MeshUnderTest::control, kServerControl = &MeshUnderTest::server_control,
                  kServerReadiness = &MeshUnderTest::server_readiness,
                  kServerOutbound = &MeshUnderTest::server_side_outbound;

class HostileClients : public testing::Test {
protected:
    explicit HostileClients(const MeshSettings& settings = with_answers_of(0),
                            std::size_t most_descriptors = kFileLimit)
        : most_descriptors_(most_descriptors), mesh_(io_, settings) {}

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
        ASSERT_EQ(mesh_.peaks().size(), 3U);
        for (const auto& [name, peak] : mesh_.peaks()) {
            std::printf("%s: at most %.1f MB of %zu, %zu descriptors of %zu\n", name.c_str(), peak.memory_mb,
                        kMemoryMb, peak.descriptors, most_descriptors_);
            EXPECT_LE(peak.memory_mb, static_cast<double>(kMemoryMb)) << name;
            EXPECT_LE(peak.descriptors, most_descriptors_) << name;
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
        const bool read = co_await mesh_.reads_configuration();
        EXPECT_TRUE(read) << "the control node did not answer beside the crowd";
    }

    const std::size_t most_descriptors_;
    MeshUnderTest mesh_;
    std::vector<Group> waiting_;
};

// Of the descriptors 200 are kept for files, so that sockets must do with the others.
class ManyConnections : public HostileClients {
protected:
    static constexpr std::size_t kNarrowFileLimit = 400, kKeptForFiles = 200;
    static MeshSettings settings() {
        MeshSettings settings = with_answers_of(0);
        settings.file_limit = settings.control_file_limit = kNarrowFileLimit;
        return settings;
    }
    ManyConnections() : HostileClients(settings(), kNarrowFileLimit - kKeptForFiles) {}
    // More of them than each listener has places.
    void add_everywhere(const std::string& start, const std::string& of_peer) {
        const auto stay = [](const std::string& text) { return send_pieces(text, "x", 0); };
        add(kOutbound, 150, stay(start));
        add(kInbound, 120, stay(of_peer));
        add(kServerControl, 30, stay(start));
        add(kServerReadiness, 30, stay(start));
        add(kControl, 260, stay(start));
    }
};

TEST_F(ManyConnections, WithoutARequestStayWithinTheDescriptors) {
    add_everywhere("", "");
    run();
}
TEST_F(ManyConnections, WithHalfAHeadStayWithinTheDescriptors) {
    add_everywhere(request_head("GET"), hop_head("GET", "i-1.1"));
    run();
}
TEST_F(ManyConnections, KeptAfterARequestStayWithinTheDescriptors) {
    add_everywhere(request_head("GET") + "\r\n", hop_head("GET", "i-1.1") + "\r\n");
    run();
}

class HostileReaders : public HostileClients {
protected:
    static constexpr std::size_t kAnswerBytes = 2 << 20;
    HostileReaders() : HostileClients(with_answers_of(kAnswerBytes)) {}
};

// Both proxies hold an answer whole until its client has read it.
TEST_F(HostileReaders, LongAnswersThatAreReadSlowlyStayWithinTheMemory) {
    add(kOutbound, 60, read_slowly(io_));
    run();
}

// Uploads that come as fast as others are refused leave no room that an answer could wait for.
TEST_F(HostileReaders, UploadsBesideLongAnswersStayWithinTheMemory) {
    add(kOutbound, 60,
        send_pieces(request_head("POST") + kChunkedBody, chunk_of(64 * 1024), kMaxBodyBytes - (1 << 20)));
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

// Each chunk costs its parsing, and holds one byte.
TEST_F(HostileClients, UnfinishedBodiesInChunksOfOneByteStayWithinTheMemory) {
    add(kOutbound, 60, send_pieces(request_head("POST") + kChunkedBody, chunk_of(1), 4 << 20));
    add(kInbound, 30, send_pieces(hop_head("POST", "i-1.1") + kChunkedBody, chunk_of(1), 4 << 20));
    run();
}

TEST_F(HostileClients, EmptyLinesBeforeASecondRequestStayWithinTheMemory) {
    add(kOutbound, 120, send_pieces(request_head("GET") + "\r\n", "\r\n", 4 << 20));
    add(kInbound, 80, send_pieces(hop_head("GET", "i-1.1") + "\r\n", "\r\n", 4 << 20));
    run();
}
TEST_F(HostileClients, BareLineFeedsBeforeARequestStayWithinTheMemory) {
    add(kOutbound, 120, send_pieces("", "\n", 4 << 20));
    add(kInbound, 80, send_pieces("", "\n", 4 << 20));
    run();
}

// Requests behind one that is at work wait unread in the kernel.
TEST_F(HostileClients, RequestsSentOnWithoutReadingStayWithinTheMemory) {
    add(kOutbound, 120, send_pieces("", request_head("GET") + "\r\n", 4 << 20));
    run();
}

// Fields behind the body are held as those of a head are.
TEST_F(HostileClients, TrailersWithoutEndStayWithinTheMemory) {
    const std::string start = kChunkedBody + "1\r\nx\r\n0\r\n";
    add(kOutbound, 120, send_pieces(request_head("POST") + start, "a:\r\n", 1 << 20));
    add(kInbound, 80, send_pieces(hop_head("POST", "i-1.1") + start, "a:\r\n", (1 << 20) - 400));
    run();
}
// Whole requests whose trailers are fields without number.
TEST_F(HostileClients, TrailersOfManyShortFieldsFromPeersStayWithinTheMemory) {
    std::string fields;
    for (std::size_t i = 0; i < 200'000; ++i) fields += "a:\r\n";
    const std::string whole = hop_head("POST", "i-1.1") + kChunkedBody + "1\r\nx\r\n0\r\n" + fields + "\r\n";
    add(kInbound, 40, send_pieces("", whole, whole.size()));
    run();
}

TEST_F(HostileClients, ChunkExtensionsStayWithinTheMemory) {
    const std::string chunk = "1;" + std::string(8000, 'e') + "\r\nx\r\n";
    add(kOutbound, 120, send_pieces(request_head("POST") + kChunkedBody, chunk, 8 << 20));
    add(kInbound, 80, send_pieces(hop_head("POST", "i-1.1") + kChunkedBody + "1;", "e", (1 << 20) - 400));
    run();
}

// What the kernel has received counts though nobody has accepted the connection.
TEST_F(ManyConnections, ThatWaitToBeAcceptedStayWithinTheMemory) {
    add(kServerOutbound, 120, send_pieces(one_and_a_half_requests(), "x", 0));
    add(kServerOutbound, 900, send_pieces(request_head("GET") + "X-Long: ", "x", 256 << 10));
    run();
}

// Who has had an answer and then stops within a request kept its place until the time for a body was over.
TEST_F(ManyConnections, WithHalfASecondRequestLeavePlacesForOthers) {
    add(kOutbound, 150, send_pieces(one_and_a_half_requests(), "x", 0));
    add(kInbound, 120,
        send_pieces(
            hop_head("GET", "i-1.1") + "\r\n" + hop_head("POST", "i-1.1") + "Content-Length: 100\r\n\r\nx",
            "x", 0));
    run();
}

class ManySmallCharges : public HostileClients {
protected:
    static constexpr std::size_t kPagesFileLimit = 4100;
    static MeshSettings settings() {
        MeshSettings settings = with_answers_of(0);
        settings.file_limit = kPagesFileLimit;
        return settings;
    }
    ManySmallCharges() : HostileClients(settings(), kPagesFileLimit) {}
};

// Each release looks for the costliest among all connections.
TEST_F(ManySmallCharges, OfManyConnectionsAreReleasedWithoutAHang) {
    add(kOutbound, 1000, send_pieces(request_head("POST") + kChunkedBody, chunk_of(1), 64 << 10));
    run();
}

class EndlessAnswers : public HostileClients {
protected:
    static MeshSettings settings() {
        MeshSettings settings = with_answers_of(0);
        settings.habits.endless_gets = true;
        return settings;
    }
    EndlessAnswers() : HostileClients(settings()) {}
};

// Each is held up to the largest answer, by both proxies.
TEST_F(EndlessAnswers, OfAServerStayWithinTheMemory) {
    add(kOutbound, 60, read_slowly(io_));
    run();
}

// The control node's own interface.
TEST_F(HostileClients, CallsToAControlNodeStayWithinTheMemory) {
    const std::string call = "PUT /api/config HTTP/1.1\r\nHost: control\r\nIf-Match: r1\r\n";
    add(kControl, 60, send_pieces(call, "a:\r\n", kMaxHeaderBytes - 400));
    add(kControl, 60, send_pieces(call + kChunkedBody, chunk_of(1 << 20), 3 << 20));
    add(kControl, 60, send_pieces(call + kChunkedBody, chunk_of(16), 2 << 20));
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
