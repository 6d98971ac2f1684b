#include "sim/stream.hpp"

#include <xxhash.h>

namespace cobaltshift::sim {

Stream::Stream(std::uint64_t seed, std::string_view name)
    : engine_(seed, XXH3_64bits(name.data(), name.size())) {}

std::uint64_t Stream::below(std::uint64_t n) {
    const std::uint64_t least = -n % n;  // 2^64 mod n
    for (;;)
        if (const std::uint64_t drawn = engine_(); drawn >= least) return drawn % n;
}

}  // namespace cobaltshift::sim
