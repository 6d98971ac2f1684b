// A simulated network in virtual time for tests of Gossip: loss, delay, partitions in either direction,
// freezes, kills and restarts, all from one seed. Datagrams are carried as bytes, through encode() and
// decode().
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gossip/gossip.hpp"

namespace cobaltshift::test {

using gossip::Gossip;
using gossip::Message;
using registry::MemberState;
using registry::Millis;
using registry::NodeRecord;

class GossipWorld {
public:
    struct Node {
        std::unique_ptr<Gossip> gossip;  // null: not running
        NodeRecord record;               // at its start
        bool frozen = false;
        std::vector<std::string> queued;  // datagrams that arrived while frozen
        std::uint64_t sent = 0, bytes = 0, starts = 0, wakes = 0;
    };

    GossipWorld(std::size_t nodes, std::uint64_t seed, double loss = 0) : loss(loss), random_(seed) {
        for (std::size_t i = 0; i < nodes; ++i) {
            NodeRecord record;
            record.ip = ip_of(i);
            record.zone = "zone-" + std::to_string(i % 3);
            record.role = i < 3 ? registry::NodeRole::control_node : registry::NodeRole::proxy;
            record.traffic_port = 8624;
            if (i >= 3) record.server = registry::ServerRecord{"i-7f3a91c2", "huvo11a", "v1", 8080, 18};
            this->nodes.push_back({nullptr, record, false, {}, 0, 0, 0, 0});
        }
    }

    static std::uint32_t ip_of(std::size_t i) { return 0x0a010001 + static_cast<std::uint32_t>(i) * 7; }
    std::size_t index_of(std::uint32_t ip) const { return (ip - 0x0a010001) / 7; }

    void start(std::size_t i) {
        gossip::GossipSettings settings;
        for (std::size_t seed = 0; seed < std::min<std::size_t>(3, nodes.size()); ++seed)
            if (seed != i) settings.seeds.push_back(ip_of(seed));
        settings.seed = 1 + random_.below(std::size_t{1} << 60);
        settings.restarted = nodes[i].starts > 0;
        nodes[i].gossip = std::make_unique<Gossip>(settings, nodes[i].record);
        nodes[i].queued.clear();
        nodes[i].frozen = false;
        ++nodes[i].starts;
        nodes[i].gossip->start(now);
        process_output(i);
    }
    void start_all() {
        for (std::size_t i = 0; i < nodes.size(); ++i) start(i);
    }
    void kill(std::size_t i) {
        nodes[i].gossip.reset();
        nodes[i].queued.clear();
    }
    void leave(std::size_t i) {
        nodes[i].gossip->leave(now);
        process_output(i);
        kill(i);
    }
    void reachable(std::size_t i, std::size_t other) {
        nodes[i].gossip->reachable(now, ip_of(other));
        process_output(i);
    }
    void receive(std::size_t i, const Message& message) {
        nodes[i].gossip->on_message(now, message);
        process_output(i);
    }
    void freeze(std::size_t i) { nodes[i].frozen = true; }
    void thaw(std::size_t i) {
        nodes[i].frozen = false;
        for (const auto& bytes : std::exchange(nodes[i].queued, {})) deliver(i, bytes);
        if (nodes[i].gossip) nodes[i].gossip->tick(now), process_output(i);
    }
    void update(std::size_t i, auto change) {
        NodeRecord record = nodes[i].gossip->self();
        change(record);
        nodes[i].gossip->update_self(now, record);
        process_output(i);
    }
    // Drops datagrams from a to b while `cut`.
    void cut(std::size_t a, std::size_t b, bool cut) {
        cut ? (void)cuts_.insert({a, b}) : (void)cuts_.erase({a, b});
    }
    template <class InFirst>
    void partition(InFirst in_first, bool on, bool both = true) {
        for (std::size_t a = 0; a < nodes.size(); ++a)
            for (std::size_t b = 0; b < nodes.size(); ++b)
                if (in_first(a) && !in_first(b)) {
                    cut(a, b, on);
                    if (both) cut(b, a, on);
                }
    }

    void run(Millis until) {
        run_until(until, [] { return false; });
    }
    // When the condition first held; none if not by `until`. It is checked every 10 ms.
    template <class Condition>
    std::optional<Millis> run_until(Millis until, Condition condition) {
        for (Millis next_check = now; now <= until;) {
            if (now >= next_check) {
                if (condition()) return now;
                next_check = now + 10;
            }
            Millis next = std::min(until, next_check);
            for (const Node& node : nodes)
                if (node.gossip && !node.frozen) next = std::min(next, node.gossip->due());
            if (!in_flight_.empty()) next = std::min(next, in_flight_.top().at);
            if (next >= until) {
                now = until;
                if (condition()) return now;
                return std::nullopt;
            }
            now = std::max(now, next);
            while (!in_flight_.empty() && in_flight_.top().at <= now) {
                const InFlight datagram = in_flight_.top();
                in_flight_.pop();
                deliver(datagram.to, datagram.bytes);
            }
            for (std::size_t i = 0; i < nodes.size(); ++i)
                if (nodes[i].gossip && !nodes[i].frozen && nodes[i].gossip->due() <= now) {
                    ++nodes[i].wakes;
                    nodes[i].gossip->tick(now);
                    process_output(i);
                }
        }
        return std::nullopt;
    }

    MemberState state(std::size_t at, std::size_t of) const {
        const auto* entry = nodes[at].gossip->registry().find(ip_of(of));
        return entry ? entry->state : MemberState::gone;
    }
    bool running(std::size_t i) const { return nodes[i].gossip && !nodes[i].frozen; }
    // Whether all running nodes see all running nodes alive, with their newest records, and all others gone.
    bool converged() const {
        std::optional<std::uint64_t> digest;  // a cheap test first
        for (std::size_t a = 0; a < nodes.size(); ++a)
            if (running(a) &&
                digest.value_or(nodes[a].gossip->registry().digest()) != nodes[a].gossip->registry().digest())
                return false;
            else if (running(a))
                digest = nodes[a].gossip->registry().digest();
        for (std::size_t a = 0; a < nodes.size(); ++a) {
            if (!running(a)) continue;
            for (std::size_t b = 0; b < nodes.size(); ++b) {
                const auto* entry = nodes[a].gossip->registry().find(ip_of(b));
                if (!running(b)) {
                    if (entry && entry->state != MemberState::gone) return false;
                } else if (!entry || entry->state != MemberState::alive ||
                           !registry::same_version(entry->record, nodes[b].gossip->self())) {
                    return false;
                }
            }
        }
        return true;
    }
    // Whether all running nodes hold the node's newest record.
    bool all_current(std::size_t of) const {
        for (std::size_t a = 0; a < nodes.size(); ++a) {
            if (!running(a)) continue;
            const auto* entry = nodes[a].gossip->registry().find(ip_of(of));
            if (!entry || !registry::same_version(entry->record, nodes[of].gossip->self())) return false;
        }
        return true;
    }
    bool all_see(std::size_t of, MemberState state) const {
        for (std::size_t a = 0; a < nodes.size(); ++a)
            if (running(a) && a != of && this->state(a, of) != state) return false;
        return true;
    }
    std::uint64_t sent() const {
        std::uint64_t total = 0;
        for (const Node& node : nodes) total += node.sent;
        return total;
    }
    std::uint64_t bytes() const {
        std::uint64_t total = 0;
        for (const Node& node : nodes) total += node.bytes;
        return total;
    }
    std::uint64_t wakes() const {
        std::uint64_t total = 0;
        for (const Node& node : nodes) total += node.wakes;
        return total;
    }
    // Called for each change of a node's state or record content that another node learns.
    std::function<void(std::size_t at, std::uint32_t ip)> on_change;
    // Called for each newer configuration edition that a node hears of.
    std::function<void(std::size_t at, std::uint64_t edition)> on_edition;

    std::vector<Node> nodes;
    Millis now = 1000;
    double loss = 0;
    Millis delay_min = 1, delay_max = 8;
    std::size_t largest_datagram = 0;  // bytes
    std::size_t undecodable = 0;       // datagrams that decode() refused

private:
    struct InFlight {
        Millis at;
        std::uint64_t number;
        std::size_t to;
        std::string bytes;
        bool operator<(const InFlight& other) const {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    void deliver(std::size_t to, const std::string& bytes) {
        Node& node = nodes[to];
        if (!node.gossip) return;
        if (node.frozen) {
            if (node.queued.size() < 200) node.queued.push_back(bytes);
            return;
        }
        ++node.wakes;
        const auto message = gossip::decode(bytes);
        if (!message) {
            ++undecodable;
            return;
        }
        node.gossip->on_message(now, *message);
        process_output(to);
    }
    void process_output(std::size_t i) {
        auto out = nodes[i].gossip->take_output();
        for (const auto& datagram : out.datagrams) {
            std::string bytes = gossip::encode(datagram.message);
            ++nodes[i].sent;
            nodes[i].bytes += bytes.size();
            largest_datagram = std::max(largest_datagram, bytes.size());
            const std::size_t to = index_of(datagram.to);
            if (random_.unit() < loss || cuts_.contains({i, to})) continue;
            in_flight_.push({now + delay_min + (delay_max - delay_min) * random_.unit(), ++number_, to,
                             std::move(bytes)});
        }
        if (on_change)
            for (const std::uint32_t ip : out.changed) on_change(i, ip);
        if (on_edition)
            for (const auto& newer : out.editions) on_edition(i, newer.config_edition);
    }

    kelplb::Random random_;
    std::priority_queue<InFlight> in_flight_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::uint64_t number_ = 0;
};

}  // namespace cobaltshift::test
