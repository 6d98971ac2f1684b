// Random 64-bit number from the system's generator, used for ids of holders and replica incarnations and for
// seeds. Practically unique; never 0. libsodium must be initialised.
#pragma once

#include <sodium.h>

#include <cstdint>

namespace cobaltshift::lease {

inline std::uint64_t random_id() {
    std::uint64_t value = 0;
    while (value == 0) randombytes_buf(&value, sizeof value);
    return value;
}

}  // namespace cobaltshift::lease
