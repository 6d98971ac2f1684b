// RaftNode: elections with pre-vote, check-quorum, and leadership transfer.
#include "raft/raft_node.hpp"

namespace cobaltshift::raft {

namespace {
constexpr Millis kJoinIntervalMs = 500;
}  // namespace

Millis RaftNode::due() const {
    if (retired_) return 1e18;
    if (role_ == Role::leader) return heartbeat_due_;
    if (!member()) return join_due_;
    return voter(id_) ? election_due_ : 1e18;
}

void RaftNode::tick(Millis now) {
    now_ = now;
    if (retired_) return;
    if (role_ == Role::leader) {
        if (now < heartbeat_due_) return;
        heartbeat_due_ = now + settings_.heartbeat;
        // Check-quorum: a leader that hears no majority steps down, so that it no longer answers as leader.
        std::size_t reachable = 1;
        for (const auto& [id, peer] : peers_)
            reachable += voter(id) && now < peer.last_contact + 2 * settings_.election;
        if (reachable < majority()) return become_follower(now, term_, kNoMember);
        if (transfer_to_ != kNoMember && now >= transfer_until_) transfer_to_ = kNoMember;
        advance_membership(now);
        previous_commit_ = commit_;
        broadcast(now, true);
        return;
    }
    if (!member()) {
        if (now < join_due_) return;
        join_due_ = now + kJoinIntervalMs;
        out_.push_back(message(Message::Kind::join, kNoMember));
        return;
    }
    if (voter(id_) && now >= election_due_) start_campaign(now, Campaign::pre_vote);
}

void RaftNode::start_campaign(Millis now, Campaign how) {
    const bool is_election = how != Campaign::pre_vote;
    leader_ = kNoMember;
    votes_.clear();
    reset_election_timeout(now);
    role_ = is_election ? Role::candidate : Role::prevoting;
    if (is_election) {
        ++term_;
        ++counts_.elections;
        voted_ = id_;
        vote_changed_ = true;
    }
    votes_[id_] = true;
    for (const Member& member : members_) {
        if (member.id == id_ || !member.voter) continue;
        Message m =
            message(is_election ? Message::Kind::request_vote : Message::Kind::request_prevote, member.id);
        m.term = is_election ? term_ : term_ + 1;
        m.index = last();
        m.log_term = term_at(last());
        m.ok = how == Campaign::leadership_transfer;
        out_.push_back(std::move(m));
    }
    count_votes(now);
}

void RaftNode::count_votes(Millis now) {
    std::size_t count = 0;
    for (const auto& [id, ok] : votes_) count += ok && voter(id);
    if (count < majority()) return;
    if (role_ == Role::prevoting)
        start_campaign(now, Campaign::election);
    else if (role_ == Role::candidate)
        become_leader(now);
}

void RaftNode::become_follower(Millis now, Term term, MemberId leader) {
    if (term > term_) {
        term_ = term;
        voted_ = kNoMember;
        vote_changed_ = true;
    }
    if (role_ != Role::follower || leader != kNoMember) reset_election_timeout(now);
    role_ = Role::follower;
    leader_ = leader;
    votes_.clear();
    peers_.clear();
    joiners_.clear();
    pending_reads_.clear();
    confirmed_reads_.clear();
    round_requested_ = false;
    transfer_to_ = kNoMember;
}

void RaftNode::become_leader(Millis now) {
    role_ = Role::leader;
    leader_ = id_;
    ++counts_.led;
    votes_.clear();
    peers_.clear();
    for (const Member& member : members_) {
        if (member.id == id_) continue;
        Peer& peer = peers_[member.id];
        peer.next = last() + 1;
        peer.last_contact = now;  // starts the check-quorum period for this member
    }
    append({term_, Entry::Kind::nothing, {}});
    term_start_ = last();
    previous_commit_ = term_start_;  // a learner must hold this term's first entry to become a voter
    heartbeat_due_ = now + settings_.heartbeat;
    broadcast(now);
    maybe_commit();
}

// ---- Leadership transfer ---------------------------------------------------------------------------------

bool RaftNode::transfer_leadership(Millis now) {
    if (!leads() || retired_) return false;
    MemberId best = kNoMember;
    Index most = 0;
    for (const auto& [id, peer] : peers_) {
        const bool recent = peer.active && now <= peer.last_contact + settings_.election;
        if (!voter(id) || !recent || peer.match < most) continue;
        best = id;
        most = peer.match;
    }
    if (best == kNoMember) return false;
    transfer_to_ = best;
    transfer_until_ = now + settings_.election;
    transfer_requested_ = false;
    send_timeout_now();
    return true;
}

// Sends timeout_now once the target has the whole log: an election that it can't win would only delay the
// next leader.
void RaftNode::send_timeout_now() {
    const auto peer = peers_.find(transfer_to_);
    if (transfer_to_ == kNoMember || transfer_requested_ || peer == peers_.end() ||
        peer->second.match < last())
        return;
    transfer_requested_ = true;
    out_.push_back(message(Message::Kind::timeout_now, transfer_to_));
}

void RaftNode::on_timeout_now(Millis now, const Message& m) {
    if (m.term != term_ || role_ != Role::follower || m.from != leader_ || !voter(id_)) return;
    start_campaign(now, Campaign::leadership_transfer);
}

}  // namespace cobaltshift::raft
