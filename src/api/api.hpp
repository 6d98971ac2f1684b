// HTTP API calls of servers and operators as plain values, with one handler object per resource. Entry type:
// Resource. Called by ApiFront (api_front.hpp).
#pragma once

#include <functional>
#include <memory>
#include <string>

namespace cobaltshift {

struct ApiRequest {
    std::string method, target, body;
    std::string if_match;  // value of If-Match; empty if absent
    std::string from;      // the client's address
};
struct ApiAnswer {
    unsigned status = 200;
    std::string body;          // JSON, or empty
    std::string location;      // Location header of a 307
    double retry_after_s = 0;  // Retry-After; 0: none
};

class Resource {
public:
    virtual ~Resource() = default;
    // Returns true if the target belongs to this resource; `done` is then called exactly once, now or later.
    // Otherwise false, and `done` is not called.
    virtual bool handle(const ApiRequest& request, std::function<void(ApiAnswer)> done) = 0;
};

}  // namespace cobaltshift
