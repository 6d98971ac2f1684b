// Binary encoding of reports and plans: one byte for kind and version, then varints (LEB128) and
// little-endian floats; see docs/design/plan.md. The decoder treats its input as hostile: every count is
// checked against its bound before memory is allocated for it, and trailing bytes are an error.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "plan/types.hpp"

namespace cobaltshift::plan {

// Maximum size of a message in bytes; decoders reject longer ones.
constexpr std::size_t kMaxMessage = 512 * 1024;

std::string encode(const Report& report);
std::string encode(const Plan& plan);

// Return nothing if the bytes are not a valid message of this kind; `why` then names the field at fault.
// Values that are encodable but invalid (NaN, negative) are decoded: Planner and Follower validate them.
std::optional<Report> decode_report(std::string_view bytes, std::string& why);
std::optional<Plan> decode_plan(std::string_view bytes, std::string& why);

}  // namespace cobaltshift::plan
