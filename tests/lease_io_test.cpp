// Tests of the replicas' data directories on a real disk and of replicas and clients over loopback sockets.
#include <gtest/gtest.h>
#include <sqlite3.h>
#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "lease_io/ask.hpp"
#include "lease_io/keeper_node.hpp"
#include "lease_io/rights.hpp"
#include "raft/codec.hpp"
#include "store_io/sqlite_storage.hpp"

namespace cobaltshift {
namespace {

using lease::asio::io_context;
using store::SqliteStorage;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

struct TempDirectory {
    TempDirectory() {
        std::string pattern = (std::filesystem::temp_directory_path() / "cobaltshift-test-XXXXXX").string();
        path = ::mkdtemp(pattern.data());
    }
    ~TempDirectory() {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    std::string write(const std::string& name, const std::string& text) const {
        std::ofstream(path + "/" + name, std::ios::binary) << text;
        return path + "/" + name;
    }
    std::string path;
};

raft::Entry entry(raft::Term term, const std::string& data) { return {term, raft::Entry::Kind::data, data}; }

raft::Ready entries_from(raft::Index from, std::vector<raft::Entry> entries) {
    raft::Ready ready;
    ready.from = from;
    ready.entries = std::move(entries);
    return ready;
}

void sql(const TempDirectory& place, const std::string& text) {
    sqlite3* db = nullptr;
    ASSERT_EQ(sqlite3_open((place.path + "/keeper.db").c_str(), &db), SQLITE_OK);
    char* why = nullptr;
    EXPECT_EQ(sqlite3_exec(db, text.c_str(), nullptr, nullptr, &why), SQLITE_OK) << text << ": " << why;
    sqlite3_close(db);
}

// Writes a data directory with a vote and four entries, the last of which has been replaced.
void fill(const TempDirectory& place) {
    SqliteStorage folder(place.path);
    folder.begin(raft::bootstrap(7, 1, 3));
    EXPECT_EQ(folder.start(), 1U);
    raft::Ready first = entries_from(1, {entry(1, "a"), entry(1, "b"), entry(1, "c"), entry(1, "d")});
    first.vote = raft::PersistentState{};
    first.vote->term = 2, first.vote->voted = 3;
    folder.keep(first);
    folder.keep(entries_from(4, {entry(2, "e")}));
}

TEST(SqliteStorage, KeepsStateOverRestartsAndIncarnations) {
    TempDirectory place;
    fill(place);
    {
        SqliteStorage folder(place.path);
        ASSERT_EQ(folder.found(), SqliteStorage::Found::intact) << folder.why();
        raft::PersistentState stored = folder.take_stored();
        EXPECT_EQ(stored.cluster_id, 7U);
        EXPECT_EQ(stored.id, 2U);
        EXPECT_EQ(stored.starts, 1U);
        EXPECT_EQ(stored.term, 2U);
        EXPECT_EQ(stored.voted, 3U);
        EXPECT_EQ(stored.snapshot, raft::bootstrap(7, 1, 3).snapshot);
        EXPECT_EQ(stored.entries, (std::vector{entry(1, "a"), entry(1, "b"), entry(1, "c"), entry(2, "e")}));
        EXPECT_EQ(folder.start(), 2U);
        raft::Ready snapshot;
        snapshot.snapshot = raft::Snapshot{3, 1, stored.snapshot.members, "book"};
        snapshot.entries = {entry(2, "e"), entry(2, "f")};
        folder.keep(snapshot);
        folder.keep(entries_from(5, {}));  // truncates the tail
    }
    {
        SqliteStorage folder(place.path);
        const raft::PersistentState stored = folder.take_stored();
        EXPECT_EQ(stored.starts, 2U);
        EXPECT_EQ(stored.term, 2U);
        EXPECT_EQ(stored.snapshot.data, "book");
        EXPECT_EQ(stored.entries, std::vector{entry(2, "e")});
        folder.begin(raft::newcomer(7, raft::kFirstRandomId + 5));
        EXPECT_TRUE(std::filesystem::exists(place.path + "/former.db"));
    }
    SqliteStorage folder(place.path);
    EXPECT_EQ(folder.take_stored().id, raft::kFirstRandomId + 5);
}

TEST(SqliteStorage, IsLockedByOneProcess) {
    TempDirectory place;
    SqliteStorage first(place.path);
    EXPECT_THROW(SqliteStorage second(place.path), store::StorageError);
    EXPECT_THROW(SqliteStorage none(place.path + "/none"), store::StorageError);
}

TEST(SqliteStorage, CorruptDataIsReported) {
    const std::pair<const char*, const char*> table[] = {
        {"UPDATE state SET bytes = zeroblob(12) WHERE place = 3", "row 3 is not as it was written"},
        {"UPDATE state SET bytes = (SELECT bytes FROM state WHERE place = 1) WHERE place = 3", "row 3"},
        {"DELETE FROM state WHERE place = 3", "missing"},
        {"DELETE FROM entries WHERE place = 2", "entry 3 does not follow"},
        {"UPDATE entries SET place = 9 WHERE place = 4", "row 9"},
        {"UPDATE entries SET bytes = bytes || x'00' WHERE place = 1", "row 1"},
        {"DELETE FROM state", "missing"},
    };
    for (const auto& [change, why] : table) {
        TempDirectory place;
        fill(place);
        sql(place, change);
        SqliteStorage folder(place.path);
        EXPECT_EQ(folder.found(), SqliteStorage::Found::corrupt) << change;
        EXPECT_NE(folder.why().find(why), std::string::npos) << change << " -> " << folder.why();
    }
    {
        TempDirectory place;
        place.write("keeper.db", std::string(9000, 'x'));
        SqliteStorage folder(place.path);
        EXPECT_EQ(folder.found(), SqliteStorage::Found::corrupt);
        folder.begin(raft::newcomer(7, raft::kFirstRandomId));  // can be initialised again
        EXPECT_EQ(folder.start(), 1U);
    }
    TempDirectory place;
    fill(place);
    sql(place, "PRAGMA user_version = 2");
    EXPECT_THROW(SqliteStorage folder(place.path),
                 store::StorageError);  // of a newer version: must not be set aside
}

TEST(SqliteStorage, FailedWriteLeavesNoTrace) {
    TempDirectory place;
    fill(place);
    {
        SqliteStorage folder(place.path);
        rlimit before{};
        ::getrlimit(RLIMIT_FSIZE, &before);
        const auto former = std::signal(SIGXFSZ, SIG_IGN);
        const rlimit small{16384, before.rlim_max};
        ::setrlimit(RLIMIT_FSIZE, &small);
        EXPECT_THROW(folder.keep(entries_from(5, {entry(2, std::string(60000, 'z'))})), store::StorageError);
        ::setrlimit(RLIMIT_FSIZE, &before);
        std::signal(SIGXFSZ, former);
    }
    SqliteStorage folder(place.path);
    ASSERT_EQ(folder.found(), SqliteStorage::Found::intact) << folder.why();
    EXPECT_EQ(folder.take_stored().entries.size(), 4U);
}

// ---- Over sockets ----------------------------------------------------------------------------------------

struct Replicas {
    explicit Replicas(std::size_t count = 3) : nodes(count), places(count) {
        all.secret_file = secrets.write("secret", "a secret of enough bytes");
        all.margin = 50;
        for (std::size_t k = 0; k < count; ++k) {
            tcp::acceptor probe(io, {boost::asio::ip::make_address("127.0.0.4"), 0});
            all.keepers.push_back(probe.local_endpoint());
        }
        for (std::size_t k = 0; k < count; ++k) {
            lease::found(settings(k), count);
            start(k);
        }
    }
    lease::KeeperSettings settings(std::size_t k) const {
        lease::KeeperSettings s;
        s.listen = all.keepers[k];
        s.fleet = "test";
        s.folder = places[k].path;
        s.office.agree.number = static_cast<std::uint32_t>(k);
        s.office.agree.heartbeat = 20, s.office.agree.election = 150;
        return s;
    }
    void start(std::size_t k) { nodes[k] = std::make_unique<lease::KeeperNode>(io, settings(k), all); }
    // Runs the event loop until `what` holds; false after 20 s.
    bool until(const std::function<bool()>& what) {
        const auto guard = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!what()) {
            if (std::chrono::steady_clock::now() > guard) return false;
            io.restart();
            io.run_one_for(std::chrono::milliseconds(20));
        }
        return true;
    }
    std::size_t leader() const {
        for (std::size_t k = 0; k < nodes.size(); ++k)
            if (nodes[k] && nodes[k]->leads()) return k;
        return nodes.size();
    }

    io_context io{1};
    lease::KeepersSettings all;
    std::vector<std::unique_ptr<lease::KeeperNode>> nodes;
    std::vector<TempDirectory> places;
    TempDirectory secrets;
};

TEST(KeeperNode, LeaseIsAcquiredSurvivesALeaderChangeAndIsHandedOver) {
    Replicas replicas;
    lease::LeaseClient first(replicas.io, replicas.all, "first"), second(replicas.io, replicas.all, "second");
    first.want("job", 1000, true);
    ASSERT_TRUE(replicas.until([&] { return first.right("job").has_value(); }));
    second.want("job", 1000, true);
    ASSERT_TRUE(replicas.until([&] { return second.state("job") == lease::Holder::State::waiting; }));
    const auto fence = first.right("job")->fence;
    // The leader stops and loses its data; the others go on and the lease is kept.
    const std::size_t gone = replicas.leader();
    ASSERT_LT(gone, 3U);
    replicas.nodes[gone].reset();
    std::filesystem::remove(replicas.places[gone].path + "/keeper.db");
    std::filesystem::remove(replicas.places[gone].path + "/keeper.db-wal");
    const auto renewed = first.counts().renewed;
    ASSERT_TRUE(replicas.until([&] { return first.counts().renewed > renewed + 1; }));
    EXPECT_EQ(first.right("job")->fence, fence);
    EXPECT_FALSE(second.right("job"));
    // Restarted with an empty directory, it joins as a new member.
    replicas.start(gone);
    ASSERT_TRUE(replicas.until([&] { return replicas.nodes[gone]->votes(); }));
    first.give_up("job", "second");
    ASSERT_TRUE(replicas.until([&] { return second.right("job").has_value(); }));
    EXPECT_GT(second.right("job")->fence, fence);
    EXPECT_FALSE(first.right("job"));
}

TEST(KeeperNode, WithoutAMajorityLeasesExpireAndTokensNeverDecrease) {
    Replicas replicas;
    lease::LeaseClient holder(replicas.io, replicas.all, "holder");
    holder.want("job", 500, true);
    ASSERT_TRUE(replicas.until([&] { return holder.right("job").has_value(); }));
    const auto fence = holder.right("job")->fence;
    const std::size_t one = replicas.leader(), two = (one + 1) % 3;
    replicas.nodes[one].reset(), replicas.nodes[two].reset();
    ASSERT_TRUE(replicas.until([&] { return holder.counts().ended > 0; }));
    EXPECT_FALSE(holder.right("job"));
    replicas.start(one), replicas.start(two);
    ASSERT_TRUE(replicas.until([&] { return holder.right("job").has_value(); }));
    EXPECT_GE(holder.right("job")->fence, fence);
}

// Sends raw bytes to a replica and returns whether it closes the connection.
bool closed_after(Replicas& replicas, const std::string& bytes) {
    tcp::socket socket(replicas.io);
    socket.connect(replicas.all.keepers[0]);
    bool closed = false;
    std::array<char, 4096> chunk{};
    std::function<void()> read = [&] {
        socket.async_read_some(boost::asio::buffer(chunk), [&](error_code ec, std::size_t) {
            if (ec == boost::asio::error::operation_aborted) return;
            ec ? void(closed = true) : read();
        });
    };
    read();
    boost::asio::write(socket, boost::asio::buffer(bytes));
    const bool all = replicas.until([&] { return closed; });
    error_code ignored;
    socket.close(ignored);
    replicas.io.restart();
    replicas.io.poll();
    return all;
}

TEST(KeeperNode, InvalidConnectionsAreClosedAndOthersKeepWorking) {
    Replicas replicas;
    const std::string nonce(16, 'n'), keeper = std::string("CSL\x01\x01", 5) + nonce,
                                      client = std::string("CSL\x01\x02", 5) + nonce;
    const auto frame = [](std::size_t said, const std::string& bytes) {
        std::string head;
        for (int i = 0; i < 4; ++i) head.push_back(static_cast<char>(said >> 8 * i));
        return head + bytes;
    };
    const std::string code(64, '0');
    const std::pair<const char*, std::string> table[] = {
        {"another protocol", "GET / HTTP/1.1\r\n\r\n"},
        {"another protocol, byte by byte equal at first", "CSX"},
        {"a newer format", std::string("CSL\x02\x01", 5) + nonce},
        {"no role", std::string("CSL\x01\x09", 5) + nonce},
        {"a wrong proof", keeper + frame(65, "\x01" + code)},
        {"a message before its proof", keeper + frame(65, "\x04" + code)},
        {"a frame of no bytes", client + frame(0, "")},
        {"a frame shorter than its code", client + frame(10, "\x01" + std::string(9, '0'))},
        {"a large frame before the proof", keeper + frame(1 << 20, "\x04")},
        {"a frame of 4 GB", keeper + frame(0xffffffff, "\x04")},
        {"a recorded proof of another connection", client + frame(65, "\x01" + std::string(64, 'a'))},
    };
    for (const auto& [what, bytes] : table) EXPECT_TRUE(closed_after(replicas, bytes)) << what;
    lease::LeaseClient holder(replicas.io, replicas.all, "holder");
    holder.want("job", 500, true);
    EXPECT_TRUE(replicas.until([&] { return holder.right("job").has_value(); }));
    // A client with another secret gets no lease.
    lease::KeepersSettings other = replicas.all;
    other.secret_file = replicas.secrets.write("other", "another secret of enough bytes");
    lease::LeaseClient stranger(replicas.io, other, "stranger");
    stranger.want("other job", 500, true);
    EXPECT_TRUE(replicas.until([&] { return stranger.counts().unanswered >= 3; }));
    EXPECT_FALSE(stranger.right("other job"));
}

TEST(KeeperNode, DirectoryOfAnotherClusterOrReplicaIsRefused) {
    TempDirectory place;
    lease::KeepersSettings all;
    all.keepers = {{boost::asio::ip::make_address("127.0.0.4"), 0}};
    lease::KeeperSettings own;
    own.listen = all.keepers[0];
    own.fleet = "one";
    own.folder = place.path;
    lease::found(own, 1);
    EXPECT_THROW(lease::found(own, 1), lease::KeeperError);
    io_context io;
    lease::KeeperSettings other = own;
    other.fleet = "two";
    EXPECT_THROW(lease::KeeperNode(io, other, all), lease::KeeperError);
    other = own, other.office.agree.number = 1;
    EXPECT_THROW(lease::KeeperNode(io, other, all), lease::KeeperError);
}

}  // namespace
}  // namespace cobaltshift
