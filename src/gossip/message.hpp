// What nodes say to one another, a datagram each: typed, and in bytes (cereal). Entry: encode(), decode().
// Called by gossip_io's GossipTransport and by tests. Free of I/O.
//
// In bytes: magic, format, kind, the sender's Hello, then what the kind has. decode() takes any bytes:
// lengths are checked before anything is allocated for them, and what is left over at the end makes it none
// of ours.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "registry/registry.hpp"

namespace cobaltshift::gossip {

constexpr std::size_t kMostBytes = 1200;  // of a datagram
constexpr std::size_t kMostText = 120;    // of a name; a longer one is cut off

enum class Kind : std::uint8_t {
    probe,      // answer with ack; `target`: you, as we know you
    ack,        // to a probe with this number, by `target`
    ask_probe,  // probe `target` for us
    news,       // records and standings, eagerly down the tree
    announce,   // keys of news, for those who get it by another branch
    graft,      // send me these keys, and from now on all
    prune,      // I have it already: only announce
    ranges,     // digests of my ranges: answer with a summary of those that differ
    summary,    // keys of all nodes in the ranges of `mask`
    want,       // records of these keys' nodes, please
    records,    // as wanted, or because you seem not to have them
    doubt,      // we think that these are gone: see for yourself
};
constexpr std::uint8_t kKinds = 12;

// Of the sender, in each message: whoever is behind sees it.
struct Hello {
    std::uint32_t ip = 0;
    std::uint64_t life = 0, seq = 0, config_edition = 0, digest = 0;
};

struct Message {
    Kind kind = Kind::probe;
    Hello from;
    std::uint32_t number = 0;          // probe, ack, ask_probe; of the question in ranges and summary
    registry::Key target;              // probe, ack, ask_probe
    std::uint64_t mask = 0;            // summary: ranges that this part holds wholly
    std::uint8_t part = 0, parts = 0;  // summary
    bool fresh = false;                // ranges: I know hardly anybody
    std::array<std::uint32_t, registry::kRanges> ranges{};
    std::vector<registry::Key> keys;
    std::vector<registry::NodeRecord> records;
};

std::string encode(const Message& message);
// None: not one of ours, torn, or of another format.
std::optional<Message> decode(std::string_view bytes);

// How many go into one message with certainty.
constexpr std::size_t kMostKeys = 48;
// The bytes that this record takes in a message at most; all records of one together kRoom at most.
std::size_t bytes_of(const registry::NodeRecord& record);
constexpr std::size_t kRoom = 1050;

}  // namespace cobaltshift::gossip
