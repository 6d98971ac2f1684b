// The table of all nodes that one node knows (the registry: registry of servers and proxies), and digests
// over it by which two copies find where they differ (anti-entropy over hash ranges, a Merkle tree of two
// levels: Demers et al. 1987). Entry type: Registry. Called by gossip's Gossip. Free of I/O.
//
// Invariants:
// - Of a node the record of the highest (life, seq) is held; an older one changes nothing.
// - The digest is over (ip, life, seq) of all entries that are not gone, the own one with them.
// - Never more than kMostNodes entries: the one that is gone longest makes room, else the new one is refused.
#pragma once

#include <array>
#include <cstddef>
#include <vector>

#include "registry/records.hpp"

namespace cobaltshift::registry {

constexpr std::size_t kMostNodes = 4096, kRanges = 64;
constexpr Millis kGoneKept = 60'000;

// What a piece of news is about, and what it is ordered by among those of the same ip.
struct Key {
    std::uint32_t ip = 0;
    std::uint64_t life = 0, seq = 0;
    Standing standing = Standing::alive;
    bool operator==(const Key&) const = default;
};
// Whether a is of a later (life, seq) than b.
template <class A, class B>
bool newer(const A& a, const B& b) {
    return a.life != b.life ? a.life > b.life : a.seq > b.seq;
}
template <class A, class B>
bool same_age(const A& a, const B& b) {
    return a.life == b.life && a.seq == b.seq;
}

struct Entry {
    NodeRecord record;
    Standing standing = Standing::alive;
    Millis heard = 0;    // when the record came; warm-up counts from here
    Millis gone_at = 0;  // while gone
    Key key() const { return {record.ip, record.life, record.seq, standing}; }
};

class Registry {
public:
    enum class Taken { refused, older, same, newer };
    struct Merge {
        Taken taken = Taken::refused;
        bool changed = false;  // more than seq, call_seq or warm-up, or the standing did
    };

    // A node of `newer` record is alive.
    Merge take(Millis now, const NodeRecord& record);
    // False: not known, or so already.
    bool stand(Millis now, std::uint32_t ip, Standing standing);
    // Gone, as told with a (life, seq) that may be newer than the record held. Else as stand().
    bool bury(Millis now, const Key& key);
    void drop(std::uint32_t ip);
    // Entries that are gone for kGoneKept; `now` and then.
    std::vector<std::uint32_t> forget(Millis now);

    const Entry* find(std::uint32_t ip) const;
    // By ip.
    const std::vector<Entry>& entries() const { return entries_; }
    // As it is to be handed on now.
    static NodeRecord handed_on(Millis now, const Entry& entry);

    std::uint64_t digest() const { return digest_; }
    const std::array<std::uint32_t, kRanges>& ranges() const { return ranges_; }
    static std::size_t range_of(std::uint32_t ip);

private:
    std::vector<Entry>::iterator at(std::uint32_t ip);
    void fold(const Entry& entry);  // in, and out again
    bool make_room();

    std::vector<Entry> entries_;
    std::array<std::uint32_t, kRanges> ranges_{};
    std::uint64_t digest_ = 0;
};

// Whether they differ in what a reader acts on: not in life's or record's number, call_seq, or what is left
// of a warm-up that both have or both have not.
bool same_content(const NodeRecord& a, const NodeRecord& b);

}  // namespace cobaltshift::registry
