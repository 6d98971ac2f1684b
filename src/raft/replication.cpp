// RaftNode: log replication, commits, and reads confirmed by a majority (read-index).
#include <algorithm>

#include "raft/raft_node.hpp"

namespace cobaltshift::raft {

namespace {
constexpr std::uint64_t kMaxPendingReads = 100000;
constexpr double kMinLinkBytesPerMs = 500;  // 4 Mbit/s, the slowest link supported
}  // namespace

void RaftNode::broadcast(Millis now, bool again) {
    ++round_;
    round_requested_ = false;
    for (auto& [id, peer] : peers_) {
        if (again && peer.match_known && peer.match + 1 < peer.next &&
            now >= peer.progressed_at + resend_timeout(peer)) {
            peer.next = peer.match + 1;
            peer.out_bytes = 0;
            peer.progressed_at = now;
        }
        if (peer.next <= snapshot_.index) {
            Message m = message(Message::Kind::append, id);  // heartbeat in addition to the snapshot
            m.index = m.log_term = 0;
            m.commit = 0;
            m.round = round_;
            out_.push_back(std::move(m));
            send_snapshot(now, id, peer);
            continue;
        }
        send_entries(id, true);
    }
    confirm_reads();
}

// Time without an acknowledgement after which entries in flight are sent again. It grows with the bytes in
// flight, so that even the slowest link has had time to deliver them: resending earlier would congest it.
Millis RaftNode::resend_timeout(const Peer& peer) const {
    return settings_.heartbeat + static_cast<double>(peer.out_bytes) / kMinLinkBytesPerMs;
}

void RaftNode::send_entries(MemberId to, bool even_if_empty) {
    Peer& peer = peers_.at(to);
    if (peer.next <= snapshot_.index) return;  // needs a snapshot, which the next round sends
    do {
        Message m = message(Message::Kind::append, to);
        // A heartbeat can overtake entries in flight. It therefore refers to the last acknowledged entry: if
        // the receiver saw a gap, it would reject the heartbeat and all entries would be sent again.
        const bool may_send = peer.next <= last() && peer.out_bytes < settings_.window_bytes;
        const bool overtakes =
            !may_send && peer.match_known && peer.out_bytes > 0 && peer.match >= snapshot_.index;
        m.index = overtakes ? peer.match : peer.next - 1;
        m.log_term = term_at(m.index);
        m.commit = commit_;
        m.round = round_;
        if (may_send && peer.out_bytes == 0) peer.progressed_at = now_;
        std::size_t bytes = 0;
        while (peer.next <= last() && bytes < settings_.batch_bytes &&
               m.entries.size() < kMaxEntriesInMessage && peer.out_bytes < settings_.window_bytes) {
            const Entry& entry = at(peer.next);
            bytes += entry.data.size() + 32;
            peer.out_bytes += entry.data.size() + 32;
            m.entries.push_back(entry);
            ++peer.next;
        }
        if (m.entries.empty() && !even_if_empty) return;
        even_if_empty = false;
        out_.push_back(std::move(m));
    } while (peer.next <= last() && peer.out_bytes < settings_.window_bytes);
}

Index RaftNode::replicated_to_all(Millis now) const {
    Index least = last();
    for (const auto& [id, peer] : peers_)
        if (now <= peer.last_contact + 2 * settings_.election) least = std::min(least, peer.match);
    return least;
}

std::optional<Index> RaftNode::propose(std::string data) {
    if (!leads() || retired_ || transferring_leadership() || data.size() > kMaxEntryBytes) return {};
    append({term_, Entry::Kind::data, std::move(data)});
    return last();
}

bool RaftNode::confirm_leadership(std::uint64_t read_id) {
    if (!leads() || retired_ || transferring_leadership() || pending_reads_.size() >= kMaxPendingReads)
        return false;
    pending_reads_.push_back({read_id, round_ + 1});
    round_requested_ = true;
    return true;
}

// A round that a majority has acknowledged confirms all reads that were requested before it was started.
void RaftNode::confirm_reads() {
    if (role_ != Role::leader || pending_reads_.empty() || commit_ < term_start_) return;
    std::vector<std::uint64_t> rounds;
    for (const Member& member : members_) {
        if (!member.voter) continue;
        const auto peer = peers_.find(member.id);
        rounds.push_back(member.id == id_ ? round_ : peer == peers_.end() ? 0 : peer->second.round);
    }
    if (rounds.size() < majority()) return;
    std::sort(rounds.rbegin(), rounds.rend());
    const std::uint64_t acknowledged = rounds[majority() - 1];
    for (const PendingRead& read_id : pending_reads_)
        if (read_id.round <= acknowledged) confirmed_reads_.push_back(read_id.number);
    std::erase_if(pending_reads_, [&](const PendingRead& q) { return q.round <= acknowledged; });
}

void RaftNode::maybe_commit() {
    if (role_ != Role::leader) return;
    std::vector<Index> matches;
    for (const Member& member : members_) {
        if (!member.voter) continue;
        const auto peer = peers_.find(member.id);
        matches.push_back(member.id == id_       ? persisted_index_
                          : peer == peers_.end() ? 0
                                                 : peer->second.match);
    }
    if (matches.size() < majority()) return;
    std::sort(matches.rbegin(), matches.rend());
    const Index replicated = matches[majority() - 1];
    // Entries of earlier terms are committed only together with one of this term (Raft paper, 5.4.2).
    if (replicated <= commit_ || term_at(replicated) != term_) return;
    commit_ = replicated;
    if (!changing() && !voter(id_))
        return become_follower(now_, term_, kNoMember);  // removed itself: steps down
    confirm_reads();
}

// The response to prepare for a leader's message. None: the sender's term is outdated, which it has been
// told.
std::optional<Message> RaftNode::accept_leader_message(Millis now, const Message& m) {
    Message answer = reply(Message::Kind::append_response, m);
    answer.round = m.round;
    if (m.term < term_) {
        out_.push_back(std::move(answer));
        return {};
    }
    if (role_ == Role::leader && m.term == term_)
        throw ProtocolViolation("another member claims to lead in this leader's term");
    become_follower(now, m.term, m.from);
    last_leader_contact_ = now;
    answer.term = term_;
    return answer;
}

void RaftNode::on_append(Millis now, const Message& m) {
    auto accepted = accept_leader_message(now, m);
    if (!accepted) return;
    Message& answer = *accepted;
    if (m.index > last()) {
        answer.index = last();
    } else if (m.index < snapshot_.index) {
        // Everything up to the snapshot is committed here; the leader continues after the commit index.
        answer.index = commit_;
        answer.ok = true;
    } else if (term_at(m.index) != m.log_term) {
        // Goes back to before the first entry of the conflicting term: one round trip for each term instead
        // of one for each entry.
        const Term wrong = term_at(m.index);
        Index back = m.index;
        while (back > snapshot_.index && term_at(back) == wrong) --back;
        answer.index = std::max(back, commit_);
    } else {
        for (std::size_t i = 0; i < m.entries.size(); ++i) {
            const Index index = m.index + 1 + i;
            if (index <= last()) {
                if (term_at(index) == m.entries[i].term) continue;
                truncate(index);
            }
            append(m.entries[i]);
        }
        const Index match = m.index + m.entries.size();
        commit_ = std::max(commit_, std::min(m.commit, match));
        answer.ok = true;
        answer.index = match;
    }
    answer.last = last();
    out_.push_back(std::move(answer));
}

RaftNode::Peer* RaftNode::accept_member_response(Millis now, const Message& m) {
    if (m.term > term_) {
        become_follower(now, m.term, kNoMember);
        return nullptr;
    }
    if (role_ != Role::leader || m.term != term_) return nullptr;
    const auto at = peers_.find(m.from);
    if (at == peers_.end()) return nullptr;
    Peer& peer = at->second;
    if (m.run.starts > peer.match_starts && peer.match > 0 && m.last < peer.match) {
        // An earlier run of this member had acknowledged more than its log holds now: its folder was rolled
        // back.
        ++counts_.rolled_back;
        Message gone = reply(Message::Kind::not_a_member, m);
        gone.run = m.run;
        out_.push_back(std::move(gone));
        return nullptr;
    }
    peer.last_contact = now;
    peer.active = true;
    peer.round = std::max(peer.round, std::min(m.round, round_));
    return &peer;
}

void RaftNode::on_appended(Millis now, const Message& m) {
    Peer* member = accept_member_response(now, m);
    if (!member) return;
    Peer& peer = *member;
    if (m.ok) {
        if (m.index > last()) return;  // refers to entries that this leader doesn't have
        peer.match_known = true;
        if (m.index > peer.match) {
            peer.match = m.index;
            peer.progressed_at = now;
            peer.match_starts = m.run.starts;
            peer.out_bytes = 0;
            for (Index i = std::max(peer.match + 1, first()); i < peer.next; ++i)
                peer.out_bytes += this->at(i).data.size() + 32;
        }
        peer.next = std::max(peer.next, peer.match + 1);
        if (peer.next > snapshot_.index) peer.transfer.reset();
        if (m.from == transfer_to_) send_timeout_now();
    } else if (m.index + 1 < peer.next && m.index >= peer.match) {
        peer.next = m.index + 1;
        peer.out_bytes = 0;
        peer.match_known = true;
    } else {
        confirm_reads();
        return;
    }
    maybe_commit();
    confirm_reads();
    if (role_ == Role::leader && peer.next <= last()) send_entries(m.from, false);
}

}  // namespace cobaltshift::raft
