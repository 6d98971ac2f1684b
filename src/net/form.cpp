#include "net/form.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "net/path.hpp"

namespace cobaltshift {

namespace {

bool given_once(const HttpRequest& request, const char* name) {
    return request.count(name) == 1 && !request[name].empty();
}

// A finite non-negative number, and a pointer to the first character behind it.
std::optional<std::pair<double, const char*>> parse_amount(beast::string_view text) {
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || !std::isfinite(value) || value < 0 || std::signbit(value)) return {};
    return std::pair{value, parsed.ptr};
}

// Printable ASCII without spaces.
bool is_graphic(beast::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

}  // namespace

std::optional<Millis> parse_time_left(beast::string_view text) {
    const auto amount = parse_amount(text);
    if (!amount || amount->second + 1 != text.data() + text.size()) return {};
    if (*amount->second == 'm') return amount->first;
    if (*amount->second == 'u') return amount->first / 1000;
    return {};
}

std::optional<http::status> framing_fault(const HttpRequest& request) {
    if (request.version() != 11) return http::status::http_version_not_supported;
    const auto coding = request[http::field::transfer_encoding];
    const auto length = request[http::field::content_length];
    const auto codings = request.count(http::field::transfer_encoding);
    const auto lengths = request.count(http::field::content_length);
    if (codings + lengths > 1) return http::status::bad_request;
    if (codings == 1 && !beast::iequals(coding, "chunked")) return http::status::bad_request;
    // Beast also accepts a list of equal lengths.
    if (!std::all_of(length.begin(), length.end(), [](char c) { return c >= '0' && c <= '9'; }))
        return http::status::bad_request;
    return {};
}

std::optional<http::status> form_fault(const HttpRequest& request, const Config& config) {
    const auto target = request.target();
    if (std::distance(request.begin(), request.end()) > kMaxFields)
        return http::status::request_header_fields_too_large;
    // Checked before everything that depends on the class: servers must read the same path as we do.
    if (!target.empty() && target.front() == '/' && path_fault({target.data(), target.size()}))
        return http::status::bad_request;
    if (request.method() != http::verb::get && request.method() != http::verb::post)
        return http::status::method_not_allowed;
    if (!given_once(request, "Host") || !given_once(request, "X-Correlation-Id") ||
        !given_once(request, "X-Service-Class") || !given_once(request, "X-Time-Left") ||
        !is_graphic(request["X-Correlation-Id"]) || !parse_time_left(request["X-Time-Left"]))
        return http::status::bad_request;
    if (const auto weight_hint = request["X-Weight-Hint"]; request.count("X-Weight-Hint") > 0) {
        const auto amount = parse_amount(weight_hint);
        if (!amount || amount->second != weight_hint.data() + weight_hint.size())
            return http::status::bad_request;
    }
    const auto& names = config.classes;
    const auto name = std::find(names.begin(), names.end(), request["X-Service-Class"]);
    if (name == names.end()) return http::status::bad_request;
    const Effect effect = config.settings.classes[static_cast<std::size_t>(name - names.begin())].effect;
    const bool is_get = request.method() == http::verb::get;
    if (is_get != (effect == Effect::repeatable)) return http::status::method_not_allowed;
    if (is_get &&
        (request.count(http::field::transfer_encoding) > 0 ||
         request.count(http::field::content_length) > 0) &&
        request[http::field::content_length] != "0")
        return http::status::bad_request;
    if (effect == Effect::by_key ? !given_once(request, "Idempotency-Key")
                                 : request.count("Idempotency-Key") > 0)
        return http::status::bad_request;
    // The first path segment names the class.
    if (!is_graphic(target) || target.empty() || target.front() != '/') return http::status::bad_request;
    if (target.substr(1, target.find_first_of("/?", 1) - 1) != *name) return http::status::bad_request;
    return {};
}

}  // namespace cobaltshift
