#include "site/paced.hpp"

#include <algorithm>

namespace cobaltshift::site {

std::string complaint(const PacedSettings& s) {
    if (s.steps.empty() || s.steps.back() != 1) return "steps do not end with 1";
    for (std::size_t i = 0; i < s.steps.size(); ++i)
        if (s.steps[i] <= (i ? s.steps[i - 1] : 0)) return "steps do not rise from above 0";
    if (s.bad >= s.good) return "bad is not under good";
    return {};
}

void Paced::enter(Millis now, std::size_t step) {
    step_ = step;
    since_ = now;
    all_ = good_ = 0;
}

void Paced::begin(Millis now) {
    slower_ = 1;
    done_ = false;
    enter(now, 0);
}

bool Paced::resume(Millis now, std::size_t step, unsigned slower) {
    if (step >= settings_.steps.size() || slower < 1 || slower > settings_.longest) return false;
    slower_ = slower;
    done_ = false;
    enter(now, step);
    return true;
}

void Paced::seen(std::uint64_t all, std::uint64_t good) {
    all_ += all;
    good_ += std::min(good, all);
}

Paced::Turn Paced::tick(Millis now) {
    if (done_ || all_ < settings_.least) return Turn::none;
    const double share = static_cast<double>(good_) / static_cast<double>(all_);
    if (share < settings_.bad) {
        slower_ = std::min(settings_.longest, 2 * slower_);
        enter(now, step_ > 0 ? step_ - 1 : 0);
        return Turn::back;
    }
    if (now < since_ + settings_.hold * slower_) return Turn::none;
    if (share < settings_.good) {
        // Neither good nor bad: what is old must not hide what comes now.
        enter(now, step_);
        return Turn::none;
    }
    if (step_ + 1 == settings_.steps.size()) {
        done_ = true;
        return Turn::done;
    }
    enter(now, step_ + 1);
    return Turn::forth;
}

Millis Paced::least_time(const PacedSettings& settings) {
    return settings.hold * static_cast<double>(settings.steps.size());
}

}  // namespace cobaltshift::site
