// cobaltshift-lab: measurements and small fleets on loopback addresses. Exit codes: 0 all bounds hold, 1 one
// falls short, 2 bad usage.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "lab/demo.hpp"
#include "lab/experiment.hpp"
#include "lab/report.hpp"
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
        if (compared->parsed()) return compare(before, after, std::cout, std::cerr);
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
