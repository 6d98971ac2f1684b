#include "net/path.hpp"

#include <optional>

namespace cobaltshift {

namespace {

std::optional<int> hex_digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return {};
}

// Bytes that some decoders accept as part of an overlong encoding of ASCII: C0 and C1 always, a low
// continuation byte after E0 or F0. F5 and above never start a valid sequence.
bool is_overlong(int byte, int previous) {
    if (byte == 0xc0 || byte == 0xc1 || byte >= 0xf5) return true;
    return (previous == 0xe0 && byte >= 0x80 && byte < 0xa0) ||
           (previous == 0xf0 && byte >= 0x80 && byte < 0x90);
}

const char* segment_fault(std::string_view segment) {
    if (segment.empty()) return "an empty segment";
    int previous = 0;
    for (std::size_t i = 0; i < segment.size(); ++i) {
        int byte = static_cast<unsigned char>(segment[i]);
        if (byte == '\\') return "a backslash";
        if (byte == '%') {
            const auto high = i + 2 < segment.size() ? hex_digit(segment[i + 1]) : std::nullopt;
            const auto low = high ? hex_digit(segment[i + 2]) : std::nullopt;
            if (!low) return "a percent sign that encodes nothing";
            byte = *high * 16 + *low;
            i += 2;
            if (byte == '.' || byte == '/' || byte == '\\' || byte == '%')
                return "an encoded dot, slash, backslash or percent sign";
            if (byte < 0x20 || byte == 0x7f) return "an encoded control character";
            if (is_overlong(byte, previous)) return "overlong UTF-8";
        }
        previous = byte;
    }
    // Some servers strip parameters before they resolve dot segments.
    const std::string_view name = segment.substr(0, segment.find(';'));
    if (name == "." || name == "..") return "a dot segment";
    return nullptr;
}

}  // namespace

const char* path_fault(std::string_view target) {
    if (target.empty() || target.front() != '/') return "no absolute path";
    if (target.find('#') != std::string_view::npos) return "a fragment";
    std::string_view rest = target.substr(1, target.find('?') - 1);
    for (;;) {
        const auto end = rest.find('/');
        if (const char* fault = segment_fault(rest.substr(0, end))) return fault;
        if (end == std::string_view::npos) return nullptr;
        rest.remove_prefix(end + 1);
    }
}

}  // namespace cobaltshift
