// Whose answer it is that has come on a connection in the place of a request's answer.
#pragma once

#include <cstdint>

namespace cobaltshift::exchange {

enum class AnswerOwner : std::uint8_t {
    this_request,     // it bears the request's id, or the protocol has no ids
    another_request,  // it bears another id
    unknown           // it bears none
};

}  // namespace cobaltshift::exchange
