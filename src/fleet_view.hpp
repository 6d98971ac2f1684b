// What other sidecars have out at each server, as they last said, and the messages that say it. It only
// narrows or orders what the balancer would do by itself. Free of I/O, time is passed in.
//
// A message: kTag, the tenants' rates a byte each (as many as there are tenants), then for each server with
// something out the lower half of its id and the number, three bytes; the number that failed there of late
// goes under the id with all bits turned, which says nothing to those who don't know of it. Lost ones leave
// the last in force until it is too old. Any that don't fit this form are dropped whole.
// Where that is shorter, as it is for a light sidecar with one attempt at each of its servers, the tag is
// kTagEach and each attempt is its server's two bytes: what telling costs grows with the square of the fleet.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "shares.hpp"

namespace kelplb {

class FleetView {
public:
    static constexpr std::uint8_t kTag = 0xF1, kTagEach = 0xF2;
    static constexpr std::size_t kLongest = 256;  // of a datagram between sidecars

    struct Out {
        ServerId server = 0;
        int out = 0;
        int failed = 0;  // of late
    };
    // The servers with most out first, as many as fit.
    static std::vector<std::uint8_t> say(Millis now, const Shares& shares, std::vector<Out> out);
    // Whether the bytes were such a message.
    bool hear(Millis now, std::uint32_t from, const std::vector<std::uint8_t>& bytes, Shares& shares);
    // Forgets what was said too long ago; to be called as time goes on, before asking.
    void pass(Millis now);
    // Attempts out at the server from others. One look-up, however many others there are.
    int elsewhere(ServerId server) const { return sum(brief(server)); }
    // What others have seen fail there of late.
    int failed(ServerId server) const { return sum(turned(server)); }

private:
    struct Said {
        Millis at = 0;
        std::vector<std::pair<std::uint16_t, int>> out;
    };
    static std::uint16_t brief(ServerId id) { return static_cast<std::uint16_t>(id); }
    static std::uint16_t turned(ServerId id) { return static_cast<std::uint16_t>(~id); }
    int sum(std::uint16_t id) const;
    void take_back(Said& said);

    std::map<std::uint32_t, Said> peers_;
    std::unordered_map<std::uint16_t, int> sums_;  // over peers_; no entry is 0
    Millis oldest_ = 0;                            // no peer's word is older
};

}  // namespace kelplb
