#include "admission/admission.hpp"

#include <algorithm>
#include <cmath>

namespace cobaltshift::admission {

namespace {
constexpr double kSmooth = 0.1, kRankWorth = 2;
constexpr int kLowestRank = 4;
constexpr std::size_t kPastLives = 16;
}  // namespace

void Admission::new_life(const std::string& life) {
    if (!life_.empty()) past_lives_.push_back(life_);
    if (past_lives_.size() > kPastLives) past_lives_.erase(past_lives_.begin());
    life_ = life;
    gone_ = false;
    call_seq_ = 0;
    closing_ = false;
    first_hand_ = false;
    ran_.clear();
    ran_order_.clear();
    pace_ = 0;
}

bool Admission::beat(const std::string& life, std::uint32_t capacity, bool closing, std::uint64_t call_seq) {
    if (std::find(past_lives_.begin(), past_lives_.end(), life) != past_lives_.end()) return false;
    if (life == life_ && gone_) return false;
    if (life != life_)
        new_life(life);
    else if (first_hand_ && call_seq <= call_seq_)
        return false;
    call_seq_ = call_seq;
    capacity_ = std::max(1U, capacity);
    closing_ = closing;
    first_hand_ = true;
    return true;
}

void Admission::seen_well(const std::string& life, std::uint32_t capacity) {
    if (first_hand_ || life.empty()) return;
    if (life != life_) new_life(life);
    capacity_ = std::max(1U, capacity);
}

void Admission::gone(const std::string& life) {
    if (life != life_) return;
    closing_ = gone_ = true;
}

Answer Admission::offer(Millis now, const Offer& offer) {
    if (leaving_) return {Act::refuse, Reason::leaving};
    if (life_.empty() || offer.life != life_) return {Act::refuse, Reason::wrong_life};
    if (closing_) return {Act::refuse, Reason::closing};
    if (now >= offer.deadline) return {Act::refuse, Reason::late};
    if (offer.once && ran_.contains(offer.id)) return {Act::refuse, Reason::repeated};
    const Millis at_server = pace_ * (offer.due - now);
    if (offer.link_time > 0 && too_late(std::max(at_server, offer.link_wait) + offer.link_time, offer, now))
        return {Act::refuse, Reason::full};
    if (working_.size() < capacity_ && queue_.empty()) {
        start(offer, offer.due - now);
        return {Act::begin, {}};
    }
    if (!offer.may_wait || queue_.size() >= static_cast<std::size_t>(settings_.queue_by_capacity * capacity_))
        return {Act::refuse, Reason::full};
    // By what is before it, its answer would come late: better told at once, while another may be free.
    const Millis target = offer.due - now, left = offer.deadline - now;
    const Order order{target * std::pow(kRankWorth, std::clamp(offer.rank, 0, kLowestRank)), offer.due,
                      offer.ticket};
    const Millis ready = wait_before(order) + pace_ * target;
    if (ready > left) return {Act::refuse, Reason::late};
    if (too_late(std::max(ready, offer.link_wait) + offer.link_time, offer, now))
        return {Act::refuse, Reason::full};
    queue_.emplace(order, Waiting{offer, now});
    places_.emplace(offer.ticket, order);
    return {Act::wait, {}};
}

bool Admission::too_late(Millis expected, const Offer& offer, Millis now) const {
    const Millis target = offer.due - now, left = offer.deadline - now;
    return expected > std::max(settings_.hopeful * target, std::min(left / 2, settings_.patience));
}

Millis Admission::wait_before(const Order& order) const {
    // One of those at work has to end first.
    Millis before = pace_ * targets_ / std::max<double>(1, static_cast<double>(working_.size()));
    for (auto at = queue_.begin(); at != queue_.end() && at->first < order; ++at)
        before += pace_ * (at->second.offer.due - at->second.since);
    return before / capacity_;
}

void Admission::remember(const std::string& id) {
    const std::uint64_t order = ran_count_++;
    ran_.emplace(id, order);
    ran_order_.emplace(order, id);
    if (ran_order_.size() <= settings_.remembered) return;
    ran_.erase(ran_order_.begin()->second);
    ran_order_.erase(ran_order_.begin());
}

void Admission::start(const Offer& offer, Millis target) {
    working_.emplace(offer.ticket, Working{target, offer.once ? offer.id : std::string()});
    targets_ += target;
    if (offer.once) remember(offer.id);
}

void Admission::ended(Ticket ticket, Millis took, bool ran) {
    const auto at = working_.find(ticket);
    if (at == working_.end()) return;
    const Millis target = at->second.target;
    if (const auto id = ran_.find(at->second.id); !ran && id != ran_.end()) {
        ran_order_.erase(id->second);
        ran_.erase(id);
    }
    working_.erase(at);
    targets_ -= target;
    if (took <= 0) return;
    const auto smooth = [](double& mean, double sample) {
        mean = mean == 0 ? sample : mean + (sample - mean) * kSmooth;
    };
    if (target > 0) smooth(pace_, std::min(1.0, took / target));
}

bool Admission::withdraw(Ticket ticket) {
    const auto at = places_.find(ticket);
    if (at == places_.end()) return false;
    queue_.erase(at->second);
    places_.erase(at);
    return true;
}

std::vector<Ticket> Admission::next(Millis now) {
    std::vector<Ticket> begun;
    for (auto first = queue_.begin(); open() && first != queue_.end() && working_.size() < capacity_;) {
        const Offer& offer = first->second.offer;
        // These are turned()'s.
        if (now >= offer.deadline || offer.life != life_ || (offer.once && ran_.contains(offer.id))) {
            ++first;
            continue;
        }
        start(offer, offer.due - first->second.since);
        begun.push_back(offer.ticket);
        places_.erase(offer.ticket);
        first = queue_.erase(first);
    }
    return begun;
}

std::vector<Turned> Admission::turned(Millis now) {
    std::vector<Turned> out;
    for (auto at = queue_.begin(); at != queue_.end();) {
        const Offer& offer = at->second.offer;
        const bool wrong = offer.life != life_, late = now >= offer.deadline;
        const bool again = offer.once && ran_.contains(offer.id);  // two of one id waited
        if (open() && !wrong && !late && !again) {
            ++at;
            continue;
        }
        out.push_back({offer.ticket, leaving_   ? Reason::leaving
                                     : wrong    ? Reason::wrong_life
                                     : closing_ ? Reason::closing
                                     : again    ? Reason::repeated
                                                : Reason::late});
        places_.erase(offer.ticket);
        at = queue_.erase(at);
    }
    return out;
}

Millis Admission::due() const {
    Millis first = 0;
    for (const auto& [order, waiting] : queue_)
        if (first == 0 || waiting.offer.deadline < first) first = waiting.offer.deadline;
    return first;
}

}  // namespace cobaltshift::admission
