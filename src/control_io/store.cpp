#include "control_io/store.hpp"

#include <leveldb/cache.h>
#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <filesystem>
#include <map>

#include "control_io/durable_env.hpp"
#include "raft/codec.hpp"
#include "store/sealed.hpp"

namespace cobaltshift::control {

namespace {

namespace fs = std::filesystem;

constexpr char kFormat = 1;
constexpr std::size_t kWriteBuffer = 256 * 1024, kCacheBytes = 32 * 1024;
const std::string kHeader = "h", kVote = "v", kSnapshot = "s", kEntries = "e";

struct Silent : leveldb::Logger {
    void Logv(const char*, std::va_list) override {}
};

std::string number(std::uint64_t value) {
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8) bytes += static_cast<char>(value >> shift);
    return bytes;
}
std::uint64_t number_at(std::string_view bytes, std::size_t at) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < 8; ++i) value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
    return value;
}
std::string entry_key(raft::Index index) { return kEntries + number(index); }

// The format's number, then what is kept, then the sum of key and all that.
std::string record(std::string_view key, std::string_view what) {
    std::string bytes(1, kFormat);
    bytes += what;
    return bytes + store::seal_of(std::string(key) + bytes);
}

enum class Opened { good, rotten, foreign };
Opened open_record(std::string_view key, std::string_view bytes, std::string& what) {
    if (bytes.size() < 1 + store::kSealBytes) return Opened::rotten;
    const std::string_view body = bytes.substr(0, bytes.size() - store::kSealBytes);
    if (store::seal_of(std::string(key) + std::string(body)) != bytes.substr(body.size()))
        return Opened::rotten;
    if (body.front() != kFormat) return Opened::foreign;
    what = body.substr(1);
    return Opened::good;
}

void put(leveldb::WriteBatch& batch, const std::string& key, std::string_view what) {
    batch.Put(key, record(key, what));
}

}  // namespace

Store::Store(std::string folder, std::uint64_t fleet, Disk& disk)
    : folder_(std::move(folder)),
      fleet_(fleet),
      disk_(disk),
      env_(std::make_unique<DurableEnv>(disk)),
      logger_(std::make_unique<Silent>()),
      cache_(leveldb::NewLRUCache(kCacheBytes)) {
    std::error_code ec;
    fs::create_directories(folder_, ec);
    if (ec) throw StoreRefuses(folder_ + ": can't be made: " + ec.message());
    open();
    Read found = db_ ? read() : Read::rotten;
    if (found == Read::rotten) {
        set_aside();
        open();
        if (!db_) throw StoreRefuses(folder_ + ": can't be opened though it is new: " + why_);
    }
    try {
        disk_.sync_folder(folder_);
        disk_.sync_folder(fs::path(folder_).parent_path());
    } catch (const FolderNotSynced& fault) {
        throw StoreRefuses(fault.what());
    }
}

Store::~Store() = default;

// db_ stays empty where what is there makes no sense.
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
        throw StoreRefuses(folder_ + ": " + why_);
    db_.reset();
}

Store::Read Store::read() {
    raft::Stored s;
    bool header = false, vote = false, snapshot = false;
    std::map<raft::Index, raft::Entry> entries;
    const std::unique_ptr<leveldb::Iterator> at(db_->NewIterator({}));
    const auto rotten = [&](const std::string& key, const std::string& what) {
        why_ = "record '";
        why_ += key.size() == 1 ? key : std::to_string(number_at(key, 1));
        why_ += "' " + what;
        return Read::rotten;
    };
    for (at->SeekToFirst(); at->Valid(); at->Next()) {
        const std::string key = at->key().ToString();
        if (key.empty() || (key.size() != 1 && key.size() != 9))
            return why_ = "an unknown record", Read::rotten;
        std::string what;
        switch (open_record(key, {at->value().data(), at->value().size()}, what)) {
            case Opened::rotten:
                return rotten(key, "is torn or rotten");
            case Opened::foreign:
                throw StoreForeign(folder_ + ": is of another format than " + std::to_string(kFormat));
            case Opened::good:
                break;
        }
        if (key == kHeader) {
            if (what.size() != 24) return rotten(key, "is no header");
            s.fleet = number_at(what, 0);
            s.id = number_at(what, 8);
            s.starts = number_at(what, 16);
            header = true;
        } else if (key == kVote) {
            if (what.size() != 16) return rotten(key, "is no vote");
            s.term = number_at(what, 0);
            s.voted = number_at(what, 8);
            vote = true;
        } else if (key == kSnapshot) {
            auto decoded = raft::decode_snapshot(what);
            if (!decoded) return rotten(key, "is no snapshot");
            s.snapshot = std::move(*decoded);
            snapshot = true;
        } else if (key.size() == 9 && key.starts_with(kEntries)) {
            auto entry = raft::decode_entry(what);
            if (!entry) return rotten(key, "is no entry");
            entries[number_at(key, 1)] = std::move(*entry);
        }
    }
    if (!at->status().ok()) return why_ = at->status().ToString(), Read::rotten;
    if (!header && !vote && !snapshot && entries.empty()) return Read::empty;
    if (!header || !vote || !snapshot) return why_ = "a record is missing", Read::rotten;
    if (s.fleet != fleet_) throw StoreForeign(folder_ + ": is of another fleet");
    first_ = s.snapshot.index + 1;
    last_ = s.snapshot.index;
    for (auto& [index, entry] : entries) {
        if (index != last_ + 1 || entry.term > s.term)
            return rotten(entry_key(index), "doesn't follow the one before");
        last_ = index;
        s.entries.push_back(std::move(entry));
    }
    id_ = s.id;
    starts_ = s.starts;
    stored_ = std::move(s);
    return Read::whole;
}

// One is kept to be looked at; room is dear.
void Store::set_aside() {
    db_.reset();
    stored_.reset();
    first_ = 1, last_ = 0;
    if (why_.empty()) why_ = "it makes no sense";
    std::error_code ec;
    const fs::path aside = folder_ + ".aside";
    fs::remove_all(aside, ec);
    fs::rename(folder_, aside, ec);
    if (ec) throw StoreRefuses(folder_ + ": " + why_ + "; can't be set aside: " + ec.message());
    fs::create_directories(folder_, ec);
    if (ec) throw StoreRefuses(folder_ + ": can't be made: " + ec.message());
}

void Store::write(leveldb::WriteBatch& batch) {
    leveldb::WriteOptions options;
    options.sync = true;
    ++syncs_;
    // What LevelDB would append behind half a record it would not find again.
    if (refused_) throw StoreRefuses(folder_ + ": has refused a write before");
    const leveldb::Status status = db_->Write(options, &batch);
    refused_ = !status.ok();
    if (refused_) throw StoreRefuses(folder_ + ": " + status.ToString());
}

void Store::put_header(leveldb::WriteBatch& batch) const {
    put(batch, kHeader, number(fleet_) + number(id_) + number(starts_));
}

void Store::clear(leveldb::WriteBatch& batch) const {
    for (raft::Index index = first_; index <= last_; ++index) batch.Delete(entry_key(index));
}

void Store::begin(const raft::Stored& stored) {
    leveldb::WriteBatch batch;
    clear(batch);
    id_ = stored.id;
    starts_ = stored.starts;
    put_header(batch);
    put(batch, kVote, number(stored.term) + number(stored.voted));
    put(batch, kSnapshot, raft::encode(stored.snapshot));
    first_ = stored.snapshot.index + 1;
    last_ = stored.snapshot.index;
    for (const raft::Entry& entry : stored.entries) put(batch, entry_key(++last_), raft::encode(entry));
    write(batch);
}

void Store::starts(std::uint64_t count) {
    leveldb::WriteBatch batch;
    starts_ = count;
    put_header(batch);
    write(batch);
}

void Store::keep(const raft::Ready& ready) {
    leveldb::WriteBatch batch;
    if (ready.vote) put(batch, kVote, number(ready.vote->term) + number(ready.vote->voted));
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
