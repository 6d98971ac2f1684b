#include "config/fetch_schedule.hpp"

#include <algorithm>
#include <tuple>

namespace cobaltshift::config {

namespace {
constexpr std::size_t kMaxControlNodes = 32;
}  // namespace

void FetchSchedule::hint(Ip ip, Edition edition) {
    if (sources_.size() >= kMaxSources && !sources_.contains(ip)) {
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
    std::erase_if(sources_, [edition](const auto& entry) { return entry.second.edition <= edition; });
}

FetchSchedule::Source* FetchSchedule::find_source(Ip ip) {
    if (const auto at = sources_.find(ip); at != sources_.end()) return &at->second;
    if (const auto at = control_nodes_asked_.find(ip); at != control_nodes_asked_.end()) return &at->second;
    return nullptr;
}

bool FetchSchedule::may_ask(Ip ip, Millis last_asked, Millis now) const {
    return !in_flight_.contains(ip) && now >= last_asked + kRetryDelayMs;
}

std::optional<FetchSchedule::Ip> FetchSchedule::best_source(Millis now) const {
    const auto rank = [](const Source& entry) {
        return std::tuple(entry.failures, entry.last_asked, -static_cast<double>(entry.edition));
    };
    auto best = sources_.end();
    for (auto at = sources_.begin(); at != sources_.end(); ++at)
        if (may_ask(at->first, at->second.last_asked, now) &&
            (best == sources_.end() || rank(at->second) < rank(best->second)))
            best = at;
    return best == sources_.end() ? std::nullopt : std::optional(best->first);
}

std::optional<FetchSchedule::Ip> FetchSchedule::best_control_node(
    Millis now, const std::vector<Ip>& control_nodes) const {
    std::optional<Ip> best;
    Millis oldest = 0;
    for (const Ip ip : control_nodes) {
        const Sources& known = sources_.contains(ip) ? sources_ : control_nodes_asked_;
        const auto at = known.find(ip);
        const Millis last_asked = at == known.end() ? kNever : at->second.last_asked;
        if (!may_ask(ip, last_asked, now)) continue;
        if (best && last_asked >= oldest) continue;
        best = ip;
        oldest = last_asked;
    }
    return best;
}

std::optional<FetchSchedule::Ip> FetchSchedule::next(Millis now, const std::vector<Ip>& control_nodes) {
    if (sources_.empty() || in_flight_.size() >= kMaxConcurrentFetches) return {};
    if (std::any_of(in_flight_.begin(), in_flight_.end(), [](const auto& entry) { return entry.second; }))
        return {};
    if (!in_flight_.empty() && now < *last_asked_at_ + kHedgeDelayMs) return {};
    auto selected = best_source(now);
    const bool first = in_flight_.empty() && selected && sources_.at(*selected).failures == 0;
    if (!first)
        if (const auto control = best_control_node(now, control_nodes)) selected = control;
    if (!selected) return {};
    Source* source = find_source(*selected);
    if (!source) {
        if (control_nodes_asked_.size() >= kMaxControlNodes) control_nodes_asked_.clear();
        source = &control_nodes_asked_[*selected];
    }
    source->last_asked = now;
    last_asked_at_ = now;
    in_flight_[*selected] = false;
    return selected;
}

void FetchSchedule::response_started(Ip ip) {
    if (const auto at = in_flight_.find(ip); at != in_flight_.end()) at->second = true;
}

void FetchSchedule::ended(Ip ip, End end) {
    in_flight_.erase(ip);
    if (end == End::nothing_newer) sources_.erase(ip);  // until it reports a newer edition again
    if (Source* source = find_source(ip)) source->failures = end == End::failed ? source->failures + 1 : 0;
}

std::optional<FetchSchedule::Millis> FetchSchedule::due() const {
    if (sources_.empty() || in_flight_.size() >= kMaxConcurrentFetches || !last_asked_at_) return {};
    return *last_asked_at_ + (in_flight_.empty() ? kRetryDelayMs : kHedgeDelayMs);
}

}  // namespace cobaltshift::config
