#include "api/api_front.hpp"

#include "net/dialect.hpp"
#include "net/form.hpp"

namespace cobaltshift::api {

namespace {
constexpr Millis kHeadTimeMs = 5000, kReadTimeMs = 15000, kIdleTimeMs = 30000;

HttpResponse to_http(ApiAnswer answer) {
    HttpResponse response(static_cast<http::status>(answer.status), 11);
    if (!answer.body.empty()) response.set(http::field::content_type, "application/json");
    if (!answer.location.empty()) response.set(http::field::location, answer.location);
    if (answer.retry_after_s > 0)
        response.set(http::field::retry_after, seconds_text(answer.retry_after_s * 1000));
    response.body() = std::move(answer.body);
    return response;
}
}  // namespace

Front::Bounds ApiFront::bounds() const {
    Bounds b;
    b.body = max_body_bytes_;
    b.head_time = kHeadTimeMs, b.read_time = kReadTimeMs, b.idle_time = kIdleTimeMs;
    return b;
}

std::optional<http::status> ApiFront::fault(const HttpRequest& head) { return framing_fault(head); }

RequestId ApiFront::arrived(RequestPtr request, Millis, std::weak_ptr<Client> client) {
    ApiRequest call;
    call.method = std::string(request->method_string());
    call.target = std::string(request->target());
    call.body = std::move(request->body());  // its charge stays until the call is answered
    call.if_match = std::string((*request)[http::field::if_match]);
    const auto done = [client, request](ApiAnswer answer) {
        if (const auto waiting = client.lock()) waiting->answer(to_http(std::move(answer)));
    };
    for (Resource* resource : resources_)
        if (resource->handle(call, done)) return next_++;
    done({404, "{\"error\":\"there is no such resource\"}", "", 0});
    return next_++;
}

}  // namespace cobaltshift::api
