// Elections: pre-vote, votes, check-quorum, and the hand-over of the lead.
#include "raft/raft_node.hpp"

namespace cobaltshift::raft {

namespace {
constexpr Millis kJoinEvery = 500;
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
        // Check-quorum: who hears no majority leads nobody, and must not answer as if it did.
        std::size_t hear = 1;
        for (const auto& [id, peer] : peers_) hear += voter(id) && now < peer.heard + 2 * settings_.election;
        if (hear < majority()) return follow(now, term_, kNobody);
        if (transfer_to_ != kNobody && now >= transfer_until_) transfer_to_ = kNobody;
        reconsider_members(now);
        commit_before_ = commit_;
        broadcast(now, true);
        return;
    }
    if (!member()) {
        if (now < join_due_) return;
        join_due_ = now + kJoinEvery;
        out_.push_back(message(Message::Kind::join, kNobody));
        return;
    }
    if (voter(id_) && now >= election_due_) stand(now, Stand::pre_vote);
}

void RaftNode::stand(Millis now, Stand how) {
    const bool for_real = how != Stand::pre_vote;
    leader_ = kNobody;
    votes_.clear();
    set_election(now);
    role_ = for_real ? Role::candidate : Role::prevoting;
    if (for_real) {
        ++term_;
        ++counts_.elections;
        voted_ = id_;
        vote_changed_ = true;
    }
    votes_[id_] = true;
    for (const Member& member : members_) {
        if (member.id == id_ || !member.voter) continue;
        Message m = message(for_real ? Message::Kind::ask_vote : Message::Kind::ask_prevote, member.id);
        m.term = for_real ? term_ : term_ + 1;
        m.index = last();
        m.log_term = term_at(last());
        m.ok = how == Stand::by_leaders_wish;
        out_.push_back(std::move(m));
    }
    count_votes(now);
}

void RaftNode::count_votes(Millis now) {
    std::size_t count = 0;
    for (const auto& [id, ok] : votes_) count += ok && voter(id);
    if (count < majority()) return;
    if (role_ == Role::prevoting)
        stand(now, Stand::election);
    else if (role_ == Role::candidate)
        lead(now);
}

void RaftNode::follow(Millis now, Term term, MemberId leader) {
    if (term > term_) {
        term_ = term;
        voted_ = kNobody;
        vote_changed_ = true;
    }
    if (role_ != Role::follower || leader != kNobody) set_election(now);
    role_ = Role::follower;
    leader_ = leader;
    votes_.clear();
    peers_.clear();
    joiners_.clear();
    questions_.clear();
    confirmed_.clear();
    round_wanted_ = false;
    transfer_to_ = kNobody;
}

void RaftNode::lead(Millis now) {
    role_ = Role::leader;
    leader_ = id_;
    ++counts_.led;
    votes_.clear();
    peers_.clear();
    for (const Member& member : members_) {
        if (member.id == id_) continue;
        Peer& peer = peers_[member.id];
        peer.next = last() + 1;
        peer.heard = now;  // so long it has to speak up
    }
    append({term_, Entry::Kind::nothing, {}});
    term_start_ = last();
    commit_before_ = term_start_;  // nobody is taken in before the own entry is committed
    heartbeat_due_ = now + settings_.heartbeat;
    broadcast(now);
    maybe_commit();
}

// ---- Hand-over of the lead -------------------------------------------------------------------------------

bool RaftNode::transfer_leadership(Millis now) {
    if (!leads() || retired_) return false;
    MemberId best = kNobody;
    Index most = 0;
    for (const auto& [id, peer] : peers_) {
        const bool heard = peer.active && now <= peer.heard + settings_.election;
        if (!voter(id) || !heard || peer.match < most) continue;
        best = id;
        most = peer.match;
    }
    if (best == kNobody) return false;
    transfer_to_ = best;
    transfer_until_ = now + settings_.election;
    transfer_asked_ = false;
    ask_to_lead();
    return true;
}

// Once the successor has the whole log: an election that it can't win would only delay the next leader.
void RaftNode::ask_to_lead() {
    const auto peer = peers_.find(transfer_to_);
    if (transfer_to_ == kNobody || transfer_asked_ || peer == peers_.end() || peer->second.match < last())
        return;
    transfer_asked_ = true;
    out_.push_back(message(Message::Kind::timeout_now, transfer_to_));
}

void RaftNode::on_timeout_now(Millis now, const Message& m) {
    if (m.term != term_ || role_ != Role::follower || m.from != leader_ || !voter(id_)) return;
    stand(now, Stand::by_leaders_wish);
}

}  // namespace cobaltshift::raft
