#include "store/journal.hpp"

#include "raft/codec.hpp"
#include "store/checksum.hpp"
#include "store/fields.hpp"

namespace cobaltshift::store {

namespace {

enum class Kind : std::uint8_t { identity = 1, starts, vote, entry, snapshot };
constexpr std::size_t kHeaderBytes = 5 + kChecksumBytes;  // kind, length in four bytes, and their checksum

std::string make_record(Kind kind, const std::string& body) {
    std::string head(1, static_cast<char>(kind));
    for (int i = 0; i < 4; ++i) head.push_back(static_cast<char>(body.size() >> 8 * i));
    return append_checksum(std::move(head)) + append_checksum(body);
}

std::string encode_pair(std::uint64_t first, std::uint64_t second) {
    std::string bytes;
    protozero::pbf_writer w(bytes);
    w.add_uint64(1, first);
    w.add_uint64(2, second);
    return bytes;
}

struct Pair {
    std::uint64_t first = 0, second = 0;
    std::string_view rest;
};
Pair decode_pair(std::string_view bytes, std::size_t most) {
    Pair pair;
    Fields f(bytes);
    while (f.next()) switch (f.tag()) {
            case 1:
                pair.first = f.number("first");
                break;
            case 2:
                pair.second = f.number("second");
                break;
            case 3:
                pair.rest = f.bytes("rest", most);
                break;
            default:
                f.skip();
        }
    return pair;
}

std::string entry_record(raft::Index index, const raft::Entry& entry) {
    std::string bytes;
    protozero::pbf_writer w(bytes);
    w.add_uint64(1, index);
    w.add_bytes(3, raft::encode(entry));
    return make_record(Kind::entry, bytes);
}

}  // namespace

std::string records_of(const raft::Ready& ready) {
    std::string bytes;
    if (ready.vote) bytes += make_record(Kind::vote, encode_pair(ready.vote->term, ready.vote->voted));
    if (ready.from > 0) {
        raft::Index index = ready.from;
        for (const raft::Entry& entry : ready.entries) bytes += entry_record(index++, entry);
        if (ready.entries.empty()) {  // truncation only: an entry record without an entry
            std::string cut;
            protozero::pbf_writer w(cut);
            w.add_uint64(1, ready.from);
            bytes += make_record(Kind::entry, cut);
        }
    }
    return bytes;
}

std::string records_of(const raft::PersistentState& stored) {
    std::string bytes = make_record(Kind::identity, encode_pair(stored.cluster_id, stored.id)) +
                        make_record(Kind::starts, encode_pair(stored.starts, 0)) +
                        make_record(Kind::vote, encode_pair(stored.term, stored.voted)) +
                        make_record(Kind::snapshot, raft::encode(stored.snapshot));
    raft::Index index = stored.snapshot.index + 1;
    for (const raft::Entry& entry : stored.entries) bytes += entry_record(index++, entry);
    return bytes;
}

Replayed replay(std::string_view bytes) {
    Replayed result;
    raft::PersistentState& s = result.stored;
    if (bytes.empty()) return result;
    result.found = Replayed::Found::intact;
    bool has_member_id = false;
    const auto corrupt = [&](const std::string& why) {
        result.found = Replayed::Found::corrupt;
        result.why = "at byte " + std::to_string(result.good) + ": " + why;
        return result;
    };
    while (result.good < bytes.size()) {
        const std::string_view left = bytes.substr(result.good);
        if (left.size() < kHeaderBytes) break;
        const auto head = verify_checksum(left.substr(0, kHeaderBytes));
        if (!head) return corrupt("checksum mismatch in a record header");
        std::size_t length = 0;
        for (int i = 0; i < 4; ++i)
            length |= static_cast<std::size_t>(static_cast<unsigned char>((*head)[1 + i])) << 8 * i;
        if (left.size() < kHeaderBytes + length + kChecksumBytes) break;
        const auto body = verify_checksum(left.substr(kHeaderBytes, length + kChecksumBytes));
        if (!body) return corrupt("checksum mismatch in a record");
        try {
            switch (static_cast<Kind>((*head)[0])) {
                case Kind::identity: {
                    const Pair pair = decode_pair(*body, 0);
                    s.cluster_id = pair.first, s.id = pair.second, has_member_id = true;
                    break;
                }
                case Kind::starts:
                    s.starts = decode_pair(*body, 0).first;
                    break;
                case Kind::vote: {
                    const Pair pair = decode_pair(*body, 0);
                    s.term = pair.first, s.voted = pair.second;
                    break;
                }
                case Kind::entry: {
                    const Pair pair = decode_pair(*body, raft::kMaxEntryBytes + 64);
                    const raft::Index first = s.snapshot.index + 1;
                    if (pair.first < first || pair.first > first + s.entries.size())
                        return corrupt("gap in the sequence of entries");
                    s.entries.resize(pair.first - first);
                    if (pair.rest.empty()) break;
                    const auto entry = raft::decode_entry(pair.rest);
                    if (!entry) return corrupt("an entry can't be decoded");
                    s.entries.push_back(*entry);
                    break;
                }
                case Kind::snapshot: {
                    auto snapshot = raft::decode_snapshot(*body);
                    if (!snapshot) return corrupt("a snapshot can't be decoded");
                    s.snapshot = std::move(*snapshot);
                    s.entries.clear();
                    break;
                }
                default:
                    return corrupt("a record has an unknown type");
            }
        } catch (const Unreadable& fault) {
            return corrupt(fault.what());
        }
        result.good += kHeaderBytes + length + kChecksumBytes;
    }
    if (result.good < bytes.size()) result.found = Replayed::Found::torn;
    if (!has_member_id) {  // torn before the member id was synced, so nothing can have been acknowledged
        result.found = Replayed::Found::nothing;
        result.good = 0;
    }
    return result;
}

}  // namespace cobaltshift::store
