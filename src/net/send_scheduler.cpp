#include "net/send_scheduler.hpp"

#include <algorithm>

namespace cobaltshift {

void SendScheduler::record_sent(Millis now, std::size_t bytes) {
    link_free_at_ = std::max(link_free_at_, now) + static_cast<double>(bytes) / settings_.bytes_per_ms;
}

SendScheduler::Id SendScheduler::add(std::size_t bytes, Millis urgent_at) {
    const Id id = next_id_++;
    answers_[id] = {urgent_at, bytes};
    enqueue(id, answers_[id]);
    queued_bytes_ += bytes;
    return id;
}

bool SendScheduler::on_piece_written(Id id) {
    const auto at = answers_.find(id);
    if (at == answers_.end()) return true;
    if (at->second.remaining_bytes == 0) {
        answers_.erase(at);
        return true;
    }
    enqueue(id, at->second);
    return false;
}

void SendScheduler::remove(Id id) {
    const auto at = answers_.find(id);
    if (at == answers_.end()) return;
    dequeue(id, at->second);
    queued_bytes_ -= at->second.remaining_bytes;
    answers_.erase(at);
}

void SendScheduler::enqueue(Id id, const QueuedAnswer& answer) {
    by_remaining_.emplace(answer.remaining_bytes, id);
    by_urgency_.emplace(answer.urgent_at, id);
}

void SendScheduler::dequeue(Id id, const QueuedAnswer& answer) {
    by_remaining_.erase({answer.remaining_bytes, id});
    by_urgency_.erase({answer.urgent_at, id});
}

SendScheduler::Id SendScheduler::select_next(Millis now) const {
    const auto& [urgent_at, most_urgent] = *by_urgency_.begin();
    return urgent_at <= now ? most_urgent : by_remaining_.begin()->second;
}

std::optional<SendScheduler::Grant> SendScheduler::next(Millis now) {
    if (by_remaining_.empty() || (!released_ && now + settings_.max_lead < link_free_at_)) return {};
    const Id id = select_next(now);
    QueuedAnswer& answer = answers_.at(id);
    dequeue(id, answer);
    const std::size_t granted =
        released_ ? answer.remaining_bytes : std::min(settings_.piece_bytes, answer.remaining_bytes);
    answer.remaining_bytes -= granted;
    queued_bytes_ -= granted;
    record_sent(now, granted);
    return Grant{id, granted};
}

std::optional<SendScheduler::Millis> SendScheduler::due() const {
    if (by_remaining_.empty()) return {};
    return link_free_at_ - settings_.max_lead;
}

SendScheduler::Millis SendScheduler::backlog(Millis now) const {
    return std::max(0.0, link_free_at_ - now) + static_cast<double>(queued_bytes_) / settings_.bytes_per_ms;
}

}  // namespace cobaltshift
