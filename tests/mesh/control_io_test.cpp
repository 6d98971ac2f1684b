// Control nodes with real sockets (loopback addresses) and files: the store, the configuration distributor,
// and complete control nodes.
#include <doctest/doctest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "config/codec.hpp"
#include "control_io/control_node.hpp"

using namespace cobaltshift;
using namespace cobaltshift::control;
namespace fs = std::filesystem;

namespace {

constexpr std::uint64_t kClusterId = 5;

struct TempFolder {
    TempFolder()
        : path(fs::temp_directory_path() /
               ("control-" + std::to_string(::getpid()) + "-" + std::to_string(++count))) {
        fs::remove_all(path);
    }
    ~TempFolder() { fs::remove_all(path); }
    std::string store_path() const { return path / "hub"; }
    static inline int count = 0;
    const fs::path path;
};

raft::Entry entry(raft::Term term, const std::string& data) { return {term, raft::Entry::Kind::data, data}; }

raft::PersistentState three_entries() {
    raft::PersistentState stored = bootstrap(kClusterId, 1, {1, 2, 3});
    stored.term = 4;
    stored.entries = {entry(1, "a"), entry(3, std::string(5000, 'b')), entry(4, "c")};
    return stored;
}

std::string text(config::Edition edition, int routes = 1) {
    std::string body = "{\"edition\":\"r" + std::to_string(edition) + "\",\"routes\":{";
    for (int i = 0; i < routes; ++i)
        body += std::string(i ? "," : "") + "\"r" + std::to_string(i) +
                "\":{\"host\":\"h\",\"path_prefix\":\"/" + std::to_string(i) +
                "/\",\"route_kind\":\"plain\",\"deadline_s\":1,\"target_s\":1,\"priority\":0,\"service\":"
                "\"s\",\"tries\":1,\"pad\":\"" +
                std::string(300, 'x') + "\"}";
    return body +
           "},\"services\":{\"s\":{\"health_path\":\"/"
           "\",\"max_connections\":1}},\"limits\":{\"max_header_bytes\":1,"
           "\"max_body_bytes\":1,\"header_read_s\":1,\"idle_timeout_s\":1}}";
}
std::shared_ptr<const config::Configuration> table(config::Edition edition, int routes = 1) {
    return config::parse_configuration(text(edition, routes), 0).configuration;
}

bool run_until(asio::io_context& io, const std::function<bool()>& what, std::chrono::milliseconds most) {
    const auto until = std::chrono::steady_clock::now() + most;
    while (!what() && std::chrono::steady_clock::now() < until) {
        io.restart();
        io.run_for(std::chrono::milliseconds(2));
    }
    return what();
}

// While it exists, no file can grow (RLIMIT_FSIZE of 0), so that writes fail.
struct FullDisk {
    FullDisk() {
        ::signal(SIGXFSZ, SIG_IGN);
        ::getrlimit(RLIMIT_FSIZE, &before);
        rlimit none{0, before.rlim_max};
        ::setrlimit(RLIMIT_FSIZE, &none);
    }
    ~FullDisk() { ::setrlimit(RLIMIT_FSIZE, &before); }
    rlimit before{};
};

std::uint32_t ip_of(const std::string& ip) { return asio::ip::make_address_v4(ip).to_uint(); }

// First of a range of ports derived from the process id, so that concurrent tests are unlikely to collide.
std::uint16_t base_port() { return static_cast<std::uint16_t>(10000 + ::getpid() % 1400 * 16); }

struct Cluster {
    struct Node {
        boot::Boot boot;
        std::unique_ptr<config::ConfigDistributor> distributor;
        std::unique_ptr<ControlNode> control_node;
    };
    static std::string ip(int n) { return "127.0.7." + std::to_string(n); }
    void start(int n, bool first) {
        Node& node = nodes[n];
        node.boot.ip = ip(n);
        node.boot.first_port = base_port();
        node.boot.last_port = static_cast<std::uint16_t>(base_port() + 15);
        node.boot.first_boot = first;
        node.boot.data_dir = (folder.path / std::to_string(n)).string();
        node.boot.control = tcp::endpoint(asio::ip::make_address_v4(ip(n)), 8620);
        node.boot.seeds.clear();
        for (int seed = 1; seed <= 3; ++seed)
            node.boot.seeds.emplace_back(asio::ip::make_address_v4(ip(seed)), 8620);
        node.distributor = std::make_unique<config::ConfigDistributor>(
            io, ip(n), static_cast<std::uint16_t>(base_port() + 1));
        node.control_node = std::make_unique<ControlNode>(io, node.boot, *node.distributor);
    }
    int leader() const {
        for (const auto& [n, node] : nodes)
            if (node.control_node->leads()) return n;
        return 0;
    }
    ApiAnswer call(int n, const std::string& method, const std::string& if_match = "",
                   const std::string& body = "") {
        std::optional<ApiAnswer> answer;
        ApiRequest request;
        request.method = method;
        request.target = "/api/config";
        request.if_match = if_match;
        request.body = body;
        REQUIRE(nodes.at(n).control_node->config().handle(
            request, [&](ApiAnswer given) { answer = std::move(given); }));
        REQUIRE(run_until(
            io, [&] { return answer.has_value(); }, std::chrono::milliseconds(1500)));
        return *answer;
    }
    TempFolder folder;
    asio::io_context io;
    std::map<int, Node> nodes;
};

}  // namespace

TEST_CASE("store: reopening finds what was persisted and nothing that was replaced") {
    const TempFolder folder;
    {
        Store store(folder.store_path(), kClusterId);
        CHECK_FALSE(store.take_stored());
        store.begin(three_entries());
        store.record_start(7);
        raft::Ready ready;
        ready.vote.emplace();
        ready.vote->term = 5;
        ready.vote->voted = 2;
        ready.from = 2;
        ready.entries = {entry(5, "x")};
        store.persist(ready);
    }
    {
        Store store(folder.store_path(), kClusterId);
        CHECK(store.why().empty());
        const auto stored = store.take_stored();
        REQUIRE(stored);
        CHECK(stored->id == 2);
        CHECK(stored->starts == 7);
        CHECK(stored->term == 5);
        CHECK(stored->voted == 2);
        CHECK(stored->snapshot == three_entries().snapshot);
        CHECK(stored->entries == std::vector<raft::Entry>{entry(1, "a"), entry(5, "x")});
        raft::Ready ready;
        ready.snapshot = stored->snapshot;
        ready.snapshot->index = 2;
        ready.snapshot->term = 5;
        ready.snapshot->data = std::string(300000, 'd');
        store.persist(ready);
        ready = {};
        ready.from = 3;
        ready.entries = {entry(5, "after")};
        store.persist(ready);
    }
    Store store(folder.store_path(), kClusterId);
    const auto stored = store.take_stored();
    REQUIRE(stored);
    CHECK(stored->snapshot.index == 2);
    CHECK(stored->snapshot.data.size() == 300000);
    CHECK(stored->entries == std::vector<raft::Entry>{entry(5, "after")});
}

TEST_CASE("store: the size of the folder stays bounded") {
    const TempFolder folder;
    std::optional<Store> store;  // closed before the files are counted: LevelDB's thread removes some
    store.emplace(folder.store_path(), kClusterId);
    store->begin(bootstrap(kClusterId, 1, {1}));
    raft::Index index = 0;
    for (int round = 0; round < 60; ++round) {
        raft::Ready ready;
        ready.from = index + 1;
        ready.entries = {entry(1, std::string(200000, static_cast<char>('a' + round % 26)))};
        ++index;
        ready.vote.emplace();
        ready.vote->term = 1;
        store->persist(ready);
        ready = {};
        ready.snapshot.emplace();
        ready.snapshot->index = index;
        ready.snapshot->term = 1;
        ready.snapshot->data = std::string(200000, 's');
        store->persist(ready);
    }
    store.reset();
    std::uintmax_t bytes = 0;
    for (const auto& file : fs::recursive_directory_iterator(folder.path))
        if (file.is_regular_file()) bytes += file.file_size();
    CHECK(bytes < 12 * 1024 * 1024);  // 24 MB were written
}

TEST_CASE("store: a damaged folder is set aside, and the reason is reported") {
    for (const char* suffix : {".log", ".ldb", "CURRENT"}) {
        CAPTURE(suffix);
        const TempFolder folder;
        { Store(folder.store_path(), kClusterId).begin(three_entries()); }
        // Opening the store again moves the contents of the log into a table.
        if (std::string(suffix) == ".ldb") Store(folder.store_path(), kClusterId);
        bool damaged = false;
        for (const auto& file : fs::directory_iterator(folder.store_path())) {
            if (!file.path().string().ends_with(suffix) || file.file_size() == 0) continue;
            std::fstream bytes(file.path(), std::ios::in | std::ios::out | std::ios::binary);
            for (std::uintmax_t at = 0; at < file.file_size(); at += 7) {
                bytes.seekp(static_cast<std::streamoff>(at));
                bytes.put('~');
            }
            damaged = true;
        }
        REQUIRE(damaged);
        Store store(folder.store_path(), kClusterId);
        const auto stored = store.take_stored();
        // A log that is damaged from its first byte on looks like one that was never synced, that is, empty.
        CHECK_FALSE(stored);
        if (std::string(suffix) != ".log") CHECK_FALSE(store.why().empty());
        if (!store.why().empty()) CHECK(fs::exists(folder.store_path() + ".aside"));
        store.begin(three_entries());
    }
}

TEST_CASE("store: a torn record at the end of the log is dropped, and synced records are read") {
    const TempFolder folder;
    {
        Store store(folder.store_path(), kClusterId);
        store.begin(three_entries());
    }
    for (const auto& file : fs::directory_iterator(folder.store_path()))
        if (file.path().extension() == ".log") {
            std::ofstream bytes(file.path(), std::ios::app | std::ios::binary);
            // A record header with a checksum that does not match.
            bytes << std::string("BBBB\x0a\0\x01", 7) + std::string(100, 'B');
        }
    Store store(folder.store_path(), kClusterId);
    const auto stored = store.take_stored();
    REQUIRE(stored);
    CHECK(stored->entries.size() == 3);
}

TEST_CASE("store: a folder of another cluster is refused and left untouched") {
    const TempFolder folder;
    { Store(folder.store_path(), kClusterId).begin(three_entries()); }
    CHECK_THROWS_AS(Store(folder.store_path(), kClusterId + 1), StoreMismatch);
    Store store(folder.store_path(), kClusterId);
    CHECK(store.take_stored());
}

TEST_CASE("store: opening fails if the folder can't be created") {
    const TempFolder folder;
    fs::create_directories(folder.path);
    std::ofstream(folder.path / "file") << "x";
    CHECK_THROWS_AS(Store((folder.path / "file" / "hub").string(), kClusterId), StoreFailure);
}

TEST_CASE("store: a failed write throws, and earlier contents are found on reopening") {
    const TempFolder folder;
    {
        Store store(folder.store_path(), kClusterId);
        store.begin(three_entries());
        raft::Ready ready;
        ready.from = 4;
        ready.entries = {entry(4, "refused")};
        {
            const FullDisk full;
            CHECK_THROWS_AS(store.persist(ready), StoreFailure);
        }
        // The store stays unusable until it is reopened, although there is space again.
        CHECK_THROWS_AS(store.persist(ready), StoreFailure);
    }
    {
        const FullDisk full;
        CHECK_THROWS_AS(Store(folder.store_path(), kClusterId), StoreFailure);
    }
    Store store(folder.store_path(), kClusterId);
    CHECK(store.why().empty());
    const auto stored = store.take_stored();
    REQUIRE(stored);
    CHECK(stored->entries == three_entries().entries);
}

TEST_CASE(
    "control node io: no request succeeds while disk writes fail, and the former state returns after it") {
    Cluster cluster;
    for (int n = 1; n <= 3; ++n) cluster.start(n, true);
    REQUIRE(run_until(
        cluster.io, [&] { return cluster.leader() != 0; }, std::chrono::milliseconds(4000)));
    REQUIRE(cluster.call(cluster.leader(), "PUT", "0", text(7)).status == 200);
    {
        const FullDisk full;
        CHECK(cluster.call(cluster.leader(), "PUT", "r7", text(8)).status == 503);
        run_until(
            cluster.io, [] { return false; }, std::chrono::milliseconds(500));
        for (int n = 1; n <= 3; ++n) {
            const unsigned status = cluster.call(n, "GET").status;
            CHECK((status == 503 || status == 307));
        }
    }
    REQUIRE(run_until(
        cluster.io, [&] { return cluster.leader() != 0; }, std::chrono::milliseconds(4000)));
    CHECK(cluster.call(cluster.leader(), "GET").body == to_json(*table(7)));
    CHECK(cluster.call(cluster.leader(), "PUT", "r7", text(9)).status == 200);
}

TEST_CASE(
    "distributor: a node fetches the full configuration, then only changes, and serves both to others") {
    asio::io_context io;
    const auto port = static_cast<std::uint16_t>(base_port() + 1);
    config::ConfigDistributor source(io, "127.0.8.1", port), proxy(io, "127.0.8.2", port),
        other(io, "127.0.8.3", port);
    std::vector<config::Edition> received;
    proxy.on_new_configuration = [&](auto t) {
        received.push_back(t->edition);
        other.hint(ip_of("127.0.8.2"), t->edition);
    };
    source.hold(table(3, 200));
    proxy.hint(ip_of("127.0.8.1"), 3);
    REQUIRE(run_until(
        io, [&] { return other.edition() == 3; }, std::chrono::milliseconds(1000)));
    CHECK(to_json(*other.held()) == to_json(*source.held()));
    const auto whole = proxy.counts().fetched_bytes;
    source.hold(
        config::patch(*source.held(), R"({"edition":"r5","remove":{"routes":["r7"]}})").configuration);
    source.hold(
        config::patch(*source.held(), R"({"edition":"r6","remove":{"routes":["r8"]}})").configuration);
    source.hold(table(4));  // older: ignored
    CHECK(source.edition() == 6);
    proxy.hint(ip_of("127.0.8.1"), 6);
    REQUIRE(run_until(
        io, [&] { return other.edition() == 6; }, std::chrono::milliseconds(1000)));
    CHECK(to_json(*other.held()) == to_json(*source.held()));
    CHECK(proxy.counts().fetched_bytes < whole + 1000);
    CHECK(received.back() == 6);
}

TEST_CASE("distributor: silent, unreachable and invalid sources are abandoned for another one") {
    asio::io_context io;
    const auto port = static_cast<std::uint16_t>(base_port() + 1);
    config::ConfigDistributor source(io, "127.0.8.1", port), proxy(io, "127.0.8.2", port);
    tcp::acceptor silent(io, {asio::ip::make_address_v4("127.0.8.4"), port});
    std::vector<tcp::socket> held;
    silent.async_accept([&](error_code, tcp::socket socket) { held.push_back(std::move(socket)); });
    tcp::acceptor invalid_source(io, {asio::ip::make_address_v4("127.0.8.5"), port});
    const std::string rubbish(100, 'x');
    tcp::socket peer(io);
    invalid_source.async_accept(peer, [&](error_code) {
        asio::async_write(peer, asio::buffer(rubbish), [](error_code, std::size_t) {});
    });
    source.hold(table(3));
    proxy.hint(ip_of("127.0.8.4"), 9);
    proxy.hint(ip_of("127.0.8.5"), 8);
    proxy.hint(ip_of("127.0.8.6"), 8);  // nothing listens there
    proxy.hint(ip_of("127.0.8.1"), 3);
    // Two sources may be asked at the same time, so the silent one can fail after the good one has answered.
    REQUIRE(run_until(
        io, [&] { return proxy.edition() == 3 && proxy.counts().failed >= 3; },
        std::chrono::milliseconds(1500)));
}

TEST_SUITE("incident late: configuration") {
    // Guards against a late configuration during a rolling restart: many nodes that were announced shortly
    // before have stopped, and a node that asks them one after another reaches the control node too late.
    TEST_CASE("distributor: many silent sources do not delay the answer of the control node") {
        constexpr int kSilent = 20, kFirst = 20;
        asio::io_context io;
        const auto port = static_cast<std::uint16_t>(base_port() + 1);
        config::ConfigDistributor source(io, "127.0.8.200", port), proxy(io, "127.0.8.2", port);
        std::vector<tcp::acceptor> silent;  // the kernel accepts the connections, nothing reads from them
        for (int i = 0; i < kSilent; ++i) {
            const std::string ip = "127.0.8." + std::to_string(kFirst + i);
            silent.emplace_back(io, tcp::endpoint(asio::ip::make_address_v4(ip), port));
            proxy.hint(ip_of(ip), 9);
        }
        source.hold(table(9));
        proxy.control_nodes = [] { return std::vector<std::uint32_t>{ip_of("127.0.8.200")}; };
        CHECK(run_until(
            io, [&] { return proxy.edition() == 9; }, std::chrono::milliseconds(1500)));
    }
}

TEST_CASE("distributor: an invalid request closes the connection") {
    asio::io_context io;
    const auto port = static_cast<std::uint16_t>(base_port() + 1);
    config::ConfigDistributor source(io, "127.0.8.1", port);
    source.hold(table(3));
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address_v4("127.0.8.1"), port});
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1")));
    bool ended = false;
    std::array<char, 10> in{};
    std::size_t got = 0;
    socket.async_read_some(asio::buffer(in), [&](error_code ec, std::size_t n) { ended = !!ec, got = n; });
    CHECK(run_until(
        io, [&] { return ended; }, std::chrono::milliseconds(1000)));
    CHECK(got == 0);
    CHECK(source.counts().refused == 1);
}

TEST_CASE("control node io: three nodes replicate, lose one with its disk, and take it in again") {
    Cluster cluster;
    for (int n = 1; n <= 3; ++n) cluster.start(n, true);
    REQUIRE(run_until(
        cluster.io, [&] { return cluster.leader() != 0; }, std::chrono::milliseconds(4000)));
    int leader = cluster.leader();
    CHECK(cluster.call(leader, "GET").status == 404);
    CHECK(cluster.call(leader, "DELETE").status == 405);
    CHECK(cluster.call(leader, "PUT", "", text(7)).status == 400);
    CHECK(cluster.call(leader, "PUT", "0", std::string(kMaxBodyBytes + 1, 'x')).status == 413);
    const ApiAnswer put = cluster.call(leader, "PUT", "0", text(7, 500));
    CHECK(put.status == 200);
    CHECK(put.body == "{\"edition\":\"r7\"}");
    CHECK(cluster.call(leader, "PUT", "0", text(7, 500)).status == 200);  // retry
    const ApiAnswer stale = cluster.call(leader, "PUT", "0", text(8));
    CHECK(stale.status == 412);
    CHECK(stale.body == "{\"current\":\"r7\"}");
    CHECK(cluster.call(leader, "PUT", "r7", "{").status == 400);
    CHECK(cluster.call(leader, "GET").body == to_json(*table(7, 500)));
    REQUIRE(run_until(
        cluster.io, [&] { return cluster.nodes[leader % 3 + 1].distributor->edition() == 7; },
        std::chrono::milliseconds(1000)));
    const ApiAnswer elsewhere = cluster.call(leader % 3 + 1, "GET");
    CHECK(elsewhere.status == 307);
    CHECK(elsewhere.location == "http://" + Cluster::ip(leader) + ":8620/api/config");

    cluster.nodes.erase(leader);
    fs::remove_all(cluster.folder.path / std::to_string(leader));
    const int lost = leader;
    REQUIRE(run_until(
        cluster.io, [&] { return cluster.leader() != 0; }, std::chrono::milliseconds(4000)));
    leader = cluster.leader();
    CHECK(cluster.call(leader, "PATCH", "r7", R"({"edition":"r9","remove":{"routes":["r1"]}})").status ==
          200);
    CHECK(cluster.nodes[leader].control_node->status().find("\"founder\":true") != std::string::npos);
    cluster.start(lost, false);
    CHECK(cluster.nodes[lost].control_node->status().find("\"founder\":false") != std::string::npos);
    CHECK(run_until(
        cluster.io, [&] { return cluster.nodes[lost].control_node->edition() == 9; },
        std::chrono::milliseconds(4000)));
    CHECK(run_until(
        cluster.io,
        [&] {
            return cluster.nodes[lost].control_node->status().find("\"voter\":true,\"waiting\"") !=
                   std::string::npos;
        },
        std::chrono::milliseconds(1000)));
    cluster.nodes.erase(leader == 1 || lost == 1 ? (leader == 2 || lost == 2 ? 3 : 2) : 1);
    CHECK(cluster.call(leader, "PATCH", "r9", R"({"edition":"r10"})").status == 200);
    cluster.nodes.erase(lost);
    CHECK(cluster.call(leader, "PATCH", "r10", R"({"edition":"r11"})").status == 503);
    bool stopped = false;
    cluster.nodes[leader].control_node->stop([&] { stopped = true; });
    CHECK(run_until(
        cluster.io, [&] { return stopped; }, std::chrono::milliseconds(1000)));
    CHECK(cluster.call(leader, "GET").status == 503);
}
