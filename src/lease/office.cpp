#include "lease/office.hpp"

#include <algorithm>

#include "lease/codec.hpp"

namespace cobaltshift::lease {

namespace {
constexpr Millis kWaiterCheckInterval = 500;
constexpr std::size_t kMaxTrackedHolders = 20000;  // holders whose latest request number is remembered
constexpr std::size_t kMaxListedTasks = 2000;

Op make_op(Op::Kind kind, const std::string& task, HolderId holder, Fence fence) {
    Op op;
    op.kind = kind;
    op.task = task;
    op.holder = holder;
    op.fence = fence;
    return op;
}
}  // namespace

LeaseServer::LeaseServer(const LeaseServerSettings& settings, raft::PersistentState stored, Millis now,
                         std::uint64_t draw)
    : settings_(settings), keeper_(settings.agree, std::move(stored), now, draw), now_(now) {}

void LeaseServer::heard(Millis now, const raft::Message& message) {
    now_ = now;
    keeper_.on_message(now, message);
    if (leads_ && (!keeper_.leads() || keeper_.term() != led_term_)) on_leadership_lost();
}

Millis LeaseServer::due() const {
    Millis due = keeper_.due();
    if (!leads_) return due;
    if (!lapses_.empty()) due = std::min(due, lapses_.begin()->first);
    return std::min(due, waiters_due_);
}

void LeaseServer::tick(Millis now) {
    now_ = now;
    keeper_.tick(now);
    if (leads_ && (!keeper_.leads() || keeper_.term() != led_term_)) on_leadership_lost();
    if (!leads_) return;
    while (!lapses_.empty() && lapses_.begin()->first <= now) {
        const std::string task = lapses_.begin()->second;
        lapses_.erase(lapses_.begin());
        Held& held = held_.at(task);
        held.lapsing = true;
        // Silent waiters are removed first: granted to one of them, the task would be unused for another
        // lease duration.
        withdraw_silent(now, task, settings_.waiter_silence / 2);
        propose(make_op(Op::Kind::lapse, task, 0, held.fence));
        ++counts_.lapses;
    }
    if (now < waiters_due_) return;
    waiters_due_ = now + kWaiterCheckInterval;
    for (const auto& [name, task] : book_.tasks()) withdraw_silent(now, name, settings_.waiter_silence);
    std::erase_if(asking_,
                  [&](const auto& at) { return now >= at.second.at + 2 * settings_.waiter_silence; });
    std::erase_if(newest_, [&](const auto& at) { return now >= at.second.second + 120000; });
}

void LeaseServer::withdraw_silent(Millis now, const std::string& name, Millis silence) {
    const LeaseTable::Task* task = book_.find(name);
    if (!task) return;
    for (const LeaseTable::Waiter& waiter : task->queue) {
        Heard& heard = asking_[{name, waiter.holder}];
        if (heard.at == 0) heard.at = now;  // queued before this replica became leader
        if (now < heard.at + silence) continue;
        heard.at = now;
        propose(make_op(Op::Kind::withdraw, name, waiter.holder, 0));
    }
}

// ---- Requests --------------------------------------------------------------------------------------------

void LeaseServer::reply(Client client, const Request& question, Response answer) {
    answer.holder = question.holder;
    answer.number = question.number;
    answer.task = question.task;
    replies_.push_back({client, std::move(answer)});
}

bool LeaseServer::propose(Op op) { return keeper_.propose(encode(op)).has_value(); }

void LeaseServer::asked(Millis now, Client client, const Request& question) {
    now_ = now;
    ++counts_.questions;
    Response answer;
    if (!leads_ || !keeper_.leads()) {
        answer.kind = Response::Kind::not_leader;
        if (!leads_ && keeper_.role() != raft::RaftNode::Role::leader)
            answer.place = keeper_.leader_number().value_or(Response::kUnknown);
        ++counts_.not_leader;
        return reply(client, question, answer);
    }
    if (question.kind == Request::Kind::list) {
        if (pending_reads_.size() < settings_.questions && keeper_.confirm_leadership(next_question_))
            pending_reads_[next_question_++] = {client, question};
        return;
    }
    // Requests that are not newer than the holder's latest are duplicates or were delayed; they are dropped.
    auto newest = newest_.find(question.holder);
    if (newest == newest_.end()) {
        if (newest_.size() >= kMaxTrackedHolders) newest_.erase(newest_.begin());
        newest = newest_.try_emplace(question.holder).first;
    }
    if (question.number <= newest->second.first) {
        ++counts_.dropped;
        return;
    }
    newest->second = {question.number, now};
    switch (question.kind) {
        case Request::Kind::want:
            return want(now, client, question);
        case Request::Kind::release: {
            const LeaseTable::Task* task = book_.find(question.task);
            if (!task || task->holder != question.holder || task->fence != question.fence) {
                if (task &&
                    std::any_of(task->queue.begin(), task->queue.end(),
                                [&](const LeaseTable::Waiter& w) { return w.holder == question.holder; })) {
                    propose(make_op(Op::Kind::withdraw, question.task, question.holder, 0));
                }
                answer.kind = Response::Kind::lost;
                return reply(client, question, answer);
            }
            Op op = make_op(Op::Kind::release, question.task, question.holder, question.fence);
            op.next = question.next;
            if (propose(op)) ending_[{question.task, question.holder}] = {client, question.number};
            return;
        }
        case Request::Kind::revoke: {
            const LeaseTable::Task* task = book_.find(question.task);
            if (!task || (question.fence != 0 && task->fence != question.fence)) {
                answer.kind = Response::Kind::lost;
                return reply(client, question, answer);
            }
            if (propose(make_op(Op::Kind::revoke, question.task, question.holder, task->fence)))
                ending_[{question.task, question.holder}] = {client, question.number};
            return;
        }
        case Request::Kind::note:
            if (note(client, question)) return;
            // A newer leader may have granted the lease meanwhile, so `lost` is answered only once this
            // replica's leadership is confirmed.
            if (pending_reads_.size() < settings_.questions && keeper_.confirm_leadership(next_question_))
                pending_reads_[next_question_++] = {client, question};
            return;
        case Request::Kind::list:
            return;
    }
}

// Proposes the note. False: the request's fencing token is not the task's current one.
bool LeaseServer::note(Client client, const Request& question) {
    const LeaseTable::Task* task = book_.find(question.task);
    if (!task || task->fence != question.fence) return false;
    Op op = make_op(Op::Kind::note, question.task, question.holder, question.fence);
    op.text = question.text;
    op.number = question.number;
    if (propose(std::move(op))) pending_notes_[{question.task, question.holder}] = {client, question.number};
    return true;
}

void LeaseServer::want(Millis now, Client client, const Request& question) {
    const LeaseTable::Task* task = book_.find(question.task);
    Response answer;
    if (task && task->holder == question.holder) {
        const auto held = held_.find(question.task);
        if (task->revoked || held == held_.end() || held->second.lapsing) {
            answer.kind = Response::Kind::lost;
            answer.fence = task->fence;
            return reply(client, question, answer);
        }
        if (renewals_.size() >= settings_.questions || !keeper_.confirm_leadership(next_question_)) return;
        renewals_[next_question_++] = {client, question.holder, question.number, question.task, task->fence};
        return;
    }
    if (task && !question.wait) {
        answer.kind = Response::Kind::refused;
        answer.by = task->name;
        return reply(client, question, answer);
    }
    Heard& heard = asking_[{question.task, question.holder}];
    heard.at = now;
    heard.asker = {client, question.number};
    if (task)
        for (std::size_t i = 0; i < task->queue.size(); ++i)
            if (task->queue[i].holder == question.holder) {
                answer.kind = Response::Kind::queued;
                answer.place = static_cast<std::uint32_t>(i);
                answer.by = task->name;
                return reply(client, question, answer);
            }
    Op op = make_op(Op::Kind::want, question.task, question.holder, 0);
    op.name = question.name;
    op.length = question.length;
    op.wait = question.wait;
    propose(op);
}

// A majority has confirmed that this replica still led after it received the request with this read id.
void LeaseServer::on_leadership_confirmed(Millis now, std::uint64_t question) {
    if (const auto read = pending_reads_.find(question); read != pending_reads_.end()) {
        const Read one = std::move(read->second);
        pending_reads_.erase(read);
        Response answer;
        if (one.question.kind == Request::Kind::note) {
            // The token has become current meanwhile. Nothing may be proposed from within take(), so the
            // note is proposed when the holder repeats its request.
            const LeaseTable::Task* task = book_.find(one.question.task);
            if (task && task->fence == one.question.fence) return;
        } else {
            answer.kind = Response::Kind::listed;
            answer.text = list_tasks(one.question.task, now);
        }
        return reply(one.client, one.question, answer);
    }
    const auto at = renewals_.find(question);
    if (at == renewals_.end()) return;
    const Renewal renewal = std::move(at->second);
    renewals_.erase(at);
    Request q;
    q.holder = renewal.holder;
    q.number = renewal.number;
    q.task = renewal.task;
    Response answer;
    answer.fence = renewal.fence;
    const LeaseTable::Task* task = book_.find(renewal.task);
    const auto held = held_.find(renewal.task);
    if (!task || task->holder != renewal.holder || task->fence != renewal.fence || task->revoked ||
        held == held_.end() || held->second.lapsing) {
        answer.kind = Response::Kind::lost;
    } else {
        extend_timer(renewal.task, held->second, now + wait_for(task->length, settings_.drift));
        answer.kind = Response::Kind::held;
        answer.length = task->length;
        answer.text = book_.note(renewal.task);
        ++counts_.renewals;
    }
    reply(renewal.client, q, answer);
}

// ---- Applying --------------------------------------------------------------------------------------------

void LeaseServer::extend_timer(const std::string& task, Held& held, Millis until) {
    lapses_.erase({held.until, task});
    held.until = std::max(held.until, until);
    lapses_.insert({held.until, task});
}

void LeaseServer::remove_timer(const std::string& task) {
    const auto at = held_.find(task);
    if (at == held_.end()) return;
    lapses_.erase({at->second.until, task});
    held_.erase(at);
}

void LeaseServer::restart_timer(Millis now, const std::string& task, const LeaseTable::Task& held) {
    remove_timer(task);
    Held& mine = held_[task];
    mine.fence = held.fence;
    extend_timer(task, mine, now + wait_for(held.length, settings_.drift));
}

void LeaseServer::apply(Millis now, const raft::Committed& one) {
    applied_ = one.index;
    if (one.entry.kind != raft::Entry::Kind::data) return;
    const auto op = decode_op(one.entry.data);
    if (!op) throw raft::ProtocolViolation("an operation in the log can't be read");
    const LeaseTable::Effect effect = book_.apply(*op);
    if (!leads_) return;
    const LeaseTable::Task* task = book_.find(op->task);
    if (!task)
        remove_timer(op->task);
    else if (effect.outcome == LeaseTable::Outcome::granted)
        restart_timer(now, op->task, *task);
    Request q;
    q.task = op->task;
    Response answer;
    if (effect.outcome == LeaseTable::Outcome::granted) {
        ++counts_.grants;
        const auto asker = asking_.find({op->task, effect.to});
        if (asker != asking_.end()) {
            q.holder = effect.to;
            q.number = asker->second.asker.number;
            answer.kind = Response::Kind::held;
            answer.fence = effect.fence;
            answer.length = task->length;
            answer.text = book_.note(op->task);
            if (q.number != 0) reply(asker->second.asker.client, q, answer);
            asking_.erase(asker);
        }
    }
    if (op->kind == Op::Kind::want && effect.outcome != LeaseTable::Outcome::granted) {
        const auto asker = asking_.find({op->task, op->holder});
        if (asker == asking_.end()) return;
        q.holder = op->holder;
        q.number = asker->second.asker.number;
        const Client client = asker->second.asker.client;
        answer = {};
        if (effect.outcome == LeaseTable::Outcome::queued) {
            answer.kind = Response::Kind::queued;
            answer.by = task->name;
            answer.place = 0;
            while (answer.place < task->queue.size() && task->queue[answer.place].holder != op->holder)
                ++answer.place;
        } else {
            // `nothing`: an earlier request of this holder was granted; its next request renews the lease.
            answer.kind = effect.outcome == LeaseTable::Outcome::refused ? Response::Kind::refused
                          : effect.outcome == LeaseTable::Outcome::full  ? Response::Kind::full
                                                                         : Response::Kind::lost;
            if (task) answer.by = task->name;
            asking_.erase(asker);
            if (effect.outcome == LeaseTable::Outcome::nothing) return;
        }
        return reply(client, q, answer);
    }
    const bool notes = op->kind == Op::Kind::note;
    if (!notes && op->kind != Op::Kind::release && op->kind != Op::Kind::revoke) return;
    auto& askers = notes ? pending_notes_ : ending_;
    const auto asker = askers.find({op->task, op->holder});
    if (asker == askers.end()) return;
    q.holder = op->holder;
    q.number = asker->second.number;
    answer = {};
    answer.kind = Response::Kind::done;
    if (notes && effect.outcome != LeaseTable::Outcome::noted)
        answer.kind =
            effect.outcome == LeaseTable::Outcome::full ? Response::Kind::full : Response::Kind::lost;
    counts_.notes += effect.outcome == LeaseTable::Outcome::noted;
    answer.fence = op->fence;
    const Client client = asker->second.client;
    askers.erase(asker);
    reply(client, q, answer);
}

// Starts the timers of all leases anew, as earlier leaders may have confirmed renewals that this replica
// doesn't know of.
void LeaseServer::on_leadership_gained(Millis now) {
    leads_ = true;
    led_term_ = keeper_.term();
    waiters_due_ = now + kWaiterCheckInterval;
    for (const auto& [name, task] : book_.tasks()) restart_timer(now, name, task);
}

// Pending requests get no response, as another leader may have served the same request. The holders retry.
void LeaseServer::on_leadership_lost() {
    leads_ = false;
    held_.clear();
    lapses_.clear();
    asking_.clear();
    ending_.clear();
    pending_notes_.clear();
    renewals_.clear();
    pending_reads_.clear();
    newest_.clear();
}

LeaseServer::Output LeaseServer::take(Millis now) {
    now_ = now;
    Output output;
    output.ready = keeper_.take_ready();
    if (output.ready.restored) {
        if (output.ready.restored->index > 0 && !output.ready.restored->data.empty() &&
            !book_.load(output.ready.restored->data))
            throw raft::ProtocolViolation("a snapshot's book can't be read");
        if (output.ready.restored->index == 0) book_ = {};
        applied_ = output.ready.restored->index;
    }
    for (const raft::Committed& one : output.ready.committed) apply(now, one);
    // Only once all entries committed by earlier leaders and one of the own term are applied.
    if (!leads_ && keeper_.leads() && applied_ == keeper_.commit()) on_leadership_gained(now);
    for (const std::uint64_t question : output.ready.confirmed) on_leadership_confirmed(now, question);
    output.replies.swap(replies_);
    if (applied_ >= keeper_.first() && applied_ - keeper_.first() + 1 >= settings_.compact_after)
        keeper_.compact(applied_, book_.save());
    return output;
}

std::string LeaseServer::list_tasks(const std::string& prefix, Millis now) const {
    std::string text;
    std::size_t count = 0;
    for (auto at = book_.tasks().lower_bound(prefix); at != book_.tasks().end(); ++at) {
        if (!at->first.starts_with(prefix)) break;
        if (++count > kMaxListedTasks) {
            text += "...\n";
            break;
        }
        const auto held = held_.find(at->first);
        const Millis left = held == held_.end() ? 0 : std::max(0.0, held->second.until - now);
        text += at->first + "\t" + at->second.name + "\t" + std::to_string(at->second.fence) + "\t" +
                std::to_string(static_cast<long long>(left)) + "\t" +
                std::to_string(at->second.queue.size()) + (at->second.revoked ? "\trevoked\t" : "\theld\t") +
                book_.note(at->first) + "\n";
    }
    // Notes of tasks that nobody holds.
    for (auto at = book_.notes().lower_bound(prefix); at != book_.notes().end(); ++at) {
        if (!at->first.starts_with(prefix)) break;
        if (!book_.find(at->first)) text += at->first + "\t\t0\t0\t0\tfree\t" + at->second.text + "\n";
    }
    return text;
}

}  // namespace cobaltshift::lease
