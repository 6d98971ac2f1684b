// Calls of servers and operators as values: one handler object for each resource (house style). Entry:
// Resource. Called by ApiFront (api_front.hpp), which listens for them.
#pragma once

#include <functional>
#include <memory>
#include <string>

namespace cobaltshift {

struct ApiRequest {
    std::string method, target, body;
    std::string if_match;  // of If-Match, empty if there was none
    std::string from;      // the caller's address
};
struct ApiAnswer {
    unsigned status = 200;
    std::string body;          // JSON, or empty
    std::string location;      // of a 307
    double retry_after_s = 0;  // 0: none
};

class Resource {
public:
    virtual ~Resource() = default;
    // True: this target is ours, and `done` is called exactly once, now or later.
    virtual bool handle(const ApiRequest& request, std::function<void(ApiAnswer)> done) = 0;
};

}  // namespace cobaltshift
