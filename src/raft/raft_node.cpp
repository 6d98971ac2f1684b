#include "raft/raft_node.hpp"

#include <algorithm>

#include "raft/codec.hpp"

namespace cobaltshift::raft {

namespace {
constexpr Millis kJoinEvery = 500;
constexpr Millis kJoinerLife = 3000;   // an asker unheard so long is forgotten
constexpr std::size_t kSeenMost = 64;  // ids whose runs are remembered
constexpr std::uint64_t kMostQuestions = 100000;
}  // namespace

Stored bootstrap(std::uint64_t fleet, std::uint32_t number, std::uint32_t keepers) {
    Stored stored;
    stored.fleet = fleet;
    stored.id = number + 1;
    for (std::uint32_t n = 0; n < keepers; ++n) stored.snapshot.members.push_back({n + 1ULL, n, true});
    return stored;
}

Stored newcomer(std::uint64_t fleet, MemberId id) {
    Stored stored;
    stored.fleet = fleet;
    stored.id = id;
    return stored;
}

RaftNode::RaftNode(const Settings& settings, Stored stored, Millis now, std::uint64_t draw)
    : settings_(settings),
      id_(stored.id),
      run_{stored.starts, draw},
      lots_(draw ^ stored.id * 0x9e3779b97f4a7c15),
      term_(stored.term),
      voted_(stored.voted),
      snapshot_(std::move(stored.snapshot)),
      log_(std::move(stored.entries)),
      commit_(snapshot_.index),
      applied_(snapshot_.index),
      kept_(snapshot_.index + log_.size()) {
    if (id_ == kNobody) throw Broken("a keeper without an id");
    Term last = snapshot_.term;
    for (const Entry& entry : log_) {
        if (entry.term < last || entry.term > term_) throw Broken("the terms of the log make no sense");
        last = entry.term;
    }
    now_ = now;
    restored_ = true;  // whoever applies begins with the snapshot
    read_members();
    set_election(now);
}

// ---- Small things ----------------------------------------------------------------------------------------

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

bool RaftNode::as_new(const Message& m) const {
    const Term mine = term_at(last());
    return m.log_term > mine || (m.log_term == mine && m.index >= last());
}

bool RaftNode::hears_leader(Millis now) const {
    return role_ == Role::leader || (leader_ != kNobody && now < leader_heard_ + settings_.election);
}

std::optional<std::uint32_t> RaftNode::leader_number() const {
    const Member* member = find(leader_);
    return member ? std::optional(member->number) : std::nullopt;
}

void RaftNode::set_election(Millis now) { election_due_ = now + settings_.election * (1 + lots_.unit()); }

Message RaftNode::message(Message::Kind kind, MemberId to) const {
    Message m;
    m.kind = kind;
    m.fleet = settings_.fleet;
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

// ---- The log ---------------------------------------------------------------------------------------------

void RaftNode::append(Entry entry) {
    log_.push_back(std::move(entry));
    const Index index = last();
    unkept_from_ = unkept_from_ == 0 ? index : std::min(unkept_from_, index);
    if (log_.back().kind == Entry::Kind::members) read_members();
}

void RaftNode::truncate(Index from) {
    if (from <= commit_) throw Broken("a committed entry would be replaced");
    log_.resize(from - first());
    unkept_from_ = unkept_from_ == 0 ? from : std::min(unkept_from_, from);
    kept_ = std::min(kept_, from - 1);
    if (members_at_ >= from) read_members();
}

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

// ---- Time, elections -------------------------------------------------------------------------------------

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
        look_after_members(now);
        broadcast(now, true);
        return;
    }
    if (!member()) {
        if (now < join_due_) return;
        join_due_ = now + kJoinEvery;
        out_.push_back(message(Message::Kind::join, kNobody));
        return;
    }
    if (voter(id_) && now >= election_due_) stand(now, false);
}

void RaftNode::stand(Millis now, bool for_real) {
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
        out_.push_back(std::move(m));
    }
    count_votes(now);
}

void RaftNode::count_votes(Millis now) {
    std::size_t count = 0;
    for (const auto& [id, ok] : votes_) count += ok && voter(id);
    if (count < majority()) return;
    if (role_ == Role::prevoting)
        stand(now, true);
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
    tick_round_ = round_;
    append({term_, Entry::Kind::nothing, {}});
    term_start_ = last();
    heartbeat_due_ = now + settings_.heartbeat;
    broadcast(now);
    maybe_commit();
}

// ---- Leading ---------------------------------------------------------------------------------------------

void RaftNode::broadcast(Millis now, bool again) {
    ++round_;
    round_wanted_ = false;
    const std::uint64_t since = tick_round_;
    if (again) tick_round_ = round_;
    for (auto& [id, peer] : peers_) {
        // Whatever was sent and got no word since the last heartbeat may be lost.
        if (again && peer.match + 1 < peer.next && peer.round < since)
            peer.next = peer.match + 1, peer.out_bytes = 0;
        if (peer.next <= snapshot_.index) {
            Message m = message(Message::Kind::append, id);  // a heartbeat all the same
            m.index = m.log_term = 0;
            m.commit = 0;
            m.round = round_;
            out_.push_back(std::move(m));
            if (peer.snapshot_at == 0 || now >= peer.snapshot_at + settings_.election) {
                peer.snapshot_at = now;
                ++counts_.snapshots_sent;
                Message s = message(Message::Kind::snapshot, id);
                s.round = round_;
                s.snapshot = std::make_shared<const Snapshot>(snapshot_);
                out_.push_back(std::move(s));
            }
            continue;
        }
        send_entries(id, true);
    }
    look_at_rounds();
}

void RaftNode::send_entries(MemberId to, bool even_if_empty) {
    Peer& peer = peers_.at(to);
    if (peer.next <= snapshot_.index) return;  // a snapshot first, with the next round
    do {
        Message m = message(Message::Kind::append, to);
        m.index = peer.next - 1;
        m.log_term = term_at(m.index);
        m.commit = commit_;
        m.round = round_;
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

std::optional<Index> RaftNode::propose(std::string data) {
    if (!leads() || retired_ || data.size() > kMaxEntryBytes) return {};
    append({term_, Entry::Kind::data, std::move(data)});
    return last();
}

bool RaftNode::confirm(std::uint64_t question) {
    if (!leads() || retired_ || questions_.size() >= kMostQuestions) return false;
    questions_.push_back({question, round_ + 1});
    round_wanted_ = true;
    return true;
}

// The rounds that a majority has acknowledged answer what was asked before they began.
void RaftNode::look_at_rounds() {
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
    look_at_rounds();
}

// ---- Messages --------------------------------------------------------------------------------------------

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

void RaftNode::on_message(Millis now, const Message& m) {
    now_ = now;
    if (retired_) return;
    if (m.fleet != settings_.fleet || m.from == id_ || m.from == kNobody ||
        (m.to != id_ && m.kind != Message::Kind::join)) {
        ++counts_.dropped;
        return;
    }
    if (m.kind == Message::Kind::gone) {
        // Of this very run, and by somebody who is not behind: a founder's word of an hour ago ends nobody.
        if (m.run == run_ && m.term >= term_) retired_ = true;
        return;
    }
    if (rolled_back(m)) {
        ++counts_.dropped;
        return;
    }
    if (m.kind == Message::Kind::join) return on_join(now, m);
    // A leader tells whoever is no member any more.
    const Term theirs = m.kind == Message::Kind::ask_prevote ? m.term - 1 : m.term;
    if (leads() && !changing() && !find(m.from) && theirs <= term_) {
        Message gone = reply(Message::Kind::gone, m);
        gone.run = m.run;
        out_.push_back(std::move(gone));
        return;
    }
    switch (m.kind) {
        case Message::Kind::ask_prevote: {
            Message answer = reply(Message::Kind::prevote, m);
            answer.ok = m.term > term_ && !hears_leader(now) && as_new(m);
            if (answer.ok) answer.term = m.term;
            out_.push_back(std::move(answer));
            return;
        }
        case Message::Kind::prevote:
            if (!m.ok && m.term > term_) return follow(now, m.term, kNobody);
            if (role_ != Role::prevoting || m.term != term_ + 1) return;
            votes_[m.from] = m.ok;
            return count_votes(now);
        case Message::Kind::ask_vote: {
            if (hears_leader(now)) return;  // a term must not grow because of somebody who was cut off
            if (m.term > term_) follow(now, m.term, kNobody);
            Message answer = reply(Message::Kind::vote, m);
            answer.ok = m.term == term_ && (voted_ == kNobody || voted_ == m.from) && as_new(m);
            if (answer.ok) {
                if (voted_ != m.from) vote_changed_ = true;
                voted_ = m.from;
                set_election(now);
            }
            out_.push_back(std::move(answer));
            return;
        }
        case Message::Kind::vote:
            if (m.term > term_) return follow(now, m.term, kNobody);
            if (role_ != Role::candidate || m.term != term_) return;
            votes_[m.from] = m.ok;
            return count_votes(now);
        case Message::Kind::append:
            return on_append(now, m);
        case Message::Kind::snapshot:
            return on_snapshot(now, m);
        case Message::Kind::appended:
            return on_appended(now, m);
        default:
            return;
    }
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

void RaftNode::on_snapshot(Millis now, const Message& m) {
    auto heard = hear_leader(now, m);
    if (!heard) return;
    Message& answer = *heard;
    const Snapshot& s = *m.snapshot;
    if (s.index > commit_) {
        const bool goes_on = s.index <= last() && term_at(s.index) == s.term;
        if (goes_on)
            log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(s.index - snapshot_.index));
        else
            log_.clear();
        snapshot_ = s;
        snapshot_changed_ = restored_ = true;
        commit_ = applied_ = s.index;
        // What follows it is kept anew with it.
        kept_ = s.index;
        unkept_from_ = log_.empty() ? 0 : first();
        read_members();
    }
    answer.ok = true;
    answer.index = std::max(commit_, s.index);
    answer.last = last();
    out_.push_back(std::move(answer));
}

void RaftNode::on_appended(Millis now, const Message& m) {
    if (m.term > term_) return follow(now, m.term, kNobody);
    if (role_ != Role::leader || m.term != term_) return;
    const auto at = peers_.find(m.from);
    if (at == peers_.end()) return;
    Peer& peer = at->second;
    if (m.run.starts > peer.match_starts && peer.match > 0 && m.last < peer.match) {
        // It had stored more than this in an earlier run: its folder is an older one.
        ++counts_.rolled_back;
        Message gone = reply(Message::Kind::gone, m);
        gone.run = m.run;
        out_.push_back(std::move(gone));
        return;
    }
    peer.heard = now;
    peer.active = true;
    peer.round = std::max(peer.round, std::min(m.round, round_));
    if (m.ok) {
        if (m.index > last()) return;  // of no log of this leader's
        if (m.index > peer.match) {
            peer.match = m.index;
            peer.match_starts = m.run.starts;
            peer.out_bytes = 0;
            for (Index i = std::max(peer.match + 1, first()); i < peer.next; ++i)
                peer.out_bytes += this->at(i).data.size() + 32;
        }
        peer.next = std::max(peer.next, peer.match + 1);
    } else if (m.index + 1 < peer.next && m.index >= peer.match) {
        peer.next = m.index + 1;
        peer.out_bytes = 0;
    } else {
        look_at_rounds();
        return;
    }
    maybe_commit();
    look_at_rounds();
    if (role_ == Role::leader && peer.next <= last()) send_entries(m.from, false);
}

// ---- Members ---------------------------------------------------------------------------------------------

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

void RaftNode::look_after_members(Millis now) {
    if (!leads() || changing()) return;
    for (const Member& member : members_) {
        const auto peer = peers_.find(member.id);
        if (member.voter || peer == peers_.end() || !peer->second.active) continue;
        if (peer->second.match < commit_ || now > peer->second.heard + settings_.election) continue;
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

// ---- What is to be done ----------------------------------------------------------------------------------

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
    // A snapshot replaces what it covers; what follows goes with it.
    unkept_from_ = log_.empty() ? 0 : first();
    kept_ = std::min(kept_, last());
    members_at_ = std::max(members_at_, snapshot_.index);
}

bool RaftNode::has_ready() const {
    if (taken_) return false;
    if (round_wanted_ && role_ == Role::leader) {
        // The next round begins when the last has come back, or with the heartbeat.
        for (const auto& [id, peer] : peers_)
            if (voter(id) && peer.round >= round_) return true;
        if (majority() == 1) return true;
    }
    return vote_changed_ || snapshot_changed_ || unkept_from_ > 0 || !out_.empty() || applied_ < commit_ ||
           restored_ || !confirmed_.empty() || (retired_ && !retired_told_);
}

Ready RaftNode::take_ready() {
    if (round_wanted_ && role_ == Role::leader) {
        bool back = majority() == 1;
        for (const auto& [id, peer] : peers_) back = back || (voter(id) && peer.round >= round_);
        if (back) broadcast(now_);
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
    if (unkept_from_ > 0) {
        ready.from = unkept_from_;
        ready.entries.assign(log_.begin() + static_cast<std::ptrdiff_t>(unkept_from_ - first()), log_.end());
    }
    ready.messages.swap(out_);
    if (restored_) ready.restored = snapshot_;
    for (; applied_ < commit_; ++applied_) ready.committed.push_back({applied_ + 1, at(applied_ + 1)});
    ready.confirmed.swap(confirmed_);
    ready.retired = retired_;
    retired_told_ = retired_;
    vote_changed_ = snapshot_changed_ = restored_ = false;
    unkept_from_ = 0;
    keeping_to_ = last();
    taken_ = true;
    return ready;
}

void RaftNode::persisted() {
    taken_ = false;
    kept_ = std::min(keeping_to_, last());
    if (role_ == Role::leader) maybe_commit();
    if (retired_) out_.clear();
}

}  // namespace cobaltshift::raft
