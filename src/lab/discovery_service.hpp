// A stand-in for discovery: the list of servers with versions, as whole lists and as watches that wait.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/http_server.hpp"

namespace cobaltshift::lab {

class DiscoveryService {
public:
    explicit DiscoveryService(asio::io_context& io);

    std::string at() const;
    // A new version with this entry, told to all who watch. An entry with health DELETED stays known as such.
    void say(const nlohmann::json& host);
    nlohmann::json whole() const;

private:
    struct Entry {
        std::uint64_t version = 0;
        nlohmann::json host;
    };
    struct Watch {
        HttpServer::ExchangePtr exchange;
        std::uint64_t after = 0;
        std::unique_ptr<asio::steady_timer> timer;
    };
    void take(HttpServer::ExchangePtr exchange);
    nlohmann::json since(std::uint64_t version) const;
    void end(std::uint64_t number);

    asio::io_context& io_;
    std::uint64_t version_ = 0, next_watch_ = 0;
    std::map<std::string, Entry> entries_;
    std::map<std::uint64_t, Watch> watches_;
    HttpServer server_;
};

// An entry in discovery's form.
nlohmann::json listed(const std::string& name, const std::string& dial, const std::string& hall,
                      const char* health = "SERVING", double born_ms = 0);

}  // namespace cobaltshift::lab
