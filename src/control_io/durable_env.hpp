// A LevelDB Env on top of a Disk that adds the folder syncs LevelDB leaves out, so that a database survives a
// loss of power. Main type: DurableEnv, created by Store and called by LevelDB on its threads.
#pragma once

#include <leveldb/env.h>

#include <string>

#include "control_io/disk.hpp"

namespace cobaltshift::control {

class DurableEnv : public leveldb::EnvWrapper {
public:
    explicit DurableEnv(Disk& disk) : leveldb::EnvWrapper(&disk.files()), disk_(disk) {}

    // LevelDB syncs the contents of a new log file, but not the folder entry. Acknowledged writes exist only
    // in that file, so the folder is synced as soon as the file is created.
    leveldb::Status NewWritableFile(const std::string& file, leveldb::WritableFile** result) override;
    // LevelDB renames CURRENT and then removes the manifest it pointed to before; the rename must be durable
    // by then.
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;

    // Reads a manifest without a torn record at its end (manifest_tail.hpp).
    leveldb::Status NewSequentialFile(const std::string& file, leveldb::SequentialFile** result) override;

private:
    leveldb::Status sync_names_beside(const std::string& file);

    Disk& disk_;
};

}  // namespace cobaltshift::control
