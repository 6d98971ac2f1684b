#include "lab/soak_operator.hpp"

#include <cstdlib>

namespace cobaltshift::lab {

namespace {

constexpr std::chrono::milliseconds kCallPatience{1200};
constexpr double kReadBackWithinMs = 10000, kRetryAfterMs = 50;
constexpr double kMinChangePauseMs = 50, kMaxChangePauseMs = 200;
constexpr int kMaxTries = 200;
constexpr std::size_t kShownAnswerChars = 100;

std::string name_of(std::uint64_t version) { return "r" + std::to_string(version); }

std::optional<tcp::endpoint> redirect(const HttpResponse& response) {
    if (response.result() != http::status::temporary_redirect) return {};
    const std::string location(response[http::field::location]);
    const auto from = location.find("//"), colon = location.find(':', from + 2);
    if (from == std::string::npos || colon == std::string::npos) return {};
    return tcp::endpoint(asio::ip::make_address(location.substr(from + 2, colon - from - 2)),
                         static_cast<std::uint16_t>(std::atoi(location.c_str() + colon + 1)));
}

}  // namespace

std::string SoakOperator::configuration(std::uint64_t version) {
    const auto route = [&](const std::string& name, const char* kind) {
        return "\"" + name + R"(":{"host":"soak.example","path_prefix":"/)" + name + R"(/","route_kind":")" +
               kind + R"(","deadline_s":)" + std::to_string(limits_.min_deadline_s + random_.below(5)) +
               R"(,"target_s":1,"priority":1,"service":"goods","tries":2})";
    };
    std::string routes = route("plain", "plain") + "," + route("registered", "registered");
    for (std::size_t i = random_.below(12); i-- > 0;)
        routes += "," + route("idle" + std::to_string(i), "plain");
    return R"({"edition":")" + name_of(version) + R"(","routes":{)" + routes +
           R"(},"services":{"goods":{"health_path":"/health","max_connections":500}},)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":)" +
           std::to_string(limits_.max_body_bytes) + R"(,"header_read_s":3,"idle_timeout_s":)" +
           std::to_string(6 + random_.below(10)) + "}}";
}

awaitable<void> SoakOperator::change_once() {
    const std::uint64_t next = version_ + 1 + random_.below(3);
    HttpRequest request(http::verb::put, "/api/config", 11);
    request.set(http::field::if_match, version_ == 0 ? "0" : name_of(version_));
    request.set(http::field::content_type, "application/json");
    request.body() = configuration(next);
    std::optional<tcp::endpoint> to;
    for (int tries = 0; tries < kMaxTries; ++tries) {
        const tcp::endpoint control = to ? *to : drawn_control();
        const auto response = co_await call_once(io_, control, request, kCallPatience);
        to = response ? redirect(*response) : std::nullopt;
        if (response && response->result() == http::status::ok) {
            version_ = next;
            ++acknowledged_;
            co_return;
        }
        if (response && response->result_int() / 100 == 4) {
            ledger_.accuse("CONFIG", name_of(next) + " got " + std::to_string(response->result_int()) + " " +
                                         response->body());
            co_return;
        }
        if (!to) co_await pause(io_, kRetryAfterMs);
    }
    ledger_.accuse("ACKS", name_of(next) + " was never acknowledged");
}

awaitable<void> SoakOperator::change_until(std::shared_ptr<const bool> stopped) {
    while (!*stopped) {
        changing_ = true;
        co_await change_once();
        changing_ = false;
        co_await pause(io_, kMinChangePauseMs + (kMaxChangePauseMs - kMinChangePauseMs) * random_.unit());
    }
}

// The configuration as the control node, or the one that it refers to, answers it.
awaitable<std::string> SoakOperator::read_from(tcp::endpoint control) {
    const SteadyTime since = std::chrono::steady_clock::now();
    const HttpRequest read(http::verb::get, "/api/config", 11);
    while (ms_since(since) < kReadBackWithinMs) {
        std::optional<HttpResponse> last = co_await call_once(io_, control, read, kCallPatience);
        const std::optional<tcp::endpoint> leader = last ? redirect(*last) : std::nullopt;
        if (leader) last = co_await call_once(io_, *leader, read, kCallPatience);
        if (last && last->result() == http::status::ok) co_return last->body();
        co_await pause(io_, kRetryAfterMs);
    }
    co_return "no answer";
}

awaitable<void> SoakOperator::read_back() {
    // A change that is still under way may be acknowledged between an answer and its comparison.
    while (changing_) co_await pause(io_, kRetryAfterMs);
    for (const tcp::endpoint& control : controls_) {
        const std::string found = co_await read_from(control);
        if (found.find("\"" + name_of(version_) + "\"") != std::string::npos) continue;
        ledger_.accuse("LOST", name_of(version_) + " was acknowledged, and " + control.address().to_string() +
                                   " answers " + found.substr(0, kShownAnswerChars));
    }
}

}  // namespace cobaltshift::lab
