// The way of news through the fleet (the gossip: a dissemination tree, Plumtree, Leitao et al. 2007).
// Entry type: BroadcastTree, of one node; called by Gossip, which owns the records. Free of I/O.
//
// Its neighbours are those before and after it on three rings of all nodes: one by zone, two by hash, so that
// all work out the same links from the same table without a message, the degree is six at most, and the union
// is an expander (few hops). GossipTransport goes eagerly over some links and is announced on the others. Who
// gets it twice prunes the link; who has it announced and does not get it grafts the link back. All links are
// eager at first, so the first news makes the tree.
//
// Invariant: what was announced and has not come is asked for until it came or all who announced it were
// asked.
#pragma once

#include <vector>

#include "registry/registry.hpp"

namespace cobaltshift::gossip {

using registry::Key;
using registry::Millis;

constexpr Millis kAnnounceAfter = 25;  // announcements are gathered this long
constexpr Millis kGraftAfter = 70;     // what was announced may come by itself this long
constexpr Millis kCalm = 40;           // without other news
constexpr std::size_t kMostMissing = 256, kMostAside = 64;

// Those that a node of this zone and ip is linked to.
std::vector<std::uint32_t> neighbours_of(const registry::NodeRecord& self,
                                         const registry::Registry& registry);

class BroadcastTree {
public:
    struct Keys {
        std::uint32_t to;
        std::vector<Key> keys;
    };
    struct Output {
        std::vector<Keys> pushes, announces, grafts;
    };

    // The links from now on; marks of those that stay are kept.
    void link(const std::vector<std::uint32_t>& neighbours);
    // GossipTransport that we have: to all but `from` (0: it is our own). Not by the tree: it came by another
    // way (probes, copies compared) and is only announced, as the tree may be about to bring it, and must not
    // be pruned for that.
    void pass(Millis now, const Key& key, std::uint32_t from, bool by_tree, Output& out);
    // `from` sent what we had. True: it is to be told to prune (each time, as that may get lost). Only where
    // that is no more than a second way: not if the first copy came aside of the tree, nor while other news
    // is on its way, as links pruned for different news at once leave parts without any.
    bool twice(Millis now, std::uint32_t from, const std::vector<Key>& keys);
    void pruned(std::uint32_t by) { mark(by, false); }
    void grafted(std::uint32_t by) { mark(by, true); }
    // We don't have `key`, and `from` does.
    void announced(Millis now, std::uint32_t from, const Key& key);
    // GossipTransport of this node that is as new has come, by whichever way.
    void came(const Key& key);

    void tick(Millis now, Output& out);
    Millis due() const;

    struct Link {
        std::uint32_t ip;
        bool eager;
        std::vector<Key> waiting;  // to be announced
    };
    const std::vector<Link>& links() const { return links_; }

private:
    struct Missing {
        Key key;
        std::vector<std::uint32_t> by;  // who announced it and was not asked yet
        Millis at;                      // to ask
    };
    Link* find(std::uint32_t ip);
    void mark(std::uint32_t ip, bool eager);

    std::vector<Link> links_;
    std::vector<Missing> missing_;
    std::vector<Key> aside_;  // the last that came by another way than the tree
    std::size_t next_aside_ = 0;
    std::uint32_t last_ip_ = 0;                  // whom the last news was of
    Millis last_at_ = -1e18, other_at_ = -1e18;  // of it; of the last before it that was of another
    Millis announce_at_ = 1e18;
};

}  // namespace cobaltshift::gossip
