#include "control_io/manifest_tail.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace cobaltshift::control {

namespace {

constexpr std::size_t kBlock = 32768, kHeader = 7;
enum RecordType : unsigned char { kZero = 0, kFull = 1, kFirst = 2, kMiddle = 3, kLast = 4 };

constexpr std::array<std::uint32_t, 256> crc32c_table() {
    constexpr std::uint32_t kPolynomial = 0x82f63b78;  // CRC-32C (Castagnoli), reflected
    std::array<std::uint32_t, 256> table{};
    for (std::uint32_t i = 0; i < table.size(); ++i) {
        std::uint32_t value = i;
        for (int bit = 0; bit < 8; ++bit) value = (value >> 1) ^ ((value & 1) != 0 ? kPolynomial : 0);
        table[i] = value;
    }
    return table;
}

std::uint32_t masked_crc32c(std::string_view bytes) {
    static constexpr auto kTable = crc32c_table();
    std::uint32_t crc = 0xffffffff;
    for (const char byte : bytes) crc = kTable[(crc ^ static_cast<unsigned char>(byte)) & 0xff] ^ (crc >> 8);
    crc ^= 0xffffffff;
    return ((crc >> 15) | (crc << 17)) + 0xa282ead8;
}

std::uint32_t byte_at(std::string_view bytes, std::size_t at) {
    return static_cast<unsigned char>(bytes[at]);
}

struct Fragment {
    std::size_t end;
    RecordType type;
};

std::size_t declared_length(std::string_view bytes, std::size_t at) {
    return byte_at(bytes, at + 4) | byte_at(bytes, at + 5) << 8;
}

// The record fragment that begins at `at`. None if it is incomplete or its checksum does not match.
std::optional<Fragment> fragment_at(std::string_view bytes, std::size_t at) {
    if (at + kHeader > bytes.size()) return {};
    const std::size_t end = at + kHeader + declared_length(bytes, at);
    const auto type = static_cast<RecordType>(byte_at(bytes, at + 6));
    if (end > bytes.size() || end > (at / kBlock + 1) * kBlock || type < kFull || type > kLast) return {};
    std::uint32_t sum = 0;
    for (std::size_t i = 4; i-- > 0;) sum = sum << 8 | byte_at(bytes, at + i);
    if (sum != masked_crc32c(bytes.substr(at + 6, end - at - 6))) return {};
    return Fragment{end, type};
}

std::size_t next_block(std::size_t at) { return (at / kBlock + 1) * kBlock; }

bool any_sound_behind(std::string_view bytes, std::size_t torn) {
    if (torn + kHeader <= bytes.size() && fragment_at(bytes, torn + kHeader + declared_length(bytes, torn)))
        return true;
    for (std::size_t at = next_block(torn); at < bytes.size(); at += kBlock)
        if (fragment_at(bytes, at)) return true;
    return false;
}

}  // namespace

std::size_t whole_manifest_bytes(std::string_view manifest) {
    std::size_t at = 0, whole = 0;
    while (at < manifest.size()) {
        if (next_block(at) - at < kHeader) {
            at = next_block(at);
            continue;
        }
        const auto fragment = fragment_at(manifest, at);
        if (!fragment) return any_sound_behind(manifest, at) ? manifest.size() : whole;
        at = fragment->end;
        if (fragment->type == kFull || fragment->type == kLast) whole = at;
    }
    return whole;
}

}  // namespace cobaltshift::control
