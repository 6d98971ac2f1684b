#include "hop/server_answer.hpp"

namespace cobaltshift::hop {

using exchange::AnswerOwner;

namespace {
constexpr unsigned kMisdirected = 421, kTooManyRequests = 429, kUnavailable = 503, kRequestTimeout = 408;

bool is_success(unsigned status) { return status / 100 == 2; }
bool promises_not_run(unsigned status) {
    return status == kTooManyRequests || status == kUnavailable || status == kRequestTimeout;
}
}  // namespace

bool is_refusal(const ServerAnswerHead& head) { return head.not_run || head.status == kMisdirected; }

std::optional<Failure> failure_of_answer(const ServerAnswerHead& head) {
    if (is_refusal(head)) return Failure{Execution::not_run, Reason::turned_away};
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

AnswerOwner owner_of_answer(std::string_view asked, std::string_view answered, unsigned status) {
    if (answered == asked) return AnswerOwner::this_request;
    return answered.empty() && !is_success(status) ? AnswerOwner::unknown : AnswerOwner::another_request;
}

}  // namespace cobaltshift::hop
