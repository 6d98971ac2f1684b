#include "registry/registry.hpp"

#include <xxhash.h>

#include <algorithm>

namespace cobaltshift::registry {

namespace {
std::uint64_t hash_of(const NodeRecord& record) {
    const std::uint64_t words[3] = {record.ip, record.life, record.seq};
    return XXH3_64bits(words, sizeof words);
}
}  // namespace

bool same_content(const NodeRecord& a, const NodeRecord& b) {
    NodeRecord left = a;
    left.seq = b.seq;
    left.life = b.life;
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

void Registry::fold(const Entry& entry) {
    if (entry.standing == Standing::gone) return;
    const std::uint64_t hash = hash_of(entry.record);
    digest_ ^= hash;
    ranges_[range_of(entry.record.ip)] ^= static_cast<std::uint32_t>(hash);
}

bool Registry::make_room() {
    if (entries_.size() < kMostNodes) return true;
    auto oldest = entries_.end();
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry)
        if (entry->standing == Standing::gone &&
            (oldest == entries_.end() || entry->gone_at < oldest->gone_at))
            oldest = entry;
    if (oldest == entries_.end()) return false;
    entries_.erase(oldest);
    return true;
}

Registry::Merge Registry::take(Millis now, const NodeRecord& record) {
    auto entry = at(record.ip);
    if (entry == entries_.end() || entry->record.ip != record.ip) {
        if (!make_room()) return {};
        entry = entries_.insert(at(record.ip), Entry{record, Standing::alive, now, 0});
        fold(*entry);
        return {Taken::newer, true};
    }
    if (same_age(entry->record, record)) return {Taken::same, false};
    if (!newer(record, entry->record)) return {Taken::older, false};
    const bool changed = entry->standing != Standing::alive || record.life != entry->record.life ||
                         !same_content(record, entry->record);
    fold(*entry);
    *entry = Entry{record, Standing::alive, now, 0};
    fold(*entry);
    return {Taken::newer, changed};
}

bool Registry::stand(Millis now, std::uint32_t ip, Standing standing) {
    const auto entry = at(ip);
    if (entry == entries_.end() || entry->record.ip != ip || entry->standing == standing) return false;
    fold(*entry);
    entry->standing = standing;
    if (standing == Standing::gone) entry->gone_at = now;
    fold(*entry);
    return true;
}

bool Registry::bury(Millis now, const Key& key) {
    const auto entry = at(key.ip);
    if (entry == entries_.end() || entry->record.ip != key.ip) return false;
    const bool changed = stand(now, key.ip, Standing::gone);
    if (newer(key, entry->record)) {  // gone: in no digest
        entry->record.life = key.life;
        entry->record.seq = key.seq;
    }
    return changed;
}

void Registry::drop(std::uint32_t ip) {
    const auto entry = at(ip);
    if (entry == entries_.end() || entry->record.ip != ip) return;
    fold(*entry);
    entries_.erase(entry);
}

std::vector<std::uint32_t> Registry::forget(Millis now) {
    std::vector<std::uint32_t> forgotten;
    std::erase_if(entries_, [&](const Entry& entry) {
        const bool old = entry.standing == Standing::gone && now - entry.gone_at >= kGoneKept;
        if (old) forgotten.push_back(entry.record.ip);
        return old;
    });
    return forgotten;
}

NodeRecord Registry::handed_on(Millis now, const Entry& entry) {
    NodeRecord record = entry.record;
    if (record.server)
        record.server->warmup_left_s =
            std::max(0.0, record.server->warmup_left_s - (now - entry.heard) / 1000);
    return record;
}

}  // namespace cobaltshift::registry
