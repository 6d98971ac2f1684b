// The parts of Gossip that find the first nodes of the cluster through the seeds, and that compare and
// reconcile two nodes' tables (anti-entropy).
#include <algorithm>
#include <bit>
#include <utility>

#include "gossip/gossip.hpp"

namespace cobaltshift::gossip {

using registry::Entry;
using registry::kRanges;
using registry::MemberState;
using registry::newer;
using registry::Registry;
using registry::same_version;

namespace {
// If the table has not changed for this long, a differing digest is not just an update in transit.
constexpr Millis kSettledMs = 150;
constexpr std::size_t kFewNodes = 3;  // a node that knows at most this many is sent records, not keys
constexpr std::size_t kMaxVerifications = 32;  // started per summary message

std::uint64_t differing_ranges(const std::array<std::uint32_t, kRanges>& ours,
                               const std::array<std::uint32_t, kRanges>& theirs) {
    std::uint64_t mask = 0;
    for (std::size_t range = 0; range < kRanges; ++range)
        if (ours[range] != theirs[range]) mask |= std::uint64_t{1} << range;
    return mask;
}

bool contains_ip(std::uint64_t mask, std::uint32_t ip) { return mask >> Registry::range_of(ip) & 1; }
}  // namespace

bool Gossip::knows_live_nodes() const {
    return std::any_of(registry_.entries().begin(), registry_.entries().end(), [&](const Entry& entry) {
        return entry.record.ip != own_ip_ && entry.state != MemberState::gone;
    });
}

bool Gossip::is_lost_seed(std::uint32_t ip) const {
    const Entry* entry = registry_.find(ip);
    return ip != own_ip_ && (!entry || entry->state == MemberState::gone);
}

std::uint32_t Gossip::random_live_node() {
    const auto& entries = registry_.entries();
    const std::size_t start = random_.below(entries.size());
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const Entry& entry = entries[(start + i) % entries.size()];
        if (entry.record.ip != own_ip_ && entry.state == MemberState::alive) return entry.record.ip;
    }
    return 0;
}

// A node that knows no live node probes all seeds, with growing delays. Otherwise it probes one of the lost
// seeds now and then, so that partitions of a cluster find each other however long they were separated.
void Gossip::probe_seeds(Millis now) {
    const bool nobody_known = !knows_live_nodes();
    if (!nobody_known) seed_probe_delay_ = settings_.seed_probe_delay_max;
    for (std::size_t i = 0; i < settings_.seeds.size(); ++i) {
        const std::uint32_t seed = settings_.seeds[next_seed_++ % settings_.seeds.size()];
        if (!is_lost_seed(seed)) continue;
        probe(seed, 0);
        if (!nobody_known) break;
    }
    next_seed_probe_at_ = settings_.seeds.empty() ? 1e18 : now + seed_probe_delay_;
    seed_probe_delay_ = std::min(seed_probe_delay_ * 1.4, settings_.seed_probe_delay_max);
}

void Gossip::compare(Millis now, std::uint32_t peer) {
    last_comparison_at_ = now;
    ++counts_.comparisons;
    Message request = message(Kind::range_digests);
    request.number = ++comparison_number_;
    request.ranges = registry_.ranges();
    request.sender_is_new = !joined_ && registry_.entries().size() <= kFewNodes;
    received_parts_ = 0;
    missing_node_seen_ = false;
    send(peer, std::move(request));
}

// Called for each answer to a probe. Repairs whatever the dissemination tree has lost.
void Gossip::compare_if_due(Millis now, const Message& message) {
    if (message.from.digest == registry_.digest()) {
        digest_differed_ = false;
        return;
    }
    const bool again = std::exchange(digest_differed_, true);
    if (now - last_comparison_at_ < settings_.comparison_interval ||
        (!again && now - last_change_at_ < kSettledMs))
        return;
    compare(now, message.from.ip);
}

void Gossip::handle_range_digests(const Message& message) {
    const std::uint64_t mask = differing_ranges(registry_.ranges(), message.ranges);
    // Grouped by range, so that each part holds complete ranges.
    std::vector<std::vector<Key>> keys(kRanges);
    std::vector<Key> all;
    for (const Entry& entry : registry_.entries()) {
        if (!contains_ip(mask, entry.record.ip)) continue;
        keys[Registry::range_of(entry.record.ip)].push_back(entry.key());
        if (entry.state != MemberState::gone && entry.record.ip != message.from.ip)
            all.push_back(entry.key());
    }
    if (message.sender_is_new && all.size() > kFewNodes)
        return send_records(message.from.ip, all, settings_.max_reply_datagrams);
    std::vector<Message> parts(1, this->message(Kind::summary));
    for (std::size_t range = 0; range < kRanges; ++range) {
        if (!(mask >> range & 1)) continue;
        if (parts.back().keys.size() + keys[range].size() > kMaxKeysPerMessage && !parts.back().keys.empty())
            parts.push_back(this->message(Kind::summary));
        Message& part = parts.back();
        if (keys[range].size() > kMaxKeysPerMessage)
            keys[range].resize(kMaxKeysPerMessage);  // incomplete: not in the bit mask
        else
            part.complete_ranges |= std::uint64_t{1} << range;
        part.keys.insert(part.keys.end(), keys[range].begin(), keys[range].end());
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].number = message.number;
        parts[i].part = static_cast<std::uint8_t>(i);
        parts[i].parts = static_cast<std::uint8_t>(parts.size());
        send(message.from.ip, std::move(parts[i]));
    }
}

void Gossip::handle_summary(Millis now, const Message& message) {
    std::vector<Key> to_request, to_send, to_verify, gone_here;
    std::vector<std::uint32_t> listed;
    for (const Key& key : message.keys) {
        listed.push_back(key.ip);
        if (check_own_key(now, key, message.from.ip)) {
            if (newer(self(), key)) to_send.push_back(registry_.find(own_ip_)->key());
            continue;
        }
        const Entry* entry = registry_.find(key.ip);
        if (!entry || newer(key, entry->record)) {
            if (key.state == MemberState::gone) {
                if (entry && entry->state != MemberState::gone) to_verify.push_back(key);
                continue;
            }
            to_request.push_back(key);
            if (!entry) missing_node_seen_ = true;
        } else if (newer(entry->record, key)) {
            to_send.push_back(entry->key());
        } else if (key.state == MemberState::gone && entry->state != MemberState::gone) {
            to_verify.push_back(key);
        } else if (entry->state == MemberState::gone && key.state != MemberState::gone) {
            gone_here.push_back(entry->key());
        }
    }
    std::sort(listed.begin(), listed.end());
    for (const Entry& entry : registry_.entries())
        if (contains_ip(message.complete_ranges, entry.record.ip) && entry.state != MemberState::gone &&
            entry.record.ip != message.from.ip &&
            !std::binary_search(listed.begin(), listed.end(), entry.record.ip))
            to_send.push_back(entry.key());
    send_keys(message.from.ip, Kind::request, to_request);
    send_records(message.from.ip, to_send, settings_.max_reply_datagrams);
    send_keys(message.from.ip, Kind::verify, gone_here);
    failure_detector::FailureDetector::Output detector_output;
    if (to_verify.size() > kMaxVerifications) to_verify.resize(kMaxVerifications);
    for (const Key& key : to_verify) {
        send_keys(key.ip, Kind::verify, {key});
        detector_.probe_now(now, key.ip, detector_output);
    }
    apply_detector_output(now, detector_output);

    if (message.number != comparison_number_ || message.parts == 0 || message.parts > 64 ||
        message.part >= message.parts)
        return;
    received_parts_ |= std::uint64_t{1} << message.part;
    if (std::popcount(received_parts_) == message.parts && !missing_node_seen_) {
        joined_ = true;
        next_join_at_ = 1e18;
    }
}

}  // namespace cobaltshift::gossip
