// One node's whole knowledge of the others (membership): table, failure detector, dissemination and
// anti-entropy put together, as one state machine: messages, ticks and own changes in, datagrams and events
// out. Entry type: Gossip. Called by gossip_io's GossipTransport, and by tests in virtual time. Free of I/O.
//
// Invariants:
// - Only the own node makes records of it; whoever holds a later record of it than its own makes it take a
// higher life.
// - A node told gone comes back only by a later record of its own.
// - Who holds a node alive does not take over from a copy's digest that it is gone: it looks for itself
// (doubt).
// - Own probes, and so the load of a node at rest, don't grow with the fleet.
#pragma once

#include <optional>

#include "failure_detector/failure_detector.hpp"
#include "gossip/broadcast_tree.hpp"
#include "gossip/message.hpp"

namespace cobaltshift::gossip {

using registry::NodeRecord;

struct GossipSettings {
    std::vector<std::uint32_t> seeds;  // ips
    std::uint64_t seed = 0;  // of all that is drawn; differs from node to node and from life to life
    failure_detector::Settings watch;
    Millis knock_first = 250,
           knock_last = 4000;       // pauses between calls to seeds that are not among the living
    Millis sync_pause = 250;        // between comparings begun by us, at least
    Millis gather = 8;              // news on its way goes at once, and then so long after the last
    std::size_t most_answers = 24;  // datagrams in answer to one question
};

struct GossipCounts {
    std::uint64_t syncs = 0, twice = 0, suspected = 0, gone = 0, refuted = 0, lives = 0, refused = 0;
};

class Gossip {
public:
    struct Datagram {
        std::uint32_t to;
        Message message;
    };
    struct Edition {
        std::uint32_t ip;
        std::uint64_t config_edition;
    };
    struct Output {
        std::vector<Datagram> datagrams;
        std::vector<std::uint32_t>
            changed;  // record's content or standing; of this one's own too, if its life rose
        std::vector<Edition> editions;  // newer than ours, as told just now
    };

    // `self`: its seq is 1 and its life is drawn here; both are kept by the Gossip from then on.
    Gossip(const GossipSettings& settings, NodeRecord self);

    void start(Millis now);
    // Of `record` all is taken but ip, life, seq. Changes of call_seq or a warm-up's rest alone are nobody's
    // news.
    void tell(Millis now, const NodeRecord& record);
    // `message` has come from the address that it names.
    void heard(Millis now, const Message& message);
    // It ends: of one that said `leaving` the others then take it at once that it is gone.
    void leave(Millis now);
    void tick(Millis now);
    // When tick() is wanted next; after each call of any other function it may be earlier.
    Millis due() const;
    Output take();

    void reachable(Millis now, std::uint32_t ip);
    void unreachable(Millis now, std::uint32_t ip);

    const NodeRecord& self() const { return registry_.find(own_)->record; }
    const registry::Registry& registry() const { return registry_; }
    // A whole comparing with another node found none that it knows and we don't.
    bool joined() const { return joined_; }
    const GossipCounts& counts() const { return counts_; }
    // Those that this node is linked to, and whether eagerly.
    const std::vector<BroadcastTree::Link>& links() const { return tree_.links(); }

private:
    struct Relay {  // a probe for another
        std::uint32_t number, target, asker, askers_number;
        Millis until;
    };

    Message message(Kind kind) const;
    void send(std::uint32_t to, Message message) { out_.datagrams.push_back({to, std::move(message)}); }
    void send_keys(std::uint32_t to, Kind kind, const std::vector<Key>& keys);
    // As so many messages as are needed, `most` at most.
    void send_records(std::uint32_t to, const std::vector<Key>& keys, std::size_t most);
    void probe(std::uint32_t to, std::uint32_t number);
    void probe_stranger(std::uint32_t to);

    void greet(const Message& message);
    void answer_probe(Millis now, const Message& message);
    void take_ack(Millis now, const Message& message);
    void take_news(Millis now, const Message& message, bool any_new);
    void take_announced(Millis now, const Message& message);
    void answer_ranges(const Message& message);
    void take_summary(Millis now, const Message& message);
    void compare(Millis now, std::uint32_t with);
    void compare_if_due(Millis now, const Message& message);

    // The own node is told of as later than it is.
    bool contested(Millis now, const Key& key);
    void raise(Millis now, std::uint64_t life, std::uint64_t seq);
    enum class Way : std::uint8_t { tree, aside, quiet };  // quiet: nobody is told
    // True: it was new.
    bool take_record(Millis now, const NodeRecord& record, std::uint32_t from, Way way);
    bool take_standing(Millis now, const Key& key, std::uint32_t from);
    void pass(Millis now, std::uint32_t ip, std::uint32_t from, bool by_tree = true);
    void carry_out(Millis now, failure_detector::FailureDetector::Output& out);
    void flush(Millis now);
    void knock(Millis now);
    bool knows_others() const;
    bool seed_away(std::uint32_t ip) const;
    std::uint32_t any_living();

    const GossipSettings settings_;
    const std::uint32_t own_;
    kelplb::Random random_;
    registry::Registry registry_;
    failure_detector::FailureDetector detector_;
    BroadcastTree tree_;
    BroadcastTree::Output news_;  // gathered in this turn
    Output out_;
    std::vector<Relay> relays_;
    GossipCounts counts_;
    Millis now_ = 0;  // of the turn
    bool relink_ = false, joined_ = false;
    Millis knock_at_ = 1e18, knock_pause_ = 0, join_at_ = 1e18, flushed_ = -1e18, compared_ = -1e18,
           changed_at_ = -1e18, forget_at_ = 0;
    Millis asked_gone_ = -1e18;
    std::size_t next_seed_ = 0;
    std::uint32_t question_ = 0;
    std::uint64_t parts_ = 0;  // of the summary that is awaited: those that came
    bool unknown_seen_ = false, differed_ = false;
};

}  // namespace cobaltshift::gossip
