#include "settings_file/settings_file.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <set>

namespace cobaltshift {

namespace {

using boost::asio::ip::tcp;

// One table of the file. Each key asked for is known from then on; done() complains of the others.
class Section {
public:
    Section(const toml::table& table, std::string name, const std::string& file)
        : table_(table), name_(std::move(name)), file_(file) {}

    // Leaves `value` as it is where the key is missing.
    void number(const char* key, double& value, double least, double most) {
        const toml::node* node = find(key);
        if (!node) return;
        const auto given = node->value<double>();
        if (!given || node->is_boolean()) fail(*node, key, "is not a number");
        if (!std::isfinite(*given) || *given < least || *given > most)
            fail(*node, key, "is not between " + shown(least) + " and " + shown(most));
        value = *given;
    }
    template <class Count>
    void count(const char* key, Count& value, double least, double most) {
        const toml::node* node = find(key);
        if (!node) return;
        const auto given = node->value_exact<std::int64_t>();
        if (!given) fail(*node, key, "is not a whole number");
        if (static_cast<double>(*given) < least || static_cast<double>(*given) > most)
            fail(*node, key, "is not between " + shown(least) + " and " + shown(most));
        value = static_cast<Count>(*given);
    }
    void text(const char* key, std::string& value) {
        if (const toml::node* node = find(key)) value = text_of(*node, key);
    }
    void endpoint(const char* key, tcp::endpoint& value) {
        if (const toml::node* node = find(key)) value = endpoint_of(*node, key);
    }
    void endpoints(const char* key, std::vector<tcp::endpoint>& values, std::size_t most) {
        const toml::node* node = find(key);
        if (!node) return;
        if (!node->is_array()) fail(*node, key, "is not a list");
        for (const toml::node& one : *node->as_array()) values.push_back(endpoint_of(one, key));
        if (values.size() > most) fail(*node, key, "has more than " + std::to_string(most) + " entries");
        for (std::size_t i = 0; i < values.size(); ++i)
            if (std::find(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(i), values[i]) !=
                values.begin() + static_cast<std::ptrdiff_t>(i))
                fail(*node, key, "names an address twice");
    }
    bool has(const char* key) { return find(key) != nullptr; }
    void need(const char* key) {
        if (!find(key)) throw SettingsError(file_ + ": " + name_ + "." + key + " is missing");
    }
    Section section(const char* key) {
        static const toml::table none;
        const toml::node* node = find(key);
        if (!node) return {none, key, file_};
        if (!node->is_table()) fail(*node, key, "is not a table");
        return {*node->as_table(), key, file_};
    }
    void done() const {
        for (const auto& [key, node] : table_)
            if (!known_.count(std::string(key.str()))) fail(node, std::string(key.str()), "is not known");
    }

private:
    const toml::node* find(const char* key) {
        known_.insert(key);
        return table_.get(key);
    }
    std::string text_of(const toml::node& node, const char* key) const {
        const auto given = node.value<std::string>();
        if (!given) fail(node, key, "is not a text");
        return *given;
    }
    // ADDRESS:PORT in numbers: names are not looked up.
    tcp::endpoint endpoint_of(const toml::node& node, const char* key) const {
        const std::string given = text_of(node, key);
        const auto colon = given.rfind(':');
        std::string host = given.substr(0, colon);
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            host = host.substr(1, host.size() - 2);
        unsigned port = 70000;
        if (colon != std::string::npos) {
            const char *from = given.data() + colon + 1, *to = given.data() + given.size();
            if (const auto parsed = std::from_chars(from, to, port); from == to || parsed.ptr != to)
                port = 70000;
        }
        boost::system::error_code ec;
        const auto address = boost::asio::ip::make_address(host, ec);
        if (ec || port > 65535) fail(node, key, "is not address:port");
        return {address, static_cast<unsigned short>(port)};
    }
    static std::string shown(double value) {
        std::ostringstream text;
        text << value;
        return text.str();
    }
    [[noreturn]] void fail(const toml::node& node, const std::string& key, const std::string& what) const {
        throw SettingsError(file_ + ":" + std::to_string(node.source().begin.line) + ": " +
                            (name_.empty() ? "" : name_ + ".") + key + " " + what);
    }

    const toml::table& table_;
    std::string name_;
    const std::string& file_;
    std::set<std::string> known_;
};

}  // namespace

ProgramSettings read_settings(const std::string& text, const std::string& file) {
    ProgramSettings settings;
    toml::table table;
    try {
        table = toml::parse(text, file);
    } catch (const toml::parse_error& error) {
        throw SettingsError(file + ":" + std::to_string(error.source().begin.line) + ": " +
                            std::string(error.description()));
    }
    Section root(table, "", file);
    Section shares = root.section("shares");
    shares.number("client_descriptors", settings.shares.client_descriptors, 0.1, 0.9);
    shares.number("clients_hold", settings.shares.clients_hold, 0.05, 1);
    shares.number("body_memory", settings.shares.body_memory, 0.01, 0.25);
    shares.done();
    Section plan = root.section("plan");
    plan.endpoints("planners", settings.plan.planners, plan::kMaxPlanners);
    plan.number("report_ms", settings.plan.report, 100, 60000);
    plan.number("wait_ms", settings.plan.wait, 100, 20000);
    plan.text("secret_file", settings.plan.secret_file);
    plan.done();
    if (root.has("planner")) {
        plan::ServerSettings& s = settings.planner.emplace();
        Section planner = root.section("planner");
        planner.need("listen"), planner.endpoint("listen", s.listen);
        planner.need("discovery"), planner.endpoint("discovery", s.discovery);
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
        planner.number("cold_from", s.core.cold_from, 0, 1);
        planner.number("warm_within_ms", s.core.warm_within, 0, 3600000);
        planner.number("fall_multiple", s.core.fall_multiple, 1, 100);
        planner.count("forwarders", s.core.forwarders, 1, 100000);
        planner.count("connections", s.connections, 1, 1000000);
        planner.text("state_folder", s.state_folder);
        planner.text("secret_file", s.secret_file);
        planner.done();
    }
    root.done();
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
