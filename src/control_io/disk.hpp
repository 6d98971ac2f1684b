// File system interface of a Store: files through LevelDB's Env, and the sync of folders. Disk::system() is
// the real file system; tests use one that simulates a loss of power.
#pragma once

#include <filesystem>
#include <stdexcept>

namespace leveldb {
class Env;
}  // namespace leveldb

namespace cobaltshift::control {

struct FolderSyncError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Disk {
public:
    virtual ~Disk() = default;
    virtual leveldb::Env& files() = 0;
    // fsync of a folder: makes files that were created, renamed or removed in it durable. Throws
    // FolderSyncError.
    virtual void sync_folder(const std::filesystem::path& folder) = 0;

    static Disk& system();
};

}  // namespace cobaltshift::control
