#include "store_io/sqlite_storage.hpp"

#include <sqlite3.h>

#include <filesystem>
#include <optional>

#include "raft/codec.hpp"
#include "store/checksum.hpp"
#include "store/fields.hpp"

namespace cobaltshift::store {

namespace {

constexpr const char* kFile = "/keeper.db";
constexpr int kFormat = 1;  // PRAGMA user_version
enum RowKey : std::uint64_t { identity = 1, starts, vote, snapshot };

// A prepared statement that is finalized by its destructor.
class Statement {
public:
    Statement(sqlite3* db, const char* sql) {
        if (sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr) != SQLITE_OK)
            throw StorageError(sqlite3_errmsg(db));
    }
    ~Statement() { sqlite3_finalize(statement_); }
    Statement(const Statement&) = delete;
    Statement& operator=(const Statement&) = delete;
    sqlite3_stmt* get() const { return statement_; }

private:
    sqlite3_stmt* statement_ = nullptr;
};

// The checksum covers the row's key (column `place`), so that a row under a wrong key is detected.
std::string encode_row(std::uint64_t key, const std::string& bytes) {
    std::string keyed;
    for (int i = 0; i < 8; ++i) keyed.push_back(static_cast<char>(key >> 8 * i));
    return bytes + checksum_of(keyed + bytes);
}
std::optional<std::string> decode_row(std::uint64_t key, std::string_view row) {
    if (row.size() < kChecksumBytes) return {};
    std::string bytes(row.substr(0, row.size() - kChecksumBytes));
    if (encode_row(key, bytes) != row) return {};
    return bytes;
}

std::string encode_pair(std::uint64_t first, std::uint64_t second) {
    std::string bytes;
    protozero::pbf_writer w(bytes);
    w.add_uint64(1, first);
    w.add_uint64(2, second);
    return bytes;
}
std::pair<std::uint64_t, std::uint64_t> decode_pair(std::string_view bytes) {
    std::pair<std::uint64_t, std::uint64_t> both{0, 0};
    Fields f(bytes);
    while (f.next()) {
        if (f.tag() == 1)
            both.first = f.number("first");
        else if (f.tag() == 2)
            both.second = f.number("second");
        else
            f.skip();
    }
    return both;
}

}  // namespace

void SqliteStorage::Close::operator()(sqlite3* db) const { sqlite3_close(db); }

SqliteStorage::SqliteStorage(std::string path) : path_(std::move(path)) {
    std::error_code ec;
    if (!std::filesystem::is_directory(path_, ec)) throw StorageError("folder " + path_ + " does not exist");
    try {
        open();
        read();
    } catch (const StorageError&) {
        // A file that is not a database or has damaged pages makes the folder damaged. Other errors say
        // nothing about its contents and are passed on.
        const int code = db_ ? sqlite3_errcode(db_.get()) : SQLITE_CANTOPEN;
        if (code != SQLITE_NOTADB && code != SQLITE_CORRUPT) throw;
        found_ = Found::corrupt;
        why_ = sqlite3_errmsg(db_.get());
    }
}

SqliteStorage::~SqliteStorage() = default;

void SqliteStorage::fail(const std::string& what) const {
    const std::string text = "folder " + path_ + ": " + what + ": " + sqlite3_errmsg(db_.get());
    if (sqlite3_errcode(db_.get()) == SQLITE_FULL) throw StorageFull(text);
    throw StorageError(text);
}

void SqliteStorage::run(const char* sql) {
    if (sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) != SQLITE_OK) fail(sql);
}

void SqliteStorage::open() {
    sqlite3* db = nullptr;
    const int opened =
        sqlite3_open_v2((path_ + kFile).c_str(), &db,
                        SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, nullptr);
    db_.reset(db);
    if (!db) throw StorageError("folder " + path_ + ": out of memory opening the database");
    if (opened != SQLITE_OK) fail("can't open the database");
    // Exclusive locking keeps a second process out of the same folder and needs no shared memory.
    run("PRAGMA locking_mode=EXCLUSIVE");
    run("PRAGMA journal_mode=WAL");
    run("PRAGMA synchronous=FULL");
    run("PRAGMA cache_size=-2048");
    run("BEGIN IMMEDIATE");
    run("CREATE TABLE IF NOT EXISTS state (place INTEGER PRIMARY KEY, bytes BLOB NOT NULL)");
    run("CREATE TABLE IF NOT EXISTS entries (place INTEGER PRIMARY KEY, bytes BLOB NOT NULL)");
    run("COMMIT");
}

void SqliteStorage::read() {
    found_ = Found::nothing;
    stored_ = {};
    const auto mark_corrupt = [&](const std::string& why) {
        found_ = Found::corrupt;
        why_ = why;
    };
    {
        Statement format(db_.get(), "PRAGMA user_version");
        if (sqlite3_step(format.get()) != SQLITE_ROW) fail("can't read the format version");
        const int version = sqlite3_column_int(format.get(), 0);
        if (version > kFormat)
            throw StorageError("folder " + path_ + " has format " + std::to_string(version) +
                               "; this program supports up to " + std::to_string(kFormat));
    }
    const auto each = [&](const char* sql, const auto& accept) {
        Statement rows(db_.get(), sql);
        for (;;) {
            const int code = sqlite3_step(rows.get());
            if (code == SQLITE_DONE) return true;
            if (code != SQLITE_ROW) fail("can't read a row");
            const auto key = static_cast<std::uint64_t>(sqlite3_column_int64(rows.get(), 0));
            const auto bytes =
                decode_row(key, {static_cast<const char*>(sqlite3_column_blob(rows.get(), 1)),
                                 static_cast<std::size_t>(sqlite3_column_bytes(rows.get(), 1))});
            if (!bytes) {
                mark_corrupt("row " + std::to_string(key) + " is not as it was written");
                return false;
            }
            if (!accept(key, *bytes)) return false;
        }
    };
    unsigned seen = 0;
    try {
        const bool state =
            each("SELECT place, bytes FROM state ORDER BY place", [&](auto key, const auto& bytes) {
                switch (key) {
                    case RowKey::identity:
                        std::tie(stored_.cluster_id, stored_.id) = decode_pair(bytes);
                        break;
                    case RowKey::starts:
                        starts_ = stored_.starts = decode_pair(bytes).first;
                        break;
                    case RowKey::vote:
                        std::tie(stored_.term, stored_.voted) = decode_pair(bytes);
                        break;
                    case RowKey::snapshot: {
                        auto snapshot = raft::decode_snapshot(bytes);
                        if (!snapshot) return mark_corrupt("the snapshot can't be decoded"), false;
                        stored_.snapshot = std::move(*snapshot);
                        break;
                    }
                    default:
                        return true;  // written by a newer version: left in place
                }
                seen |= 1U << key;
                return true;
            });
        if (!state) return;
        const bool entries =
            each("SELECT place, bytes FROM entries ORDER BY place", [&](auto key, const auto& bytes) {
                if (key != stored_.snapshot.index + 1 + stored_.entries.size())
                    return mark_corrupt("entry " + std::to_string(key) + " does not follow those before it"),
                           false;
                auto entry = raft::decode_entry(bytes);
                if (!entry) return mark_corrupt("entry " + std::to_string(key) + " can't be decoded"), false;
                stored_.entries.push_back(std::move(*entry));
                return true;
            });
        if (!entries) return;
    } catch (const Unreadable& fault) {
        return mark_corrupt(fault.what());
    }
    constexpr unsigned kAll =
        1U << RowKey::identity | 1U << RowKey::starts | 1U << RowKey::vote | 1U << RowKey::snapshot;
    if (seen == kAll && stored_.id != raft::kNoMember)
        found_ = Found::intact;
    else if (seen != 0 || !stored_.entries.empty())
        mark_corrupt("a part of its state is missing");
}

// The database and its write-ahead log are renamed together, or SQLite would apply the old log to the new
// database.
void SqliteStorage::set_aside() {
    db_.reset();
    for (const char* tail : {"", "-wal", "-shm", "-journal"}) {
        std::error_code ec;
        const std::string from = path_ + kFile + tail;
        if (std::filesystem::exists(from, ec)) std::filesystem::rename(from, path_ + "/former.db" + tail, ec);
        if (ec) throw StorageError("folder " + path_ + ": can't rename " + from + ": " + ec.message());
    }
}

void SqliteStorage::begin(const raft::PersistentState& stored) {
    if (found_ != Found::nothing) {
        set_aside();
        open();
    }
    // The commit also syncs the folder, because SQLite does so after it has created a log file.
    run("BEGIN IMMEDIATE");
    run(("PRAGMA user_version=" + std::to_string(kFormat)).c_str());
    run("DELETE FROM state");
    run("DELETE FROM entries");
    const std::string sql = "INSERT INTO state VALUES (?1, ?2)";
    put(sql.c_str(), RowKey::identity, encode_pair(stored.cluster_id, stored.id));
    put(sql.c_str(), RowKey::starts, encode_pair(stored.starts, 0));
    put(sql.c_str(), RowKey::vote, encode_pair(stored.term, stored.voted));
    put(sql.c_str(), RowKey::snapshot, raft::encode(stored.snapshot));
    raft::Index index = stored.snapshot.index + 1;
    for (const raft::Entry& entry : stored.entries)
        put("INSERT INTO entries VALUES (?1, ?2)", index++, raft::encode(entry));
    run("COMMIT");
    ++transactions_;
    found_ = Found::intact;
    starts_ = stored.starts;
    stored_ = stored;
}

std::uint64_t SqliteStorage::start() {
    run("BEGIN IMMEDIATE");
    put("REPLACE INTO state VALUES (?1, ?2)", RowKey::starts, encode_pair(starts_ + 1, 0));
    run("COMMIT");
    ++transactions_;
    return ++starts_;
}

void SqliteStorage::put(const char* sql, std::uint64_t key, const std::string& bytes) {
    Statement statement(db_.get(), sql);
    const std::string row = encode_row(key, bytes);
    sqlite3_bind_int64(statement.get(), 1, static_cast<sqlite3_int64>(key));
    sqlite3_bind_blob64(statement.get(), 2, row.data(), row.size(), SQLITE_TRANSIENT);
    if (sqlite3_step(statement.get()) != SQLITE_DONE) fail(sql);
}

void SqliteStorage::keep(const raft::Ready& ready) {
    if (!ready.writes()) return;
    const char* put_state = "REPLACE INTO state VALUES (?1, ?2)";
    run("BEGIN IMMEDIATE");
    try {
        if (ready.vote) put(put_state, RowKey::vote, encode_pair(ready.vote->term, ready.vote->voted));
        raft::Index index = ready.from;
        if (ready.snapshot) {
            put(put_state, RowKey::snapshot, raft::encode(*ready.snapshot));
            index = 0;
        }
        if (ready.snapshot || ready.from > 0) {
            Statement delete_entries(db_.get(), "DELETE FROM entries WHERE place >= ?1");
            sqlite3_bind_int64(delete_entries.get(), 1, static_cast<sqlite3_int64>(index));
            if (sqlite3_step(delete_entries.get()) != SQLITE_DONE) fail("can't delete entries");
            if (ready.snapshot) index = ready.snapshot->index + 1;
            for (const raft::Entry& entry : ready.entries)
                put("INSERT INTO entries VALUES (?1, ?2)", index++, raft::encode(entry));
        }
        run("COMMIT");
    } catch (const StorageError&) {
        sqlite3_exec(db_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
        throw;
    }
    ++transactions_;
}

}  // namespace cobaltshift::store
