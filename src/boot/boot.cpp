#include "boot/boot.hpp"

#include <charconv>
#include <fstream>
#include <sstream>

namespace cobaltshift::boot {

namespace {

// The non-empty items of a comma-separated list.
std::vector<std::string> split_list(const std::string& text) {
    std::vector<std::string> found;
    std::istringstream in(text);
    for (std::string item; std::getline(in, item, ',');)
        if (!item.empty()) found.push_back(item);
    return found;
}

// The file's `key=value` lines; lines that start with '#' or have no '=' are ignored.
class Fields {
public:
    Fields(const std::string& text, std::string name) : name_(std::move(name)) {
        std::istringstream in(text);
        for (std::string line; std::getline(in, line);) {
            if (!line.empty() && line.back() == '\r') line.pop_back();
            const auto separator = line.find('=');
            if (separator != std::string::npos && line.front() != '#')
                values_[line.substr(0, separator)] = line.substr(separator + 1);
        }
    }
    [[noreturn]] void fail(const std::string& key, const std::string& why) const {
        throw BootError(name_ + ": " + key + ": " + why);
    }
    const std::map<std::string, std::string>& all() const { return values_; }
    std::string text(const std::string& key, const std::string& fallback = "") const {
        const auto at = values_.find(key);
        return at == values_.end() ? fallback : at->second;
    }
    std::string required(const std::string& key) const {
        const std::string value = text(key);
        if (value.empty()) fail(key, "is missing");
        return value;
    }
    double number_of(const std::string& key, const std::string& value) const {
        if (value == "true") return 1;
        if (value == "false") return 0;
        double number = 0;
        const auto end = value.data() + value.size();
        const auto parsed = std::from_chars(value.data(), end, number);
        if (parsed.ec != std::errc() || parsed.ptr != end) fail(key, "'" + value + "' is not a number");
        return number;
    }
    double number(const std::string& key, double fallback) const {
        const std::string value = text(key);
        return value.empty() ? fallback : number_of(key, value);
    }
    double within(const std::string& key, double fallback, double least, double most) const {
        const double value = number(key, fallback);
        if (!(value >= least && value <= most)) {
            std::ostringstream why;
            why << "'" << text(key) << "' is not between " << least << " and " << most;
            fail(key, why.str());
        }
        return value;
    }
    tcp::endpoint endpoint_of(const std::string& key, const std::string& value) const {
        const auto colon = value.rfind(':');
        error_code ec;
        const auto address = asio::ip::make_address_v4(value.substr(0, colon), ec);
        unsigned port = 0;
        const char *from = value.data() + (colon == std::string::npos ? value.size() : colon + 1),
                   *to = value.data() + value.size();
        const auto parsed = std::from_chars(from, to, port);
        if (ec || parsed.ec != std::errc() || parsed.ptr != to || port == 0 || port > 65535)
            fail(key, "'" + value + "' is not an IPv4 address and port");
        return {address, static_cast<std::uint16_t>(port)};
    }
    std::optional<tcp::endpoint> endpoint(const std::string& key) const {
        const std::string value = text(key);
        if (value.empty()) return {};
        return endpoint_of(key, value);
    }

private:
    std::string name_;
    std::map<std::string, std::string> values_;
};

}  // namespace

Boot parse_boot(const std::string& text, const std::string& name) {
    const Fields f(text, name);
    Boot b;
    b.node_name = f.required("node_name");
    b.role = f.text("role");
    b.machine_class = f.text("machine_class");
    b.ip = f.required("ip");
    error_code ec;
    asio::ip::make_address_v4(b.ip, ec);
    if (ec) f.fail("ip", "'" + b.ip + "' is not an IPv4 address");
    b.zone = f.required("zone");
    b.region = f.text("region");
    b.serves = split_list(f.text("serves"));
    for (const auto& [key, value] : f.all())
        if (key.starts_with("zones.")) b.zones[key.substr(6)] = value;
    b.inbound = f.endpoint("listen.inbound");
    b.outbound = f.endpoint("listen.outbound");
    b.readiness = f.endpoint("listen.readiness");
    b.control = f.endpoint("listen.control");
    const auto ports = split_list(f.required("internal_ports"));
    const auto port = [&](std::size_t i) {
        const double value = i < ports.size() ? f.number_of("internal_ports", ports[i]) : 0;
        if (!(value >= 1 && value <= 65535))
            f.fail("internal_ports", "must be two ports, the first and the last");
        return static_cast<std::uint16_t>(value);
    };
    b.first_port = port(0);
    b.last_port = port(1);
    if (b.last_port < b.first_port + 3) f.fail("internal_ports", "must span at least four ports");
    for (const std::string& seed : split_list(f.text("seed_nodes")))
        b.seeds.push_back(f.endpoint_of("seed_nodes", seed));
    b.first_boot = f.number("first_boot", 0) != 0;
    b.counted = f.number("counted", 0) != 0;
    b.data_dir = f.text("data_dir");
    b.heartbeat_s = f.within("heartbeat_s", 1.5, 0, 3600);
    b.cpu_share = f.within("limits.cpu_share", 1, 0, 1024);
    b.memory_mb = static_cast<std::size_t>(f.within("limits.memory_mb", 256, 1, 1 << 24));
    b.link_mbps = f.within("limits.link_mbps", 0, 0, 1e6);
    b.file_limit = static_cast<std::size_t>(f.within("limits.file_limit", 1024, 256, 1 << 24));
    for (const std::string& bound : split_list(f.text("bounds"))) {
        const auto separator = bound.find('=');
        if (separator == std::string::npos) f.fail("bounds", "'" + bound + "' is not name=value");
        b.bounds[bound.substr(0, separator)] = f.number_of("bounds", bound.substr(separator + 1));
    }
    b.app_address = f.endpoint("app_address");
    b.service = f.text("service");
    if (b.app_address && b.service.empty()) f.fail("service", "is required if app_address is set");
    return b;
}

Boot read_boot(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw BootError(path + ": can't be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_boot(text.str(), path);
}

}  // namespace cobaltshift::boot
