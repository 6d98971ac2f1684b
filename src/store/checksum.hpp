// Byte strings followed by a checksum: 64-bit XXH3, little-endian. Used for stored records and messages.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cobaltshift::store {

constexpr std::size_t kChecksumBytes = 8;

inline std::string checksum_of(std::string_view bytes) {
    const std::uint64_t sum = XXH3_64bits(bytes.data(), bytes.size());
    std::string checksum;
    for (std::size_t i = 0; i < kChecksumBytes; ++i) checksum.push_back(static_cast<char>(sum >> 8 * i));
    return checksum;
}
// Appends the checksum.
inline std::string append_checksum(std::string bytes) {
    const std::string checksum = checksum_of(bytes);
    return std::move(bytes += checksum);
}
// The bytes without their checksum. None if they are too short or the checksum does not match.
inline std::optional<std::string_view> verify_checksum(std::string_view bytes) {
    if (bytes.size() < kChecksumBytes) return {};
    const std::string_view body = bytes.substr(0, bytes.size() - kChecksumBytes);
    if (checksum_of(body) != bytes.substr(body.size())) return {};
    return body;
}

}  // namespace cobaltshift::store
