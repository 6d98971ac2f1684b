// Bytes with their checksum behind them: XXH3 of 64 bits, little-endian. For whatever is kept or sent whole.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cobaltshift::store {

constexpr std::size_t kSealBytes = 8;

inline std::string seal_of(std::string_view bytes) {
    const std::uint64_t sum = XXH3_64bits(bytes.data(), bytes.size());
    std::string seal;
    for (std::size_t i = 0; i < kSealBytes; ++i) seal.push_back(static_cast<char>(sum >> 8 * i));
    return seal;
}
inline std::string sealed(std::string bytes) {
    const std::string seal = seal_of(bytes);
    return std::move(bytes += seal);
}
// What was sealed; none: it is not as it was.
inline std::optional<std::string_view> unsealed(std::string_view bytes) {
    if (bytes.size() < kSealBytes) return {};
    const std::string_view body = bytes.substr(0, bytes.size() - kSealBytes);
    if (seal_of(body) != bytes.substr(body.size())) return {};
    return body;
}

}  // namespace cobaltshift::store
