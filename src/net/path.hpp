// Detects request paths that a server could interpret differently from this proxy. The request class, and
// with it whether a request may be repeated, follows from the first path segment: a server that resolves dot
// segments or decodes an encoded slash would execute a request of another class.
#pragma once

#include <string_view>

namespace cobaltshift {

// The reason why a target in origin form (RFC 9112 3.2.1) is ambiguous, or null if it is not. Rejected are a
// fragment, a backslash, an empty or dot segment (also one with parameters), a percent sign that is not
// followed by two hex digits, and a percent-encoded dot, slash, backslash, percent sign, control character or
// byte of overlong UTF-8 (RFC 3629). The query is checked for '#' only.
const char* path_fault(std::string_view target);

}  // namespace cobaltshift
