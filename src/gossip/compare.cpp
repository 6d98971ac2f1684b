// Gossip's other half: how it finds its first others, and how two copies of the table are compared and
// mended.
#include <algorithm>
#include <bit>
#include <utility>

#include "gossip/gossip.hpp"

namespace cobaltshift::gossip {

using registry::Entry;
using registry::kRanges;
using registry::newer;
using registry::Registry;
using registry::same_age;
using registry::Standing;

namespace {
constexpr Millis kSettled = 150;  // without a change for so long, a digest that differs is no news on its way
constexpr std::size_t kFew = 3;   // who knows no more is sent records instead of keys
constexpr std::size_t kMostDoubts = 32;

std::uint64_t mask_of(const std::array<std::uint32_t, kRanges>& ours,
                      const std::array<std::uint32_t, kRanges>& theirs) {
    std::uint64_t mask = 0;
    for (std::size_t range = 0; range < kRanges; ++range)
        if (ours[range] != theirs[range]) mask |= std::uint64_t{1} << range;
    return mask;
}

bool in(std::uint64_t mask, std::uint32_t ip) { return mask >> Registry::range_of(ip) & 1; }
}  // namespace

bool Gossip::knows_others() const {
    return std::any_of(registry_.entries().begin(), registry_.entries().end(), [&](const Entry& entry) {
        return entry.record.ip != own_ && entry.standing != Standing::gone;
    });
}

bool Gossip::seed_away(std::uint32_t ip) const {
    const Entry* entry = registry_.find(ip);
    return ip != own_ && (!entry || entry->standing == Standing::gone);
}

std::uint32_t Gossip::any_living() {
    const auto& entries = registry_.entries();
    const std::size_t start = random_.below(entries.size());
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const Entry& entry = entries[(start + i) % entries.size()];
        if (entry.record.ip != own_ && entry.standing == Standing::alive) return entry.record.ip;
    }
    return 0;
}

// Who knows nobody calls all seeds, again and again; else one of those that are away, now and then, so that
// the halves of a fleet find each other however long they were apart.
void Gossip::knock(Millis now) {
    const bool alone = !knows_others();
    if (!alone) knock_pause_ = settings_.knock_last;
    for (std::size_t tried = 0; tried < settings_.seeds.size(); ++tried) {
        const std::uint32_t seed = settings_.seeds[next_seed_++ % settings_.seeds.size()];
        if (!seed_away(seed)) continue;
        probe(seed, 0);
        if (!alone) break;
    }
    knock_at_ = settings_.seeds.empty() ? 1e18 : now + knock_pause_;
    knock_pause_ = std::min(knock_pause_ * 1.4, settings_.knock_last);
}

void Gossip::compare(Millis now, std::uint32_t with) {
    compared_ = now;
    ++counts_.syncs;
    Message ask = message(Kind::ranges);
    ask.number = ++question_;
    ask.ranges = registry_.ranges();
    ask.fresh = !joined_ && registry_.entries().size() <= kFew;
    parts_ = 0;
    unknown_seen_ = false;
    send(with, std::move(ask));
}

// After an answer to a probe: the way that mends whatever the tree has lost.
void Gossip::compare_if_due(Millis now, const Message& message) {
    if (message.from.digest == registry_.digest()) {
        differed_ = false;
        return;
    }
    const bool again = std::exchange(differed_, true);
    if (now - compared_ < settings_.sync_pause || (!again && now - changed_at_ < kSettled)) return;
    compare(now, message.from.ip);
}

void Gossip::answer_ranges(const Message& message) {
    const std::uint64_t mask = mask_of(registry_.ranges(), message.ranges);
    // By range, so that each part holds whole ranges.
    std::vector<std::vector<Key>> keys(kRanges);
    std::vector<Key> all;
    for (const Entry& entry : registry_.entries()) {
        if (!in(mask, entry.record.ip)) continue;
        keys[Registry::range_of(entry.record.ip)].push_back(entry.key());
        if (entry.standing != Standing::gone && entry.record.ip != message.from.ip)
            all.push_back(entry.key());
    }
    if (message.fresh && all.size() > kFew) return send_records(message.from.ip, all, settings_.most_answers);
    std::vector<Message> parts(1, this->message(Kind::summary));
    for (std::size_t range = 0; range < kRanges; ++range) {
        if (!(mask >> range & 1)) continue;
        if (parts.back().keys.size() + keys[range].size() > kMostKeys && !parts.back().keys.empty())
            parts.push_back(this->message(Kind::summary));
        Message& part = parts.back();
        if (keys[range].size() > kMostKeys)
            keys[range].resize(kMostKeys);  // not whole: is in no mask
        else
            part.mask |= std::uint64_t{1} << range;
        part.keys.insert(part.keys.end(), keys[range].begin(), keys[range].end());
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].number = message.number;
        parts[i].part = static_cast<std::uint8_t>(i);
        parts[i].parts = static_cast<std::uint8_t>(parts.size());
        send(message.from.ip, std::move(parts[i]));
    }
}

void Gossip::take_summary(Millis now, const Message& message) {
    std::vector<Key> want, give, doubt, doubted;
    std::vector<std::uint32_t> listed;
    for (const Key& key : message.keys) {
        listed.push_back(key.ip);
        if (contested(now, key)) {
            if (newer(self(), key)) give.push_back(registry_.find(own_)->key());
            continue;
        }
        const Entry* entry = registry_.find(key.ip);
        if (!entry || newer(key, entry->record)) {
            if (key.standing == Standing::gone) {
                if (entry && entry->standing != Standing::gone) doubt.push_back(key);
                continue;
            }
            want.push_back(key);
            if (!entry) unknown_seen_ = true;
        } else if (newer(entry->record, key)) {
            give.push_back(entry->key());
        } else if (key.standing == Standing::gone && entry->standing != Standing::gone) {
            doubt.push_back(key);
        } else if (entry->standing == Standing::gone && key.standing != Standing::gone) {
            doubted.push_back(entry->key());
        }
    }
    std::sort(listed.begin(), listed.end());
    for (const Entry& entry : registry_.entries())
        if (in(message.mask, entry.record.ip) && entry.standing != Standing::gone &&
            entry.record.ip != message.from.ip &&
            !std::binary_search(listed.begin(), listed.end(), entry.record.ip))
            give.push_back(entry.key());
    send_keys(message.from.ip, Kind::want, want);
    send_records(message.from.ip, give, settings_.most_answers);
    send_keys(message.from.ip, Kind::doubt, doubted);
    failure_detector::FailureDetector::Output doubts;
    if (doubt.size() > kMostDoubts) doubt.resize(kMostDoubts);
    for (const Key& key : doubt) {
        send_keys(key.ip, Kind::doubt, {key});
        detector_.doubt(now, key.ip, doubts);
    }
    carry_out(now, doubts);

    if (message.number != question_ || message.parts == 0 || message.parts > 64 ||
        message.part >= message.parts)
        return;
    parts_ |= std::uint64_t{1} << message.part;
    if (std::popcount(parts_) == message.parts && !unknown_seen_) {
        joined_ = true;
        join_at_ = 1e18;
    }
}

}  // namespace cobaltshift::gossip
