// A hub's folder on disk: what its replica must not forget (raft::Stored), in LevelDB. Entry type: Store.
// Called by ControlNode alone. A batch for each Ready, synced before it returns; each record carries its
// format's number and the XXH3 of its key and itself.
//
// Errors: StoreRefuses (the disk refuses: nothing of the batch may be relied upon; open it anew later) and
// StoreForeign (of another format or fleet: nobody's to touch). What is torn or rotten is set aside under
// another name, said in why(), and an empty folder takes its place.
#pragma once

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "control_io/disk.hpp"
#include "raft/raft_node.hpp"

namespace leveldb {
class DB;
class WriteBatch;
class Logger;
class Cache;
}  // namespace leveldb

namespace cobaltshift::control {

class DurableEnv;

struct StoreRefuses : std::runtime_error {
    using std::runtime_error::runtime_error;
};
struct StoreForeign : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Store {
public:
    // Opens it, or makes it, with all folders above it that are missing.
    Store(std::string folder, std::uint64_t fleet, Disk& disk = Disk::system());
    ~Store();

    // What it holds; none: it is empty, or was set aside.
    std::optional<raft::Stored> take() { return std::move(stored_); }
    const std::string& why() const { return why_; }  // not empty: a folder was set aside

    // From here on it holds this and nothing else.
    void begin(const raft::Stored& stored);
    // Of another run: counted, and kept. Called once, before anything is said.
    void starts(std::uint64_t count);
    void keep(const raft::Ready& ready);

    std::uint64_t syncs() const { return syncs_; }

private:
    enum class Read { whole, empty, rotten };
    void open();
    Read read();
    void set_aside();
    void write(leveldb::WriteBatch& batch);
    void put_header(leveldb::WriteBatch& batch) const;
    void clear(leveldb::WriteBatch& batch) const;

    const std::string folder_;
    const std::uint64_t fleet_;
    Disk& disk_;
    std::unique_ptr<DurableEnv> env_;
    std::unique_ptr<leveldb::Logger> logger_;
    std::unique_ptr<leveldb::Cache> cache_;
    std::unique_ptr<leveldb::DB> db_;
    std::optional<raft::Stored> stored_;
    raft::MemberId id_ = 0;
    std::uint64_t starts_ = 0;
    raft::Index first_ = 1, last_ = 0;  // of the entries it holds
    std::string why_;
    bool refused_ = false;  // a write: this one takes no more
    std::uint64_t syncs_ = 0;
};

}  // namespace cobaltshift::control
