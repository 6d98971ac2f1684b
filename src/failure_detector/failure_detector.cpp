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

void FailureDetector::suspect(Millis now, Member& member, bool own) {
    member.own = own;
    member.began = now;
    member.until = now + settings_.suspicion + (own ? 0 : settings_.heard_more);
    member.again = own ? now + settings_.again : 1e18;
}

void FailureDetector::set(Millis now, std::uint32_t ip, Standing standing) {
    Member* member = find(ip);
    if (!member) {
        member = &*members_.insert(at(ip), Member{ip, standing});
        // Into the rest of the round, anywhere (SWIM 4.3).
        const std::size_t place = cursor_ + random_.below(round_.size() - cursor_ + 1);
        round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(place), ip);
    } else if (member->standing == standing) {
        return;
    } else {
        suspects_ -= member->standing == Standing::suspect;
        gone_ -= member->standing == Standing::gone;
    }
    suspects_ += standing == Standing::suspect;
    gone_ += standing == Standing::gone;
    member->standing = standing;
    if (standing == Standing::suspect) suspect(now, *member, false);
    if (standing == Standing::gone && gone_ == 1) next_gone_ = now + settings_.gone_again * random_.unit();
    work_out_due();
}

void FailureDetector::remove(std::uint32_t ip) {
    const auto member = at(ip);
    if (member == members_.end() || member->ip != ip) return;
    suspects_ -= member->standing == Standing::suspect;
    gone_ -= member->standing == Standing::gone;
    members_.erase(member);
    const auto place = std::find(round_.begin(), round_.end(), ip);
    if (place - round_.begin() < static_cast<std::ptrdiff_t>(cursor_)) --cursor_;
    round_.erase(place);
    std::erase_if(running_, [&](const Running& running) { return running.ip == ip; });
    work_out_due();
}

void FailureDetector::restart(Millis now) {
    for (Member& member : members_)
        if (member.standing == Standing::suspect) suspect(now, member, member.own);
}

void FailureDetector::answered(Millis now, std::uint32_t ip, Output& out) {
    failures_ = 0;
    if (now - answered_at_ > settings_.silence) restart(now);
    answered_at_ = now;
    std::erase_if(running_, [&](const Running& running) { return running.ip == ip; });
    if (Member* member = find(ip); member && member->standing == Standing::suspect) {
        set(now, ip, Standing::alive);
        out.cleared.push_back(ip);
    }
    work_out_due();
}

void FailureDetector::probe(Millis now, std::uint32_t ip, Output& out) {
    running_.push_back({ip, ++number_, now, false});
    out.probes.push_back({ip, number_});
}

void FailureDetector::doubt(Millis now, std::uint32_t ip, Output& out) {
    const Member* member = find(ip);
    if (!member || member->standing != Standing::alive || running_.size() >= settings_.at_once) return;
    if (std::any_of(running_.begin(), running_.end(),
                    [&](const Running& running) { return running.ip == ip; }))
        return;
    probe(now, ip, out);
    work_out_due();
}

void FailureDetector::ask_others(const Running& running, Output& out) {
    out.probes.push_back({running.ip, running.number});
    std::size_t wanted = settings_.helpers;
    const std::size_t start = random_.below(members_.size());
    // Apart from one another, so that not the same ones help for all that fail.
    const std::size_t step = 1 + random_.below(members_.size());
    std::vector<std::uint32_t> taken;
    for (std::size_t i = 0, place = start; wanted && i < 4 * settings_.helpers + 8; ++i, place += step) {
        const Member& member = members_[place % members_.size()];
        if (member.standing != Standing::alive || member.ip == running.ip) continue;
        if (std::find(taken.begin(), taken.end(), member.ip) != taken.end()) {
            ++place;
            continue;
        }
        taken.push_back(member.ip);
        out.asks.push_back({member.ip, running.ip, running.number});
        --wanted;
    }
}

void FailureDetector::next_probe(Millis now, Output& out) {
    for (std::size_t tried = 0; tried <= round_.size(); ++tried) {
        if (cursor_ >= round_.size()) {
            for (std::size_t i = round_.size(); i > 1; --i)
                std::swap(round_[i - 1], round_[random_.below(i)]);
            cursor_ = 0;
            if (round_.empty()) return;
        }
        const std::uint32_t ip = round_[cursor_++];
        const bool out_already = std::any_of(running_.begin(), running_.end(),
                                             [&](const Running& running) { return running.ip == ip; });
        if (find(ip)->standing == Standing::gone || out_already) continue;
        probe(now, ip, out);
        return;
    }
}

void FailureDetector::probe_gone(Output& out) {
    std::size_t which = random_.below(gone_);
    for (const Member& member : members_)
        if (member.standing == Standing::gone && which-- == 0) {
            out.probes.push_back({member.ip, ++number_});
            return;
        }
}

void FailureDetector::tick(Millis now, Output& out) {
    if (now < due_) return;
    if (now - due_ > settings_.late && due_ > 0) {
        running_.clear();
        restart(now);
        failures_ = 0;
        answered_at_ = now;
    }
    for (std::size_t i = 0; i < running_.size();) {
        Running& running = running_[i];
        if (!running.asked && now >= running.at + settings_.direct) {
            running.asked = true;
            ask_others(running, out);
        }
        if (now < running.at + settings_.direct + settings_.second) {
            ++i;
            continue;
        }
        const std::uint32_t ip = running.ip;
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
        ++failures_;
        Member* member = find(ip);
        if (!member || member->standing != Standing::alive || deaf()) continue;
        set(now, ip, Standing::suspect);
        suspect(now, *member, true);
        out.suspected.push_back(ip);
    }
    for (std::size_t i = 0; suspects_ && i < members_.size(); ++i) {
        Member& member = members_[i];
        if (member.standing != Standing::suspect) continue;
        if (now >= member.until) {
            if (answered_at_ <= member.began) {
                member.until = now + settings_.again;
            } else {
                set(now, member.ip, Standing::gone);
                out.gone.push_back(member.ip);
                continue;
            }
        }
        if (now >= member.again) {
            member.again = now + settings_.again;
            out.probes.push_back({member.ip, ++number_});
        }
    }
    if (now >= next_) {
        next_probe(now, out);
        // From when it was due: those that go early make up for those that go late.
        next_ = std::max(next_, now - settings_.period / 4) + pause();
    }
    if (gone_ && now >= next_gone_) {
        probe_gone(out);
        next_gone_ = now + settings_.gone_again * (0.9 + 0.2 * random_.unit());
    }
    work_out_due();
}

Millis FailureDetector::pause() {
    return settings_.period * (suspects_ ? 0.5 : 1) * (0.95 + 0.1 * random_.unit());
}

void FailureDetector::early(Millis now, Output& out) {
    if (now >= next_ || now < next_ - settings_.early * settings_.period) return;
    next_probe(now, out);
    next_ += pause();
    work_out_due();
}

void FailureDetector::work_out_due() {
    due_ = next_;
    if (gone_) due_ = std::min(due_, next_gone_);
    for (const Running& running : running_)
        due_ = std::min(due_, running.at + settings_.direct + (running.asked ? settings_.second : 0));
    if (suspects_)
        for (const Member& member : members_)
            if (member.standing == Standing::suspect) due_ = std::min({due_, member.until, member.again});
}

}  // namespace cobaltshift::failure_detector
