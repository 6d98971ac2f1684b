#include "settings_file/settings_file.hpp"

#include <fstream>
#include <iterator>

#include "settings_file/section.hpp"

namespace cobaltshift {

namespace {

void read_keeper(Section& root, ProgramSettings& settings) {
    const auto& all = settings.keepers.keepers;
    lease::KeeperSettings& s = settings.keeper.emplace();
    raft::Settings& agreement = s.office.agree;
    Section keeper = root.section("keeper");
    if (all.size() % 2 == 0)
        keeper.fail_key("number", "needs an odd count of keepers.addresses, 3 or 5 best");
    keeper.require("number");
    keeper.count("number", agreement.number, 0, static_cast<double>(all.size() - 1));
    s.listen = all[agreement.number];
    keeper.endpoint("listen", s.listen);
    keeper.require("fleet"), keeper.text("fleet", s.fleet);
    if (s.fleet.empty()) keeper.fail_key("fleet", "is empty");
    keeper.require("folder"), keeper.text("folder", s.folder);
    keeper.number("heartbeat_ms", agreement.heartbeat, 10, 10000);
    keeper.number("election_ms", agreement.election, 50, 60000);
    if (agreement.election < 4 * agreement.heartbeat)
        keeper.fail_key("election_ms", "is under four times heartbeat_ms");
    keeper.number("drift", s.office.drift, 0, 0.2);
    keeper.number("waiter_silence_ms", s.office.waiter_silence, 1000, 600000);
    keeper.count("compact_after", s.office.compact_after, 16, 1000000);
    keeper.count("connections", s.connections, 16, 1000000);
    keeper.reject_unknown_keys();
}

void read_probing(Section& root, ProgramSettings& settings) {
    probing::ProbingSettings& s = settings.probing;
    Section probing = root.section("probing");
    std::vector<tcp::endpoint> instances;
    probing.require("instances"), probing.endpoints("instances", instances, probing::kMaxInstances);
    if (instances.empty()) probing.fail_key("instances", "is empty");
    for (const tcp::endpoint& at : instances) s.instances.emplace_back(at.address(), at.port());
    probing.require("number");
    probing.count("number", s.core.number, 0, static_cast<double>(instances.size() - 1));
    tcp::endpoint listen = instances[s.core.number];
    probing.endpoint("listen", listen);
    s.listen = {listen.address(), listen.port()};
    probing.count("shards", s.core.shards, 1, probing::kMaxShards);
    probing.number("interval_ms", s.core.interval, 1000, 3600000);
    probing.number("length_ms", s.length, lease::kMinLeaseLength, 900000);
    probing.number("probe_ms", s.core.probe, 10, 60000);
    probing.count("listeners", s.core.listeners, 0, static_cast<double>(instances.size() - 1));
    probing.count("stand_by", s.core.stand_by, 1, 16);
    probing.count("at_once", s.core.at_once, 1, 64);
    // The bounds on the number of probes rely on these relations (src/probing/prober.hpp,
    // docs/operate/probing.md).
    if (s.length > s.core.interval / 4) probing.fail_key("length_ms", "is over a quarter of interval_ms");
    if (s.core.probe + settings.keepers.margin > s.length / 2)
        probing.fail_key("probe_ms", "and keepers.margin_ms are together over half of length_ms");
    if (settings.keepers.keepers.empty()) probing.fail_key("instances", "needs keepers.addresses");
    probing.reject_unknown_keys();
}

void read_site(Section& root, ProgramSettings& settings) {
    site::SiteSettings& s = settings.site.emplace();
    Section site = root.section("site");
    site.require("discovery"), site.endpoint("discovery", s.discovery);
    site.number("length_ms", s.length, lease::kMinLeaseLength, lease::kMaxLeaseLength);
    site.number("look_ms", s.look, 20, 10000);
    site::WatchSettings& watch = s.lead.watch;
    site.number("suspect_ms", watch.suspect, 0, 600000);
    site.number("lose_ms", watch.lose, 0, 600000);
    site.number("recover_ms", watch.recover, 0, 600000);
    site.number("out_ms", watch.hold, 0, 3600000);
    site.number("longest_out_ms", watch.longest_hold, 0, 86400000);
    site.number("forgive_ms", watch.forgive, 0, 86400000);
    site.count("least_servers", watch.least, 1, 1000);
    site::PacedSettings& paced = s.lead.paced;
    if (site.has("steps")) paced.steps.clear(), site.numbers("steps", paced.steps, 50);
    site.number("hold_ms", paced.hold, 100, 3600000);
    site.count("least_probes", paced.least, 1, 1000000);
    if (const std::string wrong = complaint(paced); !wrong.empty())
        site.fail_key("steps", "make no sense: " + wrong);
    if (watch.lose < watch.suspect) site.fail_key("lose_ms", "is under suspect_ms");
    if (settings.probing.instances.empty())
        site.fail_key("discovery", "needs the table probing: what it goes by");
    const probing::ProberSettings& probing = settings.probing.core;
    if (probing.number + probing.listeners < settings.probing.instances.size())
        site.fail_key("discovery", "needs probing.number to be of one that only listens");
    if (s.length < 3 * settings.keepers.margin)
        site.fail_key("length_ms", "is under three times keepers.margin_ms");
    s.lead.verdict_life = 2.5 * probing.interval;
    site.reject_unknown_keys();
}

}  // namespace

ProgramSettings read_settings(const std::string& text, const std::string& file) {
    ProgramSettings settings;
    const toml::table table = parsed_toml(text, file);
    Section root(table, "", file);
    Section shares = root.section("shares");
    shares.number("client_descriptors", settings.shares.client_descriptors, 0.1, 0.9);
    shares.number("clients_hold", settings.shares.clients_hold, 0.05, 1);
    shares.number("body_memory", settings.shares.body_memory, 0.01, 0.25);
    shares.reject_unknown_keys();
    Section log = root.section("log");
    log.number("tally_s", settings.shares.tally_seconds, 0, 3600);
    std::string format = "text";
    log.text("format", format);
    if (format != "text" && format != "json") log.fail_key("format", "is neither text nor json");
    settings.log = format == "json" ? LogFormat::json : LogFormat::text;
    log.reject_unknown_keys();
    if (root.has("metrics")) {
        Section metrics = root.section("metrics");
        metrics.require("listen"), metrics.endpoint("listen", settings.metrics.emplace());
        metrics.reject_unknown_keys();
    }
    Section plan = root.section("plan");
    plan.endpoints("planners", settings.plan.planners, plan::kMaxPlanners);
    plan.number("report_ms", settings.plan.report, 100, 60000);
    plan.number("wait_ms", settings.plan.wait, 100, 20000);
    plan.text("secret_file", settings.plan.secret_file);
    plan.reject_unknown_keys();
    if (root.has("planner")) {
        plan::ServerSettings& s = settings.planner.emplace();
        Section planner = root.section("planner");
        planner.require("listen"), planner.endpoint("listen", s.listen);
        planner.require("discovery"), planner.endpoint("discovery", s.discovery);
        planner.count("number", s.core.number, 0, plan::kMaxPlanners - 1);
        planner.number("tick_ms", s.tick, 50, 10000);
        planner.number("life_ms", s.core.life, 1000, 30000);
        planner.number("forget_ms", s.core.forget, 1000, 600000);
        planner.number("backoff_ms", s.core.backoff, 1000, 600000);
        planner.number("trial_ms", s.core.trial_time, 100, 60000);
        planner.number("threshold", s.core.threshold, 0.1, 1);
        planner.count("window", s.core.window, 5, 1000);
        planner.number("removed_part", s.core.removed_part, 0, 0.5);
        planner.count("subset", s.core.subset, 0, plan::kMaxServers);
        planner.number("cold_from", s.core.cold_capacity, 0, 1);
        planner.number("warm_within_ms", s.core.warmup_time, 0, 3600000);
        planner.number("fall_multiple", s.core.overload_multiple, 1, 100);
        planner.count("forwarders", s.core.forwarders, 1, 100000);
        planner.count("connections", s.connections, 1, 1000000);
        planner.text("state_folder", s.state_folder);
        planner.text("secret_file", s.secret_file);
        planner.reject_unknown_keys();
    }
    Section keepers = root.section("keepers");
    keepers.endpoints("addresses", settings.keepers.keepers, raft::kMaxMembers);
    keepers.number("margin_ms", settings.keepers.margin, 1, 60000);
    keepers.text("secret_file", settings.keepers.secret_file);
    keepers.reject_unknown_keys();
    if (root.has("keeper")) read_keeper(root, settings);
    if (root.has("probing")) read_probing(root, settings);
    if (root.has("site")) read_site(root, settings);
    root.reject_unknown_keys();
    return settings;
}

ProgramSettings load_settings(const std::string& file) {
    std::ifstream in(file);
    if (!in) throw SettingsError(file + ": can't be read");
    const std::string text((std::istreambuf_iterator<char>(in)), {});
    if (in.bad()) throw SettingsError(file + ": can't be read");
    return read_settings(text, file);
}

}  // namespace cobaltshift
