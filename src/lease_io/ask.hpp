// One question of a person, put to the keepers in turn until one answers for the fleet. Entry: ask().
#pragma once

#include <optional>
#include <string>

#include "lease/types.hpp"
#include "lease_io/channel.hpp"
#include "lease_io/settings.hpp"

namespace cobaltshift::lease {

// The payload of the first answer that `take` takes, within `within`; none: nobody gave one. `take` is handed
// each answer and the number of the keeper that gave it.
std::optional<std::string> ask(const KeepersSettings& settings, FrameKind kind, const std::string& payload,
                               std::chrono::milliseconds within,
                               const std::function<bool(std::uint32_t, FrameKind, std::string_view)>& take);

}  // namespace cobaltshift::lease
