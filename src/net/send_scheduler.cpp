#include "net/send_scheduler.hpp"

#include <algorithm>

namespace cobaltshift {

void SendScheduler::sent(Millis now, std::size_t bytes) {
    link_free_at_ = std::max(link_free_at_, now) + static_cast<double>(bytes) / settings_.bytes_per_ms;
}

SendScheduler::Id SendScheduler::add(std::size_t bytes) {
    const Id id = next_id_++;
    answers_[id].left = bytes;
    waiting_.insert({bytes, id});
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
    at->second.granted = 0;
    waiting_.insert({at->second.left, id});
    return false;
}

void SendScheduler::remove(Id id) {
    const auto at = answers_.find(id);
    if (at == answers_.end()) return;
    waiting_.erase({at->second.left, id});
    queued_bytes_ -= at->second.left;
    answers_.erase(at);
}

std::optional<SendScheduler::Grant> SendScheduler::next(Millis now) {
    if (waiting_.empty() || now + settings_.ahead < link_free_at_) return {};
    const auto first = waiting_.begin();
    const Id id = first->second;
    waiting_.erase(first);
    Answer& answer = answers_.at(id);
    answer.granted = std::min(settings_.piece, answer.left);
    answer.left -= answer.granted;
    queued_bytes_ -= answer.granted;
    sent(now, answer.granted);
    return Grant{id, answer.granted};
}

std::optional<SendScheduler::Millis> SendScheduler::due() const {
    if (waiting_.empty()) return {};
    return link_free_at_ - settings_.ahead;
}

SendScheduler::Millis SendScheduler::backlog(Millis now) const {
    return std::max(0.0, link_free_at_ - now) + static_cast<double>(queued_bytes_) / settings_.bytes_per_ms;
}

}  // namespace cobaltshift
