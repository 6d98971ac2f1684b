#include "control_io/store.hpp"

#include <leveldb/cache.h>
#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <filesystem>
#include <map>

#include "control_io/durable_env.hpp"
#include "raft/codec.hpp"
#include "store/checksum.hpp"

namespace cobaltshift::control {

namespace {

namespace fs = std::filesystem;

constexpr char kFormat = 1;
constexpr std::size_t kWriteBuffer = 256 * 1024, kCacheBytes = 32 * 1024;
const std::string kHeader = "h", kVote = "v", kSnapshot = "s", kEntries = "e";

struct NullLogger : leveldb::Logger {
    void Logv(const char*, std::va_list) override {}
};

std::string encode_number(std::uint64_t value) {
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8) bytes += static_cast<char>(value >> shift);
    return bytes;
}
std::uint64_t decode_number(std::string_view bytes, std::size_t at) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < 8; ++i) value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
    return value;
}
std::string entry_key(raft::Index index) { return kEntries + encode_number(index); }

// Format version, contents, and the checksum of the key and both.
std::string record(std::string_view key, std::string_view contents) {
    std::string bytes(1, kFormat);
    bytes += contents;
    return bytes + store::checksum_of(std::string(key) + bytes);
}

enum class RecordState { valid, corrupt, unknown_format };
RecordState open_record(std::string_view key, std::string_view bytes, std::string& contents) {
    if (bytes.size() < 1 + store::kChecksumBytes) return RecordState::corrupt;
    const std::string_view body = bytes.substr(0, bytes.size() - store::kChecksumBytes);
    if (store::checksum_of(std::string(key) + std::string(body)) != bytes.substr(body.size()))
        return RecordState::corrupt;
    if (body.front() != kFormat) return RecordState::unknown_format;
    contents = body.substr(1);
    return RecordState::valid;
}

void put(leveldb::WriteBatch& batch, const std::string& key, std::string_view contents) {
    batch.Put(key, record(key, contents));
}

}  // namespace

Store::Store(std::string folder, std::uint64_t cluster_id, Disk& disk)
    : folder_(std::move(folder)),
      cluster_id_(cluster_id),
      disk_(disk),
      env_(std::make_unique<DurableEnv>(disk)),
      logger_(std::make_unique<NullLogger>()),
      cache_(leveldb::NewLRUCache(kCacheBytes)) {
    std::error_code ec;
    fs::create_directories(folder_, ec);
    if (ec) throw StoreFailure(folder_ + ": can't create the folder: " + ec.message());
    open();
    Read found = db_ ? read() : Read::corrupt;
    if (found == Read::corrupt) {
        set_aside();
        open();
        if (!db_) throw StoreFailure(folder_ + ": can't open a newly created database: " + why_);
    }
    try {
        disk_.sync_folder(folder_);
        disk_.sync_folder(fs::path(folder_).parent_path());
    } catch (const FolderSyncError& fault) {
        throw StoreFailure(fault.what());
    }
}

Store::~Store() = default;

// Leaves db_ empty if the database is corrupt, with the reason in why_. Throws StoreFailure on I/O errors.
// LevelDB reports missing files as I/O errors too; these count as corruption.
void Store::open() {
    leveldb::Options options;
    options.env = env_.get();
    options.create_if_missing = true;
    options.write_buffer_size = kWriteBuffer;
    options.max_file_size = 1024 * 1024;
    options.max_open_files = 20;
    options.block_cache = cache_.get();
    options.info_log = logger_.get();
    options.compression = leveldb::kNoCompression;
    leveldb::DB* db = nullptr;
    const leveldb::Status status = leveldb::DB::Open(options, folder_, &db);
    db_.reset(db);
    if (status.ok()) return;
    why_ = status.ToString();
    if (status.IsIOError() && why_.find("missing files") == std::string::npos &&
        why_.find("No such file") == std::string::npos)
        throw StoreFailure(folder_ + ": " + why_);
    db_.reset();
}

Store::Read Store::read() {
    raft::PersistentState s;
    bool header = false, vote = false, snapshot = false;
    std::map<raft::Index, raft::Entry> entries;
    const std::unique_ptr<leveldb::Iterator> at(db_->NewIterator({}));
    const auto corrupt = [&](const std::string& key, const std::string& problem) {
        why_ = "record '";
        why_ += key.size() == 1 ? key : std::to_string(decode_number(key, 1));
        why_ += "' " + problem;
        return Read::corrupt;
    };
    for (at->SeekToFirst(); at->Valid(); at->Next()) {
        const std::string key = at->key().ToString();
        if (key.empty() || (key.size() != 1 && key.size() != 9))
            return why_ = "record with an unknown key", Read::corrupt;
        std::string contents;
        switch (open_record(key, {at->value().data(), at->value().size()}, contents)) {
            case RecordState::corrupt:
                return corrupt(key, "has a wrong checksum");
            case RecordState::unknown_format:
                throw StoreMismatch(folder_ + ": format is not " + std::to_string(kFormat));
            case RecordState::valid:
                break;
        }
        if (key == kHeader) {
            if (contents.size() != 24) return corrupt(key, "has a wrong size");
            s.cluster_id = decode_number(contents, 0);
            s.id = decode_number(contents, 8);
            s.starts = decode_number(contents, 16);
            header = true;
        } else if (key == kVote) {
            if (contents.size() != 16) return corrupt(key, "has a wrong size");
            s.term = decode_number(contents, 0);
            s.voted = decode_number(contents, 8);
            vote = true;
        } else if (key == kSnapshot) {
            auto decoded = raft::decode_snapshot(contents);
            if (!decoded) return corrupt(key, "can't be decoded as a snapshot");
            s.snapshot = std::move(*decoded);
            snapshot = true;
        } else if (key.size() == 9 && key.starts_with(kEntries)) {
            auto entry = raft::decode_entry(contents);
            if (!entry) return corrupt(key, "can't be decoded as an entry");
            entries[decode_number(key, 1)] = std::move(*entry);
        }
    }
    if (!at->status().ok()) return why_ = at->status().ToString(), Read::corrupt;
    if (!header && !vote && !snapshot && entries.empty()) return Read::empty;
    if (!header || !vote || !snapshot) return why_ = "a record is missing", Read::corrupt;
    if (s.cluster_id != cluster_id_) throw StoreMismatch(folder_ + ": belongs to another cluster");
    first_ = s.snapshot.index + 1;
    last_ = s.snapshot.index;
    for (auto& [index, entry] : entries) {
        if (index != last_ + 1 || entry.term > s.term)
            return corrupt(entry_key(index), "does not continue the log");
        last_ = index;
        s.entries.push_back(std::move(entry));
    }
    id_ = s.id;
    starts_ = s.starts;
    stored_ = std::move(s);
    return Read::whole;
}

// Renames the damaged folder to FOLDER.aside for inspection. Only the latest one is retained, to save space.
void Store::set_aside() {
    db_.reset();
    stored_.reset();
    first_ = 1, last_ = 0;
    if (why_.empty()) why_ = "unknown damage";
    std::error_code ec;
    const fs::path aside = folder_ + ".aside";
    fs::remove_all(aside, ec);
    fs::rename(folder_, aside, ec);
    if (ec) throw StoreFailure(folder_ + ": " + why_ + "; can't set the folder aside: " + ec.message());
    fs::create_directories(folder_, ec);
    if (ec) throw StoreFailure(folder_ + ": can't create the folder: " + ec.message());
}

void Store::write(leveldb::WriteBatch& batch) {
    leveldb::WriteOptions options;
    options.sync = true;
    ++syncs_;
    // A failed write may leave a partial record in LevelDB's log, and records appended after it would be lost
    // on recovery.
    if (write_failed_) throw StoreFailure(folder_ + ": an earlier write has failed");
    const leveldb::Status status = db_->Write(options, &batch);
    write_failed_ = !status.ok();
    if (write_failed_) throw StoreFailure(folder_ + ": " + status.ToString());
}

void Store::put_header(leveldb::WriteBatch& batch) const {
    put(batch, kHeader, encode_number(cluster_id_) + encode_number(id_) + encode_number(starts_));
}

void Store::clear(leveldb::WriteBatch& batch) const {
    for (raft::Index index = first_; index <= last_; ++index) batch.Delete(entry_key(index));
}

void Store::begin(const raft::PersistentState& stored) {
    leveldb::WriteBatch batch;
    clear(batch);
    id_ = stored.id;
    starts_ = stored.starts;
    put_header(batch);
    put(batch, kVote, encode_number(stored.term) + encode_number(stored.voted));
    put(batch, kSnapshot, raft::encode(stored.snapshot));
    first_ = stored.snapshot.index + 1;
    last_ = stored.snapshot.index;
    for (const raft::Entry& entry : stored.entries) put(batch, entry_key(++last_), raft::encode(entry));
    write(batch);
}

void Store::record_start(std::uint64_t count) {
    leveldb::WriteBatch batch;
    starts_ = count;
    put_header(batch);
    write(batch);
}

void Store::persist(const raft::Ready& ready) {
    leveldb::WriteBatch batch;
    if (ready.vote) put(batch, kVote, encode_number(ready.vote->term) + encode_number(ready.vote->voted));
    if (ready.snapshot) {
        clear(batch);
        put(batch, kSnapshot, raft::encode(*ready.snapshot));
        first_ = ready.snapshot->index + 1;
        last_ = ready.snapshot->index;
    }
    if (ready.from > 0) {
        for (raft::Index index = ready.from; index <= last_; ++index) batch.Delete(entry_key(index));
        last_ = ready.from - 1;
        for (const raft::Entry& entry : ready.entries) put(batch, entry_key(++last_), raft::encode(entry));
    }
    write(batch);
}

}  // namespace cobaltshift::control
