#include "store_io/folder.hpp"

#include <sqlite3.h>

#include <filesystem>
#include <optional>

#include "raft/codec.hpp"
#include "store/fields.hpp"
#include "store/sealed.hpp"

namespace cobaltshift::store {

namespace {

constexpr const char* kFile = "/keeper.db";
constexpr int kFormat = 1;  // PRAGMA user_version
enum Place : std::uint64_t { life = 1, starts, vote, snapshot };

// A statement that is finished whatever happens.
class Statement {
public:
    Statement(sqlite3* db, const char* sql) {
        if (sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr) != SQLITE_OK)
            throw FolderError(sqlite3_errmsg(db));
    }
    ~Statement() { sqlite3_finalize(statement_); }
    Statement(const Statement&) = delete;
    Statement& operator=(const Statement&) = delete;
    sqlite3_stmt* get() const { return statement_; }

private:
    sqlite3_stmt* statement_ = nullptr;
};

// With its place under the seal, so that a row can't pass for another.
std::string row_of(std::uint64_t place, const std::string& bytes) {
    std::string placed;
    for (int i = 0; i < 8; ++i) placed.push_back(static_cast<char>(place >> 8 * i));
    return bytes + seal_of(placed + bytes);
}
std::optional<std::string> from_row(std::uint64_t place, std::string_view row) {
    if (row.size() < kSealBytes) return {};
    std::string bytes(row.substr(0, row.size() - kSealBytes));
    if (row_of(place, bytes) != row) return {};
    return bytes;
}

std::string numbers(std::uint64_t first, std::uint64_t second) {
    std::string bytes;
    protozero::pbf_writer w(bytes);
    w.add_uint64(1, first);
    w.add_uint64(2, second);
    return bytes;
}
std::pair<std::uint64_t, std::uint64_t> numbers_from(std::string_view bytes) {
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

void Folder::Close::operator()(sqlite3* db) const { sqlite3_close(db); }

Folder::Folder(std::string path) : path_(std::move(path)) {
    std::error_code ec;
    if (!std::filesystem::is_directory(path_, ec)) throw FolderError("folder " + path_ + " is not there");
    try {
        open();
        read();
    } catch (const FolderError&) {
        // A file that is no database, or one of which pages are gone, is a spoilt folder; a folder that can't
        // be opened at all is nobody's to judge.
        const int code = db_ ? sqlite3_errcode(db_.get()) : SQLITE_CANTOPEN;
        if (code != SQLITE_NOTADB && code != SQLITE_CORRUPT) throw;
        found_ = Found::spoilt;
        why_ = sqlite3_errmsg(db_.get());
    }
}

Folder::~Folder() = default;

void Folder::fail(const std::string& what) const {
    const std::string text = "folder " + path_ + ": " + what + ": " + sqlite3_errmsg(db_.get());
    if (sqlite3_errcode(db_.get()) == SQLITE_FULL) throw FolderFull(text);
    throw FolderError(text);
}

void Folder::run(const char* sql) {
    if (sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) != SQLITE_OK) fail(sql);
}

void Folder::open() {
    sqlite3* db = nullptr;
    const int opened =
        sqlite3_open_v2((path_ + kFile).c_str(), &db,
                        SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, nullptr);
    db_.reset(db);
    if (!db) throw FolderError("folder " + path_ + ": no memory for its database");
    if (opened != SQLITE_OK) fail("can't be opened");
    // Exclusive: a second process that is given the same folder is refused, and no shared memory is needed.
    run("PRAGMA locking_mode=EXCLUSIVE");
    run("PRAGMA journal_mode=WAL");
    run("PRAGMA synchronous=FULL");
    run("PRAGMA cache_size=-2048");
    run("BEGIN IMMEDIATE");
    run("CREATE TABLE IF NOT EXISTS state (place INTEGER PRIMARY KEY, bytes BLOB NOT NULL)");
    run("CREATE TABLE IF NOT EXISTS entries (place INTEGER PRIMARY KEY, bytes BLOB NOT NULL)");
    run("COMMIT");
}

void Folder::read() {
    found_ = Found::nothing;
    stored_ = {};
    const auto spoilt = [&](const std::string& why) {
        found_ = Found::spoilt;
        why_ = why;
    };
    {
        Statement format(db_.get(), "PRAGMA user_version");
        if (sqlite3_step(format.get()) != SQLITE_ROW) fail("its format can't be read");
        const int version = sqlite3_column_int(format.get(), 0);
        if (version > kFormat)
            throw FolderError("folder " + path_ + " is of format " + std::to_string(version) +
                              ", this program knows up to " + std::to_string(kFormat));
    }
    const auto each = [&](const char* sql, const auto& take) {
        Statement rows(db_.get(), sql);
        for (;;) {
            const int code = sqlite3_step(rows.get());
            if (code == SQLITE_DONE) return true;
            if (code != SQLITE_ROW) fail("can't be read");
            const auto place = static_cast<std::uint64_t>(sqlite3_column_int64(rows.get(), 0));
            const auto bytes =
                from_row(place, {static_cast<const char*>(sqlite3_column_blob(rows.get(), 1)),
                                 static_cast<std::size_t>(sqlite3_column_bytes(rows.get(), 1))});
            if (!bytes) {
                spoilt("row " + std::to_string(place) + " is not as it was written");
                return false;
            }
            if (!take(place, *bytes)) return false;
        }
    };
    unsigned seen = 0;
    try {
        const bool state =
            each("SELECT place, bytes FROM state ORDER BY place", [&](auto place, const auto& bytes) {
                switch (place) {
                    case Place::life:
                        std::tie(stored_.fleet, stored_.id) = numbers_from(bytes);
                        break;
                    case Place::starts:
                        starts_ = stored_.starts = numbers_from(bytes).first;
                        break;
                    case Place::vote:
                        std::tie(stored_.term, stored_.voted) = numbers_from(bytes);
                        break;
                    case Place::snapshot: {
                        auto snapshot = raft::decode_snapshot(bytes);
                        if (!snapshot) return spoilt("its snapshot can't be read"), false;
                        stored_.snapshot = std::move(*snapshot);
                        break;
                    }
                    default:
                        return true;  // of a later build: kept
                }
                seen |= 1U << place;
                return true;
            });
        if (!state) return;
        const bool entries =
            each("SELECT place, bytes FROM entries ORDER BY place", [&](auto place, const auto& bytes) {
                if (place != stored_.snapshot.index + 1 + stored_.entries.size())
                    return spoilt("entry " + std::to_string(place) + " does not follow those before it"),
                           false;
                auto entry = raft::decode_entry(bytes);
                if (!entry) return spoilt("entry " + std::to_string(place) + " can't be read"), false;
                stored_.entries.push_back(std::move(*entry));
                return true;
            });
        if (!entries) return;
    } catch (const Unreadable& fault) {
        return spoilt(fault.what());
    }
    constexpr unsigned kAll =
        1U << Place::life | 1U << Place::starts | 1U << Place::vote | 1U << Place::snapshot;
    if (seen == kAll && stored_.id != raft::kNobody)
        found_ = Found::whole;
    else if (seen != 0 || !stored_.entries.empty())
        spoilt("a part of its state is missing");
}

// The database and its log go together, or SQLite would lay the old log over the new database.
void Folder::set_aside() {
    db_.reset();
    for (const char* tail : {"", "-wal", "-shm", "-journal"}) {
        std::error_code ec;
        const std::string from = path_ + kFile + tail;
        if (std::filesystem::exists(from, ec)) std::filesystem::rename(from, path_ + "/former.db" + tail, ec);
        if (ec) throw FolderError("folder " + path_ + ": " + from + " can't be set aside: " + ec.message());
    }
}

void Folder::begin(const raft::Stored& stored) {
    if (found_ != Found::nothing) {
        set_aside();
        open();
    }
    // Synced by the commit, and the file's name with it: SQLite syncs the folder of a log that it has made.
    run("BEGIN IMMEDIATE");
    run(("PRAGMA user_version=" + std::to_string(kFormat)).c_str());
    run("DELETE FROM state");
    run("DELETE FROM entries");
    const std::string sql = "INSERT INTO state VALUES (?1, ?2)";
    put(sql.c_str(), Place::life, numbers(stored.fleet, stored.id));
    put(sql.c_str(), Place::starts, numbers(stored.starts, 0));
    put(sql.c_str(), Place::vote, numbers(stored.term, stored.voted));
    put(sql.c_str(), Place::snapshot, raft::encode(stored.snapshot));
    raft::Index index = stored.snapshot.index + 1;
    for (const raft::Entry& entry : stored.entries)
        put("INSERT INTO entries VALUES (?1, ?2)", index++, raft::encode(entry));
    run("COMMIT");
    ++transactions_;
    found_ = Found::whole;
    starts_ = stored.starts;
    stored_ = stored;
}

std::uint64_t Folder::start() {
    run("BEGIN IMMEDIATE");
    put("REPLACE INTO state VALUES (?1, ?2)", Place::starts, numbers(starts_ + 1, 0));
    run("COMMIT");
    ++transactions_;
    return ++starts_;
}

void Folder::put(const char* sql, std::uint64_t place, const std::string& bytes) {
    Statement statement(db_.get(), sql);
    const std::string row = row_of(place, bytes);
    sqlite3_bind_int64(statement.get(), 1, static_cast<sqlite3_int64>(place));
    sqlite3_bind_blob64(statement.get(), 2, row.data(), row.size(), SQLITE_TRANSIENT);
    if (sqlite3_step(statement.get()) != SQLITE_DONE) fail(sql);
}

void Folder::keep(const raft::Ready& ready) {
    if (!ready.writes()) return;
    const char* put_state = "REPLACE INTO state VALUES (?1, ?2)";
    run("BEGIN IMMEDIATE");
    try {
        if (ready.vote) put(put_state, Place::vote, numbers(ready.vote->term, ready.vote->voted));
        raft::Index index = ready.from;
        if (ready.snapshot) {
            put(put_state, Place::snapshot, raft::encode(*ready.snapshot));
            index = 0;
        }
        if (ready.snapshot || ready.from > 0) {
            Statement cut(db_.get(), "DELETE FROM entries WHERE place >= ?1");
            sqlite3_bind_int64(cut.get(), 1, static_cast<sqlite3_int64>(index));
            if (sqlite3_step(cut.get()) != SQLITE_DONE) fail("entries can't be cut");
            if (ready.snapshot) index = ready.snapshot->index + 1;
            for (const raft::Entry& entry : ready.entries)
                put("INSERT INTO entries VALUES (?1, ?2)", index++, raft::encode(entry));
        }
        run("COMMIT");
    } catch (const FolderError&) {
        sqlite3_exec(db_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
        throw;
    }
    ++transactions_;
}

}  // namespace cobaltshift::store
