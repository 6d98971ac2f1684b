// The operator's HTTP API: GET, PUT and PATCH of /api/config. Main type: ConfigResource, a Resource that is
// registered with the server at the `control` address through ControlNode::config(). It passes requests to
// the replica and turns the replica's replies into HTTP responses. Not thread-safe: runs on the event loop.
#pragma once

#include <functional>
#include <map>

#include "api/api.hpp"
#include "control/replica.hpp"

namespace cobaltshift::control {

constexpr std::size_t kMaxBodyBytes = raft::kMaxEntryBytes - 256;  // leaves room for the entry's other fields
constexpr std::size_t kMaxOpenCalls = 128;                         // further requests get 503

class ConfigResource : public Resource {
public:
    // Passes a request to the replica: a change, or a read if there is none. False: no replica is running.
    using Ask = std::function<bool(std::uint64_t client, std::optional<config::Change>)>;
    ConfigResource(std::uint16_t control_port, Ask ask) : control_port_(control_port), ask_(std::move(ask)) {}

    bool handle(const ApiRequest& request, std::function<void(ApiAnswer)> done) override;
    void reply(const Reply& reply);
    // Answers all open calls with 503, because the replica has stopped.
    void reject_all();
    std::size_t open() const { return calls_.size(); }

private:
    struct Call {
        std::string target;
        std::function<void(ApiAnswer)> done;
    };
    const std::uint16_t control_port_;
    const Ask ask_;
    std::map<std::uint64_t, Call> calls_;
    std::uint64_t next_ = 1;
};

}  // namespace cobaltshift::control
