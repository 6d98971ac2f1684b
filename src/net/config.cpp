#include "net/config.hpp"

#include <charconv>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>

#include "settings.hpp"

namespace cobaltshift {

namespace {

using nlohmann::json;

[[noreturn]] void fail(const std::string& field, const std::string& what) {
    throw ConfigError("configuration: " + field + " " + what);
}

// A JSON value with its path, which error messages name.
class Field {
public:
    Field(const json* value, std::string path) : value_(value), path_(std::move(path)) {}

    bool has(const std::string& name) const { return child(name).value_ != nullptr; }
    Field operator[](const std::string& name) const {
        Field f = child(name);
        if (!f.value_) fail(f.path_, "is missing");
        return f;
    }
    std::vector<Field> items() const {
        if (!value_->is_array()) fail(path_, "is not a list");
        std::vector<Field> all;
        for (std::size_t i = 0; i < value_->size(); ++i)
            all.emplace_back(&(*value_)[i], path_ + "[" + std::to_string(i) + "]");
        return all;
    }
    std::string text() const {
        if (!value_->is_string()) fail(path_, "is not a text");
        return value_->get<std::string>();
    }
    double number() const {
        if (!value_->is_number()) fail(path_, "is not a number");
        const double n = value_->get<double>();
        if (!std::isfinite(n)) fail(path_, "is not a finite number");
        return n;
    }
    double non_negative() const {
        const double n = number();
        if (n < 0) fail(path_, "is negative");
        return n;
    }
    template <class T = std::uint32_t>
    T whole_number() const {
        if (!value_->is_number_integer() ||
            (!value_->is_number_unsigned() && value_->get<std::int64_t>() < 0))
            fail(path_, "is not a whole number");
        const auto n = value_->get<std::uint64_t>();
        if (n > std::numeric_limits<T>::max()) fail(path_, "is too large");
        return static_cast<T>(n);
    }
    bool flag() const {
        if (!value_->is_boolean()) fail(path_, "is not true or false");
        return value_->get<bool>();
    }
    template <class Protocol>
    boost::asio::ip::basic_endpoint<Protocol> endpoint() const {
        return parse<Protocol>(text(), path_);
    }
    template <class T>
    T one_of(const std::vector<std::pair<const char*, T>>& names) const {
        const std::string word = text();
        for (const auto& [name, value] : names)
            if (word == name) return value;
        fail(path_, "is not a known word");
    }

    // "127.0.0.1:9000" or "[::1]:9000"
    template <class Protocol>
    static boost::asio::ip::basic_endpoint<Protocol> parse(const std::string& text, const std::string& path) {
        const auto colon = text.rfind(':');
        std::uint16_t port = 0;
        boost::system::error_code ec;
        std::string host = text.substr(0, colon);
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            host = host.substr(1, host.size() - 2);
        const auto address = boost::asio::ip::make_address(host, ec);
        const char* end = text.data() + text.size();
        if (ec || colon == std::string::npos || colon + 1 == text.size() ||
            !parse_port(text.data() + colon + 1, end, port))
            fail(path, "is not address:port");
        return {address, port};
    }

private:
    // Requires the whole text to be a port; from_chars consumes the digits of an out-of-range number too.
    static bool parse_port(const char* from, const char* end, std::uint16_t& port) {
        const auto read = std::from_chars(from, end, port);
        return read.ec == std::errc() && read.ptr == end;
    }
    Field child(const std::string& name) const {
        const std::string path = path_.empty() ? name : path_ + "." + name;
        if (!value_->is_object()) fail(path_.empty() ? "the file" : path_, "is not an object");
        const auto at = value_->find(name);
        return {at == value_->end() || at->is_null() ? nullptr : &*at, path};
    }
    const json* value_;
    std::string path_;
};

HostList hosts_at(const Field& field) {
    HostList list;
    list.seq = field["seq"].whole_number<std::uint64_t>();
    list.is_full = field["whole"].flag();
    for (const Field& item : field["hosts"].items()) {
        Host h;
        h.name = item["host"].text();
        h.phase = item["health"].one_of<Phase>(
            {{"SERVING", Phase::on}, {"DRAINING", Phase::draining}, {"DELETED", Phase::off}});
        // A deleted server needs no address.
        if (h.phase != Phase::off || item.has("dial")) h.dial = item["dial"].endpoint<tcp>();
        if (item.has("site")) h.zone = item["site"].text();
        if (item.has("block")) h.cell = item["block"].whole_number();
        if (item.has("born_ms")) h.born = item["born_ms"].number();
        if (item.has("share")) h.units = item["share"].number();
        list.hosts.push_back(std::move(h));
    }
    return list;
}

void read_settings(Config& c, const Field& root) {
    Settings& s = c.settings;
    if (root.has("azs"))
        for (const Field& zone : root["azs"].items()) c.zones.push_back(zone.text());
    if (root.has("my-zone")) s.my_zone = c.zone(root["my-zone"].text());
    c.longest_deadline = 0;
    for (const Field& item : root["classes"].items()) {
        RequestClass r;
        c.classes.push_back(item["name"].text());
        r.effect = item["effect"].one_of<Effect>(
            {{"repeatable", Effect::repeatable}, {"by_key", Effect::by_key}, {"once", Effect::once}});
        if (item.has("dedup-scope"))
            r.dedup_scope = item["dedup-scope"].one_of<DedupScope>(
                {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}});
        if (item.has("dedup-window-ms")) r.dedup_window = item["dedup-window-ms"].non_negative();
        r.latency_target = item["on-time-ms"].non_negative();
        if (item.has("aim-stretch")) r.latency_target_stretch = item["aim-stretch"].non_negative();
        if (item.has("credit")) r.worth = item["credit"].non_negative();
        if (item.has("late-value")) r.late_worth = item["late-value"].non_negative();
        const double give_up = item.has("give-up-ms") ? item["give-up-ms"].non_negative() : 3000;
        c.longest_deadline = std::max(c.longest_deadline, give_up);
        s.classes.push_back(r);
    }
    if (root.has("membership-mode"))
        s.subscribe_to_list = root["membership-mode"].one_of<bool>({{"pushed", false}, {"on_request", true}});
    if (root.has("siblings")) s.sidecar_count = root["siblings"].whole_number();
    if (root.has("my-number")) s.sidecar_index = root["my-number"].whole_number();
    s.may_cancel = false;
    if (root.has("limits")) {
        const Field limits = root["limits"];
        if (limits.has("max-attempts")) s.max_attempts = limits["max-attempts"].whole_number();
        if (limits.has("parallel-tries")) s.parallel_attempts = limits["parallel-tries"].flag();
        if (limits.has("may-cancel")) s.may_cancel = limits["may-cancel"].flag();
        if (limits.has("may-probe")) s.may_probe = limits["may-probe"].flag();
        if (limits.has("may-tell")) s.may_message_peers = limits["may-tell"].flag();
        if (limits.has("connect-timeout-ms")) c.connect_timeout = limits["connect-timeout-ms"].non_negative();
        if (limits.has("idle-close-ms")) c.idle_close = limits["idle-close-ms"].non_negative();
        if (limits.has("max-retry-after-ms")) c.max_retry_after = limits["max-retry-after-ms"].non_negative();
    }
    if (root.has("rules")) {
        const Field rules = root["rules"];
        if (rules.has("cold-from")) s.cold_capacity = rules["cold-from"].non_negative();
        if (rules.has("fall-multiple")) s.overload_multiple = rules["fall-multiple"].non_negative();
        if (rules.has("warm-within-ms")) s.warmup_time = rules["warm-within-ms"].non_negative();
    }
    if (root.has("fees")) {
        const Field fees = root["fees"];
        if (fees.has("cross-zone")) s.fees.cross_zone = fees["cross-zone"].non_negative();
        if (fees.has("peer")) s.fees.peer = fees["peer"].non_negative();
        if (fees.has("probe")) s.fees.probe = fees["probe"].non_negative();
        if (fees.has("handshake")) s.fees.handshake = fees["handshake"].non_negative();
    }
    if (root.has("tenants"))
        for (const Field& item : root["tenants"].items()) {
            c.tenants.push_back(item["name"].text());
            s.tenants.push_back({item.has("quota-per-s") ? item["quota-per-s"].non_negative() : 0});
        }
    if (root.has("over-share-worth")) s.over_quota_worth = root["over-share-worth"].non_negative();
    try {
        validate(s);
    } catch (const std::invalid_argument& error) {
        fail("settings", std::string("are refused: ") + error.what());
    }
}

json read_file() {
    const char* path = std::getenv("NODE_CONFIG");
    if (!path || !*path) fail("NODE_CONFIG", "is not set");
    std::ifstream file(path);
    if (!file) fail("NODE_CONFIG", "names a file that can't be read");
    json value = json::parse(file, nullptr, false);
    if (value.is_discarded()) fail("NODE_CONFIG", "names a file that is not JSON");
    return value;
}

}  // namespace

ZoneId Config::zone(const std::string& zone_name) {
    const auto at = std::find(zones.begin(), zones.end(), zone_name);
    const auto id = static_cast<ZoneId>(at - zones.begin());
    if (at == zones.end()) zones.push_back(zone_name);
    return id;
}

HostList read_hosts(const json& value) { return hosts_at(Field(&value, "")); }

Config read_config(const json& value) {
    const Field root(&value, "");
    Config c;
    c.name = root["name"].text();
    c.listen = root["listen"].endpoint<tcp>();
    c.discovery = root["discovery"].endpoint<tcp>();
    const std::string seed = root["seed"].text();
    const char* end = seed.data() + seed.size();
    const auto parsed = std::from_chars(seed.data(), end, c.seed, 16);
    if (seed.empty() || parsed.ptr != end || parsed.ec != std::errc()) fail("seed", "is not a hex number");
    if (root.has("limits") && root["limits"].has("sockets"))
        c.sockets = root["limits"]["sockets"].whole_number<std::size_t>();
    if (root.has("limits") && root["limits"].has("memory_mb"))
        c.memory_mb = static_cast<std::size_t>(root["limits"]["memory_mb"].non_negative());
    if (c.sockets < 64) fail("limits.sockets", "is under 64, too few to serve with");
    if (root.has("peer_listen")) c.peer_listen = root["peer_listen"].endpoint<udp>();
    if (root.has("peers"))
        for (const Field& peer : root["peers"].items()) c.peers.push_back(peer.endpoint<udp>());
    if (root.has("peers_all")) c.peers_all = root["peers_all"].endpoint<udp>();
    if (root.has("known")) c.known = hosts_at(root["known"]);
    read_settings(c, root["settings"]);
    return c;
}

Config load_config() {
    json value = read_file();
    if (value.is_object())
        for (const auto& [variable, field] :
             {std::pair{"NODE_NAME", "name"}, {"NODE_LISTEN", "listen"}, {"NODE_DISCOVERY", "discovery"}})
            if (const char* text = std::getenv(variable); text && *text) value[field] = text;
    return read_config(value);
}

tcp::endpoint reload_discovery() {
    const json value = read_file();
    return Field(&value, "")["discovery"].endpoint<tcp>();
}

}  // namespace cobaltshift
