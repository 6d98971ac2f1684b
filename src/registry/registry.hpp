// The membership table: all nodes that one node knows, with digests from which two tables find out where they
// differ (anti-entropy, Demers et al. 1987; a two-level Merkle tree over hash ranges of the IPs). Entry type:
// Registry. Used by gossip::Gossip; read by the proxy and the control node. Free of I/O; not thread-safe.
//
// Invariants:
// - Of each node the record with the highest (incarnation, seq) is kept; older ones change nothing.
// - The digest covers (ip, incarnation, seq) of every entry that is not gone, this node's own included.
// - There are never more than kMaxNodes entries: a new one evicts the entry that has been gone longest, and
//   is refused if none is gone.
#pragma once

#include <array>
#include <cstddef>
#include <vector>

#include "registry/records.hpp"

namespace cobaltshift::registry {

constexpr std::size_t kMaxNodes = 4096, kRanges = 64;
constexpr Millis kGoneRetentionMs = 60'000;

// Identifies a version of a node's record, with the state reported for it. Versions of one IP are ordered by
// (incarnation, seq).
struct Key {
    std::uint32_t ip = 0;
    std::uint64_t incarnation = 0, seq = 0;
    MemberState state = MemberState::alive;
    bool operator==(const Key&) const = default;
};
// Whether a has a higher (incarnation, seq) than b.
template <class A, class B>
bool newer(const A& a, const B& b) {
    return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.seq > b.seq;
}
template <class A, class B>
bool same_version(const A& a, const B& b) {
    return a.incarnation == b.incarnation && a.seq == b.seq;
}

struct Entry {
    NodeRecord record;
    MemberState state = MemberState::alive;
    Millis received_at = 0;  // the record; its warm-up counts down from here
    Millis gone_at = 0;      // while gone: since when
    Key key() const { return {record.ip, record.incarnation, record.seq, state}; }
};

class Registry {
public:
    enum class MergeOutcome { refused, older, same, newer };
    struct MergeResult {
        MergeOutcome outcome = MergeOutcome::refused;
        bool changed = false;  // the state, the incarnation or what same_content() compares
    };

    // Stores the record if it is newer than the one held; its node is then alive. Refused: the table is full.
    MergeResult merge(Millis now, const NodeRecord& record);
    // False if the node is unknown or already in this state.
    bool set_state(Millis now, std::uint32_t ip, MemberState state);
    // Marks a node gone, as of a (incarnation, seq) that may be newer than the record held: then only a
    // record newer than that brings it back. Returns as set_state().
    bool mark_gone(Millis now, const Key& key);
    void remove(std::uint32_t ip);
    // Removes the entries that have been gone for kGoneRetentionMs and returns their IPs. Called
    // periodically.
    std::vector<std::uint32_t> purge_gone(Millis now);

    const Entry* find(std::uint32_t ip) const;
    // Sorted by IP.
    const std::vector<Entry>& entries() const { return entries_; }
    // The entry's record with its remaining warm-up as of now, as it is sent to others.
    static NodeRecord current_record(Millis now, const Entry& entry);

    std::uint64_t digest() const { return digest_; }
    const std::array<std::uint32_t, kRanges>& ranges() const { return ranges_; }
    static std::size_t range_of(std::uint32_t ip);

private:
    std::vector<Entry>::iterator at(std::uint32_t ip);
    void toggle_in_digest(const Entry& entry);  // adds it or, the second time, removes it
    bool evict_if_full();

    std::vector<Entry> entries_;
    std::array<std::uint32_t, kRanges> ranges_{};
    std::uint64_t digest_ = 0;
};

// Whether the records are equal in what their readers act on. Ignores incarnation, seq, call_seq and, if both
// servers are warming up, how much of their warm-ups is left.
bool same_content(const NodeRecord& a, const NodeRecord& b);

}  // namespace cobaltshift::registry
