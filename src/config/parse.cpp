#include "config/parse.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "config/json_text.hpp"

namespace cobaltshift::config {

namespace {

constexpr std::size_t kMaxComplaints = 50;
constexpr double kMaxNumber = 1e15;

struct Complaints {
    std::vector<std::string> all;
    void add(const std::string& path, const std::string& what) {
        if (all.size() < kMaxComplaints) all.push_back(path + ": " + what);
    }
};

bool parse(std::string_view json, const std::string& path, Json::Value& value, Complaints& complaints) {
    std::string error;
    if (read_json(json, value, error)) return true;
    complaints.add(path, "can't be read: " + error);
    return false;
}

// Reads the fields of a JSON object and reports the invalid ones.
class ObjectReader {
public:
    ObjectReader(const Json::Value& value, std::string path, Complaints& complaints)
        : value_(value), path_(std::move(path)), complaints_(complaints) {
        if (!value_.isObject()) complaints_.add(path_, "is no object");
    }
    bool is_object() const { return value_.isObject(); }
    const Json::Value* field(const char* key) const {
        return value_.isObject() && value_.isMember(key) ? &value_[key] : nullptr;
    }
    void complain(const char* key, const std::string& what) const {
        complaints_.add(path_ + "." + key, what);
    }
    std::string text(const char* key, bool required = true) const {
        const Json::Value* value = field(key);
        if (!value) {
            if (required && value_.isObject()) complain(key, "is missing");
            return {};
        }
        if (!value->isString() || value->asString().empty())
            return complain(key, "is no text"), std::string();
        return value->asString();
    }
    // A number within [minimum, maximum], else a complaint and `fallback`.
    double number(const char* key, bool required, double minimum, double maximum, double fallback = 0) const {
        const Json::Value* value = field(key);
        if (!value) {
            if (required && value_.isObject()) complain(key, "is missing");
            return fallback;
        }
        if (!value->isNumeric() || !std::isfinite(value->asDouble()))
            return complain(key, "is no number"), fallback;
        const double number = value->asDouble();
        if (number < minimum) return complain(key, "is below what is allowed"), fallback;
        if (number > maximum) return complain(key, "is over what is allowed"), fallback;
        return number;
    }
    double integer(const char* key, bool required, double minimum, double fallback = 0) const {
        const double number = this->number(key, required, minimum, kMaxNumber, fallback);
        if (number != std::floor(number)) return complain(key, "is no whole number"), fallback;
        return number;
    }

private:
    const Json::Value& value_;
    const std::string path_;
    Complaints& complaints_;
};

Route route_of(const std::string& name, const Json::Value& value, std::string text, Complaints& complaints) {
    const ObjectReader object(value, "routes." + name, complaints);
    Route route;
    route.name = name;
    route.text = std::move(text);
    if (!object.is_object()) return route;
    route.host = normalize_host(object.text("host"));
    route.path_prefix = object.text("path_prefix");
    if (!route.path_prefix.empty() && (route.path_prefix.front() != '/' || route.path_prefix.back() != '/'))
        object.complain("path_prefix", "doesn't begin and end with a slash");
    const std::string kind = object.text("route_kind");
    if (kind == "plain")
        route.kind = RouteKind::plain;
    else if (kind == "download")
        route.kind = RouteKind::download;
    else if (kind != "registered" && !kind.empty())
        object.complain("route_kind", "is none of plain, registered, download");
    route.deadline_ms = 1e3 * object.number("deadline_s", true, 0, kMaxDeadlineS, -1);
    if (route.deadline_ms == 0) object.complain("deadline_s", "is 0");
    route.target_ms = 1e3 * object.number("target_s", false, 0, kMaxNumber, route.deadline_ms / 1e3);
    route.priority = static_cast<int>(std::min(1e6, object.integer("priority", false, 0)));
    route.tries = static_cast<unsigned>(std::clamp(object.integer("tries", true, 0, 1), 1.0, 1e6));
    const Json::Value* split = object.field("split");
    if (!split || object.field("service")) route.split.push_back({object.text("service"), split ? 0.0 : 1.0});
    if (!split) return route;
    if (!split->isArray()) return object.complain("split", "is no list"), route;
    double total_weight = 0;
    for (Json::ArrayIndex i = 0; i < split->size(); ++i) {
        const ObjectReader share((*split)[i], "routes." + name + ".split." + std::to_string(i), complaints);
        route.split.push_back({share.text("service"), share.number("weight", true, 0, kMaxNumber)});
        total_weight += route.split.back().weight;
    }
    if (!(total_weight > 0)) object.complain("split", "has weights that add up to 0");
    return route;
}

Service service_of(const std::string& name, const Json::Value& value, std::string text,
                   Complaints& complaints) {
    const ObjectReader object(value, "services." + name, complaints);
    Service service;
    service.text = std::move(text);
    service.health_path = object.text("health_path");
    if (!service.health_path.empty() && service.health_path.front() != '/')
        object.complain("health_path", "doesn't begin with a slash");
    service.max_connections =
        static_cast<unsigned>(std::min(1e6, object.integer("max_connections", true, 0)));
    return service;
}

Limits limits_of(const Json::Value& value, std::string text, Complaints& complaints) {
    const ObjectReader object(value, "limits", complaints);
    Limits limits;
    limits.text = std::move(text);
    limits.max_header_bytes = static_cast<std::size_t>(object.integer("max_header_bytes", true, 0));
    limits.max_body_bytes = static_cast<std::size_t>(object.integer("max_body_bytes", true, 0));
    limits.header_read_ms = 1e3 * object.number("header_read_s", true, 0, kMaxNumber);
    limits.idle_timeout_ms = 1e3 * object.number("idle_timeout_s", true, 0, kMaxNumber);
    return limits;
}

Edition edition_of(const ObjectReader& object, Edition above) {
    const std::string text = object.text("edition");
    if (text.empty()) return 0;
    const auto edition = text.front() == 'r' ? parse_if_match(text) : std::nullopt;
    if (!edition || to_text(*edition) != text) return object.complain("edition", "is not r and a number"), 0;
    if (*edition <= above)
        object.complain("edition", text + " is not above " + to_text(above) + ", which is current");
    return *edition;
}

// Checks that involve more than one item.
void check_references(const Configuration& configuration, Complaints& complaints) {
    std::map<std::pair<std::string_view, std::string_view>, std::string_view> seen;
    for (const auto& [name, route] : configuration.routes) {
        for (const WeightedService& share : route.split)
            if (!share.service.empty() && !configuration.services.count(share.service))
                complaints.add("routes." + name,
                               "names the service '" + share.service + "', which there is not");
        const auto [at, inserted] =
            seen.emplace(std::pair(std::string_view(route.host), std::string_view(route.path_prefix)), name);
        if (!inserted && !route.host.empty() && !route.path_prefix.empty())
            complaints.add("routes." + name,
                           "has the host and prefix of route '" + std::string(at->second) + "'");
    }
}

Parsed validated(Configuration configuration, Complaints complaints) {
    check_references(configuration, complaints);
    if (!complaints.all.empty()) return {nullptr, std::move(complaints.all)};
    return {finalize(std::move(configuration)), {}};
}

void put_routes(Configuration& configuration, const Json::Value& table, std::string_view json,
                const std::string& path, Complaints& complaints) {
    if (!table.isObject()) return complaints.add(path, "is no table by name");
    for (auto at = table.begin(); at != table.end(); ++at)
        configuration.routes[at.name()] = route_of(at.name(), *at, text_of(json, *at), complaints);
}

void put_services(Configuration& configuration, const Json::Value& table, std::string_view json,
                  const std::string& path, Complaints& complaints) {
    if (!table.isObject()) return complaints.add(path, "is no table by name");
    for (auto at = table.begin(); at != table.end(); ++at)
        configuration.services[at.name()] = service_of(at.name(), *at, text_of(json, *at), complaints);
}

std::vector<std::string> names_of(const Json::Value& list, const std::string& path, Complaints& complaints) {
    std::vector<std::string> names;
    if (!list.isArray()) return complaints.add(path, "is no list of names"), names;
    for (const Json::Value& name : list)
        if (name.isString())
            names.push_back(name.asString());
        else
            complaints.add(path, "holds what is no name");
    return names;
}

// Applies a patch to an unknown table by name, so that tables of newer versions can be patched too.
void patch_unknown_field(std::string& text, const Json::Value* upsert,
                         const std::vector<std::string>& removed) {
    Complaints ignored;
    Json::Value table(Json::objectValue);
    if (!text.empty()) parse(text, "", table, ignored);
    if (!table.isObject()) return;
    for (const std::string& name : removed) table.removeMember(name);
    if (upsert && upsert->isObject())
        for (auto at = upsert->begin(); at != upsert->end(); ++at) table[at.name()] = *at;
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    text = Json::writeString(writer, table);
}

std::string quoted(const std::string& text) {
    if (text.find('\0') == std::string::npos) return Json::valueToQuotedString(text.c_str());
    Json::StreamWriterBuilder writer;
    return Json::writeString(writer, Json::Value(text));
}

template <class Map, class Text>
void write_table(std::string& out, const char* key, const Map& map, Text text) {
    out += std::string(",\"") + key + "\":{";
    bool first = true;
    for (const auto& [name, item] : map) {
        if (!std::exchange(first, false)) out += ',';
        out += quoted(name) + ':' + text(item);
    }
    out += '}';
}

}  // namespace

std::optional<Edition> parse_if_match(std::string_view text) {
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') text = text.substr(1, text.size() - 2);
    if (text.starts_with('r')) text.remove_prefix(1);
    Edition edition = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), edition);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return {};
    return edition;
}

std::string to_text(Edition edition) { return 'r' + std::to_string(edition); }

Parsed parse_configuration(std::string_view json, Edition above) {
    Complaints complaints;
    Json::Value root;
    if (!parse(json, "body", root, complaints)) return {nullptr, std::move(complaints.all)};
    const ObjectReader object(root, "body", complaints);
    if (!object.is_object()) return {nullptr, std::move(complaints.all)};
    Configuration configuration;
    configuration.edition = edition_of(object, above);
    for (const char* key : {"routes", "services", "limits"})
        if (!object.field(key)) object.complain(key, "is missing");
    if (const auto* routes = object.field("routes"))
        put_routes(configuration, *routes, json, "routes", complaints);
    if (const auto* services = object.field("services"))
        put_services(configuration, *services, json, "services", complaints);
    if (const auto* limits = object.field("limits"))
        configuration.limits = limits_of(*limits, text_of(json, *limits), complaints);
    for (auto at = root.begin(); at != root.end(); ++at)
        if (at.name() != "edition" && at.name() != "routes" && at.name() != "services" &&
            at.name() != "limits")
            configuration.unknown_fields[at.name()] = text_of(json, *at);
    return validated(std::move(configuration), std::move(complaints));
}

Parsed patch(const Configuration& base, std::string_view json) {
    Complaints complaints;
    Json::Value root;
    if (!parse(json, "body", root, complaints)) return {nullptr, std::move(complaints.all)};
    const ObjectReader object(root, "body", complaints);
    if (!object.is_object()) return {nullptr, std::move(complaints.all)};
    Configuration configuration = base;
    configuration.edition = edition_of(object, base.edition);
    std::map<std::string, std::vector<std::string>> removed;
    const auto *remove = object.field("remove"), *upsert = object.field("upsert");
    if (remove && !remove->isObject()) object.complain("remove", "is no object");
    if (upsert && !upsert->isObject()) object.complain("upsert", "is no object");
    if (remove && remove->isObject())
        for (auto at = remove->begin(); at != remove->end(); ++at)
            removed[at.name()] = names_of(*at, "remove." + at.name(), complaints);
    for (const std::string& name : removed["routes"]) configuration.routes.erase(name);
    for (const std::string& name : removed["services"]) configuration.services.erase(name);
    removed.erase("routes");
    removed.erase("services");
    const Json::Value* limits = object.field("limits");
    if (upsert && upsert->isObject())
        for (auto at = upsert->begin(); at != upsert->end(); ++at) {
            const std::string table = at.name();
            if (table == "routes")
                put_routes(configuration, *at, json, "upsert.routes", complaints);
            else if (table == "services")
                put_services(configuration, *at, json, "upsert.services", complaints);
            else if (table == "limits")
                limits = &*at;
            else
                patch_unknown_field(configuration.unknown_fields[table], &*at,
                                    std::exchange(removed[table], {}));
        }
    for (const auto& [table, names] : removed)
        if (!names.empty() && configuration.unknown_fields.count(table))
            patch_unknown_field(configuration.unknown_fields[table], nullptr, names);
    if (limits) configuration.limits = limits_of(*limits, text_of(json, *limits), complaints);
    return validated(std::move(configuration), std::move(complaints));
}

std::string to_json(const Configuration& configuration) {
    std::string out = "{\"edition\":\"" + to_text(configuration.edition) + '"';
    write_table(out, "routes", configuration.routes, [](const Route& route) { return route.text; });
    write_table(out, "services", configuration.services, [](const Service& service) { return service.text; });
    out += ",\"limits\":" + (configuration.limits.text.empty() ? "{}" : configuration.limits.text);
    for (const auto& [name, text] : configuration.unknown_fields) out += ',' + quoted(name) + ':' + text;
    return out + '}';
}

Parsed from_items(const Configuration* base, const ConfigurationItems& items) {
    Complaints complaints;
    Configuration configuration;
    if (base) configuration = *base;
    configuration.edition = items.edition;
    if (items.edition == 0 || (base && items.edition <= base->edition))
        complaints.add("edition", "is not above");
    for (const std::string& name : items.removed_routes) configuration.routes.erase(name);
    for (const std::string& name : items.removed_services) configuration.services.erase(name);
    for (const std::string& name : items.removed_unknown_fields) configuration.unknown_fields.erase(name);
    for (const auto& [name, text] : items.routes) {
        Json::Value value;
        if (parse(text, "routes." + name, value, complaints))
            configuration.routes[name] = route_of(name, value, text, complaints);
    }
    for (const auto& [name, text] : items.services) {
        Json::Value value;
        if (parse(text, "services." + name, value, complaints))
            configuration.services[name] = service_of(name, value, text, complaints);
    }
    for (const auto& [name, text] : items.unknown_fields) {
        Json::Value value;
        if (parse(text, name, value, complaints)) configuration.unknown_fields[name] = text;
    }
    if (!items.limits.empty() || !base) {
        Json::Value value;
        if (parse(items.limits, "limits", value, complaints))
            configuration.limits = limits_of(value, items.limits, complaints);
    }
    return validated(std::move(configuration), std::move(complaints));
}

}  // namespace cobaltshift::config
