// The command line of keepers and rights: `cobaltshift keeper`, `cobaltshift lease`. Entry type: LeaseCli.
// Exit codes as in main.cpp; those of `lease run` in lease_io/run_command.hpp.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

#include "lease_io/run_command.hpp"
#include "settings_file/settings_file.hpp"

namespace cobaltshift {

class LeaseCli {
public:
    LeaseCli(CLI::App& app, std::string& settings_file);
    bool parsed() const { return keeper_->parsed() || lease_->parsed(); }
    int run();

    // All words of the command line but the first, last first, as CLI11 takes them: those behind "--" are a
    // command's own and marked, since CLI11 would read `[a, b]` among them as a list. run() takes the mark
    // off.
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
    int run_under_right();
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
