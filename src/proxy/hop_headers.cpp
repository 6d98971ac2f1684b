#include "proxy/hop_headers.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "hop/attempt_rules.hpp"
#include "hop/server_answer.hpp"
#include "net/dialect.hpp"

namespace cobaltshift::proxy {

using config::RouteKind;

std::string to_text(const Hop& hop) {
    const char kind = hop.kind == RouteKind::plain ? 'p' : hop.kind == RouteKind::download ? 'd' : 'r';
    return std::string(1, kind) + ';' + std::to_string(hop.rank) + ';' +
           std::to_string(static_cast<long>(hop.target_ms)) + ';' + std::to_string(hop.tries) + ';' +
           (hop.may_wait ? '1' : '0') + ';' + std::to_string(hop.edition);
}

std::optional<Hop> parse_hop(beast::string_view text) {
    if (text.size() < 2 || text[1] != ';') return {};
    Hop hop;
    if (text[0] == 'p')
        hop.kind = RouteKind::plain;
    else if (text[0] == 'd')
        hop.kind = RouteKind::download;
    else if (text[0] != 'r')
        return {};
    const char *at = text.data() + 2, *end = text.data() + text.size();
    std::uint64_t numbers[5] = {};
    for (int i = 0; i < 5; ++i) {
        const auto parsed = std::from_chars(at, end, numbers[i]);
        if (parsed.ec != std::errc()) return {};
        at = parsed.ptr;
        if (i < 4 && (at == end || *at++ != ';')) return {};
    }
    if (at != end) return {};
    hop.rank = static_cast<int>(std::min<std::uint64_t>(numbers[0], 1000));
    hop.target_ms = static_cast<double>(numbers[1]);
    hop.tries = static_cast<unsigned>(std::min<std::uint64_t>(numbers[2], 100));
    hop.may_wait = numbers[3] == 1;
    hop.edition = numbers[4];
    return hop;
}

namespace {
hop::ServerAnswerHead head_of(const HttpResponse& response) {
    hop::ServerAnswerHead head;
    head.status = response.result_int();
    head.not_run = response.count(kNotRun) > 0;
    head.stamped = !response[kPostmark].empty();
    head.encoded = response.count(http::field::content_encoding) > 0;
    return head;
}
}  // namespace

leaf::result<HttpResponse> validate_server_answer(HttpResponse response) {
    if (const auto failure = hop::failure_of_answer(head_of(response))) return leaf::new_error(*failure);
    strip_hop_by_hop(response);
    response.set(kVerdict, "ran");
    response.erase(kEdition);
    return response;
}

HttpResponse proxy_answer(const Failure& failure) {
    const bool not_run = failure.execution == Execution::not_run;
    HttpResponse response(not_run                            ? http::status::service_unavailable
                          : failure.reason == Reason::silent ? http::status::gateway_timeout
                                                             : http::status::bad_gateway,
                          11);
    mark_verdict(response, failure);
    return response;
}

void mark_verdict(HttpResponse& response, const Failure& failure) {
    const std::string execution = failure.execution == Execution::not_run ? "not-run " : "may-have-run ";
    response.set(kVerdict, execution + std::string(name(failure.reason)));
}

std::optional<Failure> parse_verdict(const HttpResponse& response) {
    const auto field = response[kVerdict];
    if (field == "ran") return {};
    const std::string_view text(field.data(), field.size());
    const auto space = text.find(' ');
    const auto reason = reason_named(space == std::string_view::npos ? "" : text.substr(space + 1));
    // An unknown or missing verdict or reason counts as may-have-run.
    if (text.substr(0, space) != "not-run" || !reason)
        return Failure{Execution::may_have_run, reason.value_or(Reason::broken)};
    return Failure{Execution::not_run, *reason};
}

exchange::AnswerOwner owner_of_answer(const HttpRequest& request, const HttpResponse& response) {
    const auto asked = request[kRequestId], answered = response[kRequestId];
    return hop::owner_of_answer({asked.data(), asked.size()}, {answered.data(), answered.size()},
                                response.result_int());
}

exchange::AnswerOwner owner_of_hop_answer(const HttpRequest& request, const HttpResponse& response) {
    if (response[kVerdict] == "ran") return owner_of_answer(request, response);
    const auto answered = response[kRequestId];
    const bool is_own = answered.empty() || answered == request[kRequestId];
    return is_own ? exchange::AnswerOwner::this_request : exchange::AnswerOwner::another_request;
}

bool is_refusal(const HttpResponse& response) { return hop::is_refusal(head_of(response)); }

HttpResponse refusal(const NotRun&, double retry_in_ms) {
    HttpResponse response(http::status::service_unavailable, 11);
    if (retry_in_ms > 0) response.set(http::field::retry_after, seconds_text(retry_in_ms));
    return response;
}

HttpResponse failure(Reason reason) {
    return HttpResponse(static_cast<http::status>(hop::AttemptRules::failure_status(reason)), 11);
}

std::optional<double> parse_ms(beast::string_view text) {
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return {};
    if (!std::isfinite(value) || value < 0) return {};
    return std::floor(value);
}

}  // namespace cobaltshift::proxy
