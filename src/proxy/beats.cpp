#include "proxy/beats.hpp"

#include <json/json.h>

#include <memory>

namespace cobaltshift::proxy {

namespace {
constexpr std::string_view kServers = "/api/servers/";
constexpr std::size_t kLongest = 200;  // characters of a name

ApiAnswer bad(const std::string& why) {
    Json::Value body;
    body["error"] = why;
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return {400, Json::writeString(writer, body), "", 0};
}
}  // namespace

std::optional<Beat> read_beat(const std::string& life, const std::string& json, std::string& why) {
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = 32;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value body;
    try {
        if (!reader->parse(json.data(), json.data() + json.size(), &body, &why)) return {};
    } catch (const Json::Exception& error) {
        why = error.what();
        return {};
    }
    if (!body.isObject()) return why = "the body is no object", std::nullopt;
    const auto text = [&](const char* name, bool needed) -> std::optional<std::string> {
        const Json::Value& value = body[name];
        if (value.isNull() && !needed) return std::string();
        if (value.isString() && value.asString().size() <= kLongest && (!needed || !value.asString().empty()))
            return value.asString();
        why = std::string(name) + ": is no text of 1 to 200 characters";
        return {};
    };
    const auto number = [&](const char* name, double otherwise) -> std::optional<double> {
        const Json::Value& value = body[name];
        if (value.isNull()) return otherwise;
        if (value.isNumeric() && value.asDouble() >= 0 && value.asDouble() < 1e15) return value.asDouble();
        why = std::string(name) + ": is no number of 0 or more";
        return {};
    };
    const auto service = text("service", true), address = text("address", true), zone = text("zone", false),
               edition = text("edition", false), state = text("state", true);
    const auto capacity = number("capacity", 1), warmup = number("warmup_left_s", 0),
               seq = number("call_seq", 0);
    if (!service || !address || !zone || !edition || !state || !capacity || !warmup || !seq) return {};
    if (*state != "open" && *state != "closing")
        return why = "state: '" + *state + "' is neither open nor closing", std::nullopt;
    Beat beat;
    beat.life = life;
    beat.service = *service;
    beat.address = *address;
    beat.zone = *zone;
    beat.edition = *edition;
    beat.capacity = static_cast<std::uint32_t>(std::min(*capacity, 1e6));
    beat.closing = *state == "closing";
    beat.warmup_left_s = *warmup;
    beat.call_seq = static_cast<std::uint64_t>(*seq);
    return beat;
}

bool Beats::handle(const ApiRequest& request, std::function<void(ApiAnswer)> done) {
    if (!request.target.starts_with(kServers)) return false;
    const std::string life = request.target.substr(kServers.size());
    if (life.empty() || life.size() > kLongest || life.find_first_of("/?#") != std::string::npos) {
        done(bad("the path names no server"));
    } else if (request.method == "DELETE") {
        handlers_.gone(life);
        done({200, "{}", "", 0});
    } else if (request.method == "PUT") {
        std::string why;
        const auto beat = read_beat(life, request.body, why);
        if (beat) handlers_.beat(*beat);
        done(beat ? ApiAnswer{200, "{}", "", 0} : bad(why));
    } else {
        done({405, "", "", 0});
    }
    return true;
}

bool Ready::handle(const ApiRequest& request, std::function<void(ApiAnswer)> done) {
    if (request.target != "/api/ready") return false;
    if (request.method != "GET")
        done({405, "", "", 0});
    else
        done({ready_() ? 200U : 503U, "", "", 0});
    return true;
}

}  // namespace cobaltshift::proxy
