#include "site/watch.hpp"

namespace cobaltshift::site {

const char* name_of(State state) {
    static const char* const names[] = {"whole",   "weakened",  "suspected", "lost",
                                        "cut off", "returning", "drained"};
    return names[static_cast<std::size_t>(state)];
}

Watch::Look Watch::look(const Evidence& e) const {
    const auto share = [](std::uint64_t failed, std::uint64_t all) {
        return all == 0 ? 0.0 : static_cast<double>(failed) / static_cast<double>(all);
    };
    const bool speaks = e.forwarders_heard > settings_.most_silent;
    const bool outside = e.outside >= settings_.least, inside = e.inside >= settings_.least && speaks;
    const double from_outside = share(e.outside_failed, e.outside),
                 from_inside = share(e.inside_failed, e.inside);
    if (outside && from_outside >= settings_.lost_share)
        return inside && from_inside < settings_.lost_share ? Look::apart : Look::gone;
    // Nobody elsewhere asks it: its own speak for it, or their silence and its servers' does.
    if (!outside) {
        if (inside && from_inside >= settings_.lost_share) return Look::gone;
        if (!inside) return e.servers_listed <= 1 - settings_.lost_share ? Look::gone : Look::nothing;
    }
    const double worse =
        std::max({outside ? from_outside : 0, inside ? from_inside : 0, 1 - e.servers_listed});
    return worse >= settings_.weak_share || e.slower >= settings_.slow_factor ? Look::weak : Look::good;
}

Millis Watch::hold_after(unsigned losses) const {
    Millis hold = settings_.hold;
    for (unsigned n = 1; n < losses && hold < settings_.longest_hold; ++n) hold *= 2;
    return std::min(hold, settings_.longest_hold);
}

bool Watch::turn(Millis now, State state) {
    if (state_ == state) return false;
    if (state == State::lost) {
        losses_ = whole_since_ > 0 && now - whole_since_ >= settings_.forgive ? 1 : losses_ + 1;
        hold_ = hold_after(losses_);
        out_since_ = now;
        whole_since_ = 0;
    }
    if (state == State::whole && whole_since_ == 0) whole_since_ = now;
    state_ = state;
    since_ = now;
    return true;
}

bool Watch::seen(Millis now, const Evidence& evidence) {
    if (state_ == State::drained) return false;  // only people end that
    const Look look = this->look(evidence);
    if (look == Look::nothing) return false;
    if (look != look_) look_ = look, look_since_ = now;
    const Millis stood = now - look_since_;
    const bool bad = look == Look::gone || look == Look::apart;
    switch (state_) {
        case State::whole:
        case State::weakened:
            if (bad) return stood >= settings_.suspect && turn(now, State::suspected);
            if (stood < settings_.suspect) return false;
            // To weakened soon, back only once it has been good for long.
            if (look == Look::weak) return turn(now, State::weakened);
            return stood >= settings_.recover && turn(now, State::whole);
        case State::suspected:
            if (!bad) return stood >= settings_.suspect && turn(now, State::weakened);
            if (now - since_ < settings_.lose - settings_.suspect) return false;
            return turn(now, look == Look::apart ? State::cut_off : State::lost);
        case State::returning:
            return bad && stood >= settings_.suspect && turn(now, State::lost);
        case State::lost:
            if (look == Look::apart) return stood >= settings_.lose && turn(now, State::cut_off);
            return !bad && stood >= settings_.recover && now >= held_until() && turn(now, State::returning);
        case State::cut_off:
            if (look == Look::gone) return stood >= settings_.lose && turn(now, State::lost);
            // Its servers have been warm all along; yet its load from elsewhere comes back in steps too.
            return !bad && stood >= settings_.recover && turn(now, State::returning);
        case State::drained:
            return false;
    }
    return false;
}

void Watch::restore(Millis now, State state, unsigned losses) {
    state_ = state;
    losses_ = losses;
    since_ = look_since_ = out_since_ = now;
    hold_ = hold_after(losses_);
    whole_since_ = state == State::whole ? now : 0;
    look_ = Look::nothing;
}

bool Watch::returned(Millis now) { return state_ == State::returning && turn(now, State::whole); }
bool Watch::drain(Millis now) { return turn(now, State::drained); }
bool Watch::give_back(Millis now) { return state_ == State::drained && turn(now, State::returning); }

}  // namespace cobaltshift::site
