#include "lease/holder.hpp"

#include <algorithm>

namespace cobaltshift::lease {

namespace {
constexpr double kRenewAfter = 1.0 / 3;  // fraction of the lease's duration
constexpr double kSpread = 0.2;  // random variation of each interval, as a fraction in both directions
constexpr Millis kInitialBackoff = 50;
}  // namespace

Holder::Holder(const HolderSettings& settings, std::uint64_t draw)
    : settings_(settings),
      random_(draw),
      keeper_(static_cast<std::uint32_t>(draw % std::max(1U, settings.keepers))) {}

void Holder::want(Millis now, const std::string& task, Millis length, bool wait) {
    Wanted& one = wanted_[task];
    one.length = std::clamp(length, kMinLeaseLength, kMaxLeaseLength);
    one.wait = wait;
    if (one.releasing) one.releasing = false, one.right = {};
    one.due = now;
}

void Holder::give_up(Millis now, const std::string& task, const std::string& next) {
    const auto at = wanted_.find(task);
    if (at == wanted_.end()) return;
    Wanted& one = at->second;
    // A request still in flight may be granted; that lease is released once the response gives its fencing
    // token.
    one.releasing = true;
    one.next = next;
    one.release_until = std::max(one.right.until, one.asked_at + one.length);
    one.right.until = -1;
    one.pause = 0;
    if (one.right.fence == 0 && !one.outstanding && !one.queued) {
        wanted_.erase(at);
        return;
    }
    if (one.right.fence != 0 || !one.outstanding) one.due = now;
}

bool Holder::leave_note(Millis now, const std::string& task, const std::string& text) {
    const auto held = right(now, task);
    if (!held || !is_valid_note(text)) return false;
    notes_[task] = {Note::on_its_way, held->fence, text, 0, now};
    return true;
}

Holder::Note Holder::note_state(const std::string& task) const {
    const auto at = notes_.find(task);
    return at == notes_.end() ? Note::none : at->second.state;
}

std::string Holder::note(const std::string& task) const {
    const auto at = wanted_.find(task);
    return at == wanted_.end() ? std::string() : at->second.note;
}

void Holder::tick_note(Millis now, const std::string& task, PendingNote& noting) {
    if (noting.state != Note::on_its_way || now < noting.due) return;
    const auto held = right(now, task);
    if (!held || held->fence != noting.fence) {
        noting.state = Note::not_left;
        return;
    }
    if (noting.number != 0) {  // the previous request timed out
        ++counts_.unanswered;
        keeper_ = (keeper_ + 1) % std::max(1U, settings_.keepers);
    }
    Request q;
    q.kind = Request::Kind::note;
    q.holder = settings_.id;
    q.number = noting.number = next_number_++;
    q.name = settings_.name;
    q.task = task;
    q.fence = noting.fence;
    q.text = noting.text;
    noting.due = now + settings_.answer * (1 + kSpread * (2 * random_.unit() - 1));
    ++counts_.questions;
    out_.push_back({keeper_, std::move(q)});
}

void Holder::on_note_answer(Millis now, const Response& a, PendingNote& noting) {
    switch (a.kind) {
        case Response::Kind::not_leader:
            if (a.place < settings_.keepers) keeper_ = a.place;
            noting.number = 0;
            noting.due = now + kInitialBackoff * random_.unit();
            return;
        case Response::Kind::done: {
            noting.state = Note::left;
            ++counts_.noted;
            const auto at = wanted_.find(a.task);
            if (at != wanted_.end()) at->second.note = noting.text;
            return;
        }
        default:
            noting.state = Note::not_left;
    }
}

Millis Holder::due() const {
    Millis due = 1e18;
    for (const auto& [task, noting] : notes_)
        if (noting.state == Note::on_its_way) due = std::min(due, noting.due);
    for (const auto& [task, one] : wanted_) due = std::min(due, one.due);
    return due;
}

void Holder::ask(Millis now, const std::string& task, Wanted& one) {
    Request q;
    q.kind = one.releasing ? Request::Kind::release : Request::Kind::want;
    q.holder = settings_.id;
    q.number = one.number = next_number_++;
    q.name = settings_.name;
    q.task = task;
    q.fence = one.right.fence;
    q.length = one.length;
    q.wait = one.wait;
    if (one.releasing) q.next = one.next;
    one.asked_at = now;
    one.outstanding = true;
    one.due = now + settings_.answer * (1 + kSpread * (2 * random_.unit() - 1));
    ++counts_.questions;
    out_.push_back({keeper_, std::move(q)});
}

void Holder::tick(Millis now) {
    for (auto& [task, noting] : notes_) tick_note(now, task, noting);
    for (auto at = wanted_.begin(); at != wanted_.end();) {
        Wanted& one = at->second;
        if (!one.releasing && one.right.fence != 0 && one.right.until <= now && one.right.until >= 0) {
            ++counts_.ended;
            one.right = {};
            one.counted = false;
        }
        if (now < one.due) {
            ++at;
            continue;
        }
        if (one.releasing && now >= one.release_until) {  // the lease has expired anyway
            at = wanted_.erase(at);
            continue;
        }
        if (one.outstanding) {
            // Timed out: try the next replica after a random, exponentially growing back-off, so that clients
            // don't all retry at once.
            one.outstanding = false;
            ++counts_.unanswered;
            keeper_ = (keeper_ + 1) % std::max(1U, settings_.keepers);
            one.pause = std::min(settings_.longest_pause, std::max(kInitialBackoff, 2 * one.pause));
            one.due = now + one.pause * random_.unit();
            if (one.due > now) {
                ++at;
                continue;
            }
        }
        ask(now, at->first, one);
        ++at;
    }
}

void Holder::heard(Millis now, const Response& a) {
    if (const auto noting = notes_.find(a.task); a.holder == settings_.id && noting != notes_.end() &&
                                                 a.number == noting->second.number && a.number != 0 &&
                                                 noting->second.state == Note::on_its_way)
        return on_note_answer(now, a, noting->second);
    const auto at = wanted_.find(a.task);
    if (a.holder != settings_.id || at == wanted_.end() || a.number != at->second.number) return;
    Wanted& one = at->second;
    one.last = a;
    one.outstanding = false;
    if (a.kind == Response::Kind::not_leader) {
        // Go to the leader that the response names; if it names none, to the next replica after a back-off.
        if (a.place < settings_.keepers && a.place != keeper_) {
            keeper_ = a.place;
            one.due = now + 5 * random_.unit();
        } else {
            keeper_ = (keeper_ + 1) % std::max(1U, settings_.keepers);
            one.pause = std::min(settings_.longest_pause, std::max(kInitialBackoff, 2 * one.pause));
            one.due = now + one.pause * (0.5 + random_.unit() / 2);
        }
        return;
    }
    one.pause = 0;
    const double spread = 1 + kSpread * (2 * random_.unit() - 1);
    switch (a.kind) {
        case Response::Kind::held:
            one.queued = false;
            if (one.releasing) {  // released while the request was in flight; its fencing token is known now
                one.right.fence = a.fence;
                one.due = now;
                return;
            }
            if (one.right.fence != a.fence) one.counted = false;
            // Under an unchanged token, a note stored by this holder may be newer than the response's.
            if (one.right.fence != a.fence) one.note = a.text, notes_.erase(a.task);
            one.right.fence = a.fence;
            one.right.until = one.asked_at + a.length - settings_.margin;
            if (one.right.until <= now) one.right = {};
            if (one.right.fence != 0) {
                ++(one.counted ? counts_.renewed : counts_.gained);
                one.counted = true;
            }
            one.due = std::max(now, one.asked_at + a.length * kRenewAfter * spread);
            return;
        case Response::Kind::queued:
            one.queued = true;
            one.due = now + settings_.poll * spread;
            return;
        case Response::Kind::lost:
            if (one.releasing) {
                wanted_.erase(at);
                return;
            }
            if (one.right.fence != 0) ++counts_.lost;
            one.right = {};
            one.counted = false;
            one.due = now + kInitialBackoff * spread;
            return;
        case Response::Kind::done:
            if (one.releasing) wanted_.erase(at);
            return;
        default:  // refused, full
            if (one.releasing) {
                wanted_.erase(at);
                return;
            }
            one.right = {};
            one.counted = false;
            one.due = now + settings_.poll * spread;
    }
}

std::vector<Holder::Ask> Holder::take() {
    std::vector<Ask> out;
    out.swap(out_);
    return out;
}

std::optional<Holder::Right> Holder::right(Millis now, const std::string& task) const {
    const auto at = wanted_.find(task);
    if (at == wanted_.end() || at->second.releasing || at->second.right.fence == 0 ||
        now >= at->second.right.until)
        return {};
    return at->second.right;
}

Holder::State Holder::state(const std::string& task) const {
    const auto at = wanted_.find(task);
    if (at == wanted_.end()) return State::idle;
    if (at->second.releasing) return State::releasing;
    if (at->second.right.fence != 0) return State::held;
    return at->second.queued ? State::waiting : State::asking;
}

const Response* Holder::last(const std::string& task) const {
    const auto at = wanted_.find(task);
    return at == wanted_.end() ? nullptr : &at->second.last;
}

}  // namespace cobaltshift::lease
