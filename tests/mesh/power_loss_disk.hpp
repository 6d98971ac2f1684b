// A disk that can produce the state of a folder after a simulated loss of power. Synced data is present; each
// unsynced write is present, torn or missing; each file name that was created, renamed or removed without a
// sync of its folder is independently in its old or new state. Main type: PowerLossDisk.
//
// LevelDB reads and writes real files through it. At each step that changes the durable state, an observer
// may write an image of the folder as it would be found after a loss of power at this moment.
#pragma once

#include <leveldb/env.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "control_io/disk.hpp"
#include "random.hpp"

namespace cobaltshift::testing {

class PowerLossDisk : public control::Disk, private leveldb::EnvWrapper {
public:
    // Called at each possible moment of a power loss, on any of LevelDB's threads, one call at a time.
    using Observer = std::function<void()>;

    explicit PowerLossDisk(std::uint64_t seed)
        : leveldb::EnvWrapper(leveldb::Env::Default()), random_(seed) {}

    void observe(Observer observer) { observer_ = std::move(observer); }

    leveldb::Env& files() override { return *this; }
    void sync_folder(const std::filesystem::path& folder) override {
        const std::lock_guard lock(mutex_);
        persist_names(folder.string());
    }

    // Writes what a power loss now would leave of the files in `folder` to the folder `to`. Must be called
    // from within the observer.
    void write_image(const std::string& folder, const std::string& to) {
        std::filesystem::create_directories(to);
        const bool lose_unsynced = random_.unit() < kLoseUnsynced;
        std::map<std::string, std::vector<FilePtr>> candidates;
        for (const auto& [name, file] : names_) candidates[name].push_back(file);
        for (const auto& [name, file] : durable_names_) candidates[name].push_back(file);
        for (const auto& [name, files] : candidates) {
            if (!name.starts_with(folder + "/")) continue;
            const auto now = names_.find(name), lasting = durable_names_.find(name);
            const FilePtr current = now == names_.end() ? nullptr : now->second;
            const FilePtr durable = lasting == durable_names_.end() ? nullptr : lasting->second;
            const FilePtr found = random_.unit() < kNameKept ? current : durable;
            if (!found) continue;
            std::ofstream out(to + name.substr(folder.size()), std::ios::binary);
            out << remaining(*found, lose_unsynced);
        }
    }

private:
    static constexpr double kLoseUnsynced = 0.3, kNameKept = 0.5;

    struct File {
        std::string synced;
        std::vector<std::string> unsynced;  // unsynced writes, one element for each system call
        std::string buffered;               // not yet passed to the operating system
    };
    using FilePtr = std::shared_ptr<File>;

    class TrackedFile : public leveldb::WritableFile {
    public:
        TrackedFile(PowerLossDisk& disk, std::string name, leveldb::WritableFile* real, FilePtr file)
            : disk_(disk), name_(std::move(name)), real_(real), file_(std::move(file)) {}
        leveldb::Status Append(const leveldb::Slice& data) override {
            const std::lock_guard lock(disk_.mutex_);
            file_->buffered.append(data.data(), data.size());
            return real_->Append(data);
        }
        leveldb::Status Flush() override {
            const std::lock_guard lock(disk_.mutex_);
            flush();
            disk_.power_may_fail();
            return real_->Flush();
        }
        leveldb::Status Sync() override {
            const std::lock_guard lock(disk_.mutex_);
            flush();
            disk_.power_may_fail();
            // LevelDB's POSIX files sync the folder when they sync a manifest.
            const std::filesystem::path path(name_);
            if (path.filename().string().starts_with("MANIFEST"))
                disk_.persist_names(path.parent_path().string());
            for (const std::string& write : file_->unsynced) file_->synced += write;
            file_->unsynced.clear();
            disk_.power_may_fail();
            return real_->Sync();
        }
        leveldb::Status Close() override {
            const std::lock_guard lock(disk_.mutex_);
            flush();
            return real_->Close();
        }

    private:
        void flush() {
            if (!file_->buffered.empty()) file_->unsynced.push_back(std::exchange(file_->buffered, {}));
        }
        PowerLossDisk& disk_;
        const std::string name_;
        const std::unique_ptr<leveldb::WritableFile> real_;
        const FilePtr file_;
    };

    leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** result) override {
        const std::lock_guard lock(mutex_);
        leveldb::WritableFile* real = nullptr;
        const leveldb::Status status = target()->NewWritableFile(name, &real);
        if (!status.ok()) return status;
        const FilePtr file = names_[name] = std::make_shared<File>();
        *result = new TrackedFile(*this, name, real, file);
        power_may_fail();
        return status;
    }
    leveldb::Status RemoveFile(const std::string& name) override {
        const std::lock_guard lock(mutex_);
        const leveldb::Status status = target()->RemoveFile(name);
        if (status.ok()) names_.erase(name);
        power_may_fail();
        return status;
    }
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
        const std::lock_guard lock(mutex_);
        const leveldb::Status status = target()->RenameFile(from, to);
        if (status.ok()) {
            names_[to] = names_[from];
            names_.erase(from);
        }
        power_may_fail();
        return status;
    }

    void persist_names(const std::string& folder) {
        std::erase_if(durable_names_, [&](const auto& one) { return one.first.starts_with(folder + "/"); });
        for (const auto& [name, file] : names_)
            if (name.starts_with(folder + "/")) durable_names_[name] = file;
        power_may_fail();
    }

    std::string remaining(const File& file, bool lose_unsynced) {
        std::string bytes = file.synced, holes;
        if (lose_unsynced) return bytes;
        for (const std::string& write : file.unsynced) {
            const double sample = random_.unit();
            if (sample < 1.0 / 3) {  // missing: zeros if a later write is present
                holes.append(write.size(), '\0');
                continue;
            }
            bytes += std::exchange(holes, {});
            bytes += sample < 2.0 / 3 ? tear(write) : write;
        }
        return bytes;
    }
    // Either cuts off the end of the write or replaces a part of it by zeros.
    std::string tear(std::string write) {
        const auto from = static_cast<std::size_t>(random_.unit() * static_cast<double>(write.size()));
        if (random_.unit() < 0.5) return write.substr(0, from);
        const auto to =
            from + static_cast<std::size_t>(random_.unit() * static_cast<double>(write.size() - from));
        std::fill(write.begin() + static_cast<std::ptrdiff_t>(from),
                  write.begin() + static_cast<std::ptrdiff_t>(to), '\0');
        return write;
    }

    void power_may_fail() {
        if (observer_) observer_();
    }

    std::mutex mutex_;
    kelplb::Random random_;
    std::map<std::string, FilePtr> names_, durable_names_;
    Observer observer_;
};

}  // namespace cobaltshift::testing
