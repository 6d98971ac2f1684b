#include "gossip/message.hpp"

#include <algorithm>
#include <cereal/archives/binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <istream>
#include <ostream>
#include <streambuf>

namespace cobaltshift::gossip {

using registry::Key;
using registry::NodeRecord;
using registry::ServerRecord;

namespace {

constexpr std::uint16_t kMagic = 0xc0b5;
constexpr std::uint8_t kFormat = 1;

struct WriteBuffer : std::streambuf {
    std::string bytes;
    std::streamsize xsputn(const char* data, std::streamsize size) override {
        bytes.append(data, static_cast<std::size_t>(size));
        return size;
    }
    int_type overflow(int_type byte) override {
        bytes.push_back(static_cast<char>(byte));
        return byte;
    }
};

struct ReadBuffer : std::streambuf {
    explicit ReadBuffer(std::string_view bytes) {
        char* start = const_cast<char*>(bytes.data());
        setg(start, start, start + bytes.size());
    }
    std::size_t left() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

// The two archives have the same interface, so that serialize() describes each type's wire format once for
// both directions.
struct Encoder {
    cereal::BinaryOutputArchive archive;
    static constexpr bool kDecodes = false;
    template <class... T>
    void scalars(T&... values) {
        archive(values...);
    }
    void text(std::string& value) {
        const auto size = static_cast<std::uint8_t>(std::min(value.size(), kMaxTextBytes));
        archive(size, cereal::binary_data(value.data(), size));
    }
    template <class T, class Each>
    void list(std::vector<T>& values, Each each) {
        const auto size = static_cast<std::uint8_t>(std::min<std::size_t>(values.size(), 255));
        archive(size);
        for (std::size_t i = 0; i < size; ++i) each(values[i]);
    }
};

struct Decoder {
    cereal::BinaryInputArchive archive;
    static constexpr bool kDecodes = true;
    template <class... T>
    void scalars(T&... values) {
        archive(values...);
    }
    void text(std::string& value) {
        std::uint8_t size = 0;
        archive(size);
        if (size > kMaxTextBytes) throw cereal::Exception("text exceeds kMaxTextBytes");
        value.resize(size);
        archive(cereal::binary_data(value.data(), size));
    }
    template <class T, class Each>
    void list(std::vector<T>& values, Each each) {
        std::uint8_t size = 0;
        archive(size);
        for (std::size_t i = 0; i < size; ++i) each(values.emplace_back());
    }
};

template <class Archive, class Enum>
void enum_value(Archive& archive, Enum& value, std::uint8_t count) {
    auto number = static_cast<std::uint8_t>(value);
    archive.scalars(number);
    if constexpr (Archive::kDecodes) {
        if (number >= count) throw cereal::Exception("enum value out of range");
        value = static_cast<Enum>(number);
    }
}

template <class Archive>
void flags(Archive& archive, std::initializer_list<bool*> values) {
    std::uint8_t bits = 0, bit = 1;
    for (const bool* value : values) {
        if (*value) bits |= bit;
        bit = static_cast<std::uint8_t>(bit << 1);
    }
    archive.scalars(bits);
    if constexpr (Archive::kDecodes)
        for (bool* value : values) {
            *value = bits & 1;
            bits >>= 1;
        }
}

template <class Archive>
void serialize(Archive& archive, Key& key) {
    archive.scalars(key.ip, key.incarnation, key.seq);
    enum_value(archive, key.state, 3);
}

template <class Archive>
void serialize(Archive& archive, ServerRecord& server) {
    archive.text(server.instance_id);
    archive.text(server.service);
    archive.text(server.edition);
    archive.scalars(server.port, server.capacity, server.call_seq);
    auto warmup = static_cast<float>(server.warmup_left_s);
    archive.scalars(warmup);
    if constexpr (Archive::kDecodes) server.warmup_left_s = warmup >= 0 && warmup < 1e6F ? warmup : 0;
}

template <class Archive>
void serialize(Archive& archive, NodeRecord& record) {
    archive.scalars(record.ip, record.incarnation, record.seq, record.traffic_port, record.config_edition);
    enum_value(archive, record.role, 2);
    archive.text(record.zone);
    bool has_server = record.server.has_value(), closing = record.server && record.server->closing;
    flags(archive, {&record.ready, &record.leaving, &has_server, &closing});
    if (!has_server) return;
    if (!record.server) record.server.emplace();
    serialize(archive, *record.server);
    record.server->closing = closing;
}

template <class Archive>
void serialize(Archive& archive, Message& message) {
    std::uint16_t magic = kMagic;
    std::uint8_t format = kFormat;
    archive.scalars(magic, format);
    if (magic != kMagic || format != kFormat) throw cereal::Exception("unknown magic number or format");
    enum_value(archive, message.kind, kKindCount);
    auto& from = message.from;
    archive.scalars(from.ip, from.incarnation, from.seq, from.config_edition, from.digest);
    const auto keys = [&] { archive.list(message.keys, [&](Key& key) { serialize(archive, key); }); };
    const auto records = [&] {
        archive.list(message.records, [&](NodeRecord& record) { serialize(archive, record); });
    };
    switch (message.kind) {
        case Kind::probe:
        case Kind::ack:
            archive.scalars(message.number);
            serialize(archive, message.target);
            records();
            break;
        case Kind::indirect_probe:
            archive.scalars(message.number);
            serialize(archive, message.target);
            break;
        case Kind::range_digests:
            archive.scalars(message.number);
            flags(archive, {&message.sender_is_new});
            archive.scalars(message.ranges);
            break;
        case Kind::summary:
            archive.scalars(message.number, message.part, message.parts, message.complete_ranges);
            keys();
            break;
        case Kind::push:
            records();
            keys();
            break;
        case Kind::announce:
        case Kind::graft:
        case Kind::request:
        case Kind::verify:
            keys();
            break;
        case Kind::records:
            records();
            break;
        case Kind::prune:
            break;
    }
}

}  // namespace

std::size_t max_encoded_bytes(const NodeRecord& record) {
    std::size_t bytes = 40 + std::min(record.zone.size(), kMaxTextBytes);
    if (record.server)
        bytes += 24 + std::min(record.server->instance_id.size(), kMaxTextBytes) +
                 std::min(record.server->service.size(), kMaxTextBytes) +
                 std::min(record.server->edition.size(), kMaxTextBytes);
    return bytes;
}

std::string encode(const Message& message) {
    WriteBuffer buffer;
    buffer.bytes.reserve(160);
    std::ostream stream(&buffer);
    Encoder encoder{cereal::BinaryOutputArchive(stream)};
    serialize(encoder, const_cast<Message&>(message));  // Encoder does not modify it
    return std::move(buffer.bytes);
}

std::optional<Message> decode(std::string_view bytes) {
    if (bytes.size() > kMaxDatagramBytes) return std::nullopt;
    ReadBuffer buffer(bytes);
    std::istream stream(&buffer);
    try {
        Decoder decoder{cereal::BinaryInputArchive(stream)};
        Message message;
        serialize(decoder, message);
        if (buffer.left() || message.from.ip == 0) return std::nullopt;
        // A node refutes a claim about itself with a higher number: none may be so high that none is left.
        const auto in_range = [](const auto& part) {
            return part.incarnation < 1ULL << 62 && part.seq < 1ULL << 62;
        };
        if (!in_range(message.from) || !in_range(message.target) ||
            !std::all_of(message.keys.begin(), message.keys.end(), in_range) ||
            !std::all_of(message.records.begin(), message.records.end(), in_range))
            return std::nullopt;
        return message;
    } catch (const cereal::Exception&) {
        return std::nullopt;
    }
}

}  // namespace cobaltshift::gossip
