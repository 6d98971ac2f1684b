#include "gossip/broadcast_tree.hpp"

#include <xxhash.h>

#include <algorithm>

namespace cobaltshift::gossip {

namespace {

// Whether a is at least as new as b: by incarnation and seq, then by how bad the state is.
bool at_least_as_new(const Key& a, const Key& b) {
    return registry::newer(a, b) || (registry::same_version(a, b) && a.state >= b.state);
}

std::uint64_t ring_position(unsigned ring, const registry::NodeRecord& record) {
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
        const std::uint64_t own = ring_position(ring, self);
        // Distances on the ring, which wraps around as unsigned subtraction does.
        std::uint64_t after = UINT64_MAX, before = UINT64_MAX;
        std::uint32_t next = 0, last = 0;
        for (const registry::Entry& entry : registry.entries()) {
            if (entry.state == registry::MemberState::gone || entry.record.ip == self.ip) continue;
            const std::uint64_t place = ring_position(ring, entry.record);
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

void BroadcastTree::set_eager(std::uint32_t ip, bool eager) {
    if (Link* link = find(ip)) link->eager = eager;
}

void BroadcastTree::set_neighbours(const std::vector<std::uint32_t>& neighbours) {
    std::erase_if(links_, [&](const Link& link) {
        return std::find(neighbours.begin(), neighbours.end(), link.ip) == neighbours.end();
    });
    for (const std::uint32_t ip : neighbours)
        if (!find(ip)) links_.push_back({ip, true, {}});
}

bool BroadcastTree::on_duplicate(Millis now, std::uint32_t from, const std::vector<Key>& keys) {
    for (const Key& key : keys)
        for (Key& other : recent_off_tree_)
            if (other == key) {  // first copy came outside the tree: the tree's first copy is not redundant
                other = {};
                set_eager(from, true);
                return false;
            }
    const bool redundant =
        now - previous_subject_at_ > kQuietPeriodMs && keys.size() == 1 && keys.front().ip == last_subject_;
    if (redundant) set_eager(from, false);
    return redundant;
}

void BroadcastTree::forward(Millis now, const Key& key, std::uint32_t from, bool by_tree, Output& out) {
    on_received(key);
    if (key.ip != last_subject_) previous_subject_at_ = last_received_at_;
    last_subject_ = key.ip;
    last_received_at_ = now;
    if (!by_tree) {
        if (recent_off_tree_.size() < kMaxOffTree) recent_off_tree_.emplace_back();
        recent_off_tree_[next_off_tree_++ % kMaxOffTree] = key;
    }
    for (Link& link : links_) {
        if (link.ip == from) continue;
        if (!link.eager || !by_tree) {
            std::erase_if(link.pending_announcements, [&](const Key& other) { return other.ip == key.ip; });
            link.pending_announcements.push_back(key);
            announce_at_ = std::min(announce_at_, now + kAnnounceDelayMs);
            continue;
        }
        auto to = std::find_if(out.pushes.begin(), out.pushes.end(),
                               [&](const KeyBatch& keys) { return keys.to == link.ip; });
        if (to == out.pushes.end()) to = out.pushes.insert(to, KeyBatch{link.ip, {}});
        std::erase_if(to->keys, [&](const Key& other) { return other.ip == key.ip; });
        to->keys.push_back(key);
    }
}

void BroadcastTree::on_announce(Millis now, std::uint32_t from, const Key& key) {
    for (Missing& missing : missing_)
        if (missing.key.ip == key.ip) {
            if (registry::newer(key, missing.key)) missing = {key, {}, now + kGraftTimeoutMs};
            missing.announcers.push_back(from);
            return;
        }
    if (missing_.size() < kMaxMissing) missing_.push_back({key, {from}, now + kGraftTimeoutMs});
}

void BroadcastTree::on_received(const Key& key) {
    std::erase_if(missing_, [&](const Missing& missing) {
        return missing.key.ip == key.ip && at_least_as_new(key, missing.key);
    });
}

void BroadcastTree::tick(Millis now, Output& out) {
    if (now >= announce_at_) {
        announce_at_ = 1e18;
        for (Link& link : links_)
            if (!link.pending_announcements.empty())
                out.announces.push_back({link.ip, std::move(link.pending_announcements)});
        for (Link& link : links_) link.pending_announcements.clear();
    }
    for (Missing& missing : missing_) {
        if (now < missing.next_graft_at) continue;
        if (missing.announcers.empty()) {
            missing.next_graft_at = -1;  // all announcers were asked; the table comparison is the fallback
            continue;
        }
        missing.next_graft_at = now + kGraftTimeoutMs;
        const std::uint32_t to = missing.announcers.front();
        missing.announcers.erase(missing.announcers.begin());
        on_graft(to);
        auto graft = std::find_if(out.grafts.begin(), out.grafts.end(),
                                  [&](const KeyBatch& keys) { return keys.to == to; });
        if (graft == out.grafts.end()) graft = out.grafts.insert(graft, KeyBatch{to, {}});
        graft->keys.push_back(missing.key);
    }
    std::erase_if(missing_, [](const Missing& missing) { return missing.next_graft_at < 0; });
}

Millis BroadcastTree::due() const {
    Millis due = announce_at_;
    for (const Missing& missing : missing_) due = std::min(due, missing.next_graft_at);
    return due;
}

}  // namespace cobaltshift::gossip
