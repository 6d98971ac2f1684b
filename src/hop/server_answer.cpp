#include "hop/server_answer.hpp"

namespace cobaltshift::hop {

namespace {
constexpr unsigned kMisdirected = 421, kTooManyRequests = 429, kUnavailable = 503, kRequestTimeout = 408;

bool is_success(unsigned status) { return status / 100 == 2; }
bool promises_not_run(unsigned status) {
    return status == kTooManyRequests || status == kUnavailable || status == kRequestTimeout;
}
}  // namespace

std::optional<Failure> failure_of_answer(const ServerAnswerHead& head) {
    if (head.not_run || head.status == kMisdirected) return Failure{Execution::not_run, Reason::turned_away};
    if (is_success(head.status) && (!head.stamped || head.encoded))
        return Failure{Execution::may_have_run, Reason::broken};
    // The server confirms these statuses by Not-Run; without it they do not prove that the request has not
    // run.
    if (promises_not_run(head.status)) return Failure{Execution::may_have_run, Reason::broken};
    return {};
}

Failure failure_without_answer(Outcome outcome) {
    if (outcome == Outcome::refused_connection || outcome == Outcome::not_sent)
        return {Execution::not_run, Reason::unreachable};
    return {Execution::may_have_run, outcome == Outcome::timed_out ? Reason::silent : Reason::broken};
}

bool answers_another(std::string_view asked, std::string_view answered, unsigned status) {
    return answered.empty() ? is_success(status) : answered != asked;
}

}  // namespace cobaltshift::hop
