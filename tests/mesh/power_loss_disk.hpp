// A disk that shows what would be left of a folder if the power went at any moment: what was synced is there,
// each later write is there, torn or missing, and each name that was made or removed without a sync of its
// folder is kept or lost by itself. Entry type: PowerLossDisk.
//
// LevelDB reads and writes real files through it. Before and after each operation that changes what would be
// left, an observer may ask for a picture: the folder as it would be found after a loss at this moment.
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
    // Called with every moment at which the power may go; on whichever thread LevelDB uses, one at a time.
    using Observer = std::function<void()>;

    explicit PowerLossDisk(std::uint64_t seed)
        : leveldb::EnvWrapper(leveldb::Env::Default()), random_(seed) {}

    void observe(Observer observer) { observer_ = std::move(observer); }

    leveldb::Env& files() override { return *this; }
    void sync_folder(const std::filesystem::path& folder) override {
        const std::lock_guard lock(mutex_);
        make_names_last(folder.string());
    }

    // What would be left of the files of `folder`, written to `to`. From within the observer alone.
    void picture(const std::string& folder, const std::string& to) {
        std::filesystem::create_directories(to);
        const bool all_later_gone = random_.unit() < kAllLaterGone;
        std::map<std::string, std::vector<FilePtr>> candidates;
        for (const auto& [name, file] : names_) candidates[name].push_back(file);
        for (const auto& [name, file] : lasting_) candidates[name].push_back(file);
        for (const auto& [name, files] : candidates) {
            if (!name.starts_with(folder + "/")) continue;
            const auto now = names_.find(name), lasts = lasting_.find(name);
            const FilePtr current = now == names_.end() ? nullptr : now->second;
            const FilePtr durable = lasts == lasting_.end() ? nullptr : lasts->second;
            const FilePtr found = random_.unit() < kNameKept ? current : durable;
            if (!found) continue;
            std::ofstream out(to + name.substr(folder.size()), std::ios::binary);
            out << left_of(*found, all_later_gone);
        }
    }

private:
    static constexpr double kAllLaterGone = 0.3, kNameKept = 0.5;

    struct File {
        std::string synced;
        std::vector<std::string> later;  // writes since, each one call of the system's
        std::string buffered;            // not yet with the system
    };
    using FilePtr = std::shared_ptr<File>;

    class Written : public leveldb::WritableFile {
    public:
        Written(PowerLossDisk& disk, std::string name, leveldb::WritableFile* real, FilePtr file)
            : disk_(disk), name_(std::move(name)), real_(real), file_(std::move(file)) {}
        leveldb::Status Append(const leveldb::Slice& data) override {
            const std::lock_guard lock(disk_.mutex_);
            file_->buffered.append(data.data(), data.size());
            return real_->Append(data);
        }
        leveldb::Status Flush() override {
            const std::lock_guard lock(disk_.mutex_);
            flush();
            disk_.may_go();
            return real_->Flush();
        }
        leveldb::Status Sync() override {
            const std::lock_guard lock(disk_.mutex_);
            flush();
            disk_.may_go();
            // As LevelDB's own files do.
            const std::filesystem::path path(name_);
            if (path.filename().string().starts_with("MANIFEST"))
                disk_.make_names_last(path.parent_path().string());
            for (const std::string& write : file_->later) file_->synced += write;
            file_->later.clear();
            disk_.may_go();
            return real_->Sync();
        }
        leveldb::Status Close() override {
            const std::lock_guard lock(disk_.mutex_);
            flush();
            return real_->Close();
        }

    private:
        void flush() {
            if (!file_->buffered.empty()) file_->later.push_back(std::exchange(file_->buffered, {}));
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
        *result = new Written(*this, name, real, file);
        may_go();
        return status;
    }
    leveldb::Status RemoveFile(const std::string& name) override {
        const std::lock_guard lock(mutex_);
        const leveldb::Status status = target()->RemoveFile(name);
        if (status.ok()) names_.erase(name);
        may_go();
        return status;
    }
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
        const std::lock_guard lock(mutex_);
        const leveldb::Status status = target()->RenameFile(from, to);
        if (status.ok()) {
            names_[to] = names_[from];
            names_.erase(from);
        }
        may_go();
        return status;
    }

    void make_names_last(const std::string& folder) {
        std::erase_if(lasting_, [&](const auto& one) { return one.first.starts_with(folder + "/"); });
        for (const auto& [name, file] : names_)
            if (name.starts_with(folder + "/")) lasting_[name] = file;
        may_go();
    }

    std::string left_of(const File& file, bool all_later_gone) {
        std::string bytes = file.synced, holes;
        if (all_later_gone) return bytes;
        for (const std::string& write : file.later) {
            const double lot = random_.unit();
            if (lot < 1.0 / 3) {  // missing: a hole if anything stands behind it
                holes.append(write.size(), '\0');
                continue;
            }
            bytes += std::exchange(holes, {});
            bytes += lot < 2.0 / 3 ? torn(write) : write;
        }
        return bytes;
    }
    // A part of it in the middle is missing, or its end.
    std::string torn(std::string write) {
        const auto from = static_cast<std::size_t>(random_.unit() * static_cast<double>(write.size()));
        if (random_.unit() < 0.5) return write.substr(0, from);
        const auto to =
            from + static_cast<std::size_t>(random_.unit() * static_cast<double>(write.size() - from));
        std::fill(write.begin() + static_cast<std::ptrdiff_t>(from),
                  write.begin() + static_cast<std::ptrdiff_t>(to), '\0');
        return write;
    }

    void may_go() {
        if (observer_) observer_();
    }

    std::mutex mutex_;
    kelplb::Random random_;
    std::map<std::string, FilePtr> names_, lasting_;
    Observer observer_;
};

}  // namespace cobaltshift::testing
