// The desk at which servers, operators and the platform call (standard term: API server): a Listener's Front
// that hands each call to the first Resource whose target it is. Entry type: ApiFront. Used by the proxy
// (beats, readiness) and by the control node (configuration).
#pragma once

#include <unordered_map>

#include "api/api.hpp"
#include "net/front.hpp"

namespace cobaltshift::api {

class ApiFront : public Front {
public:
    // `most_body`: bytes of a call's body.
    explicit ApiFront(std::uint64_t most_body) : most_body_(most_body) {}
    void add(Resource& resource) { resources_.push_back(&resource); }

    Bounds bounds() const override;
    std::optional<http::status> fault(const HttpRequest& head) override;
    std::optional<HttpResponse> local(const HttpRequest&) override { return {}; }
    std::string name_of(const HttpRequest&) const override { return {}; }
    RequestId arrived(RequestPtr request, Millis spent, std::weak_ptr<Client> client) override;
    void client_gone(RequestId) override {}

private:
    std::uint64_t most_body_;
    std::vector<Resource*> resources_;
    RequestId next_ = 1;
};

}  // namespace cobaltshift::api
