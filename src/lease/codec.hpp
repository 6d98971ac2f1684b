// Questions, answers and operations as bytes: protozero, sealed like keepers' messages. Operations are not
// sealed by themselves: the log's records are.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "lease/types.hpp"

namespace cobaltshift::lease {

std::string encode(const Question& question);
std::string encode(const Answer& answer);
std::string encode(const Op& op);
// None: not one of these; `why` then says what is wrong.
std::optional<Question> decode_question(std::string_view bytes, std::string& why);
std::optional<Answer> decode_answer(std::string_view bytes, std::string& why);
std::optional<Op> decode_op(std::string_view bytes);

}  // namespace cobaltshift::lease
