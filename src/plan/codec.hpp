// Reports and plans as bytes: a version, then varints (LEB128) and little-endian floats; see
// docs/design/plan.md. Decoding takes nothing on trust: every count is held against its bound before room is
// made for it, and bytes left over are a fault.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "plan/types.hpp"

namespace cobaltshift::plan {

// No message is longer, and none longer is decoded.
constexpr std::size_t kMaxMessage = 512 * 1024;

std::string encode(const Report& report);
std::string encode(const Plan& plan);

// None: not a message of this kind; `why` then names the field at fault. Figures that make no sense but can
// be written (NaN, negative) pass: whether they are taken is for Planner and Follower to say.
std::optional<Report> decode_report(std::string_view bytes, std::string& why);
std::optional<Plan> decode_plan(std::string_view bytes, std::string& why);

}  // namespace cobaltshift::plan
