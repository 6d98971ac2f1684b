#include "sim/check/describe.hpp"

#include <xxhash.h>

#include <cmath>

#include "raft/codec.hpp"

namespace cobaltshift::check {

namespace {

class Sum {
public:
    explicit Sum(raft::Millis now) : now_(now) { XXH3_64bits_reset(&state_); }
    Sum& number(std::uint64_t value) {
        XXH3_64bits_update(&state_, &value, sizeof value);
        return *this;
    }
    Sum& time(raft::Millis at) {
        const double left = at - now_;
        // To a microsecond; what is years off is all the same.
        return number(std::abs(left) > 1e9 ? (left > 0 ? ~0ULL : ~1ULL)
                                           : static_cast<std::uint64_t>(std::llround(left * 1000)));
    }
    Sum& real(double value) { return number(static_cast<std::uint64_t>(std::llround(value * 1000))); }
    Sum& text(const std::string& bytes) { return number(XXH3_64bits(bytes.data(), bytes.size())); }
    Sum& lots(kelplb::Random copy) {
        return number(static_cast<std::uint64_t>(copy.unit() * 9007199254740992.0));
    }
    std::uint64_t get() const { return XXH3_64bits_digest(&state_); }

private:
    XXH3_state_t state_;
    raft::Millis now_;
};

}  // namespace

std::uint64_t Describe::of(const raft::RaftNode& k, raft::Millis now) {
    Sum s(now);
    s.number(k.id_)
        .number(k.run_.starts)
        .number(k.run_.nonce)
        .lots(k.random_)
        .number(k.term_)
        .number(k.voted_);
    s.text(raft::encode(k.snapshot_));
    for (const raft::Entry& entry : k.log_) s.text(raft::encode(entry));
    s.text(raft::encode(k.members_))
        .number(k.members_at_)
        .number(k.commit_)
        .number(k.applied_)
        .number(k.persisted_index_);
    s.number(k.unpersisted_from_).number(k.persisting_to_);
    for (const bool flag : {k.ready_taken_, k.vote_changed_, k.snapshot_changed_, k.restored_, k.retired_,
                            k.retired_reported_, k.round_requested_})
        s.number(flag);
    s.number(static_cast<std::uint64_t>(k.role_)).number(k.leader_);
    s.time(k.last_leader_contact_).time(k.election_due_).time(k.heartbeat_due_).time(k.join_due_);
    for (const auto& [id, vote] : k.votes_) s.number(id).number(vote);
    for (const auto& [id, p] : k.peers_)
        s.number(id)
            .number(p.match)
            .number(p.next)
            .number(p.out_bytes)
            .time(p.progressed_at)
            .number(p.round)
            .time(p.last_contact)
            .number(p.transfer ? p.transfer->snapshot().index : 0)
            .number(p.transfer ? p.transfer->acknowledged() : 0)
            .number(p.transfer ? p.transfer->sent() : 0)
            .number(p.active)
            .number(p.match_known)
            .number(p.match_starts);
    for (const auto& [id, seen] : k.known_runs_)
        s.number(id).number(seen.run.starts).number(seen.run.nonce).number(seen.term);
    for (const auto& [number, joiner] : k.joiners_)
        s.number(number).number(joiner.id).time(joiner.last_contact);
    s.number(k.term_start_).number(k.previous_commit_).number(k.round_);
    for (const auto& q : k.pending_reads_) s.number(q.number).number(q.round);
    for (const auto q : k.confirmed_reads_) s.number(q);
    s.number(k.transfer_to_)
        .time(k.transfer_until_)
        .number(k.transfer_requested_)
        .number(k.receiver_.held_bytes());
    s.number(k.out_.size());
    return s.get();
}

std::uint64_t Describe::of(const lease::LeaseServer& o, raft::Millis now) {
    Sum s(now);
    s.number(of(o.keeper_, now)).text(o.book_.save()).number(o.applied_).number(o.leads_).number(o.led_term_);
    for (const auto& [task, held] : o.held_)
        s.text(task).number(held.fence).time(held.until).number(held.lapsing);
    for (const auto& [who, heard] : o.asking_)
        s.text(who.first)
            .number(who.second)
            .time(heard.at)
            .number(heard.asker.client)
            .number(heard.asker.number);
    for (const auto& [who, asker] : o.ending_) s.text(who.first).number(who.second).number(asker.number);
    for (const auto& [number, r] : o.renewals_)
        s.number(number).number(r.holder).number(r.number).number(r.fence);
    for (const auto& [holder, newest] : o.newest_) s.number(holder).number(newest.first).time(newest.second);
    s.number(o.next_question_).time(o.waiters_due_).number(o.replies_.size());
    return s.get();
}

std::uint64_t Describe::of(const lease::Holder& h, raft::Millis now) {
    Sum s(now);
    s.lots(h.random_).number(h.keeper_).number(h.next_number_);
    for (const auto& [task, w] : h.wanted_)
        s.text(task)
            .real(w.length)
            .number(w.wait)
            .number(w.releasing)
            .number(w.outstanding)
            .number(w.right.fence)
            .time(w.right.until)
            .number(w.counted)
            .number(w.number)
            .time(w.asked_at)
            .time(w.due)
            .real(w.pause)
            .time(w.release_until)
            .number(w.queued);
    for (const auto& [task, n] : h.notes_)
        s.text(task).number(static_cast<std::uint64_t>(n.state)).number(n.fence).number(n.number).time(n.due);
    return s.get();
}

raft::Millis Describe::asked_at(const lease::Holder& holder, const std::string& task, std::uint64_t number,
                                raft::Millis otherwise) {
    const auto at = holder.wanted_.find(task);
    return at == holder.wanted_.end() || at->second.number != number ? otherwise : at->second.asked_at;
}

void Describe::forget_waits(lease::LeaseServer& office, raft::Millis now) {
    for (auto& [task, held] : office.held_) {
        office.lapses_.erase({held.until, task});
        held.until = now;
        office.lapses_.insert({held.until, task});
    }
}

}  // namespace cobaltshift::check
