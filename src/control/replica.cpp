#include "control/replica.hpp"

#include <algorithm>

namespace cobaltshift::control {

namespace {
constexpr Millis kLostEvery = 500, kLookEvery = 100;
constexpr std::size_t kEntryOverheadBytes = 32;
}  // namespace

raft::Stored bootstrap(std::uint64_t fleet, std::uint32_t own, const std::vector<std::uint32_t>& founders) {
    raft::Stored stored;
    stored.fleet = fleet;
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
        case Reply::Kind::nothing_yet:
            return {Kind::current, 0, 0};
        case Reply::Kind::elsewhere:
            return {Kind::elsewhere, 0, reply.leader};
        default:
            return {};
    }
}

Replica::Replica(const ReplicaSettings& settings, raft::Stored stored, Millis now, std::uint64_t draw)
    : settings_(settings),
      raft_(settings.agree, std::move(stored), now, draw),
      lost_at_(now + settings.lost_after) {
    if (!raft_.snapshot().data.empty() && !state_machine_.load(raft_.snapshot().data))
        throw raft::Broken("the snapshot is no state_machine");
    applied_ = raft_.snapshot().index;
}

// ---- Time, messages --------------------------------------------------------------------------------------

Millis Replica::due() const {
    Millis due = std::min(raft_.due(), lost_at_);
    for (const Waiting& one : waiting_) due = std::min(due, one.until);
    return due;
}

void Replica::tick(Millis now) {
    raft_.tick(now);
    if (raft_.leads()) look_after_silent(now);
    // Dropped while it was cut off, perhaps; or its leader is at an address that it doesn't know of.
    if (raft_.role() == raft::RaftNode::Role::leader) {
        lost_at_ = now + settings_.lost_after;
    } else if (now >= lost_at_) {
        lost_at_ = now + kLostEvery;
        if (!raft_.retired() && !raft_.members().empty()) {
            raft::Message lost;
            lost.kind = raft::Message::Kind::ask_prevote;
            lost.fleet = settings_.agree.fleet;
            lost.from = raft_.id();
            lost.number = settings_.agree.number;
            lost.run = raft_.run();
            lost.term = raft_.term() + 1;
            lost.last = raft_.last();
            to_all_.push_back(std::move(lost));
        }
    }
    look(now);
}

void Replica::on_message(Millis now, const raft::Message& message, bool passed_on) {
    using Kind = raft::Message::Kind;
    const bool leads = raft_.role() == raft::RaftNode::Role::leader;
    const bool asks =
        message.kind == Kind::join || (message.kind == Kind::ask_prevote && message.to == raft::kNobody);
    if (asks && !leads) {
        // To whoever leads, where it is another's to decide.
        const auto leader = passed_on ? std::nullopt : raft_.leader_number();
        if (!leader || *leader == message.number || message.from == raft_.id()) return;
        raft::Message copy = message;
        copy.to_number = *leader;
        if (passed_on_.size() < 16) passed_on_.push_back(std::move(copy));
        return;
    }
    if (message.kind == Kind::ask_prevote && message.to == raft::kNobody) {
        raft::Message mine = message;
        mine.to = raft_.id();
        const auto& members = raft_.members();
        const bool member = std::any_of(members.begin(), members.end(),
                                        [&](const auto& one) { return one.id == message.from; });
        if (!member && message.term > raft_.term() + 1) {
            // It stood in a term that nobody here heard of. It takes no word from an older one: a new one is
            // needed.
            mine.kind = Kind::prevote;
            --mine.term;
        }
        raft_.on_message(now, mine);
        return;
    }
    raft_.on_message(now, message);
    if ((message.kind == Kind::append || message.kind == Kind::snapshot_piece) &&
        message.from == raft_.leader())
        leader_heard_ = now, lost_at_ = now + settings_.lost_after;
}

std::uint32_t Replica::fresh_leader(Millis now) const {
    if (raft_.role() == raft::RaftNode::Role::leader || now > leader_heard_ + settings_.leader_fresh)
        return 0;
    return raft_.leader_number().value_or(0);
}

// ---- Members ---------------------------------------------------------------------------------------------

// What the RaftNode leaves to its caller: members that are gone for good, so that the next loss finds a
// majority.
void Replica::look_after_silent(Millis now) {
    if (now < looked_at_ + kLookEvery || raft_.changing()) return;
    looked_at_ = now;
    std::size_t heard = 0;
    const raft::Member* silent = nullptr;
    for (const raft::Member& member : raft_.members()) {
        const auto peer = raft_.peers().find(member.id);
        const bool own = member.id == raft_.id();
        if (!own && peer == raft_.peers().end()) continue;
        if (own || now <= peer->second.heard + settings_.heard_within)
            heard += member.voter;
        else if (now > peer->second.heard + settings_.removed_after)
            silent = &member;
    }
    // One without a vote is dropped whatever is heard: it adds nothing, and may hold a place.
    if (!silent || (silent->voter && heard < settings_.least_voters)) return;
    counts_.removals += raft_.remove(silent->number);
}

bool Replica::hand_over(Millis now) { return raft_.transfer_leadership(now); }

// ---- The operator's calls --------------------------------------------------------------------------------

void Replica::wait(Millis now, Waiting waiting) {
    waiting.until = now + settings_.answer_within;
    const std::uint32_t elsewhere = fresh_leader(now);
    if (!raft_.leads() || raft_.retired() || raft_.transferring_leadership() ||
        waiting_.size() >= settings_.most_waiting) {
        const bool known = !raft_.leads() && elsewhere != 0;
        Reply reply;
        reply.kind = known ? Reply::Kind::elsewhere : Reply::Kind::unavailable;
        reply.leader = known ? elsewhere : 0;
        return answer(waiting, std::move(reply));
    }
    waiting_.push_back(std::move(waiting));
    look(now);
}

void Replica::change(Millis now, std::uint64_t client, config::Change change) {
    Waiting waiting;
    waiting.client = client;
    waiting.is_change = true;
    waiting.change = std::move(change);
    wait(now, std::move(waiting));
}

void Replica::read(Millis now, std::uint64_t client) {
    Waiting waiting;
    waiting.client = client;
    wait(now, std::move(waiting));
}

void Replica::answer(Waiting& waiting, Reply reply) {
    reply.client = waiting.client;
    waiting.client = 0;
    replies_.push_back(std::move(reply));
}

// True: answered.
bool Replica::look_at(Waiting& one) {
    using Kind = config::ChangeOutcome::Kind;
    if (one.index != 0) return false;  // on its way
    const auto ask = [&] {
        if (one.question == 0 && raft_.confirm(next_question_)) one.question = next_question_++;
        return false;
    };
    Reply reply;
    if (!one.is_change) {
        if (!one.confirmed) return ask();
        ++counts_.reads;
        reply.current = state_machine_.current();
        reply.kind = reply.current ? Reply::Kind::config : Reply::Kind::nothing_yet;
        return answer(one, std::move(reply)), true;
    }
    if (busy_) return false;  // judged against what comes of the one before
    config::ChangeOutcome verdict = state_machine_.check(one.change);
    reply.edition = verdict.edition;
    if (verdict.kind == Kind::taken) {
        const auto index = raft_.propose(encode(one.change));
        if (!index) return answer(one, Reply()), true;
        one.index = *index;
        busy_ = true;
        return false;
    }
    if (verdict.kind == Kind::already) {  // committed, whoever leads now
        reply.kind = Reply::Kind::taken;
        return answer(one, std::move(reply)), true;
    }
    if (!one.confirmed) return ask();
    ++counts_.refused;
    reply.kind = verdict.kind == Kind::stale ? Reply::Kind::stale : Reply::Kind::invalid;
    reply.complaints = std::move(verdict.complaints);
    return answer(one, std::move(reply)), true;
}

void Replica::look(Millis now) {
    const bool leads = raft_.leads() && !raft_.retired() && raft_.term() == term_;
    // A change whose caller has been sent away is on its way still, as long as this hub leads.
    if (!leads) busy_ = false, term_ = raft_.term();
    const bool current = applied_ >= raft_.commit();
    for (Waiting& one : waiting_) {
        if (!leads || now >= one.until) {
            if (leads) ++counts_.late;
            answer(one, Reply());
        } else if (current) {
            look_at(one);
        }
    }
    std::erase_if(waiting_, [](const Waiting& one) { return one.client == 0; });
}

// ---- What is to be done ----------------------------------------------------------------------------------

void Replica::apply(const raft::Ready& ready, Output& output) {
    const config::Edition before = state_machine_.edition();
    if (ready.restored) {
        // At the start it was read by the constructor.
        if (ready.restored->index != applied_ && !state_machine_.load(ready.restored->data))
            throw raft::Broken("the snapshot is no state_machine");
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
        const config::ChangeOutcome verdict =
            change ? state_machine_.apply(*change) : config::ChangeOutcome();
        busy_ = false;
        for (Waiting& waiting : waiting_) {
            if (waiting.index != one.index) continue;
            waiting.index = 0;
            // Another leader's entry may stand where ours was to be.
            if (verdict.kind != config::ChangeOutcome::Kind::taken || !change ||
                change->body != waiting.change.body || change->if_match != waiting.change.if_match)
                continue;
            ++counts_.taken;
            Reply reply;
            reply.kind = Reply::Kind::taken;
            reply.edition = verdict.edition;
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
        // A member that lags would have to be sent the state once more, and once more after that.
        const bool needed = raft_.held_by_all(now) < checkpoint_->index;
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
    for (raft::Message& message : passed_on_) output.ready.messages.push_back(std::move(message));
    passed_on_.clear();
    return output;
}

// Nothing is asked or proposed between take() and stored().
void Replica::persisted() {
    raft_.persisted();
    look(now_);
}

}  // namespace cobaltshift::control
