// The mesh's protocol on the caller side of a hop: translates between HTTP messages and hop::AttemptRules,
// which decide what may be sent and answered. Entry type: MeshDialect, one for each service. Created by
// Outbound, called by Sidecar; used by the io_context's thread only.
#pragma once

#include <functional>

#include "hop/attempt_rules.hpp"
#include "net/clock.hpp"
#include "net/dialect.hpp"
#include "proxy/hop_headers.hpp"

namespace cobaltshift::proxy {

class MeshDialect : public Dialect {
public:
    struct Dependencies {
        const Clock& clock;
        std::function<std::size_t()> live_proxies;
        std::function<std::uint64_t()> edition;
        // The admission of this instance refuses all requests for now, or is another instance's.
        std::function<void(const std::string& instance_id)> avoid;
        // The proxy beside this instance has reported the configuration edition that it has.
        std::function<void(const std::string& instance_id, std::uint64_t edition)> on_peer_edition;
    };
    MeshDialect(Dependencies dependencies, admission::RetryBudget::Settings budget)
        : dependencies_(std::move(dependencies)), rules_(budget) {}

    UpstreamProtocol upstream_protocol() override;
    RequestArrived classify(const HttpRequest& message, RequestContext& request_context) override;
    bool may_send(HttpRequest& message, RequestContext& request_context, const std::string& server) override;
    AttemptResult read(Outcome outcome, const HttpResponse* response,
                       RequestContext& request_context) override;
    void strip_internal_headers(HttpResponse& response) override;
    HttpResponse refusal(RequestContext& request_context, Millis retry_in) override;
    HttpResponse failure(RequestContext& request_context) override;

    const hop::AttemptRules::Counts& counts() const { return rules_.counts(); }

private:
    Dependencies dependencies_;
    hop::AttemptRules rules_;
};

}  // namespace cobaltshift::proxy
