#include "net/sidecar_front.hpp"

#include "net/form.hpp"

namespace cobaltshift {

namespace {
// Subtracted from the client's remaining time, so that the answer arrives before the client gives up.
constexpr Millis kAnswerMarginMs = 5;

bool is_health(const HttpRequest& head) {
    return head.target() == "/healthz" && head.method() == http::verb::get;
}
}  // namespace

std::optional<http::status> SidecarFront::fault(const HttpRequest& head) {
    if (const auto fault = framing_fault(head)) return fault;
    if (is_health(head)) return {};
    return form_fault(head, sidecar_.config());
}

std::optional<HttpResponse> SidecarFront::local(const HttpRequest& request) {
    if (!is_health(request)) return {};
    const bool ready = ready_ && !draining_ && sidecar_.holds_list();
    return HttpResponse(ready ? http::status::ok : http::status::service_unavailable, 11);
}

std::string SidecarFront::request_id_of(const HttpRequest& request) const {
    return std::string(request["X-Correlation-Id"]);
}

RequestId SidecarFront::arrived(RequestPtr request, Millis spent, std::weak_ptr<Client> client) {
    // No client waits longer than the longest deadline of any class.
    const Millis left =
        std::min(*parse_time_left((*request)["X-Time-Left"]), sidecar_.config().longest_deadline);
    strip_hop_by_hop(*request);
    request->prepare_payload();
    return sidecar_.arrived(std::move(request), std::max(0.0, left - spent - kAnswerMarginMs),
                            std::move(client));
}

}  // namespace cobaltshift
