// GET, PUT and PATCH of /api/config, as the operator calls them. Entry type: ConfigResource, a Resource that
// whoever listens at the `control` address asks. Called through ControlNode::config(); carries the calls to
// the replica and its replies back.
#pragma once

#include <functional>
#include <map>

#include "api/api.hpp"
#include "control/replica.hpp"

namespace cobaltshift::control {

constexpr std::size_t kLongestBody = raft::kMaxEntryBytes - 256;
constexpr std::size_t kMostCalls = 128;  // open at once

class ConfigResource : public Resource {
public:
    // To the replica: a reading where there is no change. False: there is no replica now.
    using Ask = std::function<bool(std::uint64_t client, std::optional<config::Change>)>;
    ConfigResource(std::uint16_t control_port, Ask ask) : control_port_(control_port), ask_(std::move(ask)) {}

    bool handle(const ApiRequest& request, std::function<void(ApiAnswer)> done) override;
    void reply(const Reply& reply);
    // The replica is gone: whoever waits is told so (503).
    void dismiss_all();
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
