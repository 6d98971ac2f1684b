// What the holder of a shard tells the others: protozero, sealed. Whoever sends it over a network that holds
// strangers adds a code (probing_io).
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "probing/prober.hpp"

namespace cobaltshift::probing {

struct Told {
    struct Result {
        ServerId server = 0;
        std::uint64_t number = 0;  // of the probe, under this fence; grows
        bool good = true;
        Millis age = 0;  // since it went out, when this was sent
    };
    std::uint32_t shard = 0, shards = 0;
    Fence fence = 0;
    std::uint64_t sequence = 0;  // grows with each message under this fence
    std::vector<Result> results;
};

// Results that surely go into kMaxMessage bytes with all else.
constexpr std::size_t kMostResults = 40;
constexpr Millis kOldest = 7.2e6;  // the age of a result, at most

std::string encode(const Told& told);
// None: not one of these; `why` then says what is wrong.
std::optional<Told> decode(std::string_view bytes, std::string& why);

}  // namespace cobaltshift::probing
