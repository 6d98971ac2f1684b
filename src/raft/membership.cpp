// Changes of membership, one at a time, and the refusal of members that have lost what they had stored.
#include <algorithm>

#include "raft/codec.hpp"
#include "raft/raft_node.hpp"

namespace cobaltshift::raft {

namespace {
constexpr Millis kJoinerLife = 3000;   // an asker unheard so long is forgotten
constexpr std::size_t kSeenMost = 64;  // ids whose runs are remembered
}  // namespace

void RaftNode::read_members() {
    members_at_ = snapshot_.index;
    members_ = snapshot_.members;
    for (Index index = last(); index > snapshot_.index; --index) {
        const Entry& entry = at(index);
        if (entry.kind != Entry::Kind::members) continue;
        const auto members = decode_members(entry.data);
        if (!members) throw Broken("an entry of members can't be read");
        members_at_ = index;
        members_ = *members;
        break;
    }
    if (role_ != Role::leader) return;
    for (const Member& member : members_)
        if (member.id != id_ && !peers_.count(member.id)) peers_[member.id].next = last() + 1;
    std::erase_if(peers_, [&](const auto& at) { return !find(at.first); });
}
bool RaftNode::rolled_back(const Message& m) {
    if (m.kind == Message::Kind::gone) return false;
    const auto at = seen_.find(m.from);
    if (at == seen_.end()) {
        if (seen_.size() >= kSeenMost) seen_.erase(seen_.begin());
        seen_[m.from] = {
            m.run, m.kind == Message::Kind::ask_prevote || m.kind == Message::Kind::prevote ? 0 : m.term};
        return false;
    }
    Seen& seen = at->second;
    // A life never starts the same run twice, and its term never falls: a later run with less is an older
    // folder.
    const bool older =
        m.run.starts == seen.run.starts ? m.run.draw != seen.run.draw
        : m.run.starts > seen.run.starts
            ? m.kind != Message::Kind::ask_prevote && m.kind != Message::Kind::prevote && m.term < seen.term
            : false;
    if (older) {
        ++counts_.rolled_back;
        Message gone = reply(Message::Kind::gone, m);
        gone.run = m.run;
        gone.term = std::max(term_, m.term);
        out_.push_back(std::move(gone));
        return true;
    }
    if (m.run.starts < seen.run.starts) return true;  // late, from a run that is over
    seen.run = m.run;
    if (m.kind != Message::Kind::ask_prevote && m.kind != Message::Kind::prevote)
        seen.term = std::max(seen.term, m.term);
    return false;
}

void RaftNode::on_join(Millis now, const Message& m) {
    if (role_ != Role::leader || m.number >= settings_.keepers) return;
    const Member* known = find(m.from);
    if (known) return;
    joiners_[m.number] = {m.from, now};
}

void RaftNode::change(Millis now, const Members& to) {
    append({term_, Entry::Kind::members, encode(to)});
    broadcast(now);
}

void RaftNode::reconsider_members(Millis now) {
    if (!leads() || changing()) return;
    for (const Member& member : members_) {
        const auto peer = peers_.find(member.id);
        if (member.voter || peer == peers_.end() || !peer->second.active) continue;
        // All that was committed a heartbeat ago: under steady changes nobody ever has what was committed
        // just now.
        if (peer->second.match < commit_before_ || now > peer->second.heard + settings_.election) continue;
        Members to = members_;
        for (Member& one : to)
            if (one.id == member.id) one.voter = true;
        return change(now, to);
    }
    std::erase_if(joiners_, [&](const auto& at) { return now > at.second.heard + kJoinerLife; });
    for (const auto& [number, joiner] : joiners_) {
        Members to = members_;
        const auto former =
            std::find_if(to.begin(), to.end(), [&, n = number](const Member& m) { return m.number == n; });
        if (former != to.end()) {
            // One at a time: the life before it goes first, if nobody hears it any more.
            const auto peer = peers_.find(former->id);
            if (former->id == id_ || peer == peers_.end() ||
                now < peer->second.heard + 2 * settings_.election)
                continue;
            to.erase(former);
        } else {
            if (to.size() >= kMaxMembers) continue;
            to.push_back({joiner.id, number, false});
        }
        return change(now, to);
    }
}

bool RaftNode::remove(std::uint32_t number) {
    if (!leads() || changing() || retired_) return false;
    Members to = members_;
    const auto at = std::find_if(to.begin(), to.end(), [&](const Member& m) { return m.number == number; });
    if (at == to.end() || at->id == id_ || to.size() < 2) return false;
    to.erase(at);
    change(now_, to);
    return true;
}

}  // namespace cobaltshift::raft
