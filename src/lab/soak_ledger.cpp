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
}  // namespace

void SoakLedger::ended(const SoakRequest& request, SoakEnd end, double after_ms) {
    ++requests_;
    ++ends_[name_of(end)];
    if (request.registered) registered_.push_back(request);
    if (request.registered && end == SoakEnd::refused) refused_.push_back(request);
    if (end == SoakEnd::closed_unanswered) unanswered_.push_back({request, after_ms});
}

void SoakLedger::accuse(const std::string& rule, const std::string& what) {
    ++broken_[rule];
    if (findings_.size() < kMostFindings) findings_.push_back(rule + ": " + what);
}

void SoakLedger::held(const SoakRequest& request, const std::string& proxy, double after_ms,
                      const std::string& write_fault) {
    const auto runs = runs_.find(request.id);
    accuse("HELD", request.id + (request.registered ? " (registered)" : " (plain)") + " to " + proxy +
                       " had no answer " + std::to_string(static_cast<long>(after_ms)) +
                       " ms after its last byte" +
                       (write_fault.empty() ? "" : ", not written whole (" + write_fault + ")") + "; ran " +
                       std::to_string(runs == runs_.end() ? 0 : runs->second) + " times");
}

void SoakLedger::close(bool planned_work_alone, double crossed_within_ms) {
    const auto has_run = [this](const std::string& id) { return runs_.count(id) > 0; };
    for (const SoakRequest& request : registered_)
        if (has_run(request.id) && runs_[request.id] > 1) accuse("TWICE", request.id + " ran twice");
    for (const SoakRequest& request : refused_)
        if (has_run(request.id)) accuse("REFUSED", request.id + " was refused and has run");
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
