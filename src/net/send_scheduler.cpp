#include "net/send_scheduler.hpp"

#include <algorithm>

namespace cobaltshift {

void SendScheduler::sent(Millis now, std::size_t bytes) {
    link_free_at_ = std::max(link_free_at_, now) + static_cast<double>(bytes) / settings_.bytes_per_ms;
}

SendScheduler::Id SendScheduler::add(std::size_t bytes, Millis urgent_at) {
    const Id id = next_id_++;
    answers_[id] = {urgent_at, bytes};
    wait(id, answers_[id]);
    queued_bytes_ += bytes;
    return id;
}

bool SendScheduler::finished(Id id) {
    const auto at = answers_.find(id);
    if (at == answers_.end()) return true;
    if (at->second.left == 0) {
        answers_.erase(at);
        return true;
    }
    wait(id, at->second);
    return false;
}

void SendScheduler::remove(Id id) {
    const auto at = answers_.find(id);
    if (at == answers_.end()) return;
    stop_waiting(id, at->second);
    queued_bytes_ -= at->second.left;
    answers_.erase(at);
}

void SendScheduler::wait(Id id, const Answer& answer) {
    by_left_.emplace(answer.left, id);
    by_urgency_.emplace(answer.urgent_at, id);
}

void SendScheduler::stop_waiting(Id id, const Answer& answer) {
    by_left_.erase({answer.left, id});
    by_urgency_.erase({answer.urgent_at, id});
}

SendScheduler::Id SendScheduler::next_in_turn(Millis now) const {
    const auto& [urgent_at, most_urgent] = *by_urgency_.begin();
    return urgent_at <= now ? most_urgent : by_left_.begin()->second;
}

std::optional<SendScheduler::Grant> SendScheduler::next(Millis now) {
    if (by_left_.empty() || (!released_ && now + settings_.ahead < link_free_at_)) return {};
    const Id id = next_in_turn(now);
    Answer& answer = answers_.at(id);
    stop_waiting(id, answer);
    const std::size_t granted = released_ ? answer.left : std::min(settings_.piece, answer.left);
    answer.left -= granted;
    queued_bytes_ -= granted;
    sent(now, granted);
    return Grant{id, granted};
}

std::optional<SendScheduler::Millis> SendScheduler::due() const {
    if (by_left_.empty()) return {};
    return link_free_at_ - settings_.ahead;
}

SendScheduler::Millis SendScheduler::backlog(Millis now) const {
    return std::max(0.0, link_free_at_ - now) + static_cast<double>(queued_bytes_) / settings_.bytes_per_ms;
}

}  // namespace cobaltshift
