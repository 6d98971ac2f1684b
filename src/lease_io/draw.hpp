// A number that no other run of any process draws: ids of holders and lives, seeds of pauses. Never 0.
#pragma once

#include <sodium.h>

#include <cstdint>

namespace cobaltshift::lease {

inline std::uint64_t drawn() {
    std::uint64_t value = 0;
    while (value == 0) randombytes_buf(&value, sizeof value);
    return value;
}

}  // namespace cobaltshift::lease
