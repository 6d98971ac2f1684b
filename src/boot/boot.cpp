#include "boot/boot.hpp"

#include <charconv>
#include <fstream>
#include <sstream>

namespace cobaltshift::boot {

namespace {

std::vector<std::string> items(const std::string& text) {
    std::vector<std::string> found;
    std::istringstream in(text);
    for (std::string item; std::getline(in, item, ',');)
        if (!item.empty()) found.push_back(item);
    return found;
}

class Fields {
public:
    Fields(const std::string& text, std::string name) : name_(std::move(name)) {
        std::istringstream in(text);
        for (std::string line; std::getline(in, line);) {
            if (!line.empty() && line.back() == '\r') line.pop_back();
            const auto sign = line.find('=');
            if (sign != std::string::npos && line.front() != '#')
                fields_[line.substr(0, sign)] = line.substr(sign + 1);
        }
    }
    [[noreturn]] void fail(const std::string& key, const std::string& why) const {
        throw BootError(name_ + ": " + key + ": " + why);
    }
    const std::map<std::string, std::string>& all() const { return fields_; }
    std::string text(const std::string& key, const std::string& otherwise = "") const {
        const auto at = fields_.find(key);
        return at == fields_.end() ? otherwise : at->second;
    }
    std::string needed(const std::string& key) const {
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
        if (parsed.ec != std::errc() || parsed.ptr != end) fail(key, "'" + value + "' is no number");
        return number;
    }
    double number(const std::string& key, double otherwise) const {
        const std::string value = text(key);
        return value.empty() ? otherwise : number_of(key, value);
    }
    double within(const std::string& key, double otherwise, double least, double most) const {
        const double value = number(key, otherwise);
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
            fail(key, "'" + value + "' is no address and port");
        return {address, static_cast<std::uint16_t>(port)};
    }
    std::optional<tcp::endpoint> endpoint(const std::string& key) const {
        const std::string value = text(key);
        if (value.empty()) return {};
        return endpoint_of(key, value);
    }

private:
    std::string name_;
    std::map<std::string, std::string> fields_;
};

}  // namespace

Boot parse_boot(const std::string& text, const std::string& name) {
    const Fields f(text, name);
    Boot b;
    b.node_name = f.needed("node_name");
    b.role = f.text("role");
    b.machine_class = f.text("machine_class");
    b.ip = f.needed("ip");
    error_code ec;
    asio::ip::make_address_v4(b.ip, ec);
    if (ec) f.fail("ip", "'" + b.ip + "' is no IPv4 address");
    b.zone = f.needed("zone");
    b.region = f.text("region");
    b.serves = items(f.text("serves"));
    for (const auto& [key, value] : f.all())
        if (key.starts_with("zones.")) b.zones[key.substr(6)] = value;
    b.inbound = f.endpoint("listen.inbound");
    b.outbound = f.endpoint("listen.outbound");
    b.readiness = f.endpoint("listen.readiness");
    b.control = f.endpoint("listen.control");
    const auto ports = items(f.needed("internal_ports"));
    const auto port = [&](std::size_t i) {
        const double value = i < ports.size() ? f.number_of("internal_ports", ports[i]) : 0;
        if (!(value >= 1 && value <= 65535)) f.fail("internal_ports", "two ports are wanted");
        return static_cast<std::uint16_t>(value);
    };
    b.first_port = port(0);
    b.last_port = port(1);
    if (b.last_port < b.first_port + 3) f.fail("internal_ports", "four ports at least are wanted");
    for (const std::string& seed : items(f.text("seed_nodes")))
        b.seeds.push_back(f.endpoint_of("seed_nodes", seed));
    b.first_boot = f.number("first_boot", 0) != 0;
    b.counted = f.number("counted", 0) != 0;
    b.data_dir = f.text("data_dir");
    b.heartbeat_s = f.within("heartbeat_s", 1.5, 0, 3600);
    b.cpu_share = f.within("limits.cpu_share", 1, 0, 1024);
    b.memory_mb = static_cast<std::size_t>(f.within("limits.memory_mb", 256, 1, 1 << 24));
    b.link_mbps = f.within("limits.link_mbps", 0, 0, 1e6);
    b.file_limit = static_cast<std::size_t>(f.within("limits.file_limit", 1024, 256, 1 << 24));
    for (const std::string& bound : items(f.text("bounds"))) {
        const auto sign = bound.find('=');
        if (sign == std::string::npos) f.fail("bounds", "'" + bound + "' is not name=value");
        b.bounds[bound.substr(0, sign)] = f.number_of("bounds", bound.substr(sign + 1));
    }
    b.app_address = f.endpoint("app_address");
    b.service = f.text("service");
    if (b.app_address && b.service.empty()) f.fail("service", "is missing, and app_address is there");
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
