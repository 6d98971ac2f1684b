#include "lab/soak_ledger.hpp"

namespace cobaltshift::lab {

namespace {
constexpr std::size_t kMostFindings = 20;

const char* name_of(SoakEnd end) {
    switch (end) {
        case SoakEnd::served:
            return "served";
        case SoakEnd::refused:
            return "refused";
        case SoakEnd::failed:
            return "failed";
        case SoakEnd::closed_before:
            return "closed before its last byte";
        case SoakEnd::closed_unanswered:
            return "closed after its last byte";
    }
    return "";
}

std::string time_text(double ms) { return std::to_string(static_cast<long>(ms)) + " ms"; }
}  // namespace

void SoakLedger::ran(const std::string& id, const std::string& where) {
    Runs& runs = runs_[id];
    ++runs.count;
    runs.places += (runs.count > 1 ? ", " : "") + where + " at " + time_text(now_ms());
}

void SoakLedger::ended(const SoakRequest& request, SoakEnd end, double after_ms, const std::string& by) {
    ++requests_;
    ++ends_[name_of(end)];
    if (request.registered) registered_.push_back(request);
    if (request.registered && end == SoakEnd::refused) refused_.push_back({request.id, by, now_ms()});
    if (end == SoakEnd::closed_unanswered) unanswered_.push_back({request, after_ms});
}

std::string SoakLedger::places_of(const std::string& id) const {
    const auto runs = runs_.find(id);
    return runs == runs_.end() ? "nowhere" : runs->second.places;
}

void SoakLedger::accuse(const std::string& rule, const std::string& what) {
    ++broken_[rule];
    if (findings_.size() < kMostFindings) findings_.push_back(rule + ": " + what);
}

void SoakLedger::held(const SoakRequest& request, const std::string& proxy, double after_ms,
                      const std::string& write_fault) {
    accuse("HELD", request.id + (request.registered ? " (registered)" : " (plain)") + " to " + proxy +
                       " had no answer " + std::to_string(static_cast<long>(after_ms)) +
                       " ms after its last byte" +
                       (write_fault.empty() ? "" : ", not written whole (" + write_fault + ")") + "; ran " +
                       places_of(request.id));
}

void SoakLedger::close(bool planned_work_alone, double crossed_within_ms) {
    const auto has_run = [this](const std::string& id) { return runs_.count(id) > 0; };
    for (const SoakRequest& request : registered_)
        if (has_run(request.id) && runs_[request.id].count > 1)
            accuse("TWICE", request.id + " ran " + places_of(request.id));
    for (const Refused& refused : refused_)
        if (has_run(refused.id))
            accuse("REFUSED", refused.id + " was refused by " + refused.by + " at " +
                                  time_text(refused.at_ms) + " and ran " + places_of(refused.id));
    for (const Unanswered& one : unanswered_) {
        const bool crossed =
            !has_run(one.request.id) && (one.after_ms < crossed_within_ms || one.request.behind_close);
        crossed_ += crossed;
        if (crossed || !planned_work_alone) continue;
        accuse("LOST", one.request.id + (has_run(one.request.id) ? " ran" : " did not run") +
                           ", and its connection ended " + std::to_string(static_cast<long>(one.after_ms)) +
                           " ms after its last byte with no answer");
    }
}

}  // namespace cobaltshift::lab
