// Dissemination of membership updates: Plumtree (epidemic broadcast trees, Leitao et al. 2007). Entry type:
// BroadcastTree, one per node. Used by Gossip, which owns the records. Free of I/O; not thread-safe.
//
// A node's neighbours are those before and after it on three rings of all nodes: one is ordered by zone, two
// by hash. All nodes compute the same links from the same membership table without exchanging messages, the
// degree is at most six, and the union of the rings is an expander graph, so paths are short. Updates are
// pushed over eager links and announced over the others. A node that receives an update twice prunes the link
// of the second copy; a node that gets an update announced but not pushed grafts the link back. All links
// start eager; the first updates form the tree.
//
// Invariant: an announced update that has not arrived is requested until it arrives or every node that
// announced it has been asked.
#pragma once

#include <vector>

#include "registry/registry.hpp"

namespace cobaltshift::gossip {

using registry::Key;
using registry::Millis;

constexpr Millis kAnnounceDelayMs = 25;  // announcements are batched this long
constexpr Millis kGraftTimeoutMs = 70;   // an announced update may arrive by itself within this time
constexpr Millis kQuietPeriodMs = 40;    // without updates of other nodes, before links are pruned
constexpr std::size_t kMaxMissing = 256, kMaxOffTree = 64;

// The IPs of the nodes that `self` is linked to; nodes that are gone are left out.
std::vector<std::uint32_t> neighbours_of(const registry::NodeRecord& self,
                                         const registry::Registry& registry);

class BroadcastTree {
public:
    struct KeyBatch {
        std::uint32_t to;
        std::vector<Key> keys;
    };
    struct Output {
        std::vector<KeyBatch> pushes, announces, grafts;
    };

    // Replaces the set of links; links that remain keep their eager flag.
    void set_neighbours(const std::vector<std::uint32_t>& neighbours);
    // Forwards an update that this node holds to all neighbours but `from` (0: this node's own update). With
    // `by_tree` false it came by another way (probes, table comparisons) and is only announced: the tree may
    // be about to deliver it, and its link must not be pruned for that.
    void forward(Millis now, const Key& key, std::uint32_t from, bool by_tree, Output& out);
    // `from` pushed only updates that this node already has. Returns whether to send it a prune; this is
    // repeated for each duplicate, as a prune may get lost. True only if the link is redundant: not if the
    // first copy arrived outside the tree, nor while updates of other nodes are under way, because links
    // pruned for different updates at the same time could disconnect part of the tree.
    bool on_duplicate(Millis now, std::uint32_t from, const std::vector<Key>& keys);
    void on_prune(std::uint32_t by) { set_eager(by, false); }
    void on_graft(std::uint32_t by) { set_eager(by, true); }
    // `from` has `key`, which this node lacks.
    void on_announce(Millis now, std::uint32_t from, const Key& key);
    // An update of the node of `key`, at least as new as it, has arrived in any way.
    void on_received(const Key& key);

    void tick(Millis now, Output& out);
    Millis due() const;

    struct Link {
        std::uint32_t ip;
        bool eager;
        std::vector<Key> pending_announcements;
    };
    const std::vector<Link>& links() const { return links_; }

private:
    struct Missing {
        Key key;
        std::vector<std::uint32_t> announcers;  // not asked yet
        Millis next_graft_at;
    };
    Link* find(std::uint32_t ip);
    void set_eager(std::uint32_t ip, bool eager);

    std::vector<Link> links_;
    std::vector<Missing> missing_;
    std::vector<Key> recent_off_tree_;  // ring buffer of the updates that last arrived outside the tree
    std::size_t next_off_tree_ = 0;
    std::uint32_t last_subject_ = 0;  // the node that the last update is about
    // When the last update arrived, and the last one before it that was about another node.
    Millis last_received_at_ = -1e18, previous_subject_at_ = -1e18;
    Millis announce_at_ = 1e18;
};

}  // namespace cobaltshift::gossip
