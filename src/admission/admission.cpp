#include "admission/admission.hpp"

#include <algorithm>
#include <cmath>

namespace cobaltshift::admission {

namespace {
constexpr double kSmoothing = 0.1, kRankCostFactor = 2;
constexpr int kLowestRank = 4;
constexpr std::size_t kMaxFormerInstances = 16;
}  // namespace

bool Admission::is_former(const std::string& instance_id) const {
    return std::find(former_instances_.begin(), former_instances_.end(), instance_id) !=
           former_instances_.end();
}

void Admission::remember_former(const std::string& instance_id) {
    if (is_former(instance_id)) return;
    former_instances_.push_back(instance_id);
    if (former_instances_.size() > kMaxFormerInstances) former_instances_.erase(former_instances_.begin());
}

void Admission::restore(const std::string& instance_id, std::uint64_t call_seq, bool closing) {
    if (instance_id.empty() || !instance_id_.empty() || is_former(instance_id)) return;
    if (closing)
        remember_former(instance_id);
    else
        restored_ = {instance_id, call_seq};
}

void Admission::switch_instance(const std::string& instance_id) {
    if (!instance_id_.empty()) remember_former(instance_id_);
    if (restored_ && restored_->id != instance_id) remember_former(restored_->id);
    restored_.reset();
    instance_id_ = instance_id;
    deregistered_ = false;
    call_seq_ = 0;
    closing_ = false;
    heartbeat_received_ = false;
    started_ids_.clear();
    started_ids_by_order_.clear();
    service_time_ratio_ = 0;
}

bool Admission::on_heartbeat(const std::string& instance_id, std::uint32_t capacity, bool closing,
                             std::uint64_t call_seq) {
    if (is_former(instance_id)) return false;
    if (instance_id == instance_id_ && deregistered_) return false;
    if (restored_ && restored_->id == instance_id && call_seq <= restored_->call_seq) return false;
    if (instance_id != instance_id_)
        switch_instance(instance_id);
    else if (heartbeat_received_ && call_seq <= call_seq_)
        return false;
    call_seq_ = call_seq;
    capacity_ = std::max(1U, capacity);
    closing_ = closing;
    heartbeat_received_ = true;
    return true;
}

void Admission::on_healthy(const std::string& instance_id, std::uint32_t capacity) {
    if (heartbeat_received_ || instance_id.empty() || is_former(instance_id)) return;
    if (instance_id != instance_id_) switch_instance(instance_id);
    capacity_ = std::max(1U, capacity);
}

void Admission::on_deregistered(const std::string& instance_id) {
    if (instance_id == instance_id_)
        closing_ = deregistered_ = true;
    else
        remember_former(instance_id);
}

Decision Admission::offer(Millis now, const Offer& offer) {
    if (leaving_) return {Disposition::refuse, Reason::leaving};
    if (instance_id_.empty() || offer.instance_id != instance_id_)
        return {Disposition::refuse, Reason::wrong_instance};
    if (closing_) return {Disposition::refuse, Reason::closing};
    if (now >= offer.deadline) return {Disposition::refuse, Reason::late};
    if (offer.once && started_ids_.contains(offer.id)) return {Disposition::refuse, Reason::repeated};
    // With nothing at work nobody would correct an estimate that is too high: the request is the trial.
    const Millis at_server = working_.empty() ? 0 : service_time_ratio_ * (offer.due - now);
    if (offer.link_time > 0 &&
        exceeds_expected_limit(std::max(at_server, offer.link_wait) + offer.link_time, offer, now))
        return {Disposition::refuse, Reason::full};
    if (working_.size() < capacity_ && queue_.empty()) {
        start(offer, offer.due - now);
        return {Disposition::begin, {}};
    }
    if (!offer.may_wait || queue_.size() >= static_cast<std::size_t>(settings_.queue_per_slot * capacity_))
        return {Disposition::refuse, Reason::full};
    // If the requests ahead of it would make it late, refuse it at once, while another server may be free.
    const Millis target = offer.due - now, left = offer.deadline - now;
    const Order order{target * std::pow(kRankCostFactor, std::clamp(offer.rank, 0, kLowestRank)), offer.due,
                      offer.ticket};
    const Millis ready = expected_queue_wait(order) + service_time_ratio_ * target;
    if (ready > left) return {Disposition::refuse, Reason::late};
    if (exceeds_expected_limit(std::max(ready, offer.link_wait) + offer.link_time, offer, now))
        return {Disposition::refuse, Reason::full};
    queue_.emplace(order, Waiting{offer, now});
    queue_order_.emplace(offer.ticket, order);
    return {Disposition::wait, {}};
}

bool Admission::exceeds_expected_limit(Millis expected, const Offer& offer, Millis now) const {
    const Millis target = offer.due - now, left = offer.deadline - now;
    return expected > std::max(settings_.expected_limit_targets * target,
                               std::min(left / 2, settings_.expected_limit_ms));
}

Millis Admission::expected_queue_wait(const Order& order) const {
    // A running request has to end before the first queued one starts.
    Millis before = service_time_ratio_ * working_targets_sum_ /
                    std::max<double>(1, static_cast<double>(working_.size()));
    for (auto at = queue_.begin(); at != queue_.end() && at->first < order; ++at)
        before += service_time_ratio_ * (at->second.offer.due - at->second.since);
    return before / capacity_;
}

void Admission::remember_started(const std::string& id) {
    const std::uint64_t order = next_start_order_++;
    started_ids_.emplace(id, order);
    started_ids_by_order_.emplace(order, id);
    if (started_ids_by_order_.size() <= settings_.remembered_ids) return;
    started_ids_.erase(started_ids_by_order_.begin()->second);
    started_ids_by_order_.erase(started_ids_by_order_.begin());
}

void Admission::start(const Offer& offer, Millis target) {
    working_.emplace(offer.ticket, Working{target, offer.once ? offer.id : std::string()});
    working_targets_sum_ += target;
    if (offer.once) remember_started(offer.id);
}

void Admission::ended(Ticket ticket, Millis took, bool ran) {
    const auto at = working_.find(ticket);
    if (at == working_.end()) return;
    const Millis target = at->second.target;
    if (const auto id = started_ids_.find(at->second.id); !ran && id != started_ids_.end()) {
        started_ids_by_order_.erase(id->second);
        started_ids_.erase(id);
    }
    working_.erase(at);
    working_targets_sum_ -= target;
    if (took <= 0) return;
    const auto smooth = [](double& mean, double sample) {
        mean = mean == 0 ? sample : mean + (sample - mean) * kSmoothing;
    };
    if (target > 0) smooth(service_time_ratio_, std::min(1.0, took / target));
}

bool Admission::withdraw(Ticket ticket) {
    const auto at = queue_order_.find(ticket);
    if (at == queue_order_.end()) return false;
    queue_.erase(at->second);
    queue_order_.erase(at);
    return true;
}

std::vector<Ticket> Admission::start_next(Millis now) {
    std::vector<Ticket> begun;
    for (auto first = queue_.begin(); accepting() && first != queue_.end() && working_.size() < capacity_;) {
        const Offer& offer = first->second.offer;
        // take_rejected() removes these.
        if (now >= offer.deadline || offer.instance_id != instance_id_ ||
            (offer.once && started_ids_.contains(offer.id))) {
            ++first;
            continue;
        }
        start(offer, offer.due - first->second.since);
        begun.push_back(offer.ticket);
        queue_order_.erase(offer.ticket);
        first = queue_.erase(first);
    }
    return begun;
}

std::vector<Rejected> Admission::take_rejected(Millis now) {
    std::vector<Rejected> out;
    for (auto at = queue_.begin(); at != queue_.end();) {
        const Offer& offer = at->second.offer;
        const bool wrong = offer.instance_id != instance_id_, late = now >= offer.deadline;
        const bool again = offer.once && started_ids_.contains(offer.id);  // two with one id were queued
        if (accepting() && !wrong && !late && !again) {
            ++at;
            continue;
        }
        out.push_back({offer.ticket, leaving_   ? Reason::leaving
                                     : wrong    ? Reason::wrong_instance
                                     : closing_ ? Reason::closing
                                     : again    ? Reason::repeated
                                                : Reason::late});
        queue_order_.erase(offer.ticket);
        at = queue_.erase(at);
    }
    return out;
}

Millis Admission::next_deadline() const {
    Millis first = 0;
    for (const auto& [order, waiting] : queue_)
        if (first == 0 || waiting.offer.deadline < first) first = waiting.offer.deadline;
    return first;
}

}  // namespace cobaltshift::admission
