// The program's own settings from a TOML file, for everything that the platform's configuration does not
// cover. Errors name file, line and key. Without a file the defaults apply and all optional features are off.
#pragma once

#include <optional>
#include <string>

#include "lease_io/settings.hpp"
#include "log/log.hpp"
#include "net/resource_shares.hpp"
#include "plan_io/settings.hpp"
#include "probing_io/settings.hpp"
#include "settings_file/error.hpp"
#include "site_io/settings.hpp"

namespace cobaltshift {

struct ProgramSettings {
    ResourceShares shares;
    LogFormat log = LogFormat::text;
    std::optional<boost::asio::ip::tcp::endpoint> metrics;  // address of the metrics endpoint; none: off
    plan::ClientSettings plan;
    std::optional<plan::ServerSettings> planner;  // set: a planner can be started
    lease::KeepersSettings keepers;               // without addresses: no leases can be requested
    probing::ProbingSettings probing;             // without instances: off
    std::optional<site::SiteSettings> site;       // set: a site leader can be started
    std::optional<lease::KeeperSettings> keeper;  // set: a keeper can be started
};

// Throw SettingsError if the file can't be read, is not TOML, or has an unknown key or a value of the wrong
// type or out of its range. `file`: its name for messages.
ProgramSettings read_settings(const std::string& text, const std::string& file);
ProgramSettings load_settings(const std::string& file);

}  // namespace cobaltshift
