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

struct Writing : std::streambuf {
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

struct Reading : std::streambuf {
    explicit Reading(std::string_view bytes) {
        char* start = const_cast<char*>(bytes.data());
        setg(start, start, start + bytes.size());
    }
    std::size_t left() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

// Of the two archives: what they write and read is told once, by parts().
struct Out {
    cereal::BinaryOutputArchive archive;
    static constexpr bool reads = false;
    template <class... T>
    void plain(T&... values) {
        archive(values...);
    }
    void text(std::string& value) {
        const auto size = static_cast<std::uint8_t>(std::min(value.size(), kMostText));
        archive(size, cereal::binary_data(value.data(), size));
    }
    template <class T, class Each>
    void list(std::vector<T>& values, Each each) {
        const auto size = static_cast<std::uint8_t>(std::min<std::size_t>(values.size(), 255));
        archive(size);
        for (std::size_t i = 0; i < size; ++i) each(values[i]);
    }
};

struct In {
    cereal::BinaryInputArchive archive;
    static constexpr bool reads = true;
    template <class... T>
    void plain(T&... values) {
        archive(values...);
    }
    void text(std::string& value) {
        std::uint8_t size = 0;
        archive(size);
        if (size > kMostText) throw cereal::Exception("text too long");
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
void choice(Archive& archive, Enum& value, std::uint8_t count) {
    auto number = static_cast<std::uint8_t>(value);
    archive.plain(number);
    if constexpr (Archive::reads) {
        if (number >= count) throw cereal::Exception("no such choice");
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
    archive.plain(bits);
    if constexpr (Archive::reads)
        for (bool* value : values) {
            *value = bits & 1;
            bits >>= 1;
        }
}

template <class Archive>
void parts(Archive& archive, Key& key) {
    archive.plain(key.ip, key.life, key.seq);
    choice(archive, key.standing, 3);
}

template <class Archive>
void parts(Archive& archive, ServerRecord& server) {
    archive.text(server.life);
    archive.text(server.service);
    archive.text(server.edition);
    archive.plain(server.port, server.capacity, server.call_seq);
    auto warmup = static_cast<float>(server.warmup_left_s);
    archive.plain(warmup);
    if constexpr (Archive::reads) server.warmup_left_s = warmup >= 0 && warmup < 1e6F ? warmup : 0;
}

template <class Archive>
void parts(Archive& archive, NodeRecord& record) {
    archive.plain(record.ip, record.life, record.seq, record.traffic_port, record.config_edition);
    choice(archive, record.role, 2);
    archive.text(record.zone);
    bool has_server = record.server.has_value(), closing = record.server && record.server->closing;
    flags(archive, {&record.ready, &record.leaving, &has_server, &closing});
    if (!has_server) return;
    if (!record.server) record.server.emplace();
    parts(archive, *record.server);
    record.server->closing = closing;
}

template <class Archive>
void parts(Archive& archive, Message& message) {
    std::uint16_t magic = kMagic;
    std::uint8_t format = kFormat;
    archive.plain(magic, format);
    if (magic != kMagic || format != kFormat) throw cereal::Exception("not ours");
    choice(archive, message.kind, kKinds);
    auto& from = message.from;
    archive.plain(from.ip, from.life, from.seq, from.config_edition, from.digest);
    const auto keys = [&] { archive.list(message.keys, [&](Key& key) { parts(archive, key); }); };
    const auto records = [&] {
        archive.list(message.records, [&](NodeRecord& record) { parts(archive, record); });
    };
    switch (message.kind) {
        case Kind::probe:
        case Kind::ack:
            archive.plain(message.number);
            parts(archive, message.target);
            records();
            break;
        case Kind::ask_probe:
            archive.plain(message.number);
            parts(archive, message.target);
            break;
        case Kind::ranges:
            archive.plain(message.number);
            flags(archive, {&message.fresh});
            archive.plain(message.ranges);
            break;
        case Kind::summary:
            archive.plain(message.number, message.part, message.parts, message.mask);
            keys();
            break;
        case Kind::news:
            records();
            keys();
            break;
        case Kind::announce:
        case Kind::graft:
        case Kind::want:
        case Kind::doubt:
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

std::size_t bytes_of(const NodeRecord& record) {
    std::size_t bytes = 40 + std::min(record.zone.size(), kMostText);
    if (record.server)
        bytes += 24 + std::min(record.server->life.size(), kMostText) +
                 std::min(record.server->service.size(), kMostText) +
                 std::min(record.server->edition.size(), kMostText);
    return bytes;
}

std::string encode(const Message& message) {
    Writing buffer;
    buffer.bytes.reserve(160);
    std::ostream stream(&buffer);
    Out out{cereal::BinaryOutputArchive(stream)};
    parts(out, const_cast<Message&>(message));  // Out changes nothing
    return std::move(buffer.bytes);
}

std::optional<Message> decode(std::string_view bytes) {
    if (bytes.size() > kMostBytes) return std::nullopt;
    Reading buffer(bytes);
    std::istream stream(&buffer);
    try {
        In in{cereal::BinaryInputArchive(stream)};
        Message message;
        parts(in, message);
        if (buffer.left() || message.from.ip == 0) return std::nullopt;
        // Numbers that leave no room above them are nobody's.
        const auto sane = [](const auto& part) { return part.life < 1ULL << 62 && part.seq < 1ULL << 62; };
        if (!sane(message.from) || !sane(message.target) ||
            !std::all_of(message.keys.begin(), message.keys.end(), sane) ||
            !std::all_of(message.records.begin(), message.records.end(), sane))
            return std::nullopt;
        return message;
    } catch (const cereal::Exception&) {
        return std::nullopt;
    }
}

}  // namespace cobaltshift::gossip
