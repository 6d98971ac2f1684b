#include "site_cli.hpp"

#include <sodium.h>
#include <unistd.h>

#include <csignal>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "lease/codec.hpp"
#include "lease_io/ask.hpp"
#include "log/log.hpp"
#include "metrics_io/endpoint.hpp"
#include "site_io/lead_node.hpp"
#include "site_io/orders.hpp"
#include "site_io/plan_check.hpp"

namespace cobaltshift {

using nlohmann::json;

SiteCli::SiteCli(CLI::App& app, std::string& settings_file) : settings_file_(settings_file) {
    const auto common = [&](CLI::App* command) {
        command->add_option("--settings", settings_file_, "our own settings; [keepers] is needed")
            ->required();
        return command;
    };
    const auto asks = [&](CLI::App* command) {
        common(command)
            ->add_option("--within", within_, "for an answer")
            ->transform(CLI::AsNumberWithUnit(std::map<std::string, double>{{"ms", 1}, {"s", 1000}},
                                              CLI::AsNumberWithUnit::UNIT_REQUIRED, "DURATION"));
        return command;
    };
    site_ = app.add_subcommand("site", "the loss of whole sites: its plan, its states, the paced return");
    site_->require_subcommand(1);
    CLI::App* plan = site_->add_subcommand("plan", "where the load of a lost site goes");
    plan->require_subcommand(1);
    check_ = plan->add_subcommand(
        "check",
        "for each loss, with no traffic: where load goes, what is refused; 1 if a kept class would be");
    check_->add_option("FILE", file_, "sites, classes, demands, distances; TOML")->required();
    check_->add_flag("--pairs", pairs_, "the loss of two sites at once as well");
    check_->add_flag("--json", json_, "one JSON value instead of a table");
    lead_ = common(site_->add_subcommand("lead", "leads the sites' states and return, or stands by to"));
    lead_->add_option("--name", name_, "of this process, for people; else host and process id");
    status_ = asks(site_->add_subcommand("status", "the state of each site; 1 if no keeper answers"));
    status_->add_flag("--json", json_, "one JSON value instead of a table");
    drain_ = asks(site_->add_subcommand("drain", "a site's load is to go elsewhere until it is given back"));
    drain_->add_option("SITE", of_)->required();
    return_ = asks(site_->add_subcommand("return", "a drained site's load is to come back, step by step"));
    return_->add_option("SITE", of_)->required();
}

int SiteCli::run() {
    if (check_->parsed()) return check();
    settings_ = load_settings(settings_file_);
    set_log_format(settings_.log);
    if (settings_.keepers.keepers.empty())
        throw SettingsError(settings_file_ + ": keepers.addresses is missing");
    if (sodium_init() < 0) throw std::runtime_error("libsodium can't start");
    if (lead_->parsed()) return lead();
    if (status_->parsed()) return status();
    return order(drain_->parsed());
}

int SiteCli::check() {
    const site::PlanChecked checked = site::check_plan(site::load_plan(file_), pairs_);
    std::cout << (json_ ? checked.json.dump(2) + "\n" : checked.text);
    for (const std::string& line : checked.broken) std::cerr << "cobaltshift: " << line << '\n';
    return checked.broken.empty() ? 0 : 1;
}

int SiteCli::lead() {
    if (!settings_.site) throw SettingsError(settings_file_ + ": site is missing");
    if (name_.empty()) {
        char host[64] = "";
        ::gethostname(host, sizeof host - 1);
        name_ = std::string(host) + "/" + std::to_string(::getpid());
    }
    lease::asio::io_context io(1);
    lease::asio::signal_set stop(io, SIGTERM, SIGINT);
    site::LeadNode node(io, name_, settings_.keepers, settings_.probing, *settings_.site);
    stop.async_wait([&](lease::error_code ec, int) {
        if (!ec) node.stop([&] { io.stop(); });
    });
    std::unique_ptr<MetricsEndpoint> metrics;
    if (settings_.metrics)
        metrics = std::make_unique<MetricsEndpoint>(io, *settings_.metrics, [&node] {
            MetricsText text;
            node.metrics(text);
            return text.text();
        });
    std::ostringstream at;
    at << settings_.probing.listen;
    log_line("listens", "listens on " + at.str(), {{"address", at.str()}});
    io.run();
    return 0;
}

int SiteCli::status() {
    lease::Request q;
    q.kind = lease::Request::Kind::list;
    q.holder = q.number = 1;
    q.name = "operator";
    q.task = site::kLeadTask;
    std::string leader, note;
    const auto heard = lease::ask(
        settings_.keepers, lease::FrameKind::question, lease::encode(q),
        std::chrono::milliseconds(static_cast<long>(within_)),
        [&](std::uint32_t, lease::FrameKind kind, std::string_view payload) {
            std::string why;
            if (kind != lease::FrameKind::answer) return false;
            const auto answer = lease::decode_answer(payload, why);
            if (!answer || answer->kind != lease::Response::Kind::listed) return false;
            // TASK, holder, ..., note, by tabs.
            const std::string line = answer->text.substr(0, answer->text.find('\n'));
            if (!line.starts_with(site::kLeadTask + "\t")) return true;
            leader = line.substr(site::kLeadTask.size() + 1,
                                 line.find('\t', site::kLeadTask.size() + 1) - site::kLeadTask.size() - 1);
            note = line.substr(line.rfind('\t') + 1);
            return true;
        });
    if (!heard) {
        std::cerr << "cobaltshift: no keeper that leads answered within " << within_ / 1000 << " s\n";
        return 1;
    }
    const site::Book book = site::Book::read(note).value_or(site::Book{});
    if (json_) {
        json whole{{"leader", leader}, {"version", book.version}, {"sites", json::array()}};
        for (const auto& [name, is] : book.sites)
            whole["sites"].push_back({{"site", name},
                                      {"state", site::name_of(is.state)},
                                      {"step", is.step},
                                      {"losses", is.losses}});
        std::cout << whole.dump(2) << '\n';
        return 0;
    }
    std::cout << "led by " << (leader.empty() ? "nobody" : leader) << ", version " << book.version << '\n'
              << std::left << std::setw(32) << "site" << std::setw(12) << "state" << std::setw(6) << "step"
              << "losses of late\n";
    for (const auto& [name, is] : book.sites)
        std::cout << std::setw(32) << name << std::setw(12) << site::name_of(is.state) << std::setw(6)
                  << (is.state == site::State::returning ? std::to_string(is.step + 1) : "-") << is.losses
                  << '\n';
    return 0;
}

int SiteCli::order(bool drained) {
    if (!site::fit_for_a_site(of_)) {
        std::cerr << "cobaltshift: '" << of_ << "' can't be a site's name\n";
        return 2;
    }
    switch (site::order(settings_.keepers, of_, drained, within_)) {
        case site::Ordered::left:
            std::cout << of_ << (drained ? " is to be drained" : " is to come back") << '\n';
            return 0;
        case site::Ordered::held_by_another:
            std::cerr << "cobaltshift: another is leaving an order just now\n";
            return 75;
        case site::Ordered::not_left:
            std::cerr << "cobaltshift: no keeper that leads answered within " << within_ / 1000 << " s\n";
            return 1;
    }
    return 1;
}

}  // namespace cobaltshift
