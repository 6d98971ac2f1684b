// Queue of the requests that arrive before the proxy has a configuration in force. They wait for it for a
// bounded time after the start and are then refused. Entry type: EarlyRequests. Does no I/O; called by
// proxy::Outbound and sim_mesh. Not thread-safe.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "module.hpp"

namespace cobaltshift::routing {

constexpr Millis kNoConfigurationRetryMs = 500;  // ms; advice to a refused client when to retry

template <class Request>
class EarlyRequests {
public:
    static constexpr Millis kWaitMs = 900;
    static constexpr std::size_t kMaxRequests = 500;
    struct Early {
        RequestId id = 0;  // has kEarlyBit set, which ids of forwarded requests never have
        Millis arrived_at = 0;
        Request request;
    };
    static constexpr RequestId kEarlyBit = 1ULL << 63;

    // `now`: when the proxy starts; requests wait until kWaitMs later.
    explicit EarlyRequests(Millis now) : until_(now + kWaitMs) {}
    bool may_wait(Millis now) const { return now < until_ && waiting_.size() < kMaxRequests; }
    Millis until() const { return until_; }
    static bool is_early(RequestId id) { return (id & kEarlyBit) != 0; }

    RequestId add(Millis now, Request request) {
        const RequestId id = kEarlyBit | ++last_number_;
        waiting_.push_back({id, now, std::move(request)});
        return id;
    }
    void remove(RequestId id) {
        std::erase_if(waiting_, [id](const Early& early) { return early.id == id; });
    }
    std::vector<Early> take() { return std::exchange(waiting_, {}); }

private:
    Millis until_;
    std::vector<Early> waiting_;
    RequestId last_number_ = 0;
};

}  // namespace cobaltshift::routing
