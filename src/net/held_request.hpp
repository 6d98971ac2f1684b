// A request that is held from its last byte until nobody needs it any more, with the charge for its memory.
// Entry type: HeldRequest. Created by Listener; used by its front ends and by Upstream.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "net/http.hpp"
#include "net/memory_account.hpp"

namespace cobaltshift {

// Bytes that the allocator hands out for one header field beside its name and value.
constexpr std::size_t kFieldOverheadBytes = 80;

// The memory that a message's header fields take, in bytes.
inline std::size_t bytes_held_by_fields(const http::fields& fields) {
    std::size_t bytes = 0;
    for (const auto& field : fields)
        bytes += kFieldOverheadBytes + field.name_string().size() + field.value().size();
    return bytes;
}

class HeldRequest : public HttpRequest {
public:
    using HttpRequest::HttpRequest;
    // `memory`: of the process; null: what is held is not counted.
    HeldRequest(HttpRequest message, MemoryAccount* memory)
        : HttpRequest(std::move(message)), charge_(memory) {
        if (memory) charge_.set(bytes_held_by_fields(*this) + body().size());
    }

    // Frees the body: the request is not sent again, or never whole. Its head stays.
    void release_body() {
        body_released_ = true;
        charge_.set(charge_.bytes() - std::min(charge_.bytes(), body().size()));
        free_memory(body());
    }
    bool body_released() const { return body_released_; }

private:
    MemoryAccount::Charge charge_;
    bool body_released_ = false;
};

using RequestPtr = std::shared_ptr<HeldRequest>;

}  // namespace cobaltshift
