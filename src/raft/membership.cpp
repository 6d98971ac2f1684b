// RaftNode: membership changes, one at a time, and detection of members whose folder was rolled back to an
// earlier state.
#include <algorithm>

#include "raft/codec.hpp"
#include "raft/raft_node.hpp"

namespace cobaltshift::raft {

namespace {
constexpr Millis kJoinRequestTtlMs = 3000;      // a join request is dropped if not repeated by then
constexpr std::size_t kMaxTrackedMembers = 64;  // member ids whose newest run is remembered
}  // namespace

void RaftNode::reload_members() {
    members_at_ = snapshot_.index;
    members_ = snapshot_.members;
    for (Index index = last(); index > snapshot_.index; --index) {
        const Entry& entry = at(index);
        if (entry.kind != Entry::Kind::members) continue;
        const auto members = decode_members(entry.data);
        if (!members) throw ProtocolViolation("a membership entry in the log can't be decoded");
        members_at_ = index;
        members_ = *members;
        break;
    }
    if (role_ != Role::leader) return;
    for (const Member& member : members_)
        if (member.id != id_ && !peers_.count(member.id)) peers_[member.id].next = last() + 1;
    std::erase_if(peers_, [&](const auto& at) { return !find(at.first); });
}

// True: the message must be dropped, because it is from an earlier run of its sender, or from a later run
// with an older folder. In the second case the sender is told that it is no longer a member.
bool RaftNode::is_stale_or_rolled_back(const Message& m) {
    if (m.kind == Message::Kind::not_a_member) return false;
    const auto at = known_runs_.find(m.from);
    if (at == known_runs_.end()) {
        if (known_runs_.size() >= kMaxTrackedMembers) known_runs_.erase(known_runs_.begin());
        known_runs_[m.from] = {
            m.run, m.kind == Message::Kind::request_prevote || m.kind == Message::Kind::prevote_response
                       ? 0
                       : m.term};
        return false;
    }
    KnownRun& seen = at->second;
    // A member never uses a start counter twice and its term never decreases. The same counter with another
    // random number, or a later run with a lower term, shows that the folder was rolled back.
    const bool older = m.run.starts == seen.run.starts ? m.run.nonce != seen.run.nonce
                       : m.run.starts > seen.run.starts
                           ? m.kind != Message::Kind::request_prevote &&
                                 m.kind != Message::Kind::prevote_response && m.term < seen.term
                           : false;
    if (older) {
        ++counts_.rolled_back;
        Message gone = reply(Message::Kind::not_a_member, m);
        gone.run = m.run;
        gone.term = std::max(term_, m.term);
        out_.push_back(std::move(gone));
        return true;
    }
    if (m.run.starts < seen.run.starts) return true;  // delayed message of an earlier run
    seen.run = m.run;
    if (m.kind != Message::Kind::request_prevote && m.kind != Message::Kind::prevote_response)
        seen.term = std::max(seen.term, m.term);
    return false;
}

void RaftNode::on_join(Millis now, const Message& m) {
    if (role_ != Role::leader || m.number >= settings_.member_slots) return;
    const Member* known = find(m.from);
    if (known) return;
    joiners_[m.number] = {m.from, now};
}

void RaftNode::propose_members(Millis now, const Members& to) {
    append({term_, Entry::Kind::members, encode(to)});
    broadcast(now);
}

void RaftNode::advance_membership(Millis now) {
    if (!leads() || changing()) return;
    for (const Member& member : members_) {
        const auto peer = peers_.find(member.id);
        if (member.voter || peer == peers_.end() || !peer->second.active) continue;
        // A learner becomes a voter once it has everything that was committed a heartbeat ago. Under a steady
        // load no learner ever holds what was committed just now.
        if (peer->second.match < previous_commit_ || now > peer->second.last_contact + settings_.election)
            continue;
        Members to = members_;
        for (Member& one : to)
            if (one.id == member.id) one.voter = true;
        return propose_members(now, to);
    }
    std::erase_if(joiners_, [&](const auto& at) { return now > at.second.last_contact + kJoinRequestTtlMs; });
    for (const auto& [number, joiner] : joiners_) {
        Members to = members_;
        const auto former =
            std::find_if(to.begin(), to.end(), [&, n = number](const Member& m) { return m.number == n; });
        if (former != to.end()) {
            // Single-server changes: the earlier incarnation is removed first, if it has been silent.
            const auto peer = peers_.find(former->id);
            if (former->id == id_ || peer == peers_.end() ||
                now < peer->second.last_contact + 2 * settings_.election)
                continue;
            to.erase(former);
        } else {
            if (to.size() >= kMaxMembers) continue;
            to.push_back({joiner.id, number, false});
        }
        return propose_members(now, to);
    }
}

bool RaftNode::remove(std::uint32_t number) {
    if (!leads() || changing() || retired_) return false;
    Members to = members_;
    const auto at = std::find_if(to.begin(), to.end(), [&](const Member& m) { return m.number == number; });
    if (at == to.end() || at->id == id_ || to.size() < 2) return false;
    to.erase(at);
    propose_members(now_, to);
    return true;
}

}  // namespace cobaltshift::raft
