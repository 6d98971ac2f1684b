#include "lab/load_command.hpp"

#include <algorithm>

#include "settings_file/section.hpp"

namespace cobaltshift::lab {

namespace {

constexpr Millis kMostLength = 24 * 3.6e6;

template <class Value>
void choice(Section& section, const char* key, Value& value,
            const std::vector<std::pair<std::string, Value>>& all) {
    std::string name;
    section.text(key, name);
    if (name.empty()) return;
    const auto at = std::find_if(all.begin(), all.end(), [&](const auto& one) { return one.first == name; });
    if (at == all.end()) section.fail_key(key, "is none of those that there are");
    value = at->second;
}

}  // namespace

tcp::endpoint target_of(const std::string& url, std::string& path) {
    std::string rest = url.starts_with("http://") ? url.substr(7) : url;
    const auto slash = rest.find('/');
    if (slash != std::string::npos && slash + 1 < rest.size()) path = rest.substr(slash);
    rest = rest.substr(0, slash);
    const toml::table table{{"target", rest}};
    const std::string file = "target '" + url + "'";
    Section section(table, "", file);
    tcp::endpoint at;
    section.endpoint("target", at);
    if (at.port() == 0) throw SettingsError(file + " has port 0");
    for (const char c : path)
        if (static_cast<unsigned char>(c) <= 0x20 || c == 0x7f || c == '?' || c == '#')
            throw SettingsError(file + " has a path with what can't be sent");
    return at;
}

LoadPlan read_load_plan(const std::string& text, const std::string& file) {
    LoadPlan plan;
    const toml::table table = parsed_toml(text, file);
    Section root(table, "", file);
    root.require("targets"), root.endpoints("targets", plan.targets, 1000);
    if (plan.targets.empty()) root.fail_key("targets", "has no entry");
    Load::Options& o = plan.options;
    root.count("seed", o.seed, 0, 1e15);
    root.count("connections", o.connections, 0, LoadPlan::kMostConnections);
    root.count("retries", o.retries, 0, 10);
    root.number("backoff_ms", o.backoff, 0, 60000);
    root.number("linger_ms", o.linger, 0, 600000);
    root.flag("verify", o.verify);
    root.number("stop_lost", o.stop_lost, 0, 1);
    root.text("host", o.host);
    choice<sim::Workload::Law>(root, "arrivals", o.workload.law,
                               {{"poisson", sim::Workload::Law::poisson},
                                {"even", sim::Workload::Law::even},
                                {"bursts", sim::Workload::Law::bursts},
                                {"daily", sim::Workload::Law::daily}});
    root.number("burst_every_ms", o.workload.burst_every, 1, 3.6e6);
    root.number("burst_length_ms", o.workload.burst_length, 1, 3.6e6);
    root.number("burst_multiple", o.workload.burst_multiple, 1, 1000);
    root.number("day_ms", o.workload.day_length, 100, kMostLength);
    root.number("depth", o.workload.depth, 0, 1);
    root.count("clients", o.workload.clients, 0, 1000000);
    root.number("zipf", o.workload.zipf, 0, 4);
    const auto steps = root.sections("step", 1000);
    if (!steps.empty()) plan.steps.clear();
    for (Section step : steps) {
        Load::Step one;
        step.require("rate"), step.number("rate", one.rate, 0.001, LoadPlan::kMostRate);
        double seconds = 10;
        step.number("seconds", seconds, 0.1, kMostLength / 1000);
        one.length = seconds * 1000;
        step.reject_unknown_keys();
        plan.steps.push_back(one);
    }
    auto classes = root.sections("class", 100);
    if (!classes.empty()) o.classes.clear();
    for (Section& section : classes) {
        ClassLoad one;
        section.require("name"), section.text("name", one.name);
        for (const ClassLoad& other : o.classes)
            if (other.name == one.name) section.fail_key("name", "is another class's already");
        choice<ClassLoad::Effect>(section, "effect", one.effect,
                                  {{"safe", ClassLoad::Effect::safe},
                                   {"keyed", ClassLoad::Effect::keyed},
                                   {"once", ClassLoad::Effect::once}});
        section.number("share", one.share, 0, 1e6);
        section.number("aim_ms", one.aim, 1, 600000);
        section.number("patience_ms", one.deadline, 1, 600000);
        section.text("path", one.path);
        if (!one.path.empty() &&
            (one.path[0] != '/' || one.path.find_first_of(" ?#\r\n\t") != std::string::npos))
            section.fail_key("path", "is no path that can be sent");
        if (one.path.empty() &&
            (one.name.empty() || one.name.find_first_of(" /?#%\r\n\t") != std::string::npos))
            section.fail_key("name", "can't stand in a path; say which with path");
        section.count("body_bytes", one.body_bytes, 0, 64 * 1024);
        section.reject_unknown_keys();
        o.classes.push_back(one);
    }
    double shares = 0;
    for (const ClassLoad& one : o.classes) shares += one.share;
    if (shares <= 0) root.fail_key("class", "has shares that sum to nothing");
    Section bound = root.section("bound");
    double value = 0;
    if (bound.has("in_time_share"))
        bound.number("in_time_share", value, 0, 1), plan.bounds.in_time_share = value;
    if (bound.has("p99_ms")) bound.number("p99_ms", value, 0, 1e6), plan.bounds.p99_ms = value;
    if (bound.has("wrong")) bound.number("wrong", value, 0, 1e12), plan.bounds.wrong = value;
    bound.reject_unknown_keys();
    root.reject_unknown_keys();
    return plan;
}

Result play_load(const LoadPlan& plan) {
    asio::io_context io(1);
    const Clock clock;
    Load load(io, clock, plan.options);
    for (std::size_t i = 0; i < plan.targets.size(); ++i) load.front(i, plan.targets[i]);
    asio::signal_set stop(io, SIGINT, SIGTERM);
    bool stopped = false;
    stop.async_wait([&](error_code ec, int) {
        if (!ec) stopped = true, io.stop();
    });
    load.when_over([&] { io.stop(); });
    load.run(plan.steps);
    io.run();

    Result result;
    result.columns({"step", "asked/s", "asked", "in time %", "late", "refused", "failed", "wrong",
                    "no answer", "p50 ms", "p90", "p99", "p99.9", "most", "tool late p99"});
    const auto row = [&](const std::string& name, const Tally& t, Millis length) {
        const auto count = [](std::size_t n) { return std::to_string(n); };
        const double asked = std::max<double>(1, static_cast<double>(t.asked));
        const auto time = [&](double p) {
            return t.times.count() > 0 ? shown(t.times.percentile(p), 2) : "-";
        };
        result.row({name, length > 0 ? shown(static_cast<double>(t.asked) / length * 1000, 1) : "",
                    count(t.asked), shown(100 * static_cast<double>(t.in_time) / asked, 3), count(t.late),
                    count(t.refused), count(t.failed - t.wrong), count(t.wrong), count(t.unanswered),
                    time(0.5), time(0.9), time(0.99), time(0.999), time(1),
                    t.lags.count() > 0 ? shown(t.lags.percentile(0.99), 2) : "-"});
    };
    for (std::size_t i = 0; i < load.steps().size(); ++i)
        row(shown(plan.steps[i].rate, 1) + "/s", load.steps()[i], plan.steps[i].length);
    const Tally all = load.all();
    if (load.steps().size() > 1) row("all", all, 0);
    for (const auto& [name, tally] : load.tallies()) row(name, tally, 0);
    if (load.stopped_early()) result.note("ended at a step in which too much was lost (stop_lost)");
    if (stopped) result.note("ended by a signal; what was still out is not counted");
    result.note("connections at a time, most: " + std::to_string(load.connections_peak()));
    result.figure("asked", static_cast<double>(all.asked));
    result.figure("p50 ms", all.times.percentile(0.5));
    result.figure("p99.9 ms", all.times.percentile(0.999));
    result.figure("no answer", static_cast<double>(all.unanswered));
    const auto bounded = [&](const char* name, double value, const std::optional<double>& bound, bool least) {
        if (!bound) return result.figure(name, value);
        least ? result.at_least(name, value, *bound) : result.at_most(name, value, *bound);
    };
    bounded("in time share", load.in_time(), plan.bounds.in_time_share, true);
    bounded("p99 ms", all.times.percentile(0.99), plan.bounds.p99_ms, false);
    bounded("wrong answers", static_cast<double>(all.wrong), plan.bounds.wrong, false);
    return result;
}

}  // namespace cobaltshift::lab
