#include "control_io/durable_env.hpp"

namespace cobaltshift::control {

leveldb::Status DurableEnv::sync_names_beside(const std::string& file) {
    try {
        disk_.sync_folder(std::filesystem::path(file).parent_path());
        return leveldb::Status::OK();
    } catch (const FolderNotSynced& fault) {
        return leveldb::Status::IOError(fault.what());
    }
}

leveldb::Status DurableEnv::RenameFile(const std::string& from, const std::string& to) {
    const leveldb::Status status = target()->RenameFile(from, to);
    return status.ok() ? sync_names_beside(to) : status;
}

}  // namespace cobaltshift::control
