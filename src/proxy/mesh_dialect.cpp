#include "proxy/mesh_dialect.hpp"

namespace cobaltshift::proxy {

using hop::RequestHistory;

namespace {
constexpr std::uint64_t kMaxAnswerBytes = 64 << 20;

RequestHistory& history_of(RequestContext& request_context) {
    return std::any_cast<RequestHistory&>(request_context.mark);
}

hop::AttemptEnd attempt_end(Outcome outcome, const HttpResponse* response) {
    if (!response) return hop::NoAnswer{outcome};
    if (const auto failure = parse_verdict(*response)) return *failure;
    return hop::ServerAnswered{response->result_int()};
}
}  // namespace

UpstreamProtocol MeshDialect::upstream_protocol() {
    UpstreamProtocol m;
    m.prepare_request = [](HttpRequest& message, Millis left) {
        message.set(kDeadline, std::to_string(static_cast<long long>(left)));
    };
    m.outcome_of = [](const HttpResponse& response) {
        return response.result_int() / 100 == 2 ? Outcome::completed : Outcome::errored;
    };
    // Checked again on the caller side: even if the proxy beside the server mixes up answers, none reaches
    // another request.
    m.owner_of = owner_of_hop_answer;
    m.body_bytes = kMaxAnswerBytes;
    return m;
}

RequestArrived MeshDialect::classify(const HttpRequest& message, RequestContext& request_context) {
    RequestHistory history;
    history.hop = parse_hop(message[kHop]).value_or(Hop());
    const RequestArrived event = rules_.classify(dependencies_.clock.now(), history);
    request_context.mark = std::move(history);
    return event;
}

bool MeshDialect::may_send(HttpRequest& message, RequestContext& request_context, const std::string& server) {
    RequestHistory& history = history_of(request_context);
    if (!rules_.may_send(dependencies_.clock.now(), dependencies_.live_proxies(), server, history))
        return false;
    history.hop.edition = dependencies_.edition();
    message.set(kHop, to_text(history.hop));
    message.set(kInstance, server);
    return true;
}

AttemptResult MeshDialect::read(Outcome outcome, const HttpResponse* response,
                                RequestContext& request_context) {
    RequestHistory& history = history_of(request_context);
    if (response)
        if (const auto edition = (*response)[kEdition]; !edition.empty())
            dependencies_.on_peer_edition(history.server,
                                          static_cast<std::uint64_t>(parse_ms(edition).value_or(0)));
    if (response && response->count(kVerdict) == 0) rules_.count_unmarked();
    const hop::HopAttemptResult result = rules_.read(attempt_end(outcome, response), history);
    if (result.avoid_server) dependencies_.avoid(history.server);
    if (result.keep_answer) request_context.last = *response;
    return result.attempt;
}

void MeshDialect::strip_internal_headers(HttpResponse& response) {
    response.erase(kVerdict);
    response.erase(kEdition);
}

HttpResponse MeshDialect::refusal(RequestContext& request_context, Millis retry_in) {
    const auto proof = hop::AttemptRules::proof(history_of(request_context));
    if (!proof) return failure(request_context);
    rules_.count_refused(history_of(request_context));
    return proxy::refusal(*proof, hop::AttemptRules::retry_in(retry_in));
}

HttpResponse MeshDialect::failure(RequestContext& request_context) {
    rules_.count_failed();
    if (request_context.last) {
        strip_hop_by_hop(*request_context.last);
        strip_internal_headers(*request_context.last);
        return std::move(*request_context.last);
    }
    return proxy::failure(history_of(request_context).reason);
}

}  // namespace cobaltshift::proxy
