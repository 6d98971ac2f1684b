#include "config/fetch_schedule.hpp"

#include <algorithm>
#include <tuple>

namespace cobaltshift::config {

namespace {
constexpr std::size_t kMostControl = 32;
}  // namespace

void FetchSchedule::hint(Ip ip, Edition edition) {
    if (sources_.size() >= kMostSources && !sources_.contains(ip)) {
        const auto least = std::min_element(
            sources_.begin(), sources_.end(),
            [](const auto& a, const auto& b) { return a.second.edition < b.second.edition; });
        if (least->second.edition > edition) return;
        sources_.erase(least);
    }
    Source& source = sources_[ip];
    source.edition = std::max(source.edition, edition);
}

void FetchSchedule::hold(Edition edition) {
    std::erase_if(sources_, [edition](const auto& one) { return one.second.edition <= edition; });
}

FetchSchedule::Source* FetchSchedule::record_of(Ip ip) {
    if (const auto at = sources_.find(ip); at != sources_.end()) return &at->second;
    if (const auto at = control_.find(ip); at != control_.end()) return &at->second;
    return nullptr;
}

bool FetchSchedule::may_ask(Ip ip, Millis tried, Millis now) const {
    return !asked_.contains(ip) && now >= tried + kRetryAfter;
}

std::optional<FetchSchedule::Ip> FetchSchedule::best_source(Millis now) const {
    const auto order = [](const Source& one) {
        return std::tuple(one.failures, one.tried, -static_cast<double>(one.edition));
    };
    auto best = sources_.end();
    for (auto at = sources_.begin(); at != sources_.end(); ++at)
        if (may_ask(at->first, at->second.tried, now) &&
            (best == sources_.end() || order(at->second) < order(best->second)))
            best = at;
    return best == sources_.end() ? std::nullopt : std::optional(best->first);
}

std::optional<FetchSchedule::Ip> FetchSchedule::best_control_node(
    Millis now, const std::vector<Ip>& control_nodes) const {
    std::optional<Ip> best;
    Millis best_tried = 0;
    for (const Ip ip : control_nodes) {
        const Sources& known = sources_.contains(ip) ? sources_ : control_;
        const auto at = known.find(ip);
        const Millis tried = at == known.end() ? kNever : at->second.tried;
        if (!may_ask(ip, tried, now)) continue;
        if (best && tried >= best_tried) continue;
        best = ip;
        best_tried = tried;
    }
    return best;
}

std::optional<FetchSchedule::Ip> FetchSchedule::next(Millis now, const std::vector<Ip>& control_nodes) {
    if (sources_.empty() || asked_.size() >= kMostAtOnce) return {};
    if (std::any_of(asked_.begin(), asked_.end(), [](const auto& one) { return one.second; })) return {};
    if (!asked_.empty() && now < *last_ + kHedgeAfter) return {};
    auto chosen = best_source(now);
    const bool first = asked_.empty() && chosen && sources_.at(*chosen).failures == 0;
    if (!first)
        if (const auto control = best_control_node(now, control_nodes)) chosen = control;
    if (!chosen) return {};
    Source* record = record_of(*chosen);
    if (!record) {
        if (control_.size() >= kMostControl) control_.clear();
        record = &control_[*chosen];
    }
    record->tried = now;
    last_ = now;
    asked_[*chosen] = false;
    return chosen;
}

void FetchSchedule::answers(Ip ip) {
    if (const auto at = asked_.find(ip); at != asked_.end()) at->second = true;
}

void FetchSchedule::ended(Ip ip, End end) {
    asked_.erase(ip);
    if (end == End::nothing_newer) sources_.erase(ip);  // until it is hinted again
    if (Source* record = record_of(ip)) record->failures = end == End::failed ? record->failures + 1 : 0;
}

std::optional<FetchSchedule::Millis> FetchSchedule::due() const {
    if (sources_.empty() || asked_.size() >= kMostAtOnce || !last_) return {};
    return *last_ + (asked_.empty() ? kRetryAfter : kHedgeAfter);
}

}  // namespace cobaltshift::config
