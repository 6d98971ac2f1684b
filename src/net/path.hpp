// Spellings of a request's path that a server behind could read as another path than we do. The class, and so
// what may be repeated, is taken from the path's first segment: a server that resolved dot segments or
// decoded an encoded slash would run something else under it.
#pragma once

#include <string_view>

namespace cobaltshift {

// Why this target in origin form (RFC 9112 3.2.1) could mean another path: a fragment, a backslash, an empty
// or dot segment (with parameters too), a percent sign that encodes no byte, or encoded: a dot, slash,
// backslash, percent sign, control character or a byte of overlong UTF-8 (RFC 3629). Null: it means what it
// says. What follows the first '?' is not looked at but for '#'.
const char* path_fault(std::string_view target);

}  // namespace cobaltshift
