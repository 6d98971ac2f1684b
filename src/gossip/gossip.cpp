#include "gossip/gossip.hpp"

#include <algorithm>
#include <utility>

namespace cobaltshift::gossip {

using registry::Entry;
using registry::MemberState;
using registry::newer;
using registry::NodeRecord;
using registry::Registry;
using registry::same_version;

namespace {
constexpr std::size_t kMaxRelays = 64;
constexpr Millis kGoneProbeIntervalMs = 500;  // between probes of gone nodes on hints
constexpr Millis kRelayTimeoutMs = 1000, kPurgeIntervalMs = 5000, kJoinRetryMs = 200;
constexpr Millis kJoinDelayMs = 20;  // from received records to the next comparison, as more may follow
constexpr std::uint64_t kDetectorSeedSalt = 0x77617463;  // gives the detector a random sequence of its own
// How long a restarted node asks for its former record before it replaces it unseen.
constexpr Millis kFormerSelfTimeoutMs = 1000;
constexpr std::size_t kKeyBytes = 21;  // of an encoded Key
}  // namespace

Gossip::Gossip(const GossipSettings& settings, NodeRecord self)
    : settings_(settings),
      own_ip_(self.ip),
      random_(settings.seed),
      detector_(settings.detector, settings.seed ^ kDetectorSeedSalt) {
    self.incarnation = settings.restarted ? 1 : 1 + random_.below(std::size_t{1} << 31);
    self.seq = settings.restarted ? 0 : 1;
    registry_.merge(0, self);
}

void Gossip::start(Millis now) {
    now_ = now;
    seed_probe_delay_ = settings_.seed_probe_delay_min;
    next_seed_probe_at_ = now;
    next_purge_at_ = now + kPurgeIntervalMs;
    last_comparison_at_ = now - settings_.comparison_interval;
    tick(now);
}

Gossip::Output Gossip::take_output() {
    if (now_ >= last_push_at_ + settings_.push_delay) send_updates(now_);
    auto& changed = out_.changed;
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    return std::exchange(out_, {});
}

Millis Gossip::due() const {
    // Purges, and probes of lost seeds while other nodes are known, need no wake-up of their own: they run at
    // the next tick.
    const bool push_pending = !updates_.pushes.empty();
    return std::min({detector_.due(), tree_.due(), knows_live_nodes() ? 1e18 : next_seed_probe_at_,
                     next_join_at_, push_pending ? last_push_at_ + settings_.push_delay : 1e18});
}

Message Gossip::message(Kind kind) const {
    const NodeRecord& own = self();
    Message message;
    message.kind = kind;
    message.from = {own_ip_, own.incarnation, own.seq, own.config_edition, registry_.digest()};
    return message;
}

void Gossip::update_self(Millis now, const NodeRecord& record) {
    now_ = now;
    NodeRecord next = record;
    const NodeRecord& own = self();
    next.ip = own_ip_;
    next.incarnation = own.incarnation;
    next.seq = own.seq;
    if (registry::same_content(next, own)) return;
    ++next.seq;
    registry_.merge(now, next);
    forward(now, own_ip_, 0);
}

void Gossip::raise_version(Millis now, std::uint64_t incarnation, std::uint64_t seq) {
    NodeRecord next = Registry::current_record(now, *registry_.find(own_ip_));
    if (incarnation != next.incarnation) {
        ++counts_.incarnations_raised;
        out_.changed.push_back(own_ip_);
    }
    next.incarnation = incarnation;
    next.seq = seq;
    registry_.merge(now, next);
    forward(now, own_ip_, 0);
}

bool Gossip::awaits_former_self() const {
    if (!settings_.restarted || former_self_) return false;
    return !former_self_requested_at_ || now_ < *former_self_requested_at_ + kFormerSelfTimeoutMs;
}

bool Gossip::former_self_settled() const {
    return !awaits_former_self() || (joined_ && !former_self_requested_at_);
}

bool Gossip::check_own_key(Millis now, const Key& key, std::uint32_t from) {
    if (key.ip != own_ip_) return false;
    const NodeRecord& own = self();
    if (newer(key, own) && awaits_former_self()) {
        if (!former_self_requested_at_) former_self_requested_at_ = now;
        send_keys(from, Kind::request, {key});
        return true;
    }
    if (key.incarnation > own.incarnation || (key.incarnation == own.incarnation && key.seq > own.seq)) {
        raise_version(now, key.incarnation + 1, 1);
    } else if (same_version(key, own) && key.state != MemberState::alive) {
        ++counts_.refuted;
        raise_version(now, own.incarnation, own.seq + 1);
    }
    return true;
}

void Gossip::forward(Millis now, std::uint32_t ip, std::uint32_t from, bool by_tree) {
    if (links_outdated_) {
        links_outdated_ = false;
        tree_.set_neighbours(neighbours_of(self(), registry_));
    }
    tree_.forward(now, registry_.find(ip)->key(), from, by_tree, updates_);
}

bool Gossip::apply_record(Millis now, const NodeRecord& record, std::uint32_t from, Via via) {
    if (record.ip == own_ip_ && newer(record, self()) && awaits_former_self()) former_self_ = record;
    if (check_own_key(now, {record.ip, record.incarnation, record.seq, MemberState::alive}, from))
        return false;
    const Entry* known = registry_.find(record.ip);
    const bool was_present = known && known->state != MemberState::gone;
    const bool same_incarnation = was_present && known->record.incarnation == record.incarnation;
    const Registry::MergeResult result = registry_.merge(now, record);
    if (result.outcome == Registry::MergeOutcome::refused) ++counts_.records_refused;
    if (result.outcome != Registry::MergeOutcome::newer) return false;
    last_change_at_ = now;
    if (!was_present) links_outdated_ = true;
    if (result.changed) out_.changed.push_back(record.ip);
    if (record.config_edition > self().config_edition)
        out_.editions.push_back({record.ip, record.config_edition});
    detector_.set(now, record.ip, MemberState::alive);
    tree_.on_received({record.ip, record.incarnation, record.seq, MemberState::alive});
    // No other node may know a new incarnation yet, so it is pushed over the tree in any case.
    if (via != Via::initial_sync) forward(now, record.ip, from, via == Via::tree || !same_incarnation);
    return true;
}

bool Gossip::apply_state(Millis now, const Key& key, std::uint32_t from) {
    if (key.state == MemberState::alive || check_own_key(now, key, from)) return false;
    const Entry* entry = registry_.find(key.ip);
    if (!entry) return false;
    if (newer(entry->record, key)) {  // already refuted, which the sender does not know yet
        send_records(from, {entry->key()}, 1);
        return false;
    }
    if (entry->state >= key.state) return false;
    MemberState new_state = key.state;
    if (key.state == MemberState::gone && entry->state == MemberState::alive && !entry->record.leaving) {
        // Neither this node nor perhaps the other one has seen a suspicion that could be refuted: the other
        // is asked, and becomes gone unless it answers.
        send_keys(key.ip, Kind::verify, {key});
        new_state = MemberState::suspect;
    }
    if (new_state == MemberState::gone) {
        registry_.mark_gone(now, key);
        links_outdated_ = true;
    } else if (newer(key, entry->record)) {  // suspected as of a record that this node lacks
        send_keys(from, Kind::request, {key});
        return false;
    } else {
        registry_.set_state(now, key.ip, new_state);
    }
    last_change_at_ = now;
    detector_.set(now, key.ip, new_state);
    out_.changed.push_back(key.ip);
    forward(now, key.ip, from);
    return true;
}

void Gossip::on_message(Millis now, const Message& message) {
    now_ = now;
    if (message.from.ip == own_ip_ || message.from.ip == 0) return;
    bool any_new = false;
    // The sender's own record first, so that check_sender() does not request it.
    for (const NodeRecord& record : message.records)
        if (record.ip == message.from.ip)
            any_new |= apply_record(now, record, message.from.ip,
                                    message.kind == Kind::push ? Via::tree : Via::outside_tree);
    check_sender(message);
    switch (message.kind) {
        case Kind::probe: {
            handle_probe(now, message);
            failure_detector::FailureDetector::Output out;
            detector_.probe_early(now, out);
            return apply_detector_output(now, out);
        }
        case Kind::ack:
            return handle_ack(now, message);
        case Kind::indirect_probe: {
            if (message.target.ip == own_ip_ || relays_.size() >= kMaxRelays) return;
            const auto number = static_cast<std::uint32_t>(0x80000000 | random_.below(0x7fffffff));
            relays_.push_back(
                {number, message.target.ip, message.from.ip, message.number, now + kRelayTimeoutMs});
            return probe(message.target.ip, number);
        }
        case Kind::push:
            return handle_push(now, message, any_new);
        case Kind::announce:
            return handle_announce(now, message);
        case Kind::graft:
            tree_.on_graft(message.from.ip);
            updates_.pushes.push_back({message.from.ip, message.keys});
            return;
        case Kind::prune:
            return tree_.on_prune(message.from.ip);
        case Kind::range_digests:
            return handle_range_digests(message);
        case Kind::summary:
            return handle_summary(now, message);
        case Kind::request:
            return send_records(message.from.ip, message.keys, settings_.max_reply_datagrams);
        case Kind::records:
            for (const NodeRecord& record : message.records)
                apply_record(now, record, message.from.ip, joined_ ? Via::outside_tree : Via::initial_sync);
            if (!joined_) next_join_at_ = std::min(next_join_at_, now + kJoinDelayMs);
            return;
        case Kind::verify:
            failure_detector::FailureDetector::Output detector_output;
            for (const Key& key : message.keys) {
                if (check_own_key(now, key, message.from.ip)) continue;
                const Entry* entry = registry_.find(key.ip);
                if (!entry || entry->state == MemberState::gone || newer(entry->record, key)) continue;
                send_keys(key.ip, Kind::verify, {key});  // if alive it refutes
                detector_.probe_now(now, key.ip, detector_output);
            }
            return apply_detector_output(now, detector_output);
    }
}

void Gossip::check_sender(const Message& message) {
    const Sender& from = message.from;
    if (from.config_edition > self().config_edition) out_.editions.push_back({from.ip, from.config_edition});
    const Entry* entry = registry_.find(from.ip);
    const Key key{from.ip, from.incarnation, from.seq, MemberState::alive};
    if (!entry || newer(key, entry->record)) {
        if (message.kind != Kind::announce) send_keys(from.ip, Kind::request, {key});  // else the tree grafts
    } else if (newer(entry->record, key)) {
        // The node restarted with a lower incarnation than before, or the message was delayed.
        send_records(from.ip, {entry->key()}, 1);
    } else if (entry->state == MemberState::gone) {
        send_keys(from.ip, Kind::verify, {entry->key()});
    }
}

void Gossip::probe(std::uint32_t to, std::uint32_t number) {
    const Entry* entry = registry_.find(to);
    if (!entry || entry->state == MemberState::gone) {
        Message full_probe = message(Kind::probe);
        full_probe.number = number;
        full_probe.target.ip = to;
        if (entry) full_probe.target = entry->key();
        full_probe.records.push_back(Registry::current_record(now_, *registry_.find(own_ip_)));
        return send(to, std::move(full_probe));
    }
    Message probe = message(Kind::probe);
    probe.number = number;
    probe.target = entry->key();
    send(to, std::move(probe));
}

void Gossip::handle_probe(Millis now, const Message& message) {
    check_own_key(now, message.target, message.from.ip);
    Message ack = this->message(Kind::ack);
    ack.number = message.number;
    ack.target = registry_.find(own_ip_)->key();
    const bool behind = message.target.ip != own_ip_ || newer(self(), message.target);
    if (behind) ack.records.push_back(Registry::current_record(now, *registry_.find(own_ip_)));
    send(message.from.ip, std::move(ack));
}

void Gossip::handle_ack(Millis now, const Message& message) {
    const std::uint32_t target = message.target.ip;
    failure_detector::FailureDetector::Output out;
    detector_.on_answer(now, target, out);
    apply_detector_output(now, out);
    if (target != message.from.ip) return;  // the answer to an indirect probe, relayed
    std::erase_if(relays_, [&](const Relay& relay) {
        if (relay.number != message.number || relay.target != target) return relay.until < now;
        Message ack = this->message(Kind::ack);
        ack.number = relay.asker_number;
        ack.target = message.target;
        send(relay.asker, std::move(ack));
        return true;
    });
    if (!joined_) next_join_at_ = std::min(next_join_at_, now);
    compare_if_due(now, message);
}

void Gossip::handle_push(Millis now, const Message& message, bool any_new) {
    // A push that holds anything new is no duplicate, whatever else it holds.
    for (const NodeRecord& record : message.records)
        if (record.ip != message.from.ip) any_new |= apply_record(now, record, message.from.ip, Via::tree);
    for (const Key& key : message.keys) any_new |= apply_state(now, key, message.from.ip);
    if (any_new) return tree_.on_graft(message.from.ip);
    std::vector<Key> keys = message.keys;
    for (const NodeRecord& record : message.records)
        keys.push_back({record.ip, record.incarnation, record.seq, MemberState::alive});
    if (!tree_.on_duplicate(now, message.from.ip, keys)) return;
    ++counts_.duplicates;
    send(message.from.ip, this->message(Kind::prune));
}

void Gossip::handle_announce(Millis now, const Message& message) {
    for (const Key& key : message.keys) {
        if (check_own_key(now, key, message.from.ip)) continue;
        const Entry* entry = registry_.find(key.ip);
        const bool up_to_date = entry && (newer(entry->record, key) ||
                                          (same_version(entry->record, key) && entry->state >= key.state));
        if (!up_to_date) tree_.on_announce(now, message.from.ip, key);
    }
}

void Gossip::leave(Millis now) {
    now_ = now;
    send_updates(now);
    const NodeRecord& own = self();
    const Key key{own_ip_, own.incarnation, own.seq, MemberState::gone};
    for (const auto& link : tree_.links()) send_keys(link.ip, Kind::push, {key});
}

void Gossip::reachable(Millis now, std::uint32_t ip) {
    now_ = now;
    const Entry* entry = registry_.find(ip);
    if (entry && entry->state == MemberState::gone && now - last_gone_probe_at_ > kGoneProbeIntervalMs) {
        last_gone_probe_at_ = now;
        probe(ip, 0);  // only its own newer record brings it back
    }
    failure_detector::FailureDetector::Output out;
    detector_.on_answer(now, ip, out);
    apply_detector_output(now, out);
}

void Gossip::unreachable(Millis now, std::uint32_t ip) {
    now_ = now;
    failure_detector::FailureDetector::Output out;
    detector_.probe_now(now, ip, out);
    apply_detector_output(now, out);
}

void Gossip::apply_detector_output(Millis now, failure_detector::FailureDetector::Output& out) {
    for (const std::uint32_t ip : out.suspected) {
        ++counts_.suspected;
        if (!registry_.set_state(now, ip, MemberState::suspect)) continue;
        out_.changed.push_back(ip);
        forward(now, ip, 0);
    }
    for (const std::uint32_t ip : out.gone) {
        ++counts_.gone;
        if (!registry_.set_state(now, ip, MemberState::gone)) continue;
        last_change_at_ = now;
        links_outdated_ = true;
        out_.changed.push_back(ip);
        forward(now, ip, 0);
    }
    for (const std::uint32_t ip : out.cleared)
        if (registry_.set_state(now, ip, MemberState::alive)) out_.changed.push_back(ip);
    for (const auto& requested : out.probes) probe(requested.to, requested.number);
    for (const auto& ask : out.indirect_probes) {
        const Entry* entry = registry_.find(ask.target);
        if (!entry) continue;
        Message request = message(Kind::indirect_probe);
        request.number = ask.number;
        request.target = entry->key();
        send(ask.helper, std::move(request));
    }
}

void Gossip::tick(Millis now) {
    now_ = now;
    failure_detector::FailureDetector::Output out;
    detector_.tick(now, out);
    apply_detector_output(now, out);
    tree_.tick(now, updates_);
    if (now >= next_seed_probe_at_) probe_seeds(now);
    if (now >= next_join_at_) {
        next_join_at_ = joined_ ? 1e18 : now + kJoinRetryMs;
        if (const std::uint32_t peer = joined_ ? 0 : random_live_node()) compare(now, peer);
    }
    if (now >= next_purge_at_) {
        next_purge_at_ = now + kPurgeIntervalMs;
        for (const std::uint32_t ip : registry_.purge_gone(now)) detector_.remove(ip);
        std::erase_if(relays_, [&](const Relay& relay) { return relay.until < now; });
    }
}

void Gossip::send_updates(Millis now) {
    if (updates_.pushes.empty() && updates_.announces.empty() && updates_.grafts.empty()) return;
    if (!updates_.pushes.empty()) last_push_at_ = now;
    auto updates = std::exchange(updates_, {});
    for (auto& push : updates.pushes) {
        Message batch = message(Kind::push);
        std::size_t bytes = 0;
        const auto send_batch = [&] {
            if (!batch.records.empty() || !batch.keys.empty())
                send(push.to, std::exchange(batch, message(Kind::push)));
            bytes = 0;
        };
        for (const Key& key : push.keys) {
            const Entry* entry = registry_.find(key.ip);
            if (!entry) continue;
            const bool alive = entry->state == MemberState::alive;
            const std::size_t size = alive ? max_encoded_bytes(entry->record) : kKeyBytes;
            if (bytes + size > kMaxRecordBytes) send_batch();
            bytes += size;
            if (alive)
                batch.records.push_back(Registry::current_record(now, *entry));
            else
                batch.keys.push_back(entry->key());
        }
        send_batch();
    }
    for (const auto& announce : updates.announces) send_keys(announce.to, Kind::announce, announce.keys);
    for (const auto& graft : updates.grafts) send_keys(graft.to, Kind::graft, graft.keys);
}

void Gossip::send_keys(std::uint32_t to, Kind kind, const std::vector<Key>& keys) {
    for (std::size_t start = 0; start < keys.size(); start += kMaxKeysPerMessage) {
        Message batch = message(kind);
        const std::size_t end = std::min(keys.size(), start + kMaxKeysPerMessage);
        batch.keys.assign(keys.begin() + static_cast<std::ptrdiff_t>(start),
                          keys.begin() + static_cast<std::ptrdiff_t>(end));
        send(to, std::move(batch));
    }
}

void Gossip::send_records(std::uint32_t to, const std::vector<Key>& keys, std::size_t max_messages) {
    Message batch = message(Kind::records);
    std::vector<Key> gone;
    std::size_t bytes = 0;
    const auto send_batch = [&] {
        if (!batch.records.empty()) send(to, std::exchange(batch, message(Kind::records)));
        bytes = 0;
    };
    for (const Key& key : keys) {
        const Entry* entry = registry_.find(key.ip);
        if (!entry) continue;
        // A gone node's record is sent only to the node itself, which needs its last incarnation; other nodes
        // only learn that it is gone.
        if (entry->state == MemberState::gone && key.ip != to) {
            gone.push_back(entry->key());
            continue;
        }
        const std::size_t size = max_encoded_bytes(entry->record);
        if (bytes + size > kMaxRecordBytes) {
            if (--max_messages == 0) break;
            send_batch();
        }
        bytes += size;
        batch.records.push_back(Registry::current_record(now_, *entry));
    }
    send_batch();
    send_keys(to, Kind::verify, gone);
}

}  // namespace cobaltshift::gossip
