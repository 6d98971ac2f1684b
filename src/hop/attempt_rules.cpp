#include "hop/attempt_rules.hpp"

#include <algorithm>

#include "admission/module_settings.hpp"

namespace cobaltshift::hop {

namespace {
// The first attempts of a request only try for a free slot; from this one on (counted from 0) they may be
// queued at the admission.
constexpr unsigned kMayWaitFromAttempt = 2;
constexpr Millis kMinRetryMs = 60, kMaxRetryMs = 1000;
constexpr unsigned kBadGateway = 502, kGatewayTimeout = 504, kFirstServerError = 500;
}  // namespace

RequestArrived AttemptRules::classify(Millis now, const RequestHistory& history) {
    RequestArrived event;
    event.class_index =
        admission::class_index_of(history.hop.once(), history.hop.rank, history.hop.target_ms);
    retry_budget_.record_request(now);
    ++counts_.requests;
    return event;
}

bool AttemptRules::may_send(Millis now, std::size_t live_proxies, const std::string& server,
                            RequestHistory& history) {
    if (history.counted_attempts > 0) {
        const bool may_repeat = !(history.hop.once() && history.may_have_run);
        const bool again = may_repeat && history.counted_attempts < history.hop.tries &&
                           retry_budget_.try_spend(now, live_proxies);
        if (!again) {
            ++counts_.vetoed;
            return false;
        }
    }
    history.attempt_open = true;
    history.server = server;
    history.hop.may_wait = history.sent++ >= kMayWaitFromAttempt;
    ++counts_.tries;
    return true;
}

HopAttemptResult AttemptRules::read(const AttemptEnd& end, RequestHistory& history) {
    history.attempt_open = false;
    return std::visit([&](const auto& how) { return interpret(how, history); }, end);
}

HopAttemptResult AttemptRules::ran(RequestHistory& history, Outcome outcome, bool final) {
    ++history.counted_attempts;
    history.may_have_run = true;
    return {{outcome, final}};
}

HopAttemptResult AttemptRules::interpret(const NoAnswer& end, RequestHistory& history) {
    history.newest_failure.reset();
    history.reason = end.outcome == Outcome::timed_out ? Reason::silent : Reason::unreachable;
    if (end.outcome == Outcome::refused_connection || end.outcome == Outcome::not_sent)
        return {{end.outcome, false, false}};
    ++counts_.broken;
    return ran(history, end.outcome, false);
}

HopAttemptResult AttemptRules::interpret(const Failure& failure, RequestHistory& history) {
    history.reason = failure.reason;
    history.newest_failure = failure;
    if (failure.execution != Execution::not_run || failure.reason == Reason::repeated) {
        ++counts_.broken;
        return ran(history, failure.reason == Reason::silent ? Outcome::timed_out : Outcome::connection_lost,
                   false);
    }
    if (failure.reason == Reason::turned_away) {
        ++history.counted_attempts;  // the server received it, so the next attempt is a retry
        return {{Outcome::not_sent, false}};
    }
    ++counts_.bounced;
    if (failure.reason == Reason::unreachable) return {{Outcome::refused_connection, false, false}};
    HopAttemptResult result{{Outcome::not_sent, false, false}};
    result.avoid_server = failure.reason != Reason::full && failure.reason != Reason::late;
    return result;
}

HopAttemptResult AttemptRules::interpret(const ServerAnswered& answer, RequestHistory& history) {
    if (answer.status / 100 == 2) return ran(history, Outcome::completed, true);
    if (answer.status < kFirstServerError) return ran(history, Outcome::cancelled, true);
    HopAttemptResult result = ran(history, Outcome::errored, history.hop.once());
    result.keep_answer = true;
    return result;
}

std::optional<NotRun> AttemptRules::proof(const RequestHistory& history) {
    const bool may_have_run = history.may_have_run || history.attempt_open;
    return NotRun::from({may_have_run ? Execution::may_have_run : Execution::not_run, history.reason});
}

void AttemptRules::count_refused(const RequestHistory& history) {
    Refusals& refused = counts_.refused;
    if (!history.newest_failure)
        ++refused.unsent;
    else if (history.newest_failure->reason == Reason::turned_away)
        ++refused.by_server;
    else if (history.newest_failure->reason == Reason::unreachable)
        ++refused.server_unreachable;
    else
        ++refused.by_admission;
}

Millis AttemptRules::retry_in(Millis advised) { return std::clamp(advised, kMinRetryMs, kMaxRetryMs); }

unsigned AttemptRules::failure_status(Reason reason) {
    return reason == Reason::silent || reason == Reason::late ? kGatewayTimeout : kBadGateway;
}

}  // namespace cobaltshift::hop
