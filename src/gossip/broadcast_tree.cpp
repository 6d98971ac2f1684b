#include "gossip/broadcast_tree.hpp"

#include <xxhash.h>

#include <algorithm>

namespace cobaltshift::gossip {

namespace {

// Whether a is not older than b: by life, seq, and how bad.
bool covers(const Key& a, const Key& b) {
    return registry::newer(a, b) || (registry::same_age(a, b) && a.standing >= b.standing);
}

std::uint64_t place_on(unsigned ring, const registry::NodeRecord& record) {
    const std::uint64_t hash = XXH3_64bits_withSeed(&record.ip, sizeof record.ip, ring);
    if (ring) return hash;
    return (XXH3_64bits(record.zone.data(), record.zone.size()) & 0xffffffff00000000) | (hash & 0xffffffff);
}

}  // namespace

std::vector<std::uint32_t> neighbours_of(const registry::NodeRecord& self,
                                         const registry::Registry& registry) {
    constexpr unsigned kRings = 3;
    std::vector<std::uint32_t> found;
    for (unsigned ring = 0; ring < kRings; ++ring) {
        const std::uint64_t own = place_on(ring, self);
        // Distances on the ring, which wraps round as the numbers do.
        std::uint64_t after = UINT64_MAX, before = UINT64_MAX;
        std::uint32_t next = 0, last = 0;
        for (const registry::Entry& entry : registry.entries()) {
            if (entry.standing == registry::Standing::gone || entry.record.ip == self.ip) continue;
            const std::uint64_t place = place_on(ring, entry.record);
            if (place - own < after) after = place - own, next = entry.record.ip;
            if (own - place < before) before = own - place, last = entry.record.ip;
        }
        for (const std::uint32_t ip : {next, last})
            if (ip && std::find(found.begin(), found.end(), ip) == found.end()) found.push_back(ip);
    }
    return found;
}

BroadcastTree::Link* BroadcastTree::find(std::uint32_t ip) {
    const auto found =
        std::find_if(links_.begin(), links_.end(), [&](const Link& link) { return link.ip == ip; });
    return found == links_.end() ? nullptr : &*found;
}

void BroadcastTree::mark(std::uint32_t ip, bool eager) {
    if (Link* link = find(ip)) link->eager = eager;
}

void BroadcastTree::link(const std::vector<std::uint32_t>& neighbours) {
    std::erase_if(links_, [&](const Link& link) {
        return std::find(neighbours.begin(), neighbours.end(), link.ip) == neighbours.end();
    });
    for (const std::uint32_t ip : neighbours)
        if (!find(ip)) links_.push_back({ip, true, {}});
}

bool BroadcastTree::twice(Millis now, std::uint32_t from, const std::vector<Key>& keys) {
    for (const Key& key : keys)
        for (Key& other : aside_)
            if (other == key) {  // the tree is only later: from its second copy on it counts
                other = {};
                mark(from, true);
                return false;
            }
    const bool calm = now - other_at_ > kCalm && keys.size() == 1 && keys.front().ip == last_ip_;
    if (calm) mark(from, false);
    return calm;
}

void BroadcastTree::pass(Millis now, const Key& key, std::uint32_t from, bool by_tree, Output& out) {
    came(key);
    if (key.ip != last_ip_) other_at_ = last_at_;
    last_ip_ = key.ip;
    last_at_ = now;
    if (!by_tree) {
        if (aside_.size() < kMostAside) aside_.emplace_back();
        aside_[next_aside_++ % kMostAside] = key;
    }
    for (Link& link : links_) {
        if (link.ip == from) continue;
        if (!link.eager || !by_tree) {
            std::erase_if(link.waiting, [&](const Key& other) { return other.ip == key.ip; });
            link.waiting.push_back(key);
            announce_at_ = std::min(announce_at_, now + kAnnounceAfter);
            continue;
        }
        auto to = std::find_if(out.pushes.begin(), out.pushes.end(),
                               [&](const Keys& keys) { return keys.to == link.ip; });
        if (to == out.pushes.end()) to = out.pushes.insert(to, Keys{link.ip, {}});
        std::erase_if(to->keys, [&](const Key& other) { return other.ip == key.ip; });
        to->keys.push_back(key);
    }
}

void BroadcastTree::announced(Millis now, std::uint32_t from, const Key& key) {
    for (Missing& missing : missing_)
        if (missing.key.ip == key.ip) {
            if (registry::newer(key, missing.key)) missing = {key, {}, now + kGraftAfter};
            missing.by.push_back(from);
            return;
        }
    if (missing_.size() < kMostMissing) missing_.push_back({key, {from}, now + kGraftAfter});
}

void BroadcastTree::came(const Key& key) {
    std::erase_if(missing_, [&](const Missing& missing) {
        return missing.key.ip == key.ip && covers(key, missing.key);
    });
}

void BroadcastTree::tick(Millis now, Output& out) {
    if (now >= announce_at_) {
        announce_at_ = 1e18;
        for (Link& link : links_)
            if (!link.waiting.empty()) out.announces.push_back({link.ip, std::move(link.waiting)});
        for (Link& link : links_) link.waiting.clear();
    }
    for (Missing& missing : missing_) {
        if (now < missing.at) continue;
        if (missing.by.empty()) {
            missing.at = -1;  // all were asked: what is left is the comparing of digests
            continue;
        }
        missing.at = now + kGraftAfter;
        const std::uint32_t to = missing.by.front();
        missing.by.erase(missing.by.begin());
        grafted(to);
        auto graft = std::find_if(out.grafts.begin(), out.grafts.end(),
                                  [&](const Keys& keys) { return keys.to == to; });
        if (graft == out.grafts.end()) graft = out.grafts.insert(graft, Keys{to, {}});
        graft->keys.push_back(missing.key);
    }
    std::erase_if(missing_, [](const Missing& missing) { return missing.at < 0; });
}

Millis BroadcastTree::due() const {
    Millis due = announce_at_;
    for (const Missing& missing : missing_) due = std::min(due, missing.at);
    return due;
}

}  // namespace cobaltshift::gossip
