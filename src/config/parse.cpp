#include "config/parse.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "config/json_text.hpp"

namespace cobaltshift::config {

namespace {

constexpr std::size_t kMostComplaints = 50;
constexpr double kMostNumber = 1e15;

struct Complaints {
    std::vector<std::string> all;
    void add(const std::string& place, const std::string& what) {
        if (all.size() < kMostComplaints) all.push_back(place + ": " + what);
    }
};

bool parse(std::string_view json, const std::string& place, Json::Value& value, Complaints& complaints) {
    std::string why;
    if (read_json(json, value, why)) return true;
    complaints.add(place, "can't be read: " + why);
    return false;
}

class Object {
public:
    Object(const Json::Value& value, std::string place, Complaints& complaints)
        : value_(value), place_(std::move(place)), complaints_(complaints) {
        if (!value_.isObject()) complaints_.add(place_, "is no object");
    }
    bool is_object() const { return value_.isObject(); }
    const Json::Value* field(const char* key) const {
        return value_.isObject() && value_.isMember(key) ? &value_[key] : nullptr;
    }
    void complain(const char* key, const std::string& what) const {
        complaints_.add(place_ + "." + key, what);
    }
    std::string text(const char* key, bool needed = true) const {
        const Json::Value* value = field(key);
        if (!value) {
            if (needed && value_.isObject()) complain(key, "is missing");
            return {};
        }
        if (!value->isString() || value->asString().empty())
            return complain(key, "is no text"), std::string();
        return value->asString();
    }
    // Within [least, most], else a complaint and `otherwise`.
    double number(const char* key, bool needed, double least, double most, double otherwise = 0) const {
        const Json::Value* value = field(key);
        if (!value) {
            if (needed && value_.isObject()) complain(key, "is missing");
            return otherwise;
        }
        if (!value->isNumeric() || !std::isfinite(value->asDouble()))
            return complain(key, "is no number"), otherwise;
        const double number = value->asDouble();
        if (number < least) return complain(key, "is below what is allowed"), otherwise;
        if (number > most) return complain(key, "is over what is allowed"), otherwise;
        return number;
    }
    double whole(const char* key, bool needed, double least, double otherwise = 0) const {
        const double number = this->number(key, needed, least, kMostNumber, otherwise);
        if (number != std::floor(number)) return complain(key, "is no whole number"), otherwise;
        return number;
    }

private:
    const Json::Value& value_;
    const std::string place_;
    Complaints& complaints_;
};

Route route_of(const std::string& name, const Json::Value& value, std::string text, Complaints& complaints) {
    const Object o(value, "routes." + name, complaints);
    Route route;
    route.name = name;
    route.text = std::move(text);
    if (!o.is_object()) return route;
    route.host = plain_host(o.text("host"));
    route.path_prefix = o.text("path_prefix");
    if (!route.path_prefix.empty() && (route.path_prefix.front() != '/' || route.path_prefix.back() != '/'))
        o.complain("path_prefix", "doesn't begin and end with a slash");
    const std::string kind = o.text("route_kind");
    if (kind == "plain")
        route.kind = RouteKind::plain;
    else if (kind == "download")
        route.kind = RouteKind::download;
    else if (kind != "registered" && !kind.empty())
        o.complain("route_kind", "is none of plain, registered, download");
    route.deadline_ms = 1e3 * o.number("deadline_s", true, 0, kLongestDeadlineS, -1);
    if (route.deadline_ms == 0) o.complain("deadline_s", "is 0");
    route.target_ms = 1e3 * o.number("target_s", false, 0, kMostNumber, route.deadline_ms / 1e3);
    route.priority = static_cast<int>(std::min(1e6, o.whole("priority", false, 0)));
    route.tries = static_cast<unsigned>(std::clamp(o.whole("tries", true, 0, 1), 1.0, 1e6));
    const Json::Value* split = o.field("split");
    if (!split || o.field("service")) route.split.push_back({o.text("service"), split ? 0.0 : 1.0});
    if (!split) return route;
    if (!split->isArray()) return o.complain("split", "is no list"), route;
    double sum = 0;
    for (Json::ArrayIndex i = 0; i < split->size(); ++i) {
        const Object share((*split)[i], "routes." + name + ".split." + std::to_string(i), complaints);
        route.split.push_back({share.text("service"), share.number("weight", true, 0, kMostNumber)});
        sum += route.split.back().weight;
    }
    if (!(sum > 0)) o.complain("split", "has weights that add up to 0");
    return route;
}

Service service_of(const std::string& name, const Json::Value& value, std::string text,
                   Complaints& complaints) {
    const Object o(value, "services." + name, complaints);
    Service service;
    service.text = std::move(text);
    service.health_path = o.text("health_path");
    if (!service.health_path.empty() && service.health_path.front() != '/')
        o.complain("health_path", "doesn't begin with a slash");
    service.max_connections = static_cast<unsigned>(std::min(1e6, o.whole("max_connections", true, 0)));
    return service;
}

Limits limits_of(const Json::Value& value, std::string text, Complaints& complaints) {
    const Object o(value, "limits", complaints);
    Limits limits;
    limits.text = std::move(text);
    limits.max_header_bytes = static_cast<std::size_t>(o.whole("max_header_bytes", true, 0));
    limits.max_body_bytes = static_cast<std::size_t>(o.whole("max_body_bytes", true, 0));
    limits.header_read_ms = 1e3 * o.number("header_read_s", true, 0, kMostNumber);
    limits.idle_timeout_ms = 1e3 * o.number("idle_timeout_s", true, 0, kMostNumber);
    return limits;
}

Edition edition_of(const Object& o, Edition above) {
    const std::string text = o.text("edition");
    if (text.empty()) return 0;
    const auto edition = text.front() == 'r' ? parse_if_match(text) : std::nullopt;
    if (!edition || to_text(*edition) != text) return o.complain("edition", "is not r and a number"), 0;
    if (*edition <= above)
        o.complain("edition", text + " is not above " + to_text(above) + ", which is current");
    return *edition;
}

// What concerns more than one item.
void check(const Configuration& t, Complaints& complaints) {
    std::map<std::pair<std::string_view, std::string_view>, std::string_view> taken;
    for (const auto& [name, route] : t.routes) {
        for (const Share& share : route.split)
            if (!share.service.empty() && !t.services.count(share.service))
                complaints.add("routes." + name,
                               "names the service '" + share.service + "', which there is not");
        const auto [at, fresh] =
            taken.emplace(std::pair(std::string_view(route.host), std::string_view(route.path_prefix)), name);
        if (!fresh && !route.host.empty() && !route.path_prefix.empty())
            complaints.add("routes." + name,
                           "has the host and prefix of route '" + std::string(at->second) + "'");
    }
}

Parsed finish(Configuration t, Complaints complaints) {
    check(t, complaints);
    if (!complaints.all.empty()) return {nullptr, std::move(complaints.all)};
    return {seal(std::move(t)), {}};
}

void put_routes(Configuration& t, const Json::Value& table, std::string_view json, const std::string& place,
                Complaints& complaints) {
    if (!table.isObject()) return complaints.add(place, "is no table by name");
    for (auto at = table.begin(); at != table.end(); ++at)
        t.routes[at.name()] = route_of(at.name(), *at, text_of(json, *at), complaints);
}

void put_services(Configuration& t, const Json::Value& table, std::string_view json, const std::string& place,
                  Complaints& complaints) {
    if (!table.isObject()) return complaints.add(place, "is no table by name");
    for (auto at = table.begin(); at != table.end(); ++at)
        t.services[at.name()] = service_of(at.name(), *at, text_of(json, *at), complaints);
}

std::vector<std::string> names_of(const Json::Value& list, const std::string& place, Complaints& complaints) {
    std::vector<std::string> names;
    if (!list.isArray()) return complaints.add(place, "is no list of names"), names;
    for (const Json::Value& name : list)
        if (name.isString())
            names.push_back(name.asString());
        else
            complaints.add(place, "holds what is no name");
    return names;
}

// A table that is not known here: altered by name all the same, so that it is read back as it was meant.
void alter_other(std::string& text, const Json::Value* upsert, const std::vector<std::string>& gone) {
    Complaints ignored;
    Json::Value table(Json::objectValue);
    if (!text.empty()) parse(text, "", table, ignored);
    if (!table.isObject()) return;
    for (const std::string& name : gone) table.removeMember(name);
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

Parsed read_whole(std::string_view json, Edition above) {
    Complaints complaints;
    Json::Value root;
    if (!parse(json, "body", root, complaints)) return {nullptr, std::move(complaints.all)};
    const Object o(root, "body", complaints);
    if (!o.is_object()) return {nullptr, std::move(complaints.all)};
    Configuration t;
    t.edition = edition_of(o, above);
    for (const char* key : {"routes", "services", "limits"})
        if (!o.field(key)) o.complain(key, "is missing");
    if (const auto* routes = o.field("routes")) put_routes(t, *routes, json, "routes", complaints);
    if (const auto* services = o.field("services")) put_services(t, *services, json, "services", complaints);
    if (const auto* limits = o.field("limits"))
        t.limits = limits_of(*limits, text_of(json, *limits), complaints);
    for (auto at = root.begin(); at != root.end(); ++at)
        if (at.name() != "edition" && at.name() != "routes" && at.name() != "services" &&
            at.name() != "limits")
            t.others[at.name()] = text_of(json, *at);
    return finish(std::move(t), std::move(complaints));
}

Parsed patch(const Configuration& base, std::string_view json) {
    Complaints complaints;
    Json::Value root;
    if (!parse(json, "body", root, complaints)) return {nullptr, std::move(complaints.all)};
    const Object o(root, "body", complaints);
    if (!o.is_object()) return {nullptr, std::move(complaints.all)};
    Configuration t = base;
    t.edition = edition_of(o, base.edition);
    std::map<std::string, std::vector<std::string>> gone;
    const auto *remove = o.field("remove"), *upsert = o.field("upsert");
    if (remove && !remove->isObject()) o.complain("remove", "is no object");
    if (upsert && !upsert->isObject()) o.complain("upsert", "is no object");
    if (remove && remove->isObject())
        for (auto at = remove->begin(); at != remove->end(); ++at)
            gone[at.name()] = names_of(*at, "remove." + at.name(), complaints);
    for (const std::string& name : gone["routes"]) t.routes.erase(name);
    for (const std::string& name : gone["services"]) t.services.erase(name);
    gone.erase("routes");
    gone.erase("services");
    const Json::Value* limits = o.field("limits");
    if (upsert && upsert->isObject())
        for (auto at = upsert->begin(); at != upsert->end(); ++at) {
            const std::string table = at.name();
            if (table == "routes")
                put_routes(t, *at, json, "upsert.routes", complaints);
            else if (table == "services")
                put_services(t, *at, json, "upsert.services", complaints);
            else if (table == "limits")
                limits = &*at;
            else
                alter_other(t.others[table], &*at, std::exchange(gone[table], {}));
        }
    for (const auto& [table, names] : gone)
        if (!names.empty() && t.others.count(table)) alter_other(t.others[table], nullptr, names);
    if (limits) t.limits = limits_of(*limits, text_of(json, *limits), complaints);
    return finish(std::move(t), std::move(complaints));
}

std::string to_json(const Configuration& t) {
    std::string out = "{\"edition\":\"" + to_text(t.edition) + '"';
    write_table(out, "routes", t.routes, [](const Route& route) { return route.text; });
    write_table(out, "services", t.services, [](const Service& service) { return service.text; });
    out += ",\"limits\":" + (t.limits.text.empty() ? "{}" : t.limits.text);
    for (const auto& [name, text] : t.others) out += ',' + quoted(name) + ':' + text;
    return out + '}';
}

Parsed from_items(const Configuration* base, const Items& items) {
    Complaints complaints;
    Configuration t;
    if (base) t = *base;
    t.edition = items.edition;
    if (items.edition == 0 || (base && items.edition <= base->edition))
        complaints.add("edition", "is not above");
    for (const std::string& name : items.gone_routes) t.routes.erase(name);
    for (const std::string& name : items.gone_services) t.services.erase(name);
    for (const std::string& name : items.gone_others) t.others.erase(name);
    for (const auto& [name, text] : items.routes) {
        Json::Value value;
        if (parse(text, "routes." + name, value, complaints))
            t.routes[name] = route_of(name, value, text, complaints);
    }
    for (const auto& [name, text] : items.services) {
        Json::Value value;
        if (parse(text, "services." + name, value, complaints))
            t.services[name] = service_of(name, value, text, complaints);
    }
    for (const auto& [name, text] : items.others) {
        Json::Value value;
        if (parse(text, name, value, complaints)) t.others[name] = text;
    }
    if (!items.limits.empty() || !base) {
        Json::Value value;
        if (parse(items.limits, "limits", value, complaints))
            t.limits = limits_of(value, items.limits, complaints);
    }
    return finish(std::move(t), std::move(complaints));
}

}  // namespace cobaltshift::config
