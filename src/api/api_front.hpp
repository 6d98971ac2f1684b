// API server for servers, operators and the platform: a Listener's front end that passes each call to the
// first Resource that handles its target. Entry type: ApiFront. Used by the proxy (server heartbeats,
// readiness) and by the control node (configuration).
#pragma once

#include <unordered_map>

#include "api/api.hpp"
#include "net/front.hpp"

namespace cobaltshift::api {

class ApiFront : public Front {
public:
    // `max_body_bytes`: limit for a request body.
    explicit ApiFront(std::uint64_t max_body_bytes) : max_body_bytes_(max_body_bytes) {}
    // `resource` must outlive the front end.
    void add(Resource& resource) { resources_.push_back(&resource); }

    Bounds bounds() const override;
    std::optional<http::status> fault(const HttpRequest& head) override;
    std::optional<HttpResponse> local(const HttpRequest&) override { return {}; }
    std::string request_id_of(const HttpRequest&) const override { return {}; }
    RequestId arrived(RequestPtr request, Millis spent, std::weak_ptr<Client> client) override;
    void client_gone(RequestId) override {}

private:
    std::uint64_t max_body_bytes_;
    std::vector<Resource*> resources_;
    RequestId next_ = 1;
};

}  // namespace cobaltshift::api
