// Sends one request of a command-line tool to all replicas and waits for an accepted response. Entry: ask().
#pragma once

#include <optional>
#include <string>

#include "lease/types.hpp"
#include "lease_io/channel.hpp"
#include "lease_io/settings.hpp"

namespace cobaltshift::lease {

// Returns the payload of the first response for which `take` returns true, or nothing if there was none
// within `within`. `take` gets the replica's number, the frame's kind and the payload. Blocks; runs an event
// loop of its own. Throws plan::SecretError.
std::optional<std::string> ask(const KeepersSettings& settings, FrameKind kind, const std::string& payload,
                               std::chrono::milliseconds within,
                               const std::function<bool(std::uint32_t, FrameKind, std::string_view)>& take);

}  // namespace cobaltshift::lease
