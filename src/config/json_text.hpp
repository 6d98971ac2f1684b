// JSON as RFC 8259 has it and nothing beside it, which jsoncpp alone does not see to. Entries: read_json(),
// text_of(). Called by parse.cpp.
#pragma once

#include <json/json.h>

#include <string>
#include <string_view>

namespace cobaltshift::config {

// The whole text is one value: UTF-8, nothing after it, no key twice, no comments, no numbers that are none,
// not nested beyond 64. False: `why` says what is wrong. Never throws.
bool read_json(std::string_view json, Json::Value& value, std::string& why);

// A value as it stands in the text that it was read from.
std::string text_of(std::string_view json, const Json::Value& value);

}  // namespace cobaltshift::config
