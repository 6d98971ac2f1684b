// What a request must look like to be passed on: the protocol's form and nothing else. What is refused here
// reaches neither the module nor a server.
#pragma once

#include <optional>

#include "net/config.hpp"
#include "net/http.hpp"

namespace cobaltshift {

// "480m" or "480000u"; nothing else.
std::optional<Millis> parse_time_left(beast::string_view text);

// A head whose body may be seen otherwise by a server than here: it could hide a second request. The
// connection is of no use after it.
std::optional<http::status> framing_fault(const HttpRequest& request);

// Method, path, key and figures that don't fit the class, or no class at all.
std::optional<http::status> form_fault(const HttpRequest& request, const Config& config);

}  // namespace cobaltshift
