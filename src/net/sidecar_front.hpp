// Front end of a Sidecar for the platform's protocol: validates requests, answers the health check and reads
// the client's remaining time from X-Time-Left. Entry type: SidecarFront.
#pragma once

#include "net/front.hpp"
#include "net/sidecar.hpp"

namespace cobaltshift {

class SidecarFront : public Front {
public:
    explicit SidecarFront(Sidecar& sidecar) : sidecar_(sidecar) {}
    void open_for_use() { ready_ = true; }  // from now on /healthz answers 200 once a server list is held
    void drain() { draining_ = true; }      // from now on /healthz answers 503

    std::optional<http::status> fault(const HttpRequest& head) override;
    std::optional<HttpResponse> local(const HttpRequest& request) override;
    std::string request_id_of(const HttpRequest& request) const override;
    RequestId arrived(RequestPtr request, Millis spent, std::weak_ptr<Client> client) override;
    void client_gone(RequestId id) override { sidecar_.client_gone(id); }

private:
    Sidecar& sidecar_;
    bool ready_ = false, draining_ = false;
};

}  // namespace cobaltshift
