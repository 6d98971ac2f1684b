// HTTP resources at a proxy's `control` address: heartbeats and deregistration of the application server
// beside it (PUT and DELETE /api/servers/ID) and the proxy's readiness (GET /api/ready). Entry types:
// HeartbeatResource, ReadinessResource.
//
// A heartbeat is acknowledged only after the admission has applied it. The admission then acts on it even if
// the membership gossip about it is delayed. The end of a server is acknowledged only after the other nodes
// have been sent it: they remember it if this proxy is killed right after.
#pragma once

#include <functional>
#include <optional>

#include "api/api.hpp"
#include "registry/records.hpp"

namespace cobaltshift::proxy {

struct Heartbeat {
    std::string instance_id, service, address, zone, edition;
    std::uint32_t capacity = 1;
    bool closing = false;
    double warmup_left_s = 0;
    std::uint64_t call_seq = 0;
};
// Parses the body of a heartbeat. None if it is invalid; `error_text` then names the problem.
std::optional<Heartbeat> parse_heartbeat(const std::string& instance_id, const std::string& json,
                                         std::string& error_text);

class HeartbeatResource : public Resource {
public:
    struct Handlers {
        std::function<void(const Heartbeat&)> on_heartbeat;
        std::function<void(const std::string& instance_id)> on_deregistered;
        // Calls `acknowledge` once the others have been sent that the server ends; empty: it is called at
        // once.
        std::function<void(std::function<void()> acknowledge)> after_end_is_sent = {};
    };
    explicit HeartbeatResource(Handlers handlers) : handlers_(std::move(handlers)) {}
    bool handle(const ApiRequest& request, std::function<void(ApiAnswer)> done) override;

private:
    void acknowledge_end(std::function<void(ApiAnswer)> done) const;

    Handlers handlers_;
};

// GET /api/ready: status 200 if ready, else 503.
class ReadinessResource : public Resource {
public:
    explicit ReadinessResource(std::function<bool()> ready) : ready_(std::move(ready)) {}
    bool handle(const ApiRequest& request, std::function<void(ApiAnswer)> done) override;

private:
    std::function<bool()> ready_;
};

}  // namespace cobaltshift::proxy
