#include "raft/codec.hpp"

#include "raft/snapshot_transfer.hpp"
#include "store/checksum.hpp"
#include "store/fields.hpp"

namespace cobaltshift::raft {

namespace {

using protozero::pbf_writer;
using store::Fields;
using store::Unreadable;

constexpr std::uint64_t kFormat = 1;
constexpr std::uint64_t kLastKind = static_cast<std::uint64_t>(Message::Kind::timeout_now);

Members parse_members(std::string_view bytes) {
    Members members;
    Fields all(bytes);
    while (all.next()) {
        if (all.tag() != 1) {
            all.skip();
            continue;
        }
        Member one;
        Fields fields(all.bytes("member", 64));
        while (fields.next()) switch (fields.tag()) {
                case 1:
                    one.id = fields.number("member id");
                    break;
                case 2:
                    one.number = static_cast<std::uint32_t>(fields.number("member number", UINT32_MAX));
                    break;
                case 3:
                    one.voter = fields.flag("member voter");
                    break;
                default:
                    fields.skip();
            }
        if (one.id == kNoMember) throw Unreadable("a member is nobody");
        for (const Member& other : members)
            if (other.id == one.id || other.number == one.number)
                throw Unreadable("a member id or number occurs twice");
        members.push_back(one);
        if (members.size() > kMaxMembers) throw Unreadable("too many members");
    }
    return members;
}

Entry parse_entry(std::string_view bytes) {
    Entry entry;
    Fields fields(bytes);
    while (fields.next()) switch (fields.tag()) {
            case 1:
                entry.term = fields.number("entry term");
                break;
            case 2:
                entry.kind = static_cast<Entry::Kind>(fields.number("entry kind", 2));
                break;
            case 3:
                entry.data = fields.text("entry data", kMaxEntryBytes);
                break;
            default:
                fields.skip();
        }
    if (entry.term == 0) throw Unreadable("an entry has no term");
    if (entry.kind == Entry::Kind::members) parse_members(entry.data);
    return entry;
}

Snapshot parse_snapshot(std::string_view bytes) {
    Snapshot snapshot;
    Fields fields(bytes);
    while (fields.next()) switch (fields.tag()) {
            case 1:
                snapshot.index = fields.number("snapshot index");
                break;
            case 2:
                snapshot.term = fields.number("snapshot term");
                break;
            case 3:
                snapshot.members = parse_members(fields.bytes("snapshot members", 1024));
                break;
            case 4:
                snapshot.data = fields.text("snapshot data", kMaxSnapshotBytes);
                break;
            default:
                fields.skip();
        }
    return snapshot;
}

SnapshotPiece parse_piece(std::string_view bytes) {
    SnapshotPiece piece;
    Fields fields(bytes);
    while (fields.next()) switch (fields.tag()) {
            case 1:
                piece.index = fields.number("piece index");
                break;
            case 2:
                piece.term = fields.number("piece term");
                break;
            case 3:
                piece.members = parse_members(fields.bytes("piece members", 1024));
                break;
            case 4:
                piece.offset = fields.number("piece offset", kMaxSnapshotBytes);
                break;
            case 5:
                piece.total = fields.number("piece total", kMaxSnapshotBytes);
                break;
            case 6:
                piece.digest = fields.number("piece digest");
                break;
            case 7:
                piece.data = fields.text("piece data", kSnapshotPieceBytes);
                break;
            default:
                fields.skip();
        }
    if (piece.offset + piece.data.size() > piece.total)
        throw Unreadable("a piece is past its snapshot's end");
    return piece;
}

template <class What, class Read>
std::optional<What> none_if_unreadable(Read read) {
    try {
        return read();
    } catch (const Unreadable&) {
        return {};
    }
}

}  // namespace

std::string encode(const Members& members) {
    std::string bytes;
    pbf_writer all(bytes);
    for (const Member& one : members) {
        pbf_writer w(all, 1);
        w.add_uint64(1, one.id);
        w.add_uint32(2, one.number);
        w.add_bool(3, one.voter);
    }
    return bytes;
}

std::string encode(const Entry& entry) {
    std::string bytes;
    pbf_writer w(bytes);
    w.add_uint64(1, entry.term);
    w.add_uint32(2, static_cast<std::uint32_t>(entry.kind));
    if (!entry.data.empty()) w.add_bytes(3, entry.data);
    return bytes;
}

std::string encode(const Snapshot& snapshot) {
    std::string bytes;
    pbf_writer w(bytes);
    w.add_uint64(1, snapshot.index);
    w.add_uint64(2, snapshot.term);
    w.add_bytes(3, encode(snapshot.members));
    w.add_bytes(4, snapshot.data);
    return bytes;
}

std::string encode(const SnapshotPiece& piece) {
    std::string bytes;
    pbf_writer w(bytes);
    w.add_uint64(1, piece.index);
    w.add_uint64(2, piece.term);
    w.add_bytes(3, encode(piece.members));
    w.add_uint64(4, piece.offset);
    w.add_uint64(5, piece.total);
    w.add_uint64(6, piece.digest);
    w.add_bytes(7, piece.data);
    return bytes;
}

std::string encode(const Message& m) {
    std::string bytes;
    pbf_writer w(bytes);
    w.add_uint64(1, kFormat);
    w.add_uint32(2, static_cast<std::uint32_t>(m.kind));
    w.add_uint64(3, m.cluster_id);
    w.add_uint64(4, m.from);
    w.add_uint64(5, m.to);
    w.add_uint32(6, m.number);
    w.add_uint64(7, m.run.starts);
    w.add_uint64(8, m.run.nonce);
    w.add_uint64(9, m.term);
    w.add_uint64(10, m.index);
    w.add_uint64(11, m.commit);
    w.add_uint64(12, m.last);
    w.add_uint64(13, m.log_term);
    w.add_uint64(14, m.round);
    w.add_bool(15, m.ok);
    for (const Entry& entry : m.entries) w.add_bytes(16, encode(entry));
    if (m.offset > 0) w.add_uint64(18, m.offset);
    if (m.piece) w.add_bytes(19, encode(*m.piece));
    return store::append_checksum(std::move(bytes));
}

std::optional<Message> decode_message(std::string_view bytes, std::string& why) {
    why.clear();
    if (bytes.size() > kMaxMessageBytes) return why = "it is too long", std::nullopt;
    const auto body = store::verify_checksum(bytes);
    if (!body) return why = "its checksum is not its own", std::nullopt;
    Message m;
    std::uint64_t format = 0;
    try {
        Fields f(*body);
        while (f.next()) switch (f.tag()) {
                case 1:
                    format = f.number("format");
                    break;
                case 2:
                    m.kind = static_cast<Message::Kind>(f.number("kind", kLastKind));
                    break;
                case 3:
                    m.cluster_id = f.number("fleet");
                    break;
                case 4:
                    m.from = f.number("from");
                    break;
                case 5:
                    m.to = f.number("to");
                    break;
                case 6:
                    m.number = static_cast<std::uint32_t>(f.number("number", UINT32_MAX));
                    break;
                case 7:
                    m.run.starts = f.number("starts");
                    break;
                case 8:
                    m.run.nonce = f.number("draw");
                    break;
                case 9:
                    m.term = f.number("term");
                    break;
                case 10:
                    m.index = f.number("index");
                    break;
                case 11:
                    m.commit = f.number("commit");
                    break;
                case 12:
                    m.last = f.number("last");
                    break;
                case 13:
                    m.log_term = f.number("log term");
                    break;
                case 14:
                    m.round = f.number("round");
                    break;
                case 15:
                    m.ok = f.flag("ok");
                    break;
                case 16:
                    if (m.entries.size() >= kMaxEntriesInMessage) throw Unreadable("too many entries");
                    m.entries.push_back(parse_entry(f.bytes("entry", kMaxEntryBytes + 64)));
                    break;
                case 18:
                    m.offset = f.number("offset", kMaxSnapshotBytes);
                    break;
                case 19:
                    m.piece = std::make_shared<const SnapshotPiece>(
                        parse_piece(f.bytes("piece", kSnapshotPieceBytes + 2048)));
                    break;
                default:
                    f.skip();
            }
        if (format != kFormat) throw Unreadable("its format is " + std::to_string(format));
        if (m.from == kNoMember) throw Unreadable("it is from nobody");
        if (m.kind == Message::Kind::snapshot) throw Unreadable("it is of a kind that is no longer spoken");
        if (m.kind == Message::Kind::snapshot_piece && !m.piece)
            throw Unreadable("the snapshot's piece is missing");
    } catch (const Unreadable& fault) {
        return why = fault.what(), std::nullopt;
    }
    return m;
}

std::optional<Members> decode_members(std::string_view bytes) {
    return none_if_unreadable<Members>([&] { return parse_members(bytes); });
}
std::optional<Entry> decode_entry(std::string_view bytes) {
    return none_if_unreadable<Entry>([&] { return parse_entry(bytes); });
}
std::optional<Snapshot> decode_snapshot(std::string_view bytes) {
    return none_if_unreadable<Snapshot>([&] { return parse_snapshot(bytes); });
}

}  // namespace cobaltshift::raft
