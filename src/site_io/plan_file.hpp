// A fleet of sites from a TOML file, for `cobaltshift site plan check`. Every complaint names file, line and
// key. docs/operate/site.md has the form.
#pragma once

#include <string>

#include "settings_file/error.hpp"
#include "site/paced.hpp"
#include "site/spill.hpp"

namespace cobaltshift::site {

struct PlanFile {
    Fleet fleet;
    PacedSettings paced;
    Millis warmup_time = 0;  // of a server that has just started
};

// Throw SettingsError.
PlanFile read_plan(const std::string& text, const std::string& file);
PlanFile load_plan(const std::string& file);

}  // namespace cobaltshift::site
