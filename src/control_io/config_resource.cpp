#include "control_io/config_resource.hpp"

#include <json/json.h>

#include <boost/asio/ip/address_v4.hpp>
#include <utility>

namespace cobaltshift::control {

namespace {

constexpr double kRetryAfterS = 0.2;

std::string compact(const Json::Value& value) {
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

ApiAnswer refused(unsigned status, const std::string& why) {
    Json::Value body;
    body["error"] = why;
    ApiAnswer answer;
    answer.status = status;
    answer.body = compact(body);
    if (status == 503) answer.retry_after_s = kRetryAfterS;
    return answer;
}

ApiAnswer invalid(const std::vector<std::string>& complaints) {
    Json::Value body;
    body["error"] = "invalid";
    body["complaints"] = Json::arrayValue;
    for (const std::string& complaint : complaints) body["complaints"].append(complaint);
    ApiAnswer answer;
    answer.status = 400;
    answer.body = compact(body);
    return answer;
}

ApiAnswer with_edition(unsigned status, const char* key, config::Edition edition) {
    Json::Value body;
    body[key] = config::to_text(edition);
    ApiAnswer answer;
    answer.status = status;
    answer.body = compact(body);
    return answer;
}

}  // namespace

bool ConfigResource::handle(const ApiRequest& request, std::function<void(ApiAnswer)> done) {
    if (request.target.substr(0, request.target.find('?')) != "/api/config") return false;
    std::optional<config::Change> change;
    if (request.method == "PUT" || request.method == "PATCH") {
        const auto base = config::parse_if_match(request.if_match);
        if (!base) return done(invalid({"If-Match: is missing, or is no version"})), true;
        if (request.body.size() > kMaxBodyBytes) return done(refused(413, "the body is too long")), true;
        change.emplace();
        change->kind = request.method == "PUT" ? config::Change::Kind::put : config::Change::Kind::patch;
        change->if_match = *base;
        change->body = request.body;
    } else if (request.method != "GET") {
        return done(refused(405, "GET, PUT and PATCH are what there is")), true;
    }
    if (calls_.size() >= kMaxOpenCalls) return done(refused(503, "too many calls are open")), true;
    const std::uint64_t client = next_++;
    calls_[client] = {request.target, std::move(done)};
    if (!ask_(client, std::move(change))) reply({client, Reply::Kind::unavailable, 0, 0, {}, nullptr});
    return true;
}

void ConfigResource::reject_all() {
    const auto calls = std::exchange(calls_, {});
    for (const auto& [client, call] : calls) call.done(refused(503, "the hubs don't agree just now"));
}

void ConfigResource::reply(const Reply& reply) {
    const auto at = calls_.find(reply.client);
    if (at == calls_.end()) return;
    const Call call = std::move(at->second);
    calls_.erase(at);
    switch (reply.kind) {
        case Reply::Kind::config: {
            ApiAnswer answer;
            answer.body = config::to_json(*reply.current);
            return call.done(std::move(answer));
        }
        case Reply::Kind::no_config:
            return call.done(refused(404, "no configuration has been put yet"));
        case Reply::Kind::taken:
            return call.done(with_edition(200, "edition", reply.edition));
        case Reply::Kind::stale:
            return call.done(with_edition(412, "current", reply.edition));
        case Reply::Kind::invalid:
            return call.done(invalid(reply.complaints));
        case Reply::Kind::elsewhere: {
            ApiAnswer answer = refused(307, "another hub leads");
            answer.location = "http://" + boost::asio::ip::address_v4(reply.leader).to_string() + ":" +
                              std::to_string(control_port_) + call.target;
            return call.done(std::move(answer));
        }
        case Reply::Kind::unavailable:
            return call.done(refused(503, "the hubs don't agree just now"));
    }
}

}  // namespace cobaltshift::control
