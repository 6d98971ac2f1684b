#include "control_io/durable_env.hpp"

#include <algorithm>
#include <utility>

#include "control_io/manifest_tail.hpp"

namespace cobaltshift::control {

namespace {

// A sequential file whose contents are in memory.
class BytesFile : public leveldb::SequentialFile {
public:
    explicit BytesFile(std::string bytes) : bytes_(std::move(bytes)) {}
    leveldb::Status Read(std::size_t most, leveldb::Slice* result, char*) override {
        const std::size_t count = std::min(most, bytes_.size() - at_);
        *result = leveldb::Slice(bytes_.data() + at_, count);
        at_ += count;
        return leveldb::Status::OK();
    }
    leveldb::Status Skip(std::uint64_t count) override {
        at_ += std::min<std::size_t>(count, bytes_.size() - at_);
        return leveldb::Status::OK();
    }

private:
    const std::string bytes_;
    std::size_t at_ = 0;
};

bool is_manifest(const std::string& file) {
    return std::filesystem::path(file).filename().string().starts_with("MANIFEST-");
}

}  // namespace

leveldb::Status DurableEnv::NewSequentialFile(const std::string& file, leveldb::SequentialFile** result) {
    if (!is_manifest(file)) return target()->NewSequentialFile(file, result);
    std::string bytes;
    const leveldb::Status status = leveldb::ReadFileToString(target(), file, &bytes);
    if (!status.ok()) return status;
    bytes.resize(whole_manifest_bytes(bytes));
    *result = new BytesFile(std::move(bytes));
    return status;
}

leveldb::Status DurableEnv::sync_names_beside(const std::string& file) {
    try {
        disk_.sync_folder(std::filesystem::path(file).parent_path());
        return leveldb::Status::OK();
    } catch (const FolderSyncError& fault) {
        return leveldb::Status::IOError(fault.what());
    }
}

leveldb::Status DurableEnv::NewWritableFile(const std::string& file, leveldb::WritableFile** result) {
    leveldb::Status status = target()->NewWritableFile(file, result);
    if (!status.ok()) return status;
    status = sync_names_beside(file);
    if (status.ok()) return status;
    delete *result;
    *result = nullptr;
    return status;
}

leveldb::Status DurableEnv::RenameFile(const std::string& from, const std::string& to) {
    const leveldb::Status status = target()->RenameFile(from, to);
    return status.ok() ? sync_names_beside(to) : status;
}

}  // namespace cobaltshift::control
