// Configurations as bytes: whole, or what changed between two (cereal's portable binary, then XXH3 of it
// all). Entries: encode(), decode(). Called by the feed and the state machine. Items travel as the JSON texts
// that they were sent as and are checked again where they arrive; bytes that are no configuration make none,
// whatever they are.
#pragma once

#include "config/parse.hpp"

namespace cobaltshift::config {

constexpr std::size_t kMostConfigurationBytes = 4 * 1024 * 1024;

std::string encode(const Configuration& whole);
// What makes `to` of `from`.
std::string encode_delta(const Configuration& from, const Configuration& to);
bool is_delta(std::string_view bytes);

// `base`: of a delta; its edition must be the one that the delta is from. None: `why` says what is wrong.
std::shared_ptr<const Configuration> decode(std::string_view bytes, const Configuration* base,
                                            std::string& why);

}  // namespace cobaltshift::config
