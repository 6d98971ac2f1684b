// What is wrong with a file of settings: its message names file, line and key.
#pragma once

#include <stdexcept>

namespace cobaltshift {

struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace cobaltshift
