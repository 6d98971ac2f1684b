// Settings of shared probing; docs/operate/probing.md.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <vector>

#include "probing/prober.hpp"

namespace cobaltshift::probing {

// [probing]: the same at all that share it, but for `number` and `listen`.
struct ProbingSettings {
    std::vector<boost::asio::ip::udp::endpoint> instances;  // their order gives their numbers; none: off
    boost::asio::ip::udp::endpoint listen;                  // else this one's own among them
    Millis length = 2000;                                   // of the right to a shard
    ProberSettings core;                                    // `instances` follows from the above
    bool operator==(const ProbingSettings&) const = default;
};

}  // namespace cobaltshift::probing
