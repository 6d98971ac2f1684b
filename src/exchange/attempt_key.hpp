// Identifies one attempt of a request, between the code that requests it, sends it and handles its end.
#pragma once

#include <compare>
#include <cstdint>

#include "module.hpp"

namespace cobaltshift {

struct AttemptKey {
    RequestId id = 0;
    std::uint32_t attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
};

}  // namespace cobaltshift
