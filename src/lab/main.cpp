// cobaltshift-lab: measurements and small fleets on loopback addresses. Exit codes: 0 all bounds hold, 1 one
// falls short, 2 bad usage.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

#include "lab/check_control.hpp"
#include "lab/check_lease.hpp"
#include "lab/control_world.hpp"
#include "lab/cost.hpp"
#include "lab/demo.hpp"
#include "lab/experiment.hpp"
#include "lab/lease_fleet.hpp"
#include "lab/load_command.hpp"
#include "lab/report.hpp"
#include "lab/request_world.hpp"
#include "lab/scenario.hpp"
#include "lab/sim_world.hpp"

namespace {

int measured(const cobaltshift::lab::Result& result, const std::string& file) {
    std::cout << result.text();
    if (!file.empty() && !(std::ofstream(file) << result.json().dump(2) << '\n')) {
        std::cerr << "cobaltshift-lab: " << file << " can't be written\n";
        return 2;
    }
    return result.holds() ? 0 : 1;
}

// `load`: a file, or targets with the usual options.
struct LoadCommand {
    std::string config;
    std::vector<std::string> targets;
    std::vector<double> rates{100};
    double seconds = 10;
    std::size_t connections = 0;
    std::uint64_t seed = 1;
    bool verify = false;

    void options(CLI::App& app) {
        auto* urls = app.add_option("URL", targets, "http://ADDRESS:PORT/PATH; addresses in numbers");
        app.add_option("--config", config, "a file that says all (docs/operate/lab.md)")->excludes(urls);
        app.add_option("--rate", rates, "first tries a second; several, by commas: steps")
            ->delimiter(',')
            ->check(CLI::Range(0.001, cobaltshift::lab::LoadPlan::kMostRate));
        app.add_option("--seconds", seconds, "of each step")->check(CLI::Range(0.1, 86400.0));
        app.add_option("--connections", connections, "at a time; 0: as many as it takes")
            ->check(CLI::Range(0, 100000));
        app.add_option("--seed", seed, "of all that is drawn");
        app.add_flag("--verify", verify, "a 200 must hold the target that was asked for");
    }
    int run(const std::function<int(const cobaltshift::lab::Result&)>& measured) const {
        using namespace cobaltshift::lab;
        LoadPlan plan;
        try {
            if (!config.empty()) {
                std::ifstream in(config);
                if (!in) throw cobaltshift::SettingsError(config + " can't be read");
                plan = read_load_plan(std::string(std::istreambuf_iterator<char>(in), {}), config);
            } else {
                if (targets.empty()) throw cobaltshift::SettingsError("load needs a URL or --config");
                std::string path;
                for (const std::string& url : targets) plan.targets.push_back(target_of(url, path));
                plan.steps.clear();
                for (const double rate : rates) plan.steps.push_back({rate, seconds * 1000});
                plan.options.connections = connections;
                plan.options.seed = seed;
                plan.options.verify = verify;
                if (!path.empty())
                    plan.options.classes = {{"all", ClassLoad::Effect::safe, 1, 200, 1000, path}};
            }
        } catch (const std::exception& error) {
            std::cerr << "cobaltshift-lab: " << error.what() << '\n';
            return 2;
        }
        return measured(play_load(plan));
    }
};

}  // namespace

int main(int argc, char** argv) {
    using namespace cobaltshift::lab;
    CLI::App app("Measurements and small fleets on loopback addresses", "cobaltshift-lab");
    app.require_subcommand(1);
    Run run;
    std::string json;
    std::size_t servers = 12, forwarders = 4;
    const auto options = [&](CLI::App* command) {
        command->add_flag("--quick", run.quick, "a short form, within 45 s on two cores");
        command->add_option("--seed", run.seed, "of all that is drawn");
        command->add_option("--json", json, "writes the figures to this file");
    };
    CLI::App* list = app.add_subcommand("list", "lists the scenarios");
    CLI::App* show = app.add_subcommand("demo", "ten seconds: twelve servers, a crash and a cold return");
    options(show);
    CLI::App* serve = app.add_subcommand("up", "starts a fleet, prints its addresses, serves until SIGTERM");
    serve->add_option("--servers", servers)->check(CLI::Range(1, 200));
    serve->add_option("--forwarders", forwarders)->check(CLI::Range(1, 100));
    serve->add_option("--seed", run.seed);
    Replay again;
    CLI::App* replayed =
        app.add_subcommand("replay", "plays one day of the world and shows what broke a rule");
    replayed->add_option("SEED", again.seed, "of a drawn day");
    bool control_day = false;
    replayed->add_flag("--control", control_day, "the seed is of a day of the control plane");
    bool request_day = false;
    replayed->add_flag("--requests", request_day, "the seed is of a day of the data plane");
    replayed->add_flag("--lease", again.lease, "the seed is of a day of keepers and holders");
    replayed->add_option("--case", again.file, "plays the case in this file instead");
    replayed->add_flag("--all", again.all, "prints all that happens");
    replayed->add_flag("--shrink", again.shorten, "looks for a smaller case that breaks the same rule");
    replayed->add_option("--write", again.write, "writes the smaller case to this file");
    RunExperiment experiment;
    CLI::App* ran = app.add_subcommand("run", "plays an experiment file");
    ran->add_option("FILE", experiment.file)->required();
    ran->add_flag("--quick", experiment.quick, "on its few seeds");
    ran->add_option("--results", experiment.results, "JSON lines, appended to; goes on where they stop");
    std::string engine = "world";
    ran->add_option("--engine", engine, "world (virtual time) or sockets (real processes)")
        ->check(CLI::IsMember({"world", "sockets"}));
    ran->add_option("--jobs", experiment.jobs, "days at a time; else as many as cores")
        ->check(CLI::Range(1, 256));
    LoadCommand load;
    CLI::App* loaded = app.add_subcommand("load", "an open load on given targets, by steps of its rate");
    load.options(*loaded);
    loaded->add_option("--json", json, "writes the figures to this file");
    Report page;
    CLI::App* reported = app.add_subcommand("report", "a page of plots and tables from result files");
    reported->add_option("RESULTS", page.files)->required();
    reported->add_option("-o,--out", page.out, "writes the page, one HTML file, there");
    reported->add_flag("--text", page.text, "prints the tables");
    std::string before, after;
    CLI::App* compared =
        app.add_subcommand("compare", "which figures moved beyond their noise; 1 if for the worse");
    compared->add_option("BEFORE", before)->required();
    compared->add_option("AFTER", after)->required();
    std::string folder;
    CLI::App* recorded =
        app.add_subcommand("digests", "plays the kept days of a folder and records their digests");
    recorded->add_option("FOLDER", folder)->required();
    std::size_t requests = 1000;
    CLI::App* scripted =
        app.add_subcommand("cost-script", "requests one after another in one process, for callgrind");
    scripted->add_option("REQUESTS", requests)->check(CLI::Range(1, 10000000));
    std::string checked;
    CLI::App* checks = app.add_subcommand("check", "every schedule of a core's states with few deviations");
    checks->add_option("WHAT", checked, "lease or control")
        ->required()
        ->check(CLI::IsMember({"lease", "control"}));
    options(checks);
    Acting acting;
    CLI::App* acted = app.add_subcommand("act", "acts on a target under the right in its environment");
    acted->add_option("TARGET", acting.target, "address:port in numbers, for datagrams")->required();
    acted->add_option("--machine", acting.machine);
    acted->add_option("--settings", acting.settings, "of the keepers: it counts in the task's note as well");
    acted->add_option("--every", acting.every, "ms")->check(CLI::Range(0.1, 60000.0));
    acted->add_option("--for", acting.length, "ms; 0: until it is ended")->check(CLI::Range(0.0, 1e9));
    for (const Scenario& scenario : scenarios()) options(app.add_subcommand(scenario.name, scenario.about));
    try {
        app.parse(argc, argv);
    } catch (const CLI::Success& help) {
        return app.exit(help);
    } catch (const CLI::ParseError& error) {
        std::cerr << "cobaltshift-lab: " << error.what() << '\n';
        return 2;
    }
    try {
        if (list->parsed()) {
            for (const Scenario& scenario : scenarios())
                std::cout << scenario.name << "  " << scenario.about << '\n';
            return 0;
        }
        if (show->parsed()) return measured(demo(run), json);
        if (ran->parsed()) {
            experiment.sockets = engine == "sockets";
            experiment.progress = ::isatty(STDERR_FILENO) != 0;
            return run_experiment(experiment, std::cout, std::cerr);
        }
        if (reported->parsed()) {
            if (page.out.empty()) page.text = true;
            return report(page, std::cout, std::cerr);
        }
        if (loaded->parsed()) return load.run([&](const Result& result) { return measured(result, json); });
        if (recorded->parsed()) return digests(folder);
        if (checks->parsed())
            return measured(checked == "control" ? check_control(run) : check_lease(run), json);
        if (acted->parsed()) return acting.run();
        if (scripted->parsed()) return cost_script(requests);
        if (compared->parsed()) return compare(before, after, std::cout, std::cerr);
        if (replayed->parsed() && control_day) return replay_control_day(again.seed);
        if (replayed->parsed() && request_day) return replay_request_day(again.seed);
        if (replayed->parsed()) return replay(again);
        if (serve->parsed()) return up(servers, forwarders, run.seed);
        for (const Scenario& scenario : scenarios())
            if (app.got_subcommand(scenario.name)) return measured(scenario.run(run), json);
    } catch (const std::exception& error) {
        std::cerr << "cobaltshift-lab: " << error.what() << '\n';
        return 1;
    }
    return 2;
}
