#include "lab/discovery_service.hpp"

#include <cstdlib>
#include <sstream>

namespace cobaltshift::lab {

using nlohmann::json;

namespace {

std::uint64_t parameter(const std::string& target, const std::string& name, std::uint64_t fallback) {
    const auto at = target.find(name + "=");
    return at == std::string::npos ? fallback
                                   : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
}

}  // namespace

json listed(const std::string& name, const std::string& dial, const std::string& hall, const char* health,
            double born_ms) {
    return {{"host", name}, {"dial", dial},     {"site", hall}, {"class", "m1"},
            {"block", 0},   {"health", health}, {"share", 1.0}, {"born_ms", born_ms}};
}

DiscoveryService::DiscoveryService(asio::io_context& io)
    : io_(io), server_(io, [this](HttpServer::ExchangePtr exchange) { take(std::move(exchange)); }) {}

std::string DiscoveryService::at() const {
    std::ostringstream text;
    text << server_.at();
    return text.str();
}

json DiscoveryService::whole() const {
    json hosts = json::array();
    for (const auto& [name, entry] : entries_)
        if (entry.host["health"] != "DELETED") hosts.push_back(entry.host);
    return {{"seq", version_}, {"whole", true}, {"hosts", hosts}};
}

json DiscoveryService::since(std::uint64_t version) const {
    json hosts = json::array();
    for (const auto& [name, entry] : entries_)
        if (entry.version > version) hosts.push_back(entry.host);
    return {{"seq", version_}, {"whole", false}, {"hosts", hosts}};
}

void DiscoveryService::say(const json& host) {
    entries_[host["host"]] = {++version_, host};
    while (!watches_.empty()) end(watches_.begin()->first);
}

void DiscoveryService::end(std::uint64_t number) {
    auto node = watches_.extract(number);
    if (node.empty()) return;
    node.mapped().exchange->respond(plain(200, since(node.mapped().after).dump()));
}

void DiscoveryService::take(HttpServer::ExchangePtr exchange) {
    const std::string target(exchange->request().target());
    if (target.rfind("/v1/servers", 0) != 0) return exchange->respond(plain(404));
    if (target.find("after=") == std::string::npos) return exchange->respond(plain(200, whole().dump()));
    const std::uint64_t after = parameter(target, "after", 0);
    if (after > version_) return exchange->respond(plain(200, whole().dump()));
    if (after < version_) return exchange->respond(plain(200, since(after).dump()));
    const std::uint64_t number = next_watch_++;
    Watch& watch = watches_[number];
    watch = {std::move(exchange), after, std::make_unique<asio::steady_timer>(io_)};
    watch.timer->expires_after(
        std::chrono::milliseconds(std::min<std::uint64_t>(parameter(target, "wait_ms", 0), 60000)));
    watch.timer->async_wait([this, number](error_code ec) {
        if (!ec) end(number);
    });
}

}  // namespace cobaltshift::lab
