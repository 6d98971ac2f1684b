// Messages between nodes, one per datagram, and their binary encoding (cereal). Entries: encode(), decode().
// Used by Gossip, gossip_io::GossipTransport and tests. Free of I/O.
//
// Encoding: magic number, format, kind, the Sender, then the fields of the kind. decode() accepts arbitrary
// bytes: lengths are checked before memory is allocated for them, and trailing bytes make a datagram invalid.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "registry/registry.hpp"

namespace cobaltshift::gossip {

constexpr std::size_t kMaxDatagramBytes = 1200;
constexpr std::size_t kMaxTextBytes = 120;  // of a text field; a longer one is truncated

// The values are part of the wire format.
enum class Kind : std::uint8_t {
    probe,           // to be answered with an ack; `target`: the receiver, as the sender knows it
    ack,             // answers the probe of the same number; `target`: the node that was probed
    indirect_probe,  // asks the receiver to probe `target`
    push,            // records and states, sent over the tree's eager links
    announce,        // keys of updates that the sender has, over the tree's other links
    graft,           // asks for the updates of these keys, and makes the link eager
    prune,           // the receiver's push was a duplicate: from now on it is only to announce
    range_digests,   // digests of the sender's ranges, to be answered with a summary of those that differ
    summary,         // keys of all nodes in the ranges of `complete_ranges`
    request,         // asks for the records of these keys' nodes
    records,         // as requested, or because the receiver seems to lack them
    verify,          // these nodes are gone for the sender: the receiver is to check, or refute it
};
constexpr std::uint8_t kKindCount = 12;

// The sender's version and table digest, in every message, so that a receiver that is behind notices.
struct Sender {
    std::uint32_t ip = 0;
    std::uint64_t incarnation = 0, seq = 0, config_edition = 0, digest = 0;
};

struct Message {
    Kind kind = Kind::probe;
    Sender from;
    std::uint32_t number = 0;           // of the probe, or of the comparison (range_digests, summary)
    registry::Key target;               // probe, ack, indirect_probe
    std::uint64_t complete_ranges = 0;  // summary: bit mask of the ranges whose keys are all in this part
    std::uint8_t part = 0, parts = 0;   // summary: index of this part, and how many there are
    bool sender_is_new = false;         // range_digests: the sender knows hardly any nodes
    std::array<std::uint32_t, registry::kRanges> ranges{};
    std::vector<registry::Key> keys;
    std::vector<registry::NodeRecord> records;
};

std::string encode(const Message& message);
// None if the bytes are no message of this format or are truncated or invalid.
std::optional<Message> decode(std::string_view bytes);

// This many keys always fit into one message.
constexpr std::size_t kMaxKeysPerMessage = 48;
// An upper bound of the record's encoded size. The bounds of all records in a message may add up to
// kMaxRecordBytes.
std::size_t max_encoded_bytes(const registry::NodeRecord& record);
constexpr std::size_t kMaxRecordBytes = 1050;

}  // namespace cobaltshift::gossip
