// Persistent storage of a control node's Raft state (raft::PersistentState) in LevelDB. Main type: Store,
// used by ControlNode. Not thread-safe. Each Ready is written as one batch, which is synced before the call
// returns. Each record holds a format version and the XXH3 of its key and contents.
//
// Errors: StoreFailure if the disk fails: none of the batch may be relied upon, and the store must be opened
// again later. StoreMismatch if the folder has another format or belongs to another cluster: it is left
// untouched. A damaged folder is renamed to FOLDER.aside, why() holds the reason, and an empty one takes its
// place.
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

struct StoreFailure : std::runtime_error {
    using std::runtime_error::runtime_error;
};
struct StoreMismatch : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Store {
public:
    // Opens the store, creating `folder` and missing parent folders. `cluster_id` identifies the cluster.
    Store(std::string folder, std::uint64_t cluster_id, Disk& disk = Disk::system());
    ~Store();

    // Moves out the state that was read on opening. None if the store is new or the former one was set aside.
    std::optional<raft::PersistentState> take_stored() { return std::move(stored_); }
    const std::string& why() const { return why_; }  // why a damaged folder was set aside; empty: none was

    // Replaces the entire contents by `stored`.
    void begin(const raft::PersistentState& stored);
    // Persists the start counter of this run. Must be called once before any message is sent.
    void record_start(std::uint64_t count);
    // Persists what `ready` asks for, synced. Throws StoreFailure.
    void persist(const raft::Ready& ready);

    std::uint64_t syncs() const { return syncs_; }

private:
    enum class Read { whole, empty, corrupt };
    void open();
    Read read();
    void set_aside();
    void write(leveldb::WriteBatch& batch);
    void put_header(leveldb::WriteBatch& batch) const;
    void clear(leveldb::WriteBatch& batch) const;

    const std::string folder_;
    const std::uint64_t cluster_id_;
    Disk& disk_;
    std::unique_ptr<DurableEnv> env_;
    std::unique_ptr<leveldb::Logger> logger_;
    std::unique_ptr<leveldb::Cache> cache_;
    std::unique_ptr<leveldb::DB> db_;
    std::optional<raft::PersistentState> stored_;
    raft::MemberId id_ = 0;
    std::uint64_t starts_ = 0;
    raft::Index first_ = 1, last_ = 0;  // first and last index of the stored entries
    std::string why_;
    bool write_failed_ = false;  // a write has failed: further writes are refused
    std::uint64_t syncs_ = 0;
};

}  // namespace cobaltshift::control
