// The command line. `cobaltshift [serve]` runs one sidecar, `cobaltshift planner` a planner for a fleet of
// sidecars; `keeper` and `lease` are in lease_cli.hpp, `site` in site_cli.hpp. Exit codes: 0 stopped as
// requested, 1 failed to start or run, 2 invalid usage, configuration or settings.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <sstream>

#include "lease_cli.hpp"
#include "log/log.hpp"
#include "metrics_io/endpoint.hpp"
#include "net/node.hpp"
#include "plan_io/advised.hpp"
#include "plan_io/planner_node.hpp"
#include "probing_io/shared_probing.hpp"
#include "settings_file/settings_file.hpp"
#include "site_cli.hpp"

namespace {

using namespace cobaltshift;

// Loads the settings, or the defaults without a file, and sets the log format.
ProgramSettings settings_of(const std::string& file) {
    ProgramSettings settings = file.empty() ? ProgramSettings() : load_settings(file);
    set_log_format(settings.log);
    return settings;
}

// Runs the event loop. An exception in one handler, such as a failed allocation, must not end all other
// requests.
void run(asio::io_context& io) {
    while (!io.stopped()) {
        try {
            io.run();
        } catch (const std::exception& error) {
            log_line("handler.failed", std::string("a handler failed: ") + error.what());
        }
    }
}

void serve(const std::string& settings_file) {
    asio::io_context io(1);
    // Registered before everything else: a signal without a handler kills the process.
    asio::signal_set stop(io, SIGTERM, SIGINT), reload(io, SIGHUP);
    const ProgramSettings first = settings_of(settings_file);
    Node node(io, load_config(), first.shares);
    std::unique_ptr<plan::PlanAgent> advised;
    const auto start_advice = [&](const plan::ClientSettings& settings) {
        advised.reset();
        if (!settings.planners.empty())
            advised =
                std::make_unique<plan::PlanAgent>(io, node.clock(), node.sidecar(), node.config(), settings);
    };
    start_advice(first.plan);
    std::unique_ptr<probing::SharedProbing> probing;
    const auto start_probing = [&](const ProgramSettings& settings) {
        probing.reset();
        if (!settings.probing.instances.empty())
            probing = std::make_unique<probing::SharedProbing>(
                io, node.clock(), node.sidecar(), node.config(), settings.keepers, settings.probing);
    };
    start_probing(first);
    ProgramSettings in_force = first;
    std::unique_ptr<MetricsEndpoint> metrics;
    if (first.metrics)
        metrics = std::make_unique<MetricsEndpoint>(io, *first.metrics, [&] {
            MetricsText text;
            node.sidecar().metrics(text);
            if (probing) probing->metrics(text);
            return text.text();
        });
    stop.async_wait([&](error_code ec, int) {
        if (ec) return;
        if (probing) probing->stop(), log_line("probing", probing->tally());
        node.stop([&] { io.stop(); });
    });
    // Everything is read before anything is changed: if one file is invalid, neither file takes effect.
    const std::function<void(error_code, int)> on_reload = [&](error_code ec, int) {
        if (ec) return;
        reload.async_wait(on_reload);
        try {
            const ProgramSettings settings = settings_of(settings_file);
            plan::Secret::from_file(settings.plan.secret_file);
            plan::Secret::from_file(settings.keepers.secret_file);
            node.reload(settings.shares);
            start_advice(settings.plan);
            // Shared probing is restarted, and with it its leases are released, only if its own settings
            // changed.
            if (settings.probing != in_force.probing || settings.keepers != in_force.keepers) try {
                    start_probing(settings);
                } catch (const boost::system::system_error& error) {
                    log_line("probing.off",
                             std::string("shared probing is disabled, it can't bind: ") + error.what());
                }
            in_force = settings;
        } catch (const std::exception& error) {
            log_line("reload.refused", std::string("the old configuration stays in force: ") + error.what());
        }
    };
    reload.async_wait(on_reload);
    run(io);
}

int run_planner(const std::string& settings_file) {
    const ProgramSettings settings = settings_of(settings_file);
    if (!settings.planner) throw SettingsError(settings_file + ": planner is missing");
    asio::io_context io(1);
    asio::signal_set stop(io, SIGTERM, SIGINT);
    plan::PlannerNode node(io, *settings.planner);
    stop.async_wait([&](error_code ec, int) {
        if (ec) return;
        node.stop();
        io.stop();
    });
    std::ostringstream address;
    address << node.endpoint();
    log_line("listens", "listens on " + address.str(), {{"address", address.str()}});
    run(io);
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);  // the reader of the log may exit; the sidecar continues
    CLI::App app("A sidecar load balancer", "cobaltshift");
    app.set_version_flag("--version", "cobaltshift " COBALTSHIFT_VERSION);
    app.require_subcommand(0, 1);
    std::string settings_file;
    app.add_option("--settings", settings_file,
                   "settings file (TOML); without it all optional features are off");
    CLI::App* sidecar =
        app.add_subcommand("serve", "run one sidecar, configured by NODE_CONFIG (the default)");
    sidecar->add_option("--settings", settings_file, "as above");
    CLI::App* planner = app.add_subcommand("planner", "run a planner that advises the forwarders of a fleet");
    planner->add_option("--settings", settings_file, "as above; requires the table [planner]")->required();
    LeaseCli lease(app, settings_file);
    SiteCli site(app, settings_file);
    try {
        app.parse(LeaseCli::words(argc, argv));
    } catch (const CLI::Success& success) {  // --help, --version
        return app.exit(success);
    } catch (const CLI::ParseError& error) {
        std::cerr << "cobaltshift: " << error.what() << '\n';
        return 2;
    }
    try {
        if (planner->parsed()) return run_planner(settings_file);
        if (lease.parsed()) return lease.run();
        if (site.parsed()) return site.run();
        serve(settings_file);
    } catch (const ConfigError& error) {
        std::cerr << "cobaltshift: " << error.what() << '\n';
        return 2;
    } catch (const plan::SecretError& error) {
        std::cerr << "cobaltshift: settings: " << error.what() << '\n';
        return 2;
    } catch (const SettingsError& error) {
        std::cerr << "cobaltshift: settings: " << error.what() << '\n';
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "cobaltshift: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
