// An invalid settings file; the message names file, line and key.
#pragma once

#include <stdexcept>

namespace cobaltshift {

struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace cobaltshift
