// A keeper's folder on a real disk: one SQLite database (WAL, synchronous=FULL), held by one process at a
// time. What raft::Ready asks to be kept is one transaction; once keep() has returned it is synced. Every
// row is sealed together with its place, so that a row gone bad or moved is told from one that was written
// so: a spoilt folder never votes. Entry type: Folder. Called by lease::KeeperNode alone.
//
// What it can't see by itself: SQLite ends its log at the first frame that does not match its checksum, so
// rot in the log's tail looks like a tail never written, and a folder restored from a copy looks whole. The
// other keepers remember what this one has acknowledged, and tell it to go (docs/design/agree.md).
#pragma once

#include <memory>
#include <stdexcept>
#include <string>

#include "raft/raft_node.hpp"

struct sqlite3;

namespace cobaltshift::store {

// The folder can't be used: not there, not ours to write, held by another process, full, or its disk refuses.
struct FolderError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// No room left: nothing has changed, and the folder may be opened and used again.
struct FolderFull : FolderError {
    using FolderError::FolderError;
};

class Folder {
public:
    enum class Found { nothing, whole, spoilt };

    // Opens the database in `path`, which must be there, and reads it whole. Throws FolderError.
    explicit Folder(std::string path);
    ~Folder();
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;

    Found found() const { return found_; }
    const std::string& why() const { return why_; }  // where spoilt
    // Of a whole folder: what it holds. Moved from once.
    raft::Stored take_stored() { return std::move(stored_); }

    // A new life: all that was there is set aside (the last such, as `former.db`), then `stored` is kept.
    void begin(const raft::Stored& stored);
    // Another run of the life that is kept; synced before anything is said under it. Its number.
    std::uint64_t start();
    // All of `ready` that is to be kept, in one transaction, synced. Throws FolderError: nothing of it
    // counts.
    void keep(const raft::Ready& ready);

    const std::string& path() const { return path_; }
    std::uint64_t transactions() const { return transactions_; }  // each one sync of the log

private:
    struct Close {
        void operator()(sqlite3* db) const;
    };
    void open();
    void read();
    void set_aside();
    [[noreturn]] void fail(const std::string& what) const;
    void run(const char* sql);
    void put(const char* sql, std::uint64_t place, const std::string& bytes);

    std::string path_;
    std::unique_ptr<sqlite3, Close> db_;
    Found found_ = Found::nothing;
    std::string why_;
    raft::Stored stored_;
    std::uint64_t starts_ = 0, transactions_ = 0;
};

}  // namespace cobaltshift::store
