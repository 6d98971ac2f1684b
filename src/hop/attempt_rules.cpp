#include "hop/attempt_rules.hpp"

#include <algorithm>

#include "admission/module_settings.hpp"

namespace cobaltshift::hop {

namespace {
// Of one request: the first offers are for a free slot only, the later ones may wait at the admission.
constexpr unsigned kWaitFrom = 2;
constexpr Millis kLeastRetry = 60, kMostRetry = 1000;
constexpr unsigned kBadGateway = 502, kGatewayTimeout = 504, kServerErrors = 500;
}  // namespace

RequestArrived AttemptRules::classify(Millis now, const RequestHistory& history) {
    RequestArrived event;
    event.class_index = admission::class_of(history.hop.once(), history.hop.rank, history.hop.target_ms);
    retry_budget_.request(now);
    ++counts_.requests;
    return event;
}

bool AttemptRules::may_send(Millis now, std::size_t live_proxies, const std::string& server,
                            RequestHistory& history) {
    if (history.offered > 0) {
        const bool may_repeat = !(history.hop.once() && history.may_have_run);
        const bool again =
            may_repeat && history.offered < history.hop.tries && retry_budget_.spend(now, live_proxies);
        if (!again) {
            ++counts_.vetoed;
            return false;
        }
    }
    history.server = server;
    history.hop.may_wait = history.sent++ >= kWaitFrom;
    ++counts_.tries;
    return true;
}

AttemptReading AttemptRules::read(const AttemptEnd& end, RequestHistory& history) {
    return std::visit([&](const auto& how) { return read_end(how, history); }, end);
}

AttemptReading AttemptRules::ran(RequestHistory& history, Outcome outcome, bool final) {
    ++history.offered;
    history.may_have_run = true;
    return {{outcome, final}};
}

AttemptReading AttemptRules::read_end(const NoAnswer& end, RequestHistory& history) {
    history.reason = end.outcome == Outcome::overdue ? Reason::silent : Reason::unreachable;
    if (end.outcome == Outcome::refused_connection || end.outcome == Outcome::superseded)
        return {{end.outcome, false, false}};
    ++counts_.broken;
    return ran(history, end.outcome, false);
}

AttemptReading AttemptRules::read_end(const Failure& failure, RequestHistory& history) {
    history.reason = failure.reason;
    if (failure.execution != Execution::not_run || failure.reason == Reason::repeated) {
        ++counts_.broken;
        return ran(history, failure.reason == Reason::silent ? Outcome::overdue : Outcome::severed, false);
    }
    if (failure.reason == Reason::turned_away) {
        ++history.offered;  // it had arrived there: a further one is counted
        return {{Outcome::superseded, false}};
    }
    ++counts_.bounced;
    if (failure.reason == Reason::unreachable) return {{Outcome::refused_connection, false, false}};
    AttemptReading reading{{Outcome::superseded, false, false}};
    reading.avoid_server = failure.reason != Reason::full && failure.reason != Reason::late;
    return reading;
}

AttemptReading AttemptRules::read_end(const ServerAnswered& answer, RequestHistory& history) {
    if (answer.status / 100 == 2) return ran(history, Outcome::completed, true);
    if (answer.status < kServerErrors) return ran(history, Outcome::recalled, true);
    AttemptReading reading = ran(history, Outcome::errored, history.hop.once());
    reading.keep_answer = true;
    return reading;
}

std::optional<NotRun> AttemptRules::proof(const RequestHistory& history) {
    return NotRun::from(
        {history.may_have_run ? Execution::may_have_run : Execution::not_run, history.reason});
}

Millis AttemptRules::retry_in(Millis advised) { return std::clamp(advised, kLeastRetry, kMostRetry); }

unsigned AttemptRules::failure_status(Reason reason) {
    return reason == Reason::silent || reason == Reason::late ? kGatewayTimeout : kBadGateway;
}

}  // namespace cobaltshift::hop
