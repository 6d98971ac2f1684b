// Command line of the lease service: `cobaltshift keeper` and `cobaltshift lease`. Entry type: LeaseCli.
// Exit codes as in main.cpp; those of `lease run` in lease_io/run_command.hpp.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

#include "lease_io/run_command.hpp"
#include "settings_file/settings_file.hpp"

namespace cobaltshift {

class LeaseCli {
public:
    // Adds the subcommands to `app`; both must outlive this object.
    LeaseCli(CLI::App& app, std::string& settings_file);
    bool parsed() const { return keeper_->parsed() || lease_->parsed(); }
    // Runs the parsed subcommand and returns the exit code. Throws SettingsError.
    int run();

    // The arguments without the program's name in reverse order, as CLI11 expects them. Arguments after "--"
    // belong to a command to be run; they get a prefix, because CLI11 would parse `[a, b]` among them as a
    // list. run() removes the prefix.
    static std::vector<std::string> words(int argc, const char* const* argv);

private:
    int keep();
    int found();
    int status();
    int remove();
    int add();
    int list(bool exactly_one);
    int revoke();
    int note();
    int run_with_lease();
    void need_keepers() const;

    std::string& file_;
    CLI::App *keeper_, *found_, *status_, *remove_, *add_;
    CLI::App *lease_, *run_, *list_, *show_, *revoke_, *note_;
    ProgramSettings settings_;
    std::uint32_t number_ = 0;
    std::string task_, text_;
    std::uint64_t fence_ = 0;
    bool json_ = false, no_wait_ = false;
    lease::Millis within_ = 5000;
    lease::RunCommand command_;
};

}  // namespace cobaltshift
