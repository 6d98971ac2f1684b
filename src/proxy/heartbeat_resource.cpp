#include "proxy/heartbeat_resource.hpp"

#include <json/json.h>

#include <memory>

namespace cobaltshift::proxy {

namespace {
constexpr std::string_view kServersPath = "/api/servers/";
constexpr std::size_t kMaxNameLength = 200;  // characters of a name

ApiAnswer bad_request(const std::string& error_text) {
    Json::Value body;
    body["error"] = error_text;
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return {400, Json::writeString(writer, body), "", 0};
}
}  // namespace

std::optional<Heartbeat> parse_heartbeat(const std::string& instance_id, const std::string& json,
                                         std::string& error_text) {
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = 32;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value body;
    try {
        if (!reader->parse(json.data(), json.data() + json.size(), &body, &error_text)) return {};
    } catch (const Json::Exception& error) {
        error_text = error.what();
        return {};
    }
    if (!body.isObject()) return error_text = "the body is no object", std::nullopt;
    const auto text = [&](const char* name, bool needed) -> std::optional<std::string> {
        const Json::Value& value = body[name];
        if (value.isNull() && !needed) return std::string();
        if (value.isString() && value.asString().size() <= kMaxNameLength &&
            (!needed || !value.asString().empty()))
            return value.asString();
        error_text = std::string(name) + ": is no text of 1 to 200 characters";
        return {};
    };
    const auto number = [&](const char* name, double otherwise) -> std::optional<double> {
        const Json::Value& value = body[name];
        if (value.isNull()) return otherwise;
        if (value.isNumeric() && value.asDouble() >= 0 && value.asDouble() < 1e15) return value.asDouble();
        error_text = std::string(name) + ": is no number of 0 or more";
        return {};
    };
    const auto service = text("service", true), address = text("address", true), zone = text("zone", false),
               edition = text("edition", false), state = text("state", true);
    const auto capacity = number("capacity", 1), warmup = number("warmup_left_s", 0),
               seq = number("call_seq", 0);
    if (!service || !address || !zone || !edition || !state || !capacity || !warmup || !seq) return {};
    if (*state != "open" && *state != "closing")
        return error_text = "state: '" + *state + "' is neither open nor closing", std::nullopt;
    Heartbeat heartbeat;
    heartbeat.instance_id = instance_id;
    heartbeat.service = *service;
    heartbeat.address = *address;
    heartbeat.zone = *zone;
    heartbeat.edition = *edition;
    heartbeat.capacity = static_cast<std::uint32_t>(std::min(*capacity, 1e6));
    heartbeat.closing = *state == "closing";
    heartbeat.warmup_left_s = *warmup;
    heartbeat.call_seq = static_cast<std::uint64_t>(*seq);
    return heartbeat;
}

void HeartbeatResource::acknowledge_end(std::function<void(ApiAnswer)> done) const {
    const auto acknowledge = [done = std::move(done)] { done({200, "{}", "", 0}); };
    if (handlers_.after_end_is_sent)
        handlers_.after_end_is_sent(acknowledge);
    else
        acknowledge();
}

bool HeartbeatResource::handle(const ApiRequest& request, std::function<void(ApiAnswer)> done) {
    if (!request.target.starts_with(kServersPath)) return false;
    const std::string instance_id = request.target.substr(kServersPath.size());
    if (instance_id.empty() || instance_id.size() > kMaxNameLength ||
        instance_id.find_first_of("/?#") != std::string::npos) {
        done(bad_request("the path names no server"));
    } else if (request.method == "DELETE") {
        handlers_.on_deregistered(instance_id);
        acknowledge_end(std::move(done));
    } else if (request.method == "PUT") {
        std::string error_text;
        const auto heartbeat = parse_heartbeat(instance_id, request.body, error_text);
        if (heartbeat) handlers_.on_heartbeat(*heartbeat);
        if (heartbeat && heartbeat->closing)
            acknowledge_end(std::move(done));
        else
            done(heartbeat ? ApiAnswer{200, "{}", "", 0} : bad_request(error_text));
    } else {
        done({405, "", "", 0});
    }
    return true;
}

bool ReadinessResource::handle(const ApiRequest& request, std::function<void(ApiAnswer)> done) {
    if (request.target != "/api/ready") return false;
    if (request.method != "GET")
        done({405, "", "", 0});
    else
        done({ready_() ? 200U : 503U, "", "", 0});
    return true;
}

}  // namespace cobaltshift::proxy
