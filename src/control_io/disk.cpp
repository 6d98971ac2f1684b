#include "control_io/disk.hpp"

#include <fcntl.h>
#include <leveldb/env.h>
#include <unistd.h>

namespace cobaltshift::control {

namespace {

class SystemDisk : public Disk {
public:
    leveldb::Env& files() override { return *leveldb::Env::Default(); }
    void sync_folder(const std::filesystem::path& folder) override {
        const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (descriptor < 0) throw FolderSyncError(folder.string() + ": can't open the folder for fsync");
        const bool synced = ::fsync(descriptor) == 0;
        ::close(descriptor);
        if (!synced) throw FolderSyncError(folder.string() + ": fsync failed");
    }
};

}  // namespace

Disk& Disk::system() {
    static SystemDisk one;
    return one;
}

}  // namespace cobaltshift::control
