// Cluster membership as seen by one node: the membership table, failure detector, dissemination tree and
// anti-entropy combined into one state machine. Messages, ticks and changes of the node's own record go in,
// datagrams and events come out. Entry type: Gossip. Driven by gossip_io::GossipTransport over UDP, and in
// virtual time by tests and the simulator. Free of I/O; not thread-safe.
//
// Invariants:
// - Only a node itself creates its records. If others hold a later record of it than its own, for example
//   from before a restart, it takes a higher incarnation.
// - A node that was reported gone comes back only by a later record of its own.
// - A restarted node replaces its former record only after it has received it, or has asked for it in vain.
// - A node that holds another alive does not adopt from a table comparison that it is gone: it probes
//   (verify).
// - The rate of a node's probes, and so the load of an idle node, does not grow with the cluster.
#pragma once

#include <optional>

#include "failure_detector/failure_detector.hpp"
#include "gossip/broadcast_tree.hpp"
#include "gossip/message.hpp"

namespace cobaltshift::gossip {

using registry::NodeRecord;

struct GossipSettings {
    std::vector<std::uint32_t> seeds;  // IPs
    std::uint64_t seed = 0;  // of the random numbers; must differ between nodes and between restarts
    // A process may have run at this address before. It then starts with the lowest incarnation, so that the
    // others send it their record of the former process before they replace it.
    bool restarted = false;
    failure_detector::Settings detector;
    // Between probes of seeds that are not among the live nodes. The delay grows from the lower to the upper
    // bound while no other node is known, and is the upper bound otherwise.
    Millis seed_probe_delay_min = 250, seed_probe_delay_max = 4000;
    Millis comparison_interval = 250;  // at least, between table comparisons that this node starts
    Millis push_delay = 8;             // between pushes: the first is sent at once, later updates are batched
    std::size_t max_reply_datagrams = 24;  // in reply to one message
};

struct GossipCounts {
    std::uint64_t comparisons = 0, duplicates = 0, suspected = 0, gone = 0, refuted = 0,
                  incarnations_raised = 0, records_refused = 0;
};

class Gossip {
public:
    struct Datagram {
        std::uint32_t to;
        Message message;
    };
    struct NodeEdition {
        std::uint32_t ip;
        std::uint64_t config_edition;
    };
    struct Output {
        std::vector<Datagram> datagrams;
        // IPs of the nodes whose record content or state changed; of this node if its incarnation was raised.
        std::vector<std::uint32_t> changed;
        std::vector<NodeEdition> editions;  // nodes that reported a newer configuration than this node's
    };

    // The seq and incarnation in `self` are ignored: seq starts at 1, the incarnation at a random number.
    Gossip(const GossipSettings& settings, NodeRecord self);

    void start(Millis now);
    // Updates this node's own record; ip, incarnation and seq of `record` are ignored. Nothing is sent if
    // only call_seq or the remaining warm-up differs.
    void update_self(Millis now, const NodeRecord& record);
    // Handles a received message. The caller has checked that it came from the IP that it names.
    void on_message(Millis now, const Message& message);
    // Announces that this node shuts down. If its record says `leaving`, the others mark it gone at once.
    void leave(Millis now);
    void tick(Millis now);
    // When to call tick() next. Any call of another function may make it earlier.
    Millis due() const;
    // The output collected so far.
    Output take_output();

    // Hints from other connections: the node has just answered, or failed to.
    void reachable(Millis now, std::uint32_t ip);
    void unreachable(Millis now, std::uint32_t ip);

    const NodeRecord& self() const { return registry_.find(own_ip_)->record; }
    const registry::Registry& registry() const { return registry_; }
    // A complete table comparison found no node that this one does not know. Never false again.
    bool joined() const { return joined_; }
    // Whether it is settled what the others hold of the process that ran here before: they have sent its
    // record, or hold none. Never false again.
    bool former_self_settled() const;
    // That record; none: nobody has sent one.
    const std::optional<NodeRecord>& former_self() const { return former_self_; }
    const GossipCounts& counts() const { return counts_; }
    // This node's links in the broadcast tree.
    const std::vector<BroadcastTree::Link>& links() const { return tree_.links(); }

private:
    struct Relay {  // an indirect probe sent for `asker`
        std::uint32_t number, target, asker, asker_number;
        Millis until;
    };

    Message message(Kind kind) const;
    void send(std::uint32_t to, Message message) { out_.datagrams.push_back({to, std::move(message)}); }
    void send_keys(std::uint32_t to, Kind kind, const std::vector<Key>& keys);
    // Sends the records of these keys' nodes in at most `max_messages` messages. Nodes that are gone are sent
    // as keys to verify instead, except to the node itself.
    void send_records(std::uint32_t to, const std::vector<Key>& keys, std::size_t max_messages);
    void probe(std::uint32_t to, std::uint32_t number);
    void probe_stranger(std::uint32_t to);

    void check_sender(const Message& message);
    void handle_probe(Millis now, const Message& message);
    void handle_ack(Millis now, const Message& message);
    void handle_push(Millis now, const Message& message, bool any_new);
    void handle_announce(Millis now, const Message& message);
    void handle_range_digests(const Message& message);
    void handle_summary(Millis now, const Message& message);
    void compare(Millis now, std::uint32_t peer);
    void compare_if_due(Millis now, const Message& message);

    // True if the key is of this node. If it is newer than the own record, or calls this node suspect or
    // gone, the claim is refuted by a new version of the record. `from`: who sent it.
    bool check_own_key(Millis now, const Key& key, std::uint32_t from);
    bool awaits_former_self() const;
    void raise_version(Millis now, std::uint64_t incarnation, std::uint64_t seq);
    enum class Via : std::uint8_t { tree, outside_tree, initial_sync };  // how a record arrived
    // True if the record was new. Records of the initial synchronisation are not forwarded.
    bool apply_record(Millis now, const NodeRecord& record, std::uint32_t from, Via via);
    bool apply_state(Millis now, const Key& key, std::uint32_t from);
    void forward(Millis now, std::uint32_t ip, std::uint32_t from, bool by_tree = true);
    void apply_detector_output(Millis now, failure_detector::FailureDetector::Output& out);
    void send_updates(Millis now);
    void probe_seeds(Millis now);
    bool knows_live_nodes() const;
    bool is_lost_seed(std::uint32_t ip) const;
    std::uint32_t random_live_node();

    const GossipSettings settings_;
    const std::uint32_t own_ip_;
    kelplb::Random random_;
    registry::Registry registry_;
    failure_detector::FailureDetector detector_;
    BroadcastTree tree_;
    BroadcastTree::Output updates_;  // collected until send_updates()
    Output out_;
    std::vector<Relay> relays_;
    GossipCounts counts_;
    Millis now_ = 0;  // of the current call
    bool links_outdated_ = false, joined_ = false;
    std::optional<NodeRecord> former_self_;
    std::optional<Millis> former_self_requested_at_;  // since when somebody is known to hold it
    Millis next_seed_probe_at_ = 1e18, seed_probe_delay_ = 0, next_join_at_ = 1e18, last_push_at_ = -1e18,
           last_comparison_at_ = -1e18, last_change_at_ = -1e18, next_purge_at_ = 0;
    Millis last_gone_probe_at_ = -1e18;
    std::size_t next_seed_ = 0;
    std::uint32_t comparison_number_ = 0;
    std::uint64_t received_parts_ = 0;  // bit mask of the awaited summary's parts
    bool missing_node_seen_ = false, digest_differed_ = false;
};

}  // namespace cobaltshift::gossip
