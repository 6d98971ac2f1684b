// Persistent storage of a Raft member's state in one SQLite database (WAL, synchronous=FULL), which one
// process at a time can open. Main type: SqliteStorage, used by lease::KeeperNode. Not thread-safe.
// Everything that a raft::Ready asks to persist is one transaction, which is synced when keep() returns. Each
// row has a checksum over its contents and its key, so that damaged and misplaced rows are detected: a member
// must not vote with a damaged state.
//
// Two faults can't be detected here. SQLite ends its write-ahead log at the first frame with a wrong
// checksum, so a damaged tail of the log looks as if it had never been written. A folder restored from a
// backup looks intact. In both cases the other members remember what this one has acknowledged, and tell it
// that it is no longer a member (docs/design/agree.md).
#pragma once

#include <memory>
#include <stdexcept>
#include <string>

#include "raft/raft_node.hpp"

struct sqlite3;

namespace cobaltshift::store {

// The folder can't be used: it does not exist, is not writable, is in use by another process, is full, has a
// newer format, or its disk has failed.
struct StorageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// No space left on the device. Nothing has changed, and the folder may be opened and used again.
struct StorageFull : StorageError {
    using StorageError::StorageError;
};

class SqliteStorage {
public:
    // State of the folder when it was opened: new, intact, or damaged.
    enum class Found { nothing, intact, corrupt };

    // Opens or creates the database in the existing folder `path` and reads all of it. Throws StorageError.
    explicit SqliteStorage(std::string path);
    ~SqliteStorage();
    SqliteStorage(const SqliteStorage&) = delete;
    SqliteStorage& operator=(const SqliteStorage&) = delete;

    Found found() const { return found_; }
    const std::string& why() const { return why_; }  // if corrupt: the reason
    // Moves out the state of an intact folder.
    raft::PersistentState take_stored() { return std::move(stored_); }

    // Starts over with `stored`. An existing database is renamed to `former.db`, replacing an earlier one.
    void begin(const raft::PersistentState& stored);
    // Increments the start counter of the stored member, synced, and returns it. Must be called before any
    // message is sent.
    std::uint64_t start();
    // Persists what `ready` asks for in one transaction, synced. If it throws StorageError, none of it was
    // applied.
    void keep(const raft::Ready& ready);

    const std::string& path() const { return path_; }
    std::uint64_t transactions() const { return transactions_; }  // committed so far, with one sync each

private:
    struct Close {
        void operator()(sqlite3* db) const;
    };
    void open();
    void read();
    void set_aside();
    [[noreturn]] void fail(const std::string& what) const;
    void run(const char* sql);
    void put(const char* sql, std::uint64_t key, const std::string& bytes);

    std::string path_;
    std::unique_ptr<sqlite3, Close> db_;
    Found found_ = Found::nothing;
    std::string why_;
    raft::PersistentState stored_;
    std::uint64_t starts_ = 0, transactions_ = 0;
};

}  // namespace cobaltshift::store
