#include "config/startup_confirmation.hpp"

#include <algorithm>

namespace cobaltshift::config {

StartupConfirmation::StartupConfirmation(Settings settings, Millis started)
    : settings_(settings), started_(started), ask_at_(started) {}

std::optional<std::uint32_t> StartupConfirmation::next_to_ask(
    Millis now, const std::vector<std::uint32_t>& control_nodes) {
    if (current_ || asking_ || now < ask_at_) return {};
    std::optional<std::uint32_t> node = leader_;
    leader_.reset();
    if (!node && !control_nodes.empty()) node = control_nodes[next_node_++ % control_nodes.size()];
    ask_at_ = now + (now < started_ + settings_.bound ? settings_.ask_every : settings_.ask_later);
    asking_ = node.has_value();
    return node;
}

void StartupConfirmation::on_answer(const CurrentAnswer& answer) {
    asking_ = false;
    if (answer.kind == CurrentAnswer::Kind::current) {
        current_ = std::max(current_.value_or(0), answer.edition);
    } else if (answer.kind == CurrentAnswer::Kind::elsewhere) {
        leader_ = answer.leader;
        ask_at_ = started_;  // at once
    }
}

std::optional<Millis> StartupConfirmation::due(Millis now) const {
    if (current_) return {};
    std::optional<Millis> due;
    if (!asking_) due = ask_at_;
    const Millis bound = started_ + settings_.bound;
    if (now < bound) due = due ? std::min(*due, bound) : bound;
    return due;
}

StartupConfirmation::State StartupConfirmation::state(Millis now, Edition held) const {
    if (current_ && held >= *current_) return State::confirmed;
    return now >= started_ + settings_.bound ? State::unconfirmed : State::waiting;
}

}  // namespace cobaltshift::config
