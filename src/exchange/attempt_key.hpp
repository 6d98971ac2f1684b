// Names one attempt of a request: shared by those who ask for it, carry it and hear of its end.
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
