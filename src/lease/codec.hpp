// Binary encoding (protobuf wire format) of requests, responses and log operations. Requests and responses
// carry a checksum like the Raft messages; operations don't, because the log's records do.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "lease/types.hpp"

namespace cobaltshift::lease {

std::string encode(const Request& question);
std::string encode(const Response& answer);
std::string encode(const Op& op);
// Return nothing for bytes that can't be decoded or are out of bounds; `why` then describes the fault.
std::optional<Request> decode_question(std::string_view bytes, std::string& why);
std::optional<Response> decode_answer(std::string_view bytes, std::string& why);
// Returns nothing for bytes that can't be decoded.
std::optional<Op> decode_op(std::string_view bytes);

}  // namespace cobaltshift::lease
