// A little network in virtual time for tests of Gossip: loss, delay, cuts of either way, freezes, kills and
// restarts. All is drawn from one seed. Datagrams go as bytes, through encode() and decode().
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
using registry::Millis;
using registry::NodeRecord;
using registry::Standing;

class NewsWorld {
public:
    struct Node {
        std::unique_ptr<Gossip> gossip;  // none: not running
        NodeRecord record;               // as it starts
        bool frozen = false;
        std::vector<std::string> held;  // what came while it was frozen
        std::uint64_t sent = 0, bytes = 0, lives = 0, wakes = 0;
    };

    NewsWorld(std::size_t nodes, std::uint64_t seed, double loss = 0) : loss(loss), random_(seed) {
        for (std::size_t i = 0; i < nodes; ++i) {
            NodeRecord record;
            record.ip = ip_of(i);
            record.zone = "zone-" + std::to_string(i % 3);
            record.role = i < 3 ? registry::NodeRole::hub : registry::NodeRole::proxy;
            record.traffic_port = 8624;
            if (i >= 3) record.server = registry::ServerRecord{"i-7f3a91c2", "huvo11a", "v1", 8080, 18};
            this->nodes.push_back({nullptr, record, false, {}, 0, 0, 0, 0});
        }
    }

    static std::uint32_t ip_of(std::size_t i) { return 0x0a010001 + static_cast<std::uint32_t>(i) * 7; }
    std::size_t place(std::uint32_t ip) const { return (ip - 0x0a010001) / 7; }

    void start(std::size_t i) {
        gossip::GossipSettings settings;
        for (std::size_t hub = 0; hub < std::min<std::size_t>(3, nodes.size()); ++hub)
            if (hub != i) settings.seeds.push_back(ip_of(hub));
        settings.seed = 1 + random_.below(std::size_t{1} << 60);
        nodes[i].gossip = std::make_unique<Gossip>(settings, nodes[i].record);
        nodes[i].held.clear();
        nodes[i].frozen = false;
        ++nodes[i].lives;
        nodes[i].gossip->start(now);
        after(i);
    }
    void start_all() {
        for (std::size_t i = 0; i < nodes.size(); ++i) start(i);
    }
    void kill(std::size_t i) {
        nodes[i].gossip.reset();
        nodes[i].held.clear();
    }
    void leave(std::size_t i) {
        nodes[i].gossip->leave(now);
        after(i);
        kill(i);
    }
    void reachable(std::size_t i, std::size_t other) {
        nodes[i].gossip->reachable(now, ip_of(other));
        after(i);
    }
    void hear(std::size_t i, const Message& message) {
        nodes[i].gossip->heard(now, message);
        after(i);
    }
    void freeze(std::size_t i) { nodes[i].frozen = true; }
    void thaw(std::size_t i) {
        nodes[i].frozen = false;
        for (const auto& bytes : std::exchange(nodes[i].held, {})) deliver(i, bytes);
        if (nodes[i].gossip) nodes[i].gossip->tick(now), after(i);
    }
    void tell(std::size_t i, auto change) {
        NodeRecord record = nodes[i].gossip->self();
        change(record);
        nodes[i].gossip->tell(now, record);
        after(i);
    }
    // No datagrams from a to b while `cut`.
    void cut(std::size_t a, std::size_t b, bool cut) {
        cut ? (void)cuts_.insert({a, b}) : (void)cuts_.erase({a, b});
    }
    template <class In>
    void cut_apart(In in_first, bool on, bool both = true) {
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
    // The moment at which it held first; none: not by `until`. It is looked at each 10 ms.
    template <class Holds>
    std::optional<Millis> run_until(Millis until, Holds holds) {
        for (Millis look = now; now <= until;) {
            if (now >= look) {
                if (holds()) return now;
                look = now + 10;
            }
            Millis next = std::min(until, look);
            for (const Node& node : nodes)
                if (node.gossip && !node.frozen) next = std::min(next, node.gossip->due());
            if (!flying_.empty()) next = std::min(next, flying_.top().at);
            if (next >= until) {
                now = until;
                if (holds()) return now;
                return std::nullopt;
            }
            now = std::max(now, next);
            while (!flying_.empty() && flying_.top().at <= now) {
                const Flying flying = flying_.top();
                flying_.pop();
                deliver(flying.to, flying.bytes);
            }
            for (std::size_t i = 0; i < nodes.size(); ++i)
                if (nodes[i].gossip && !nodes[i].frozen && nodes[i].gossip->due() <= now) {
                    ++nodes[i].wakes;
                    nodes[i].gossip->tick(now);
                    after(i);
                }
        }
        return std::nullopt;
    }

    Standing standing(std::size_t at, std::size_t of) const {
        const auto* entry = nodes[at].gossip->registry().find(ip_of(of));
        return entry ? entry->standing : Standing::gone;
    }
    bool runs(std::size_t i) const { return nodes[i].gossip && !nodes[i].frozen; }
    // All that run hold all that run alive, with their newest record; and all others gone.
    bool whole() const {
        std::optional<std::uint64_t> digest;  // quick where it isn't
        for (std::size_t a = 0; a < nodes.size(); ++a)
            if (runs(a) &&
                digest.value_or(nodes[a].gossip->registry().digest()) != nodes[a].gossip->registry().digest())
                return false;
            else if (runs(a))
                digest = nodes[a].gossip->registry().digest();
        for (std::size_t a = 0; a < nodes.size(); ++a) {
            if (!runs(a)) continue;
            for (std::size_t b = 0; b < nodes.size(); ++b) {
                const auto* entry = nodes[a].gossip->registry().find(ip_of(b));
                if (!runs(b)) {
                    if (entry && entry->standing != Standing::gone) return false;
                } else if (!entry || entry->standing != Standing::alive ||
                           !registry::same_age(entry->record, nodes[b].gossip->self())) {
                    return false;
                }
            }
        }
        return true;
    }
    // All that run hold the newest record of it.
    bool all_know(std::size_t of) const {
        for (std::size_t a = 0; a < nodes.size(); ++a) {
            if (!runs(a)) continue;
            const auto* entry = nodes[a].gossip->registry().find(ip_of(of));
            if (!entry || !registry::same_age(entry->record, nodes[of].gossip->self())) return false;
        }
        return true;
    }
    bool all_hold(std::size_t of, Standing standing) const {
        for (std::size_t a = 0; a < nodes.size(); ++a)
            if (runs(a) && a != of && this->standing(a, of) != standing) return false;
        return true;
    }
    std::uint64_t sent() const {
        std::uint64_t sum = 0;
        for (const Node& node : nodes) sum += node.sent;
        return sum;
    }
    std::uint64_t bytes() const {
        std::uint64_t sum = 0;
        for (const Node& node : nodes) sum += node.bytes;
        return sum;
    }
    std::uint64_t wakes() const {
        std::uint64_t sum = 0;
        for (const Node& node : nodes) sum += node.wakes;
        return sum;
    }
    // Called with each change of a standing or content that a node hears of.
    std::function<void(std::size_t at, std::uint32_t ip)> changed;
    std::function<void(std::size_t at, std::uint64_t edition)> edition;  // newer than its own, as it is told

    std::vector<Node> nodes;
    Millis now = 1000;
    double loss = 0;
    Millis least = 1, most = 8;  // delay
    std::size_t largest = 0;     // datagram
    std::size_t torn = 0;        // that decode() refused

private:
    struct Flying {
        Millis at;
        std::uint64_t number;
        std::size_t to;
        std::string bytes;
        bool operator<(const Flying& other) const {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    void deliver(std::size_t to, const std::string& bytes) {
        Node& node = nodes[to];
        if (!node.gossip) return;
        if (node.frozen) {
            if (node.held.size() < 200) node.held.push_back(bytes);
            return;
        }
        ++node.wakes;
        const auto message = gossip::decode(bytes);
        if (!message) {
            ++torn;
            return;
        }
        node.gossip->heard(now, *message);
        after(to);
    }
    void after(std::size_t i) {
        auto out = nodes[i].gossip->take();
        for (const auto& datagram : out.datagrams) {
            std::string bytes = gossip::encode(datagram.message);
            ++nodes[i].sent;
            nodes[i].bytes += bytes.size();
            largest = std::max(largest, bytes.size());
            const std::size_t to = place(datagram.to);
            if (random_.unit() < loss || cuts_.contains({i, to})) continue;
            flying_.push({now + least + (most - least) * random_.unit(), ++number_, to, std::move(bytes)});
        }
        if (changed)
            for (const std::uint32_t ip : out.changed) changed(i, ip);
        if (edition)
            for (const auto& told : out.editions) edition(i, told.config_edition);
    }

    kelplb::Random random_;
    std::priority_queue<Flying> flying_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::uint64_t number_ = 0;
};

}  // namespace cobaltshift::test
