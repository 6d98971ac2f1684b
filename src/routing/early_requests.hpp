// Requests that came before this proxy had a configuration in force: they wait a moment for it, then they are
// refused. Entry type: EarlyRequests. Free of I/O; called by proxy::Outbound and sim_mesh.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "module.hpp"

namespace cobaltshift::routing {

constexpr Millis kRetryUnsettled = 500;  // when a client that is refused for it should come back

template <class Request>
class EarlyRequests {
public:
    static constexpr Millis kWait = 900;
    static constexpr std::size_t kMost = 500;
    struct Early {
        RequestId id = 0;  // bears kBit: none of a request that was passed on does
        Millis came = 0;
        Request request;
    };
    static constexpr RequestId kBit = 1ULL << 63;

    explicit EarlyRequests(Millis now) : until_(now + kWait) {}
    bool may_wait(Millis now) const { return now < until_ && waiting_.size() < kMost; }
    Millis until() const { return until_; }
    static bool is_early(RequestId id) { return (id & kBit) != 0; }

    RequestId add(Millis now, Request request) {
        const RequestId id = kBit | ++count_;
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
    RequestId count_ = 0;
};

}  // namespace cobaltshift::routing
