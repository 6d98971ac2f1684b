#include "raft/raft_node.hpp"

#include <algorithm>

#include "raft/codec.hpp"

namespace cobaltshift::raft {

PersistentState bootstrap(std::uint64_t cluster_id, std::uint32_t number, std::uint32_t member_slots) {
    PersistentState stored;
    stored.cluster_id = cluster_id;
    stored.id = number + 1;
    for (std::uint32_t n = 0; n < member_slots; ++n) stored.snapshot.members.push_back({n + 1ULL, n, true});
    return stored;
}

PersistentState newcomer(std::uint64_t cluster_id, MemberId id) {
    PersistentState stored;
    stored.cluster_id = cluster_id;
    stored.id = id;
    return stored;
}

RaftNode::RaftNode(const Settings& settings, PersistentState stored, Millis now, std::uint64_t nonce)
    : settings_(settings),
      id_(stored.id),
      run_{stored.starts, nonce},
      random_(nonce ^ stored.id * 0x9e3779b97f4a7c15),
      term_(stored.term),
      voted_(stored.voted),
      snapshot_(std::move(stored.snapshot)),
      log_(std::move(stored.entries)),
      commit_(snapshot_.index),
      applied_(snapshot_.index),
      persisted_index_(snapshot_.index + log_.size()) {
    if (id_ == kNoMember) throw ProtocolViolation("the stored state has no member id");
    Term last = snapshot_.term;
    for (const Entry& entry : log_) {
        if (entry.term < last || entry.term > term_)
            throw ProtocolViolation("stored log has decreasing terms or a term above the current one");
        last = entry.term;
    }
    now_ = now;
    restored_ = true;  // the first Ready makes the caller load the snapshot
    reload_members();
    reset_election_timeout(now);
}

const Member* RaftNode::find(MemberId id) const {
    for (const Member& member : members_)
        if (member.id == id) return &member;
    return nullptr;
}

bool RaftNode::voter(MemberId id) const {
    const Member* member = find(id);
    return member && member->voter;
}

std::size_t RaftNode::majority() const {
    const auto voters =
        std::count_if(members_.begin(), members_.end(), [](const Member& m) { return m.voter; });
    return static_cast<std::size_t>(voters) / 2 + 1;
}

Term RaftNode::term_at(Index index) const {
    return index == snapshot_.index ? snapshot_.term : log_[index - first()].term;
}

bool RaftNode::is_log_up_to_date(const Message& m) const {
    const Term mine = term_at(last());
    return m.log_term > mine || (m.log_term == mine && m.index >= last());
}

bool RaftNode::has_live_leader(Millis now) const {
    return role_ == Role::leader || (leader_ != kNoMember && now < last_leader_contact_ + settings_.election);
}

std::optional<std::uint32_t> RaftNode::leader_number() const {
    const Member* member = find(leader_);
    return member ? std::optional(member->number) : std::nullopt;
}

void RaftNode::reset_election_timeout(Millis now) {
    election_due_ = now + settings_.election * (1 + random_.unit());
}

Message RaftNode::message(Message::Kind kind, MemberId to) const {
    Message m;
    m.kind = kind;
    m.cluster_id = settings_.cluster_id;
    m.from = id_;
    m.to = to;
    m.number = settings_.number;
    m.run = run_;
    m.term = term_;
    m.last = last();
    if (const Member* member = find(to)) m.to_number = member->number;
    return m;
}

Message RaftNode::reply(Message::Kind kind, const Message& to) const {
    Message m = message(kind, to.from);
    m.to_number = to.number;
    return m;
}

void RaftNode::append(Entry entry) {
    log_.push_back(std::move(entry));
    const Index index = last();
    unpersisted_from_ = unpersisted_from_ == 0 ? index : std::min(unpersisted_from_, index);
    if (log_.back().kind == Entry::Kind::members) reload_members();
}

void RaftNode::truncate(Index from) {
    if (from <= commit_) throw ProtocolViolation("an append message conflicts with a committed entry");
    log_.resize(from - first());
    unpersisted_from_ = unpersisted_from_ == 0 ? from : std::min(unpersisted_from_, from);
    persisted_index_ = std::min(persisted_index_, from - 1);
    if (members_at_ >= from) reload_members();
}

void RaftNode::on_message(Millis now, const Message& m) {
    now_ = now;
    if (retired_) return;
    if (m.cluster_id != settings_.cluster_id || m.from == id_ || m.from == kNoMember ||
        (m.to != id_ && m.kind != Message::Kind::join)) {
        ++counts_.dropped;
        return;
    }
    if (m.kind == Message::Kind::not_a_member) {
        // Valid only for this run and from a sender that is not behind: a delayed message from an earlier
        // term must not retire this member.
        if (m.run == run_ && m.term >= term_) retired_ = true;
        return;
    }
    if (is_stale_or_rolled_back(m)) {
        ++counts_.dropped;
        return;
    }
    if (m.kind == Message::Kind::join) return on_join(now, m);
    // The leader informs senders that are no longer members.
    const Term theirs = m.kind == Message::Kind::request_prevote ? m.term - 1 : m.term;
    if (leads() && !changing() && !find(m.from) && theirs <= term_) {
        Message gone = reply(Message::Kind::not_a_member, m);
        gone.run = m.run;
        out_.push_back(std::move(gone));
        return;
    }
    switch (m.kind) {
        case Message::Kind::request_prevote: {
            Message answer = reply(Message::Kind::prevote_response, m);
            answer.ok = m.term > term_ && !has_live_leader(now) && is_log_up_to_date(m);
            if (answer.ok) answer.term = m.term;
            out_.push_back(std::move(answer));
            return;
        }
        case Message::Kind::prevote_response:
            if (!m.ok && m.term > term_) return become_follower(now, m.term, kNoMember);
            if (role_ != Role::prevoting || m.term != term_ + 1) return;
            votes_[m.from] = m.ok;
            return count_votes(now);
        case Message::Kind::request_vote: {
            // A member that was partitioned must not raise the term while there is a leader, unless that
            // leader requested the election.
            if (has_live_leader(now) && !m.ok) return;
            if (m.term > term_) become_follower(now, m.term, kNoMember);
            Message answer = reply(Message::Kind::vote_response, m);
            answer.ok = m.term == term_ && (voted_ == kNoMember || voted_ == m.from) && is_log_up_to_date(m);
            if (answer.ok) {
                if (voted_ != m.from) vote_changed_ = true;
                voted_ = m.from;
                reset_election_timeout(now);
            }
            out_.push_back(std::move(answer));
            return;
        }
        case Message::Kind::vote_response:
            if (m.term > term_) return become_follower(now, m.term, kNoMember);
            if (role_ != Role::candidate || m.term != term_) return;
            votes_[m.from] = m.ok;
            return count_votes(now);
        case Message::Kind::append:
            return on_append(now, m);
        case Message::Kind::snapshot_piece:
            return on_snapshot_piece(now, m);
        case Message::Kind::snapshot_received:
            return on_snapshot_received(now, m);
        case Message::Kind::timeout_now:
            return on_timeout_now(now, m);
        case Message::Kind::append_response:
            return on_appended(now, m);
        default:
            return;
    }
}

void RaftNode::compact(Index index, std::string data) {
    if (index <= snapshot_.index || index > applied_) return;
    Snapshot s;
    s.index = index;
    s.term = term_at(index);
    s.members = snapshot_.members;
    for (Index i = index; i > snapshot_.index; --i)
        if (at(i).kind == Entry::Kind::members) {
            s.members = decode_members(at(i).data).value_or(Members());
            break;
        }
    s.data = std::move(data);
    log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(index - snapshot_.index));
    snapshot_ = std::move(s);
    snapshot_changed_ = true;
    // Persisting a snapshot replaces the stored log, so the remaining entries must be written again with it.
    unpersisted_from_ = log_.empty() ? 0 : first();
    persisted_index_ = std::min(persisted_index_, last());
    members_at_ = std::max(members_at_, snapshot_.index);
}

bool RaftNode::has_ready() const {
    if (ready_taken_) return false;
    if (round_requested_ && role_ == Role::leader) {
        // The next round starts once a voter has acknowledged the last one, or with the heartbeat.
        for (const auto& [id, peer] : peers_)
            if (voter(id) && peer.round >= round_) return true;
        if (majority() == 1) return true;
    }
    return vote_changed_ || snapshot_changed_ || unpersisted_from_ > 0 || !out_.empty() ||
           applied_ < commit_ || restored_ || !confirmed_reads_.empty() || (retired_ && !retired_reported_);
}

Ready RaftNode::take_ready() {
    if (round_requested_ && role_ == Role::leader) {
        bool acknowledged = majority() == 1;
        for (const auto& [id, peer] : peers_)
            acknowledged = acknowledged || (voter(id) && peer.round >= round_);
        if (acknowledged) broadcast(now_);
    }
    if (role_ == Role::leader)
        for (const auto& [id, peer] : peers_)
            if (peer.next <= last() && peer.next > snapshot_.index) send_entries(id, false);
    Ready ready;
    if (vote_changed_) {
        ready.vote.emplace();
        ready.vote->term = term_;
        ready.vote->voted = voted_;
    }
    if (snapshot_changed_) ready.snapshot = snapshot_;
    if (unpersisted_from_ > 0) {
        ready.from = unpersisted_from_;
        ready.entries.assign(log_.begin() + static_cast<std::ptrdiff_t>(unpersisted_from_ - first()),
                             log_.end());
    }
    ready.messages.swap(out_);
    if (restored_) ready.restored = snapshot_;
    for (; applied_ < commit_; ++applied_) ready.committed.push_back({applied_ + 1, at(applied_ + 1)});
    ready.confirmed.swap(confirmed_reads_);
    ready.retired = retired_;
    retired_reported_ = retired_;
    vote_changed_ = snapshot_changed_ = restored_ = false;
    unpersisted_from_ = 0;
    persisting_to_ = last();
    ready_taken_ = true;
    return ready;
}

void RaftNode::persisted() {
    ready_taken_ = false;
    persisted_index_ = std::min(persisting_to_, last());
    if (role_ == Role::leader) maybe_commit();
    if (retired_) out_.clear();
}

}  // namespace cobaltshift::raft
