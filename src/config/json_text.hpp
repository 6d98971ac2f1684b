// Strict JSON (RFC 8259): rejects the deviations that jsoncpp alone would accept. Entries: read_json(),
// text_of(). Used by parse.cpp.
#pragma once

#include <json/json.h>

#include <string>
#include <string_view>

namespace cobaltshift::config {

// Values and keys of one text. A value is held as a tree node many times its size.
constexpr std::size_t kMaxJsonValues = 200'000;

// Reads a text that is a single JSON value: UTF-8, nothing but whitespace around it, no duplicate keys, no
// comments, no malformed numbers, nested at most 64 levels deep, kMaxJsonValues at most. Returns false with
// the reason in `error` otherwise. Does not throw.
bool read_json(std::string_view json, Json::Value& value, std::string& error);

// The part of `json` that `value` was read from, unchanged.
std::string text_of(std::string_view json, const Json::Value& value);

}  // namespace cobaltshift::config
