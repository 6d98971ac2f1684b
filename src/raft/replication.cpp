// Replication of the log, commits, and reads confirmed by a majority (read-index).
#include <algorithm>

#include "raft/raft_node.hpp"

namespace cobaltshift::raft {

namespace {
constexpr std::uint64_t kMostQuestions = 100000;
constexpr double kNarrowestLinkBytesPerMs = 500;  // 4 Mbit/s
}  // namespace

void RaftNode::broadcast(Millis now, bool again) {
    ++round_;
    round_wanted_ = false;
    for (auto& [id, peer] : peers_) {
        if (again && peer.match_known && peer.match + 1 < peer.next &&
            now >= peer.progressed_at + resend_after(peer)) {
            peer.next = peer.match + 1;
            peer.out_bytes = 0;
            peer.progressed_at = now;
        }
        if (peer.next <= snapshot_.index) {
            Message m = message(Message::Kind::append, id);  // a heartbeat all the same
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

// What was sent and got no word for so long may be lost: a datagram soon, what is long not before even a
// narrow link has carried it. Sent again too early, it would fill that link.
Millis RaftNode::resend_after(const Peer& peer) const {
    return settings_.heartbeat + static_cast<double>(peer.out_bytes) / kNarrowestLinkBytesPerMs;
}

void RaftNode::send_entries(MemberId to, bool even_if_empty) {
    Peer& peer = peers_.at(to);
    if (peer.next <= snapshot_.index) return;  // a snapshot first, with the next round
    do {
        Message m = message(Message::Kind::append, to);
        // A heartbeat overtakes entries that are on their way: it builds on what is known to have arrived, as
        // a gap before it would have them all sent again.
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

Index RaftNode::held_by_all(Millis now) const {
    Index least = last();
    for (const auto& [id, peer] : peers_)
        if (now <= peer.heard + 2 * settings_.election) least = std::min(least, peer.match);
    return least;
}

std::optional<Index> RaftNode::propose(std::string data) {
    if (!leads() || retired_ || transferring_leadership() || data.size() > kMaxEntryBytes) return {};
    append({term_, Entry::Kind::data, std::move(data)});
    return last();
}

bool RaftNode::confirm(std::uint64_t question) {
    if (!leads() || retired_ || transferring_leadership() || questions_.size() >= kMostQuestions)
        return false;
    questions_.push_back({question, round_ + 1});
    round_wanted_ = true;
    return true;
}

// The rounds that a majority has acknowledged answer what was asked before they began.
void RaftNode::confirm_reads() {
    if (role_ != Role::leader || questions_.empty() || commit_ < term_start_) return;
    std::vector<std::uint64_t> rounds;
    for (const Member& member : members_) {
        if (!member.voter) continue;
        const auto peer = peers_.find(member.id);
        rounds.push_back(member.id == id_ ? round_ : peer == peers_.end() ? 0 : peer->second.round);
    }
    if (rounds.size() < majority()) return;
    std::sort(rounds.rbegin(), rounds.rend());
    const std::uint64_t held = rounds[majority() - 1];
    for (const Question& question : questions_)
        if (question.round <= held) confirmed_.push_back(question.number);
    std::erase_if(questions_, [&](const Question& q) { return q.round <= held; });
}

void RaftNode::maybe_commit() {
    if (role_ != Role::leader) return;
    std::vector<Index> matches;
    for (const Member& member : members_) {
        if (!member.voter) continue;
        const auto peer = peers_.find(member.id);
        matches.push_back(member.id == id_ ? kept_ : peer == peers_.end() ? 0 : peer->second.match);
    }
    if (matches.size() < majority()) return;
    std::sort(matches.rbegin(), matches.rend());
    const Index held = matches[majority() - 1];
    if (held <= commit_ || term_at(held) != term_) return;  // of earlier terms only by one of this (5.4.2)
    commit_ = held;
    if (!changing() && !voter(id_)) return follow(now_, term_, kNobody);  // dropped by its own word
    confirm_reads();
}
// What a leader's message is answered with; none: it was no leader's any more, and has been told so.
std::optional<Message> RaftNode::hear_leader(Millis now, const Message& m) {
    Message answer = reply(Message::Kind::appended, m);
    answer.round = m.round;
    if (m.term < term_) {
        out_.push_back(std::move(answer));
        return {};
    }
    if (role_ == Role::leader && m.term == term_) throw Broken("two leaders in one term");
    follow(now, m.term, m.from);
    leader_heard_ = now;
    answer.term = term_;
    return answer;
}

void RaftNode::on_append(Millis now, const Message& m) {
    auto heard = hear_leader(now, m);
    if (!heard) return;
    Message& answer = *heard;
    if (m.index > last()) {
        answer.index = last();
    } else if (m.index < snapshot_.index) {
        // All up to the snapshot is committed here; a leader that knows less of us begins from there.
        answer.index = commit_;
        answer.ok = true;
    } else if (term_at(m.index) != m.log_term) {
        // Back to before this term's first entry: one step for each term, not for each entry.
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

RaftNode::Peer* RaftNode::hear_member(Millis now, const Message& m) {
    if (m.term > term_) {
        follow(now, m.term, kNobody);
        return nullptr;
    }
    if (role_ != Role::leader || m.term != term_) return nullptr;
    const auto at = peers_.find(m.from);
    if (at == peers_.end()) return nullptr;
    Peer& peer = at->second;
    if (m.run.starts > peer.match_starts && peer.match > 0 && m.last < peer.match) {
        // It had stored more than this in an earlier run: its disk is an older one.
        ++counts_.rolled_back;
        Message gone = reply(Message::Kind::gone, m);
        gone.run = m.run;
        out_.push_back(std::move(gone));
        return nullptr;
    }
    peer.heard = now;
    peer.active = true;
    peer.round = std::max(peer.round, std::min(m.round, round_));
    return &peer;
}

void RaftNode::on_appended(Millis now, const Message& m) {
    Peer* member = hear_member(now, m);
    if (!member) return;
    Peer& peer = *member;
    if (m.ok) {
        if (m.index > last()) return;  // of no log of this leader's
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
        if (m.from == transfer_to_) ask_to_lead();
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
