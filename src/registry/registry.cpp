#include "registry/registry.hpp"

#include <xxhash.h>

#include <algorithm>

namespace cobaltshift::registry {

namespace {
std::uint64_t hash_of(const NodeRecord& record) {
    const std::uint64_t words[3] = {record.ip, record.incarnation, record.seq};
    return XXH3_64bits(words, sizeof words);
}
}  // namespace

bool same_content(const NodeRecord& a, const NodeRecord& b) {
    NodeRecord left = a;
    left.seq = b.seq;
    left.incarnation = b.incarnation;
    if (left.server && b.server) {
        left.server->call_seq = b.server->call_seq;
        if ((left.server->warmup_left_s > 0) == (b.server->warmup_left_s > 0))
            left.server->warmup_left_s = b.server->warmup_left_s;
    }
    return left == b;
}

std::size_t Registry::range_of(std::uint32_t ip) { return XXH3_64bits(&ip, sizeof ip) % kRanges; }

std::vector<Entry>::iterator Registry::at(std::uint32_t ip) {
    return std::lower_bound(
        entries_.begin(), entries_.end(), ip,
        [](const Entry& entry, std::uint32_t wanted) { return entry.record.ip < wanted; });
}

const Entry* Registry::find(std::uint32_t ip) const {
    const auto found = const_cast<Registry*>(this)->at(ip);
    return found == entries_.end() || found->record.ip != ip ? nullptr : &*found;
}

void Registry::toggle_in_digest(const Entry& entry) {
    if (entry.state == MemberState::gone) return;
    const std::uint64_t hash = hash_of(entry.record);
    digest_ ^= hash;
    ranges_[range_of(entry.record.ip)] ^= static_cast<std::uint32_t>(hash);
}

bool Registry::evict_if_full() {
    if (entries_.size() < kMaxNodes) return true;
    auto oldest = entries_.end();
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry)
        if (entry->state == MemberState::gone &&
            (oldest == entries_.end() || entry->gone_at < oldest->gone_at))
            oldest = entry;
    if (oldest == entries_.end()) return false;
    entries_.erase(oldest);
    return true;
}

Registry::MergeResult Registry::merge(Millis now, const NodeRecord& record) {
    auto entry = at(record.ip);
    if (entry == entries_.end() || entry->record.ip != record.ip) {
        if (!evict_if_full()) return {};
        entry = entries_.insert(at(record.ip), Entry{record, MemberState::alive, now, 0});
        toggle_in_digest(*entry);
        return {MergeOutcome::newer, true};
    }
    if (same_version(entry->record, record)) return {MergeOutcome::same, false};
    if (!newer(record, entry->record)) return {MergeOutcome::older, false};
    const bool changed = entry->state != MemberState::alive ||
                         record.incarnation != entry->record.incarnation ||
                         !same_content(record, entry->record);
    toggle_in_digest(*entry);
    *entry = Entry{record, MemberState::alive, now, 0};
    toggle_in_digest(*entry);
    return {MergeOutcome::newer, changed};
}

bool Registry::set_state(Millis now, std::uint32_t ip, MemberState state) {
    const auto entry = at(ip);
    if (entry == entries_.end() || entry->record.ip != ip || entry->state == state) return false;
    toggle_in_digest(*entry);
    entry->state = state;
    if (state == MemberState::gone) entry->gone_at = now;
    toggle_in_digest(*entry);
    return true;
}

bool Registry::mark_gone(Millis now, const Key& key) {
    const auto entry = at(key.ip);
    if (entry == entries_.end() || entry->record.ip != key.ip) return false;
    const bool changed = set_state(now, key.ip, MemberState::gone);
    if (newer(key, entry->record)) {  // the entry is gone and so in no digest
        entry->record.incarnation = key.incarnation;
        entry->record.seq = key.seq;
    }
    return changed;
}

void Registry::remove(std::uint32_t ip) {
    const auto entry = at(ip);
    if (entry == entries_.end() || entry->record.ip != ip) return;
    toggle_in_digest(*entry);
    entries_.erase(entry);
}

std::vector<std::uint32_t> Registry::purge_gone(Millis now) {
    std::vector<std::uint32_t> purged;
    std::erase_if(entries_, [&](const Entry& entry) {
        const bool old = entry.state == MemberState::gone && now - entry.gone_at >= kGoneRetentionMs;
        if (old) purged.push_back(entry.record.ip);
        return old;
    });
    return purged;
}

NodeRecord Registry::current_record(Millis now, const Entry& entry) {
    NodeRecord record = entry.record;
    if (record.server)
        record.server->warmup_left_s =
            std::max(0.0, record.server->warmup_left_s - (now - entry.received_at) / 1000);
    return record;
}

}  // namespace cobaltshift::registry
