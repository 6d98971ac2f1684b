// Validation of requests against the platform's protocol. Rejected requests reach neither the decision module
// nor a server.
#pragma once

#include <optional>

#include "net/config.hpp"
#include "net/http.hpp"

namespace cobaltshift {

// Parses X-Time-Left: "480m" (ms) or "480000u" (microseconds) and nothing else. The result is in ms.
std::optional<Millis> parse_time_left(beast::string_view text);

// The status to reject a head with if a server could determine the body's length differently, which permits
// request smuggling. The connection must be closed after it.
std::optional<http::status> framing_fault(const HttpRequest& request);

// The status to reject a head with if its class is unknown, or its method, path, key or numeric headers are
// missing, malformed or not allowed for its class.
std::optional<http::status> form_fault(const HttpRequest& request, const Config& config);

}  // namespace cobaltshift
