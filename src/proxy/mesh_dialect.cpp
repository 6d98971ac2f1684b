#include "proxy/mesh_dialect.hpp"

namespace cobaltshift::proxy {

using hop::RequestHistory;

namespace {
constexpr std::uint64_t kMaxAnswerBytes = 64 << 20;

RequestHistory& history_of(Story& story) { return std::any_cast<RequestHistory&>(story.mark); }

hop::AttemptEnd attempt_end(Outcome outcome, const HttpResponse* response) {
    if (!response) return hop::NoAnswer{outcome};
    if (const auto failure = parse_verdict(*response)) return *failure;
    return hop::ServerAnswered{response->result_int()};
}
}  // namespace

UpstreamManner MeshDialect::manner() {
    UpstreamManner m;
    m.stamp = [](HttpRequest& message, Millis left) {
        message.set(kDeadline, std::to_string(static_cast<long long>(left)));
    };
    m.judge = [](const HttpResponse& response) {
        return response.result_int() / 100 == 2 ? Outcome::completed : Outcome::errored;
    };
    // Checked again on the caller side: even if the proxy beside the server mixes up answers, none reaches
    // another request.
    m.stray = [](const HttpRequest& request, const HttpResponse& response) {
        return response[kVerdict] == "ran" && answers_another(request, response);
    };
    m.body_bytes = kMaxAnswerBytes;
    return m;
}

RequestArrived MeshDialect::classify(const HttpRequest& message, Story& story) {
    RequestHistory history;
    history.hop = parse_hop(message[kHop]).value_or(Hop());
    const RequestArrived event = rules_.classify(dependencies_.clock.now(), history);
    story.mark = std::move(history);
    return event;
}

bool MeshDialect::may_send(HttpRequest& message, Story& story, const std::string& server) {
    RequestHistory& history = history_of(story);
    if (!rules_.may_send(dependencies_.clock.now(), dependencies_.live_proxies(), server, history))
        return false;
    history.hop.edition = dependencies_.edition();
    message.set(kHop, to_text(history.hop));
    message.set(kInstance, server);
    return true;
}

AttemptResult MeshDialect::read(Outcome outcome, const HttpResponse* response, Story& story) {
    RequestHistory& history = history_of(story);
    if (response)
        if (const auto edition = (*response)[kEdition]; !edition.empty())
            dependencies_.on_peer_edition(history.server,
                                          static_cast<std::uint64_t>(parse_ms(edition).value_or(0)));
    const hop::HopAttemptResult result = rules_.read(attempt_end(outcome, response), history);
    if (result.avoid_server) dependencies_.avoid(history.server);
    if (result.keep_answer) story.last = *response;
    return result.attempt;
}

void MeshDialect::tidy(HttpResponse& response) {
    response.erase(kVerdict);
    response.erase(kEdition);
}

HttpResponse MeshDialect::refusal(Story& story, Millis retry_in) {
    const auto proof = hop::AttemptRules::proof(history_of(story));
    if (!proof) return failure(story);
    rules_.count_refused();
    return proxy::refusal(*proof, hop::AttemptRules::retry_in(retry_in));
}

HttpResponse MeshDialect::failure(Story& story) {
    rules_.count_failed();
    if (story.last) {
        strip_hop_by_hop(*story.last);
        tidy(*story.last);
        return std::move(*story.last);
    }
    return proxy::failure(history_of(story).reason);
}

}  // namespace cobaltshift::proxy
