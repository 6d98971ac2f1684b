#include "failure_detector/failure_detector.hpp"

#include <algorithm>

namespace cobaltshift::failure_detector {

FailureDetector::FailureDetector(const Settings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed) {}

std::vector<FailureDetector::Member>::iterator FailureDetector::at(std::uint32_t ip) {
    return std::lower_bound(members_.begin(), members_.end(), ip,
                            [](const Member& member, std::uint32_t wanted) { return member.ip < wanted; });
}

FailureDetector::Member* FailureDetector::find(std::uint32_t ip) {
    const auto found = at(ip);
    return found == members_.end() || found->ip != ip ? nullptr : &*found;
}

void FailureDetector::start_suspicion(Millis now, Member& member, bool own) {
    member.own_suspicion = own;
    member.suspected_at = now;
    member.expires_at = now + settings_.suspicion_timeout + (own ? 0 : settings_.relayed_suspicion_extra);
    member.next_probe_at = own ? now + settings_.suspect_probe_interval : 1e18;
}

void FailureDetector::set(Millis now, std::uint32_t ip, MemberState state) {
    Member* member = find(ip);
    if (!member) {
        member = &*members_.insert(at(ip), Member{ip, state});
        // At a random position in the rest of the round (SWIM, section 4.3).
        const std::size_t place = cursor_ + random_.below(round_.size() - cursor_ + 1);
        round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(place), ip);
    } else if (member->state == state) {
        return;
    } else {
        suspect_count_ -= member->state == MemberState::suspect;
        gone_count_ -= member->state == MemberState::gone;
    }
    suspect_count_ += state == MemberState::suspect;
    gone_count_ += state == MemberState::gone;
    member->state = state;
    if (state == MemberState::suspect) start_suspicion(now, *member, false);
    if (state == MemberState::gone && gone_count_ == 1)
        next_gone_probe_at_ = now + settings_.gone_probe_interval * random_.unit();
    update_due();
}

void FailureDetector::remove(std::uint32_t ip) {
    const auto member = at(ip);
    if (member == members_.end() || member->ip != ip) return;
    suspect_count_ -= member->state == MemberState::suspect;
    gone_count_ -= member->state == MemberState::gone;
    members_.erase(member);
    const auto place = std::find(round_.begin(), round_.end(), ip);
    if (place - round_.begin() < static_cast<std::ptrdiff_t>(cursor_)) --cursor_;
    round_.erase(place);
    std::erase_if(pending_, [&](const PendingProbe& pending) { return pending.ip == ip; });
    update_due();
}

void FailureDetector::restart_suspicions(Millis now) {
    for (Member& member : members_)
        if (member.state == MemberState::suspect) start_suspicion(now, member, member.own_suspicion);
}

void FailureDetector::on_answer(Millis now, std::uint32_t ip, Output& out) {
    consecutive_failures_ = 0;
    if (now - last_answer_at_ > settings_.isolation_threshold) restart_suspicions(now);
    last_answer_at_ = now;
    std::erase_if(pending_, [&](const PendingProbe& pending) { return pending.ip == ip; });
    if (Member* member = find(ip); member && member->state == MemberState::suspect) {
        set(now, ip, MemberState::alive);
        out.cleared.push_back(ip);
    }
    update_due();
}

void FailureDetector::probe(Millis now, std::uint32_t ip, Output& out) {
    pending_.push_back({ip, ++last_number_, now, false});
    out.probes.push_back({ip, last_number_});
}

void FailureDetector::probe_now(Millis now, std::uint32_t ip, Output& out) {
    const Member* member = find(ip);
    if (!member || member->state != MemberState::alive || pending_.size() >= settings_.max_pending_probes)
        return;
    if (std::any_of(pending_.begin(), pending_.end(),
                    [&](const PendingProbe& pending) { return pending.ip == ip; }))
        return;
    probe(now, ip, out);
    update_due();
}

void FailureDetector::probe_indirectly(const PendingProbe& pending, Output& out) {
    out.probes.push_back({pending.ip, pending.number});
    std::size_t wanted = settings_.indirect_probe_count;
    const std::size_t start = random_.below(members_.size());
    // A random stride, so that different failed members do not all get the same helpers.
    const std::size_t step = 1 + random_.below(members_.size());
    std::vector<std::uint32_t> chosen;
    for (std::size_t i = 0, place = start; wanted && i < 4 * settings_.indirect_probe_count + 8;
         ++i, place += step) {
        const Member& member = members_[place % members_.size()];
        if (member.state != MemberState::alive || member.ip == pending.ip) continue;
        if (std::find(chosen.begin(), chosen.end(), member.ip) != chosen.end()) {
            ++place;
            continue;
        }
        chosen.push_back(member.ip);
        out.indirect_probes.push_back({member.ip, pending.ip, pending.number});
        --wanted;
    }
}

void FailureDetector::probe_next(Millis now, Output& out) {
    for (std::size_t tried = 0; tried <= round_.size(); ++tried) {
        if (cursor_ >= round_.size()) {
            for (std::size_t i = round_.size(); i > 1; --i)
                std::swap(round_[i - 1], round_[random_.below(i)]);
            cursor_ = 0;
            if (round_.empty()) return;
        }
        const std::uint32_t ip = round_[cursor_++];
        const bool already_pending = std::any_of(
            pending_.begin(), pending_.end(), [&](const PendingProbe& pending) { return pending.ip == ip; });
        if (find(ip)->state == MemberState::gone || already_pending) continue;
        probe(now, ip, out);
        return;
    }
}

void FailureDetector::probe_random_gone(Output& out) {
    std::size_t which = random_.below(gone_count_);
    for (const Member& member : members_)
        if (member.state == MemberState::gone && which-- == 0) {
            out.probes.push_back({member.ip, ++last_number_});
            return;
        }
}

void FailureDetector::tick(Millis now, Output& out) {
    if (now < due_) return;
    if (now - due_ > settings_.freeze_threshold && due_ > 0) {
        pending_.clear();
        restart_suspicions(now);
        consecutive_failures_ = 0;
        last_answer_at_ = now;
    }
    for (std::size_t i = 0; i < pending_.size();) {
        PendingProbe& pending = pending_[i];
        if (!pending.indirect_sent && now >= pending.sent_at + settings_.direct_timeout) {
            pending.indirect_sent = true;
            probe_indirectly(pending, out);
        }
        if (now < pending.sent_at + settings_.direct_timeout + settings_.indirect_timeout) {
            ++i;
            continue;
        }
        const std::uint32_t ip = pending.ip;
        pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(i));
        ++consecutive_failures_;
        Member* member = find(ip);
        if (!member || member->state != MemberState::alive || isolated()) continue;
        set(now, ip, MemberState::suspect);
        start_suspicion(now, *member, true);
        out.suspected.push_back(ip);
    }
    for (std::size_t i = 0; suspect_count_ && i < members_.size(); ++i) {
        Member& member = members_[i];
        if (member.state != MemberState::suspect) continue;
        if (now >= member.expires_at) {
            if (last_answer_at_ <= member.suspected_at) {
                member.expires_at = now + settings_.suspect_probe_interval;
            } else {
                set(now, member.ip, MemberState::gone);
                out.gone.push_back(member.ip);
                continue;
            }
        }
        if (now >= member.next_probe_at) {
            member.next_probe_at = now + settings_.suspect_probe_interval;
            out.probes.push_back({member.ip, ++last_number_});
        }
    }
    if (now >= next_probe_at_) {
        probe_next(now, out);
        // Counted from the time at which the probe was due, at most a quarter of the interval back, so that
        // late ticks do not lower the probe rate.
        next_probe_at_ = std::max(next_probe_at_, now - settings_.probe_interval / 4) + next_interval();
    }
    if (gone_count_ && now >= next_gone_probe_at_) {
        probe_random_gone(out);
        next_gone_probe_at_ = now + settings_.gone_probe_interval * (0.9 + 0.2 * random_.unit());
    }
    update_due();
}

Millis FailureDetector::next_interval() {
    return settings_.probe_interval * (suspect_count_ ? 0.5 : 1) * (0.95 + 0.1 * random_.unit());
}

void FailureDetector::probe_early(Millis now, Output& out) {
    if (now >= next_probe_at_ ||
        now < next_probe_at_ - settings_.early_probe_fraction * settings_.probe_interval)
        return;
    probe_next(now, out);
    next_probe_at_ += next_interval();
    update_due();
}

void FailureDetector::update_due() {
    due_ = next_probe_at_;
    if (gone_count_) due_ = std::min(due_, next_gone_probe_at_);
    for (const PendingProbe& pending : pending_)
        due_ = std::min(due_, pending.sent_at + settings_.direct_timeout +
                                  (pending.indirect_sent ? settings_.indirect_timeout : 0));
    if (suspect_count_)
        for (const Member& member : members_)
            if (member.state == MemberState::suspect)
                due_ = std::min({due_, member.expires_at, member.next_probe_at});
}

}  // namespace cobaltshift::failure_detector
