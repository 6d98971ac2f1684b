#include "control/replica.hpp"

#include <algorithm>
#include <utility>

namespace cobaltshift::control {

namespace {
constexpr Millis kMembershipQueryIntervalMs = 500, kSilenceCheckIntervalMs = 100;
constexpr std::size_t kEntryOverheadBytes = 32, kMaxForwardedMessages = 16;
}  // namespace

raft::PersistentState bootstrap(std::uint64_t cluster_id, std::uint32_t own,
                                const std::vector<std::uint32_t>& founders) {
    raft::PersistentState stored;
    stored.cluster_id = cluster_id;
    stored.id = own + 1ULL;
    for (const std::uint32_t ip : founders) stored.snapshot.members.push_back({ip + 1ULL, ip, true});
    std::sort(stored.snapshot.members.begin(), stored.snapshot.members.end(),
              [](const raft::Member& a, const raft::Member& b) { return a.number < b.number; });
    return stored;
}

config::CurrentAnswer current_answer(const Reply& reply) {
    using Kind = config::CurrentAnswer::Kind;
    switch (reply.kind) {
        case Reply::Kind::config:
            return {Kind::current, reply.current->edition, 0};
        case Reply::Kind::no_config:
            return {Kind::current, 0, 0};
        case Reply::Kind::elsewhere:
            return {Kind::elsewhere, 0, reply.leader};
        default:
            return {};
    }
}

Replica::Replica(const ReplicaSettings& settings, raft::PersistentState stored, Millis now,
                 std::uint64_t nonce)
    : settings_(settings),
      raft_(settings.consensus, std::move(stored), now, nonce),
      membership_query_due_(now + settings.leaderless_after) {
    if (!raft_.snapshot().data.empty() && !state_machine_.load(raft_.snapshot().data))
        throw raft::ProtocolViolation(
            "the stored snapshot can't be decoded as a configuration state machine");
    applied_ = raft_.snapshot().index;
}

// ---- Time and messages -----------------------------------------------------------------------------------

Millis Replica::due() const {
    Millis due = std::min(raft_.due(), membership_query_due_);
    for (const Waiting& one : waiting_) due = std::min(due, one.until);
    if (evaluation_due_) due = std::min(due, *evaluation_due_);
    return due;
}

void Replica::tick(Millis now) {
    raft_.tick(now);
    if (raft_.leads()) remove_silent_member(now);
    // Without a leader for long, this member may have been removed while it was partitioned, or the leader
    // may be a node whose address it doesn't know. It asks all known nodes with a prevote request that has no
    // receiver id; the leader replies `not_a_member` if it is no member.
    if (raft_.role() == raft::RaftNode::Role::leader) {
        membership_query_due_ = now + settings_.leaderless_after;
    } else if (now >= membership_query_due_) {
        membership_query_due_ = now + kMembershipQueryIntervalMs;
        if (!raft_.retired() && !raft_.members().empty()) {
            raft::Message query;
            query.kind = raft::Message::Kind::request_prevote;
            query.cluster_id = settings_.consensus.cluster_id;
            query.from = raft_.id();
            query.number = settings_.consensus.number;
            query.run = raft_.run();
            query.term = raft_.term() + 1;
            query.last = raft_.last();
            to_all_.push_back(std::move(query));
        }
    }
    process_waiting(now);
}

void Replica::on_message(Millis now, const raft::Message& message, bool forwarded) {
    using Kind = raft::Message::Kind;
    const bool leads = raft_.role() == raft::RaftNode::Role::leader;
    const bool for_leader = message.kind == Kind::join ||
                            (message.kind == Kind::request_prevote && message.to == raft::kNoMember);
    if (for_leader && !leads) {
        // Only the leader can decide, so the request is forwarded to it once.
        const auto leader = forwarded ? std::nullopt : raft_.leader_number();
        if (!leader || *leader == message.number || message.from == raft_.id()) return;
        raft::Message copy = message;
        copy.to_number = *leader;
        if (forwarded_.size() < kMaxForwardedMessages) forwarded_.push_back(std::move(copy));
        return;
    }
    if (message.kind == Kind::request_prevote && message.to == raft::kNoMember) {
        raft::Message own_copy = message;
        own_copy.to = raft_.id();
        const auto& members = raft_.members();
        const bool member = std::any_of(members.begin(), members.end(),
                                        [&](const auto& one) { return one.id == message.from; });
        if (!member && message.term > raft_.term() + 1) {
            // The former member has a higher term than this leader and would ignore a `not_a_member` with a
            // lower one. A refused prevote with its term makes this leader step down, so that the next one is
            // elected in a higher term.
            own_copy.kind = Kind::prevote_response;
            --own_copy.term;
        }
        raft_.on_message(now, own_copy);
        return;
    }
    raft_.on_message(now, message);
    if ((message.kind == Kind::append || message.kind == Kind::snapshot_piece) &&
        message.from == raft_.leader())
        last_leader_contact_ = now, membership_query_due_ = now + settings_.leaderless_after;
}

std::uint32_t Replica::recent_leader(Millis now) const {
    if (raft_.role() == raft::RaftNode::Role::leader ||
        now > last_leader_contact_ + settings_.leader_contact_max_age)
        return 0;
    return raft_.leader_number().value_or(0);
}

// ---- Members ---------------------------------------------------------------------------------------------

// Removes a member that has been silent for long, so that the next failure still leaves a majority. RaftNode
// leaves this decision to its caller.
void Replica::remove_silent_member(Millis now) {
    if (now < last_silence_check_ + kSilenceCheckIntervalMs || raft_.changing()) return;
    last_silence_check_ = now;
    std::size_t heard = 0;
    const raft::Member* silent = nullptr;
    for (const raft::Member& member : raft_.members()) {
        const auto peer = raft_.peers().find(member.id);
        const bool own = member.id == raft_.id();
        if (!own && peer == raft_.peers().end()) continue;
        if (own || now <= peer->second.last_contact + settings_.live_within)
            heard += member.voter;
        else if (now > peer->second.last_contact + settings_.remove_silent_after)
            silent = &member;
    }
    // A silent learner is always removed: it doesn't count for the majority and occupies a member slot.
    if (!silent || (silent->voter && heard < settings_.min_live_voters)) return;
    counts_.removals += raft_.remove(silent->number);
}

bool Replica::hand_over(Millis now) { return raft_.transfer_leadership(now); }

// ---- Operator requests -----------------------------------------------------------------------------------

void Replica::enqueue(Millis now, Waiting waiting) {
    waiting.until = now + settings_.reply_timeout;
    const std::uint32_t elsewhere = recent_leader(now);
    if (!raft_.leads() || raft_.retired() || raft_.transferring_leadership() ||
        waiting_.size() >= settings_.max_waiting) {
        const bool known = !raft_.leads() && elsewhere != 0;
        Reply reply;
        reply.kind = known ? Reply::Kind::elsewhere : Reply::Kind::unavailable;
        reply.leader = known ? elsewhere : 0;
        return answer(waiting, std::move(reply));
    }
    waiting_.push_back(std::move(waiting));
    process_waiting(now);
}

void Replica::change(Millis now, std::uint64_t client, config::Change change) {
    Waiting waiting;
    waiting.client = client;
    waiting.is_change = true;
    waiting.change = std::move(change);
    enqueue(now, std::move(waiting));
}

void Replica::read(Millis now, std::uint64_t client) {
    Waiting waiting;
    waiting.client = client;
    enqueue(now, std::move(waiting));
}

void Replica::answer(Waiting& waiting, Reply reply) {
    reply.client = waiting.client;
    waiting.client = 0;
    replies_.push_back(std::move(reply));
}

// The outcome that the change would have now; null: it is large and has to wait for the next turn. A refusal
// is kept, as parsing a large change once more would take as long as the first time.
std::shared_ptr<const config::ChangeOutcome> Replica::evaluate(Waiting& one) {
    if (one.refusal && one.evaluated_against == state_machine_.edition()) return one.refusal;
    const bool large = one.change.body.size() > settings_.large_change_bytes;
    if (large && std::exchange(evaluated_large_, true)) return {};
    counts_.evaluated += large;
    std::shared_ptr<const config::ChangeOutcome> outcome =
        std::make_shared<config::ChangeOutcome>(state_machine_.check(one.change));
    if (outcome->kind == config::ChangeOutcome::Kind::taken) return outcome;
    one.evaluated_against = state_machine_.edition();
    one.refusal = outcome;
    return outcome;
}

// Returns true if the request has been answered.
bool Replica::try_answer(Waiting& one) {
    using Kind = config::ChangeOutcome::Kind;
    if (one.index != 0) return false;  // proposed, not committed yet
    const auto ask = [&] {
        if (one.question == 0 && raft_.confirm_leadership(next_question_)) one.question = next_question_++;
        return false;
    };
    Reply reply;
    if (!one.is_change) {
        if (!one.confirmed) return ask();
        ++counts_.reads;
        reply.current = state_machine_.current();
        reply.kind = reply.current ? Reply::Kind::config : Reply::Kind::no_config;
        return answer(one, std::move(reply)), true;
    }
    if (change_in_flight_) return false;  // is validated against the result of the change in flight
    const auto outcome = evaluate(one);
    if (!outcome) return evaluation_due_ = now_, false;
    reply.edition = outcome->edition;
    if (outcome->kind == Kind::taken) {
        const auto index = raft_.propose(encode(one.change));
        if (!index) return answer(one, Reply()), true;
        one.index = *index;
        change_in_flight_ = true;
        return false;
    }
    if (outcome->kind == Kind::duplicate) {  // committed before, so no confirmation is needed
        reply.kind = Reply::Kind::taken;
        return answer(one, std::move(reply)), true;
    }
    if (!one.confirmed) return ask();
    ++counts_.refused;
    reply.kind = outcome->kind == Kind::stale ? Reply::Kind::stale : Reply::Kind::invalid;
    reply.complaints = outcome->complaints;
    return answer(one, std::move(reply)), true;
}

void Replica::process_waiting(Millis now) {
    const bool leads = raft_.leads() && !raft_.retired() && raft_.term() == term_;
    // A change whose caller timed out stays in flight as long as this node leads.
    if (!leads) change_in_flight_ = false, term_ = raft_.term();
    const bool current = applied_ >= raft_.commit();
    now_ = now;
    evaluated_large_ = false;
    evaluation_due_.reset();
    for (Waiting& one : waiting_) {
        if (!leads || now >= one.until) {
            if (leads) ++counts_.late;
            answer(one, Reply());
        } else if (current) {
            try_answer(one);
        }
    }
    std::erase_if(waiting_, [](const Waiting& one) { return one.client == 0; });
}

// ---- Output ----------------------------------------------------------------------------------------------

void Replica::apply(const raft::Ready& ready, Output& output) {
    const config::Edition before = state_machine_.edition();
    if (ready.restored) {
        // The constructor has already loaded the snapshot of the first Ready.
        if (ready.restored->index != applied_ && !state_machine_.load(ready.restored->data))
            throw raft::ProtocolViolation(
                "the received snapshot can't be decoded as a configuration state machine");
        applied_ = ready.restored->index;
        checkpoint_.reset();
        checkpoint_bytes_ = log_bytes_ = 0;
    }
    for (const raft::Committed& one : ready.committed) {
        applied_ = one.index;
        const std::size_t bytes = one.entry.data.size() + kEntryOverheadBytes;
        checkpoint_bytes_ += bytes;
        log_bytes_ += bytes;
        if (one.entry.kind != raft::Entry::Kind::data) continue;
        const auto change = config::decode_change(one.entry.data);
        const config::ChangeOutcome outcome =
            change ? state_machine_.apply(*change) : config::ChangeOutcome();
        change_in_flight_ = false;
        for (Waiting& waiting : waiting_) {
            if (waiting.index != one.index) continue;
            waiting.index = 0;
            // After a change of leader, the entry at this index may be another one than was proposed here.
            if (outcome.kind != config::ChangeOutcome::Kind::taken || !change ||
                change->body != waiting.change.body || change->if_match != waiting.change.if_match)
                continue;
            ++counts_.taken;
            Reply reply;
            reply.kind = Reply::Kind::taken;
            reply.edition = outcome.edition;
            answer(waiting, std::move(reply));
        }
    }
    std::erase_if(waiting_, [](const Waiting& one) { return one.client == 0; });
    if (state_machine_.edition() != before || (ready.restored && state_machine_.current()))
        output.newest = state_machine_.current();
}

void Replica::checkpoint(Millis now) {
    if (applied_ < raft_.commit() || applied_ <= raft_.snapshot().index) return;
    const raft::Index since = checkpoint_ ? checkpoint_->index : raft_.snapshot().index;
    if (applied_ <= since) return;
    if (applied_ - since < settings_.checkpoint_entries && checkpoint_bytes_ < settings_.checkpoint_bytes)
        return;
    if (checkpoint_) {
        // If the log is compacted now, a lagging member needs a snapshot, and may lag behind the next
        // checkpoint again by the time it is transferred.
        const bool needed = raft_.replicated_to_all(now) < checkpoint_->index;
        if (needed && log_bytes_ < settings_.lagging_log_bytes) return;
        raft_.compact(checkpoint_->index, std::move(checkpoint_->state));
        log_bytes_ = checkpoint_bytes_;
        ++counts_.compactions;
    }
    checkpoint_ = Checkpoint{applied_, state_machine_.save()};
    checkpoint_bytes_ = 0;
}

Output Replica::take_output(Millis now) {
    Output output;
    output.ready = raft_.take_ready();
    apply(output.ready, output);
    for (const std::uint64_t question : output.ready.confirmed)
        for (Waiting& one : waiting_)
            if (one.question == question) one.confirmed = true;
    checkpoint(now);
    now_ = now;
    output.replies = std::move(replies_);
    replies_.clear();
    output.to_all = std::move(to_all_);
    to_all_.clear();
    for (raft::Message& message : forwarded_) output.ready.messages.push_back(std::move(message));
    forwarded_.clear();
    return output;
}

// Waiting requests are processed here: nothing may be proposed or confirmed between take_output() and
// persisted().
void Replica::persisted() {
    raft_.persisted();
    process_waiting(now_);
}

}  // namespace cobaltshift::control
