// The command line of sites: `cobaltshift site plan check FILE`, `lead`, `status`, `drain`, `return`. Exit
// codes: 0 done, or all that is marked as kept is kept; 1 it would not be, or nobody answered; 75 another is
// leaving an order just now; 2 bad usage, settings or a file that makes no sense.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

#include "settings_file/settings_file.hpp"

namespace cobaltshift {

class SiteCli {
public:
    SiteCli(CLI::App& app, std::string& settings_file);
    bool parsed() const { return site_->parsed(); }
    int run();  // throws SettingsError, plan::SecretError

private:
    int check();
    int lead();
    int status();
    int order(bool drained);

    CLI::App *site_, *check_, *lead_, *status_, *drain_, *return_;
    std::string& settings_file_;
    std::string file_, name_, of_;
    ProgramSettings settings_;
    bool json_ = false, pairs_ = false;
    lease::Millis within_ = 5000;
};

}  // namespace cobaltshift
