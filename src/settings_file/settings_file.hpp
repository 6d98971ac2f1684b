// Our own settings, from a TOML file: what the platform's configuration does not say. Typed; every complaint
// names file, line and key. Without a file all is as the defaults here say, and all optional parts are off.
#pragma once

#include <optional>
#include <string>

#include "lease_io/settings.hpp"
#include "log/log.hpp"
#include "net/shares.hpp"
#include "plan_io/settings.hpp"
#include "probing_io/settings.hpp"
#include "settings_file/error.hpp"
#include "site_io/settings.hpp"

namespace cobaltshift {

struct ProgramSettings {
    Shares shares;
    LogFormat log = LogFormat::text;
    std::optional<boost::asio::ip::tcp::endpoint> metrics;  // where they are fetched; none: nowhere
    plan::ClientSettings plan;
    std::optional<plan::ServerSettings> planner;  // given: this file can start a planner
    lease::KeepersSettings keepers;               // none: no rights can be asked for
    probing::ProbingSettings probing;             // without instances: off
    std::optional<site::SiteSettings> site;       // given: this file can start one that leads sites
    std::optional<lease::KeeperSettings> keeper;  // given: this file can start a keeper
};

// Throws SettingsError: the file can't be read, is no TOML, or has a key unknown, of the wrong type or out of
// its range. `file` names it in complaints.
ProgramSettings read_settings(const std::string& text, const std::string& file);
ProgramSettings load_settings(const std::string& file);

}  // namespace cobaltshift
