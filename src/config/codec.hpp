// Binary form of configurations, in full or as the difference between two (see binary_io.hpp). Entries:
// encode(), decode(). Used by ConfigDistributor, the state machine and the simulator. Routes, services and
// other items are carried as the JSON texts that the operator sent and are validated again when decoded;
// arbitrary input never yields a configuration that is not valid.
#pragma once

#include "config/parse.hpp"

namespace cobaltshift::config {

constexpr std::size_t kMaxConfigurationBytes = 4 * 1024 * 1024;

std::string encode(const Configuration& configuration);
// The difference that turns `from` into `to`.
std::string encode_delta(const Configuration& from, const Configuration& to);
bool is_delta(std::string_view bytes);

// `base` is needed for a delta, and must have the edition that the delta starts from. Returns none with the
// reason in `error` if the bytes are invalid.
std::shared_ptr<const Configuration> decode(std::string_view bytes, const Configuration* base,
                                            std::string& error);

}  // namespace cobaltshift::config
