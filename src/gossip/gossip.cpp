#include "gossip/gossip.hpp"

#include <algorithm>
#include <utility>

namespace cobaltshift::gossip {

using registry::Entry;
using registry::newer;
using registry::NodeRecord;
using registry::Registry;
using registry::same_age;
using registry::Standing;

namespace {
constexpr std::size_t kMostRelays = 64;
constexpr Millis kAskGone = 500;  // between probes of gone ones because of hints
constexpr Millis kRelay = 1000, kForgetEvery = 5000, kJoinAgain = 200;
}  // namespace

Gossip::Gossip(const GossipSettings& settings, NodeRecord self)
    : settings_(settings),
      own_(self.ip),
      random_(settings.seed),
      detector_(settings.watch, settings.seed ^ 0x77617463) {
    self.life = 1 + random_.below(std::size_t{1} << 31);
    self.seq = 1;
    registry_.take(0, self);
}

void Gossip::start(Millis now) {
    now_ = now;
    knock_pause_ = settings_.knock_first;
    knock_at_ = now;
    forget_at_ = now + kForgetEvery;
    compared_ = now - settings_.sync_pause;
    tick(now);
}

Gossip::Output Gossip::take() {
    if (now_ >= flushed_ + settings_.gather) flush(now_);
    auto& changed = out_.changed;
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    return std::exchange(out_, {});
}

Millis Gossip::due() const {
    // The rest goes along with probes.
    const bool waits = !news_.pushes.empty();
    return std::min({detector_.due(), tree_.due(), knows_others() ? 1e18 : knock_at_, join_at_,
                     waits ? flushed_ + settings_.gather : 1e18});
}

Message Gossip::message(Kind kind) const {
    const NodeRecord& own = self();
    Message message;
    message.kind = kind;
    message.from = {own_, own.life, own.seq, own.config_edition, registry_.digest()};
    return message;
}

void Gossip::tell(Millis now, const NodeRecord& record) {
    now_ = now;
    NodeRecord next = record;
    const NodeRecord& own = self();
    next.ip = own_;
    next.life = own.life;
    next.seq = own.seq;
    if (registry::same_content(next, own)) return;
    ++next.seq;
    registry_.take(now, next);
    pass(now, own_, 0);
}

void Gossip::raise(Millis now, std::uint64_t life, std::uint64_t seq) {
    NodeRecord next = Registry::handed_on(now, *registry_.find(own_));
    if (life != next.life) {
        ++counts_.lives;
        out_.changed.push_back(own_);
    }
    next.life = life;
    next.seq = seq;
    registry_.take(now, next);
    pass(now, own_, 0);
}

bool Gossip::contested(Millis now, const Key& key) {
    if (key.ip != own_) return false;
    const NodeRecord& own = self();
    if (key.life > own.life || (key.life == own.life && key.seq > own.seq)) {
        raise(now, key.life + 1, 1);
    } else if (same_age(key, own) && key.standing != Standing::alive) {
        ++counts_.refuted;
        raise(now, own.life, own.seq + 1);
    }
    return true;
}

void Gossip::pass(Millis now, std::uint32_t ip, std::uint32_t from, bool by_tree) {
    if (relink_) {
        relink_ = false;
        tree_.link(neighbours_of(self(), registry_));
    }
    tree_.pass(now, registry_.find(ip)->key(), from, by_tree, news_);
}

bool Gossip::take_record(Millis now, const NodeRecord& record, std::uint32_t from, Way way) {
    if (contested(now, {record.ip, record.life, record.seq, Standing::alive})) return false;
    const Entry* had = registry_.find(record.ip);
    const bool was_there = had && had->standing != Standing::gone;
    const bool same_life = was_there && had->record.life == record.life;
    const Registry::Merge merge = registry_.take(now, record);
    if (merge.taken == Registry::Taken::refused) ++counts_.refused;
    if (merge.taken != Registry::Taken::newer) return false;
    changed_at_ = now;
    if (!was_there) relink_ = true;
    if (merge.changed) out_.changed.push_back(record.ip);
    if (record.config_edition > self().config_edition)
        out_.editions.push_back({record.ip, record.config_edition});
    detector_.set(now, record.ip, Standing::alive);
    tree_.came({record.ip, record.life, record.seq, Standing::alive});
    // Of one that has just begun nobody else may know: it goes by the tree from here.
    if (way != Way::quiet) pass(now, record.ip, from, way == Way::tree || !same_life);
    return true;
}

bool Gossip::take_standing(Millis now, const Key& key, std::uint32_t from) {
    if (key.standing == Standing::alive || contested(now, key)) return false;
    const Entry* entry = registry_.find(key.ip);
    if (!entry) return false;
    if (newer(entry->record, key)) {  // refuted: they don't know yet
        send_records(from, {entry->key()}, 1);
        return false;
    }
    if (entry->standing >= key.standing) return false;
    Standing taken = key.standing;
    if (key.standing == Standing::gone && entry->standing == Standing::alive && !entry->record.leaving) {
        // Of its suspicion we never heard, nor perhaps it: it is asked, and gone if it doesn't answer.
        send_keys(key.ip, Kind::doubt, {key});
        taken = Standing::suspect;
    }
    if (taken == Standing::gone) {
        registry_.bury(now, key);
        relink_ = true;
    } else if (newer(key, entry->record)) {  // suspected with a record that we don't have
        send_keys(from, Kind::want, {key});
        return false;
    } else {
        registry_.stand(now, key.ip, taken);
    }
    changed_at_ = now;
    detector_.set(now, key.ip, taken);
    out_.changed.push_back(key.ip);
    pass(now, key.ip, from);
    return true;
}

void Gossip::heard(Millis now, const Message& message) {
    now_ = now;
    if (message.from.ip == own_ || message.from.ip == 0) return;
    bool any_new = false;  // what it says of itself first: so that we don't ask for it
    for (const NodeRecord& record : message.records)
        if (record.ip == message.from.ip)
            any_new |= take_record(now, record, message.from.ip,
                                   message.kind == Kind::news ? Way::tree : Way::aside);
    greet(message);
    switch (message.kind) {
        case Kind::probe: {
            answer_probe(now, message);
            failure_detector::FailureDetector::Output out;
            detector_.early(now, out);
            return carry_out(now, out);
        }
        case Kind::ack:
            return take_ack(now, message);
        case Kind::ask_probe: {
            if (message.target.ip == own_ || relays_.size() >= kMostRelays) return;
            const auto number = static_cast<std::uint32_t>(0x80000000 | random_.below(0x7fffffff));
            relays_.push_back({number, message.target.ip, message.from.ip, message.number, now + kRelay});
            return probe(message.target.ip, number);
        }
        case Kind::news:
            return take_news(now, message, any_new);
        case Kind::announce:
            return take_announced(now, message);
        case Kind::graft:
            tree_.grafted(message.from.ip);
            news_.pushes.push_back({message.from.ip, message.keys});
            return;
        case Kind::prune:
            return tree_.pruned(message.from.ip);
        case Kind::ranges:
            return answer_ranges(message);
        case Kind::summary:
            return take_summary(now, message);
        case Kind::want:
            return send_records(message.from.ip, message.keys, settings_.most_answers);
        case Kind::records:
            for (const NodeRecord& record : message.records)
                take_record(now, record, message.from.ip, joined_ ? Way::aside : Way::quiet);
            if (!joined_) join_at_ = std::min(join_at_, now + 20);
            return;
        case Kind::doubt:
            failure_detector::FailureDetector::Output doubts;
            for (const Key& key : message.keys) {
                if (contested(now, key)) continue;
                const Entry* entry = registry_.find(key.ip);
                if (!entry || entry->standing == Standing::gone || newer(entry->record, key)) continue;
                send_keys(key.ip, Kind::doubt, {key});  // it says otherwise if it lives
                detector_.doubt(now, key.ip, doubts);
            }
            return carry_out(now, doubts);
    }
}

void Gossip::greet(const Message& message) {
    const Hello& from = message.from;
    if (from.config_edition > self().config_edition) out_.editions.push_back({from.ip, from.config_edition});
    const Entry* entry = registry_.find(from.ip);
    const Key key{from.ip, from.life, from.seq, Standing::alive};
    if (!entry || newer(key, entry->record)) {
        if (message.kind != Kind::announce) send_keys(from.ip, Kind::want, {key});  // else the gossip asks
    } else if (newer(entry->record, key)) {
        // It has begun anew and draws a lower life than before; or this was long on its way.
        send_records(from.ip, {entry->key()}, 1);
    } else if (entry->standing == Standing::gone) {
        send_keys(from.ip, Kind::doubt, {entry->key()});
    }
}

void Gossip::probe(std::uint32_t to, std::uint32_t number) {
    const Entry* entry = registry_.find(to);
    if (!entry || entry->standing == Standing::gone) {
        Message strange = message(Kind::probe);
        strange.number = number;
        strange.target.ip = to;
        if (entry) strange.target = entry->key();
        strange.records.push_back(Registry::handed_on(now_, *registry_.find(own_)));
        return send(to, std::move(strange));
    }
    Message probe = message(Kind::probe);
    probe.number = number;
    probe.target = entry->key();
    send(to, std::move(probe));
}

void Gossip::answer_probe(Millis now, const Message& message) {
    contested(now, message.target);
    Message ack = this->message(Kind::ack);
    ack.number = message.number;
    ack.target = registry_.find(own_)->key();
    const bool behind = message.target.ip != own_ || newer(self(), message.target);
    if (behind) ack.records.push_back(Registry::handed_on(now, *registry_.find(own_)));
    send(message.from.ip, std::move(ack));
}

void Gossip::take_ack(Millis now, const Message& message) {
    const std::uint32_t target = message.target.ip;
    failure_detector::FailureDetector::Output out;
    detector_.answered(now, target, out);
    carry_out(now, out);
    if (target != message.from.ip) return;  // somebody else's answer, handed on to us
    std::erase_if(relays_, [&](const Relay& relay) {
        if (relay.number != message.number || relay.target != target) return relay.until < now;
        Message ack = this->message(Kind::ack);
        ack.number = relay.askers_number;
        ack.target = message.target;
        send(relay.asker, std::move(ack));
        return true;
    });
    if (!joined_) join_at_ = std::min(join_at_, now);
    compare_if_due(now, message);
}

void Gossip::take_news(Millis now, const Message& message, bool any_new) {
    // One who tells us something new is no second way, whatever else comes with it.
    for (const NodeRecord& record : message.records)
        if (record.ip != message.from.ip) any_new |= take_record(now, record, message.from.ip, Way::tree);
    for (const Key& key : message.keys) any_new |= take_standing(now, key, message.from.ip);
    if (any_new) return tree_.grafted(message.from.ip);
    std::vector<Key> keys = message.keys;
    for (const NodeRecord& record : message.records)
        keys.push_back({record.ip, record.life, record.seq, Standing::alive});
    if (!tree_.twice(now, message.from.ip, keys)) return;
    ++counts_.twice;
    send(message.from.ip, this->message(Kind::prune));
}

void Gossip::take_announced(Millis now, const Message& message) {
    for (const Key& key : message.keys) {
        if (contested(now, key)) continue;
        const Entry* entry = registry_.find(key.ip);
        const bool have = entry && (newer(entry->record, key) ||
                                    (same_age(entry->record, key) && entry->standing >= key.standing));
        if (!have) tree_.announced(now, message.from.ip, key);
    }
}

void Gossip::leave(Millis now) {
    now_ = now;
    flush(now);
    const NodeRecord& own = self();
    const Key key{own_, own.life, own.seq, Standing::gone};
    for (const auto& link : tree_.links()) send_keys(link.ip, Kind::news, {key});
}

void Gossip::reachable(Millis now, std::uint32_t ip) {
    now_ = now;
    const Entry* entry = registry_.find(ip);
    if (entry && entry->standing == Standing::gone && now - asked_gone_ > kAskGone) {
        asked_gone_ = now;
        probe(ip, 0);  // only it can say that it lives
    }
    failure_detector::FailureDetector::Output out;
    detector_.answered(now, ip, out);
    carry_out(now, out);
}

void Gossip::unreachable(Millis now, std::uint32_t ip) {
    now_ = now;
    failure_detector::FailureDetector::Output out;
    detector_.doubt(now, ip, out);
    carry_out(now, out);
}

void Gossip::carry_out(Millis now, failure_detector::FailureDetector::Output& out) {
    for (const std::uint32_t ip : out.suspected) {
        ++counts_.suspected;
        if (!registry_.stand(now, ip, Standing::suspect)) continue;
        out_.changed.push_back(ip);
        pass(now, ip, 0);
    }
    for (const std::uint32_t ip : out.gone) {
        ++counts_.gone;
        if (!registry_.stand(now, ip, Standing::gone)) continue;
        changed_at_ = now;
        relink_ = true;
        out_.changed.push_back(ip);
        pass(now, ip, 0);
    }
    for (const std::uint32_t ip : out.cleared)
        if (registry_.stand(now, ip, Standing::alive)) out_.changed.push_back(ip);
    for (const auto& wanted : out.probes) probe(wanted.to, wanted.number);
    for (const auto& ask : out.asks) {
        const Entry* entry = registry_.find(ask.target);
        if (!entry) continue;
        Message asking = message(Kind::ask_probe);
        asking.number = ask.number;
        asking.target = entry->key();
        send(ask.helper, std::move(asking));
    }
}

void Gossip::tick(Millis now) {
    now_ = now;
    failure_detector::FailureDetector::Output out;
    detector_.tick(now, out);
    carry_out(now, out);
    tree_.tick(now, news_);
    if (now >= knock_at_) knock(now);
    if (now >= join_at_) {
        join_at_ = joined_ ? 1e18 : now + kJoinAgain;
        if (const std::uint32_t with = joined_ ? 0 : any_living()) compare(now, with);
    }
    if (now >= forget_at_) {
        forget_at_ = now + kForgetEvery;
        for (const std::uint32_t ip : registry_.forget(now)) detector_.remove(ip);
        std::erase_if(relays_, [&](const Relay& relay) { return relay.until < now; });
    }
}

void Gossip::flush(Millis now) {
    if (news_.pushes.empty() && news_.announces.empty() && news_.grafts.empty()) return;
    if (!news_.pushes.empty()) flushed_ = now;
    auto news = std::exchange(news_, {});
    for (auto& push : news.pushes) {
        Message said = message(Kind::news);
        std::size_t bytes = 0;
        const auto go = [&] {
            if (!said.records.empty() || !said.keys.empty())
                send(push.to, std::exchange(said, message(Kind::news)));
            bytes = 0;
        };
        for (const Key& key : push.keys) {
            const Entry* entry = registry_.find(key.ip);
            if (!entry) continue;
            const bool alive = entry->standing == Standing::alive;
            const std::size_t size = alive ? bytes_of(entry->record) : 21;
            if (bytes + size > kRoom) go();
            bytes += size;
            if (alive)
                said.records.push_back(Registry::handed_on(now, *entry));
            else
                said.keys.push_back(entry->key());
        }
        go();
    }
    for (const auto& announce : news.announces) send_keys(announce.to, Kind::announce, announce.keys);
    for (const auto& graft : news.grafts) send_keys(graft.to, Kind::graft, graft.keys);
}

void Gossip::send_keys(std::uint32_t to, Kind kind, const std::vector<Key>& keys) {
    for (std::size_t start = 0; start < keys.size(); start += kMostKeys) {
        Message said = message(kind);
        const std::size_t end = std::min(keys.size(), start + kMostKeys);
        said.keys.assign(keys.begin() + static_cast<std::ptrdiff_t>(start),
                         keys.begin() + static_cast<std::ptrdiff_t>(end));
        send(to, std::move(said));
    }
}

void Gossip::send_records(std::uint32_t to, const std::vector<Key>& keys, std::size_t most) {
    Message said = message(Kind::records);
    std::vector<Key> gone;
    std::size_t bytes = 0;
    const auto go = [&] {
        if (!said.records.empty()) send(to, std::exchange(said, message(Kind::records)));
        bytes = 0;
    };
    for (const Key& key : keys) {
        const Entry* entry = registry_.find(key.ip);
        if (!entry) continue;
        // Of one that is gone the others need no record, but that it is; itself needs to know its last life.
        if (entry->standing == Standing::gone && key.ip != to) {
            gone.push_back(entry->key());
            continue;
        }
        const std::size_t size = bytes_of(entry->record);
        if (bytes + size > kRoom) {
            if (--most == 0) break;
            go();
        }
        bytes += size;
        said.records.push_back(Registry::handed_on(now_, *entry));
    }
    go();
    send_keys(to, Kind::doubt, gone);
}

}  // namespace cobaltshift::gossip
