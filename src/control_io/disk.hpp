// What a Store needs of a disk: files, by LevelDB's Env, and folders whose names last once they are synced.
// Entry type: Disk; Disk::system() is the real one. Tests put in one that loses its power.
#pragma once

#include <filesystem>
#include <stdexcept>

namespace leveldb {
class Env;
}  // namespace leveldb

namespace cobaltshift::control {

struct FolderNotSynced : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Disk {
public:
    virtual ~Disk() = default;
    virtual leveldb::Env& files() = 0;
    // Names that were made, renamed or removed in it last from then on. Throws FolderNotSynced.
    virtual void sync_folder(const std::filesystem::path& folder) = 0;

    static Disk& system();
};

}  // namespace cobaltshift::control
