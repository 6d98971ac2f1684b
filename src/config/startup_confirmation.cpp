#include "config/startup_confirmation.hpp"

#include <algorithm>

namespace cobaltshift::config {

StartupConfirmation::StartupConfirmation(Settings settings, Millis started)
    : settings_(settings), started_at_(started), next_query_at_(started) {}

std::optional<std::uint32_t> StartupConfirmation::next_to_ask(
    Millis now, const std::vector<std::uint32_t>& control_nodes) {
    if (confirmed_edition_ || query_pending_ || now < next_query_at_) return {};
    std::optional<std::uint32_t> node = leader_hint_;
    leader_hint_.reset();
    if (!node && !control_nodes.empty()) node = control_nodes[next_node_++ % control_nodes.size()];
    next_query_at_ = now + (now < started_at_ + settings_.max_wait ? settings_.retry_interval
                                                                   : settings_.late_retry_interval);
    query_pending_ = node.has_value();
    return node;
}

void StartupConfirmation::on_answer(const CurrentAnswer& answer) {
    query_pending_ = false;
    if (answer.kind == CurrentAnswer::Kind::current) {
        confirmed_edition_ = std::max(confirmed_edition_.value_or(0), answer.edition);
    } else if (answer.kind == CurrentAnswer::Kind::elsewhere) {
        leader_hint_ = answer.leader;
        next_query_at_ = started_at_;  // at once
    }
}

std::optional<Millis> StartupConfirmation::due(Millis now) const {
    if (confirmed_edition_) return {};
    std::optional<Millis> due;
    if (!query_pending_) due = next_query_at_;
    const Millis deadline = started_at_ + settings_.max_wait;
    if (now < deadline) due = due ? std::min(*due, deadline) : deadline;
    return due;
}

StartupConfirmation::State StartupConfirmation::state(Millis now, Edition held) const {
    if (confirmed_edition_ && held >= *confirmed_edition_) return State::confirmed;
    return now >= started_at_ + settings_.max_wait ? State::unconfirmed : State::waiting;
}

}  // namespace cobaltshift::config
