#include "config/json_text.hpp"

#include <memory>

namespace cobaltshift::config {

namespace {

// By RFC 3629.
bool is_utf8(std::string_view text) {
    for (std::size_t i = 0; i < text.size();) {
        const auto lead = static_cast<unsigned char>(text[i++]);
        if (lead < 0x80) continue;
        const int more = lead >= 0xc2 && lead < 0xe0   ? 1
                         : (lead & 0xf0) == 0xe0       ? 2
                         : lead >= 0xf0 && lead < 0xf5 ? 3
                                                       : -1;
        if (more < 0 || text.size() - i < static_cast<std::size_t>(more)) return false;
        const auto second = static_cast<unsigned char>(text[i]);
        if ((lead == 0xe0 && second < 0xa0) || (lead == 0xed && second > 0x9f) ||
            (lead == 0xf0 && second < 0x90) || (lead == 0xf4 && second > 0x8f))
            return false;
        for (int n = 0; n < more; ++n)
            if ((static_cast<unsigned char>(text[i++]) & 0xc0) != 0x80) return false;
    }
    return true;
}

bool is_digit(char c) { return c >= '0' && c <= '9'; }

// The position after the number at `at`; npos if there is no valid number.
std::size_t past_number(std::string_view text, std::size_t at) {
    const auto digits = [&] {
        const std::size_t from = at;
        while (at < text.size() && is_digit(text[at])) ++at;
        return at - from;
    };
    const auto is = [&](char c) { return at < text.size() && text[at] == c; };
    if (is('-')) ++at;
    const bool zero = is('0');
    const std::size_t whole = digits();
    if (whole == 0 || (zero && whole > 1)) return std::string_view::npos;
    if (is('.')) {
        ++at;
        if (digits() == 0) return std::string_view::npos;
    }
    if (is('e') || is('E')) {
        ++at;
        if (is('+') || is('-')) ++at;
        if (digits() == 0) return std::string_view::npos;
    }
    return at;
}

// Whether the text consists of JSON tokens only; their order is left to jsoncpp. `values`: how many values
// and keys it holds.
bool has_only_tokens(std::string_view text, std::size_t& values) {
    values = 0;
    for (std::size_t at = 0; at < text.size();) {
        const char c = text[at];
        if (std::string_view("}]:, \t\r\n").find(c) == std::string_view::npos) ++values;
        if (c == '"') {
            for (++at; at < text.size() && text[at] != '"'; ++at) {
                if (static_cast<unsigned char>(text[at]) < 0x20) return false;
                if (text[at] == '\\') ++at;
            }
            ++at;
        } else if (c == '-' || is_digit(c)) {
            at = past_number(text, at);
            if (at == std::string_view::npos) return false;
        } else if (c >= 'a' && c <= 'z') {
            const std::string_view rest = text.substr(at);
            const std::size_t size = rest.starts_with("true") || rest.starts_with("null") ? 4
                                     : rest.starts_with("false")                          ? 5
                                                                                          : 0;
            if (size == 0) return false;
            at += size;
        } else {
            if (c == '\0' || std::string_view("{}[]:, \t\r\n").find(c) == std::string_view::npos)
                return false;
            ++at;
        }
    }
    return true;
}

}  // namespace

bool read_json(std::string_view json, Json::Value& value, std::string& error) {
    if (!is_utf8(json)) return error = "it is not UTF-8", false;
    std::size_t values = 0;
    if (!has_only_tokens(json, values)) return error = "it holds what is no JSON", false;
    if (values > kMaxJsonValues)
        return error = "it holds more than " + std::to_string(kMaxJsonValues) + " values", false;
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["stackLimit"] = 64;
    builder["skipBom"] = false;  // text_of() counts offsets from the first byte
    std::string errors;
    try {
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        if (reader->parse(json.data(), json.data() + json.size(), &value, &errors)) return true;
        error = errors.substr(0, 300);
    } catch (const std::exception& fault) {  // nested too deeply
        error = fault.what();
    }
    return false;
}

std::string text_of(std::string_view json, const Json::Value& value) {
    const auto from = static_cast<std::size_t>(value.getOffsetStart()),
               to = static_cast<std::size_t>(value.getOffsetLimit());
    return from <= to && to <= json.size() ? std::string(json.substr(from, to - from)) : std::string();
}

}  // namespace cobaltshift::config
