// LevelDB's Env over a Disk, so that what LevelDB relies upon after a loss of power is on the disk by then.
// Entry type: DurableEnv. Called by LevelDB for a Store.
#pragma once

#include <leveldb/env.h>

#include <string>

#include "control_io/disk.hpp"

namespace cobaltshift::control {

class DurableEnv : public leveldb::EnvWrapper {
public:
    explicit DurableEnv(Disk& disk) : leveldb::EnvWrapper(&disk.files()), disk_(disk) {}

    // LevelDB syncs what it writes to a new log file, not the file's name: what is acknowledged stands only
    // there.
    leveldb::Status NewWritableFile(const std::string& file, leveldb::WritableFile** result) override;
    // LevelDB renames CURRENT and then removes what it pointed to before: the name must last first.
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;

    // A manifest is read without a torn record at its end (manifest_tail.hpp).
    leveldb::Status NewSequentialFile(const std::string& file, leveldb::SequentialFile** result) override;

private:
    leveldb::Status sync_names_beside(const std::string& file);

    Disk& disk_;
};

}  // namespace cobaltshift::control
