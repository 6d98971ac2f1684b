#include "net/dialect.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace cobaltshift {

std::string seconds_text(Millis time) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", time / 1000);
    return seconds;
}

RequestArrived PlatformDialect::classify(const HttpRequest& message, RequestContext&) {
    RequestArrived event;
    const auto& names = config_.classes;
    event.repeat = message["X-Repeat"] == "1";
    const auto hint = message["X-Weight-Hint"];
    if (!hint.empty()) event.effort = std::max(0.0, std::atof(std::string(hint).c_str()) / 1000);
    const auto name = std::find(names.begin(), names.end(), message["X-Service-Class"]);
    event.class_index = static_cast<std::uint32_t>(name - names.begin());
    const auto& tenants = config_.tenants;
    const auto tenant = std::find(tenants.begin(), tenants.end(), message["X-Account"]);
    event.tenant = static_cast<std::uint32_t>(tenant - tenants.begin());
    return event;
}

AttemptResult PlatformDialect::read(Outcome outcome, const HttpResponse* response, RequestContext&) {
    // A 4xx concerns the request and not the server: any other server would answer the same. It is passed on
    // unchanged, and the outcome `cancelled` counts neither for nor against the server. 429 is not passed on,
    // as it would tell the client that the request never ran.
    const unsigned status = response ? response->result_int() : 0;
    const bool unfit = status >= 400 && status < 500 && status != 408 && status != 429;
    return {unfit ? Outcome::cancelled : outcome,
            (outcome == Outcome::completed || unfit) && response != nullptr};
}

void PlatformDialect::strip_internal_headers(HttpResponse& response) { response.erase("X-Backend-Load"); }

HttpResponse PlatformDialect::refusal(RequestContext&, Millis retry_in) {
    HttpResponse response(http::status::service_unavailable, 11);
    if (retry_in > 0)
        response.set(http::field::retry_after, seconds_text(std::min(retry_in, config_.max_retry_after)));
    return response;
}

HttpResponse PlatformDialect::failure(RequestContext&) { return HttpResponse(http::status::bad_gateway, 11); }

}  // namespace cobaltshift
