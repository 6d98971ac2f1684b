// Tests of the log's rate limits and formats, of the metrics text format and of the metrics endpoint.
#include "log/log.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "metrics/text.hpp"
#include "metrics_io/endpoint.hpp"

namespace cobaltshift {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

TEST(Log, AFrequentEventIsLimitedByItselfAndReportsSuppressedLines) {
    LogRateLimiter limiter;
    std::size_t allowed = 0;
    for (int i = 0; i < 1000; ++i) allowed += limiter.check("flood", 0).allowed;
    EXPECT_EQ(allowed, static_cast<std::size_t>(kLogEventRate.burst));
    EXPECT_TRUE(limiter.check("other", 0).allowed);
    const auto later = limiter.check("flood", 1.5);
    EXPECT_TRUE(later.allowed);
    EXPECT_EQ(later.suppressed, 950u);
    EXPECT_EQ(limiter.check("flood", 3).suppressed, 0u);
}

TEST(Log, TheTotalRateAndTheNumberOfEventsAreBounded) {
    LogRateLimiter limiter;
    std::size_t allowed = 0;
    for (int i = 0; i < 10000; ++i) allowed += limiter.check("event " + std::to_string(i), 0).allowed;
    // All further events share the last entry, so only one reserve beyond the total rate is used.
    EXPECT_EQ(allowed, static_cast<std::size_t>(kLogTotalRate.burst + kLogReservedRate.burst));
    allowed = 0;
    for (int i = 0; i < 10000; ++i)
        allowed += limiter.check("event " + std::to_string(i % 20), i * 0.01).allowed;
    const double reserved = 20 * (100 * kLogReservedRate.per_second + kLogReservedRate.burst);
    EXPECT_LE(allowed,
              static_cast<std::size_t>(100 * kLogTotalRate.per_second + kLogTotalRate.burst + reserved));
    EXPECT_GT(allowed, 150u);
}

TEST(Log, ARareEventIsLoggedWhileOthersExhaustTheTotalRate) {
    LogRateLimiter limiter;
    for (int i = 0; i < 100000; ++i) limiter.check("flood " + std::to_string(i % 5), i * 0.001);
    while (limiter.check("flood 5", 100).allowed) {
    }  // exhausts the total rate and this event's own reserve
    const auto reserved = static_cast<int>(kLogReservedRate.burst);
    for (int i = 0; i < reserved; ++i) EXPECT_TRUE(limiter.check("ended", 100).allowed) << i;
    EXPECT_FALSE(limiter.check("ended", 100).allowed);
    EXPECT_TRUE(limiter.check("ended", 100 + 1 / kLogReservedRate.per_second).allowed);
}

TEST(Log, LinesAreTextOrOneJsonObjectForAnyInput) {
    testing::internal::CaptureStderr();
    log_line("a.b", "it \x01 happened\n", {{"n", std::uint64_t{3}}});
    set_log_format(LogFormat::json);
    log_line("a.b", "it \"happened\" \xff", {{"n", std::uint64_t{3}}, {"why", std::string(500, 'x')}});
    set_log_format(LogFormat::text);
    std::istringstream lines(testing::internal::GetCapturedStderr());
    std::string first, second;
    std::getline(lines, first), std::getline(lines, second);
    EXPECT_EQ(first, "cobaltshift: it ? happened?");
    const auto json = nlohmann::json::parse(second);
    EXPECT_EQ(json["event"], "a.b");
    EXPECT_EQ(json["n"], 3);
    EXPECT_EQ(json["why"].get<std::string>().size(), kMaxLogValueChars);
    EXPECT_EQ(json["text"].get<std::string>().substr(0, 13), "it \"happened\"");
    EXPECT_EQ(json["time"].get<std::string>().size(), 24u);
}

TEST(Metrics, FollowTheTextFormat) {
    MetricsText text;
    text.counter("a_total", "all", 12345678901.0);
    text.family("b", MetricsText::Kind::gauge, "parts");
    text.sample(0.5, {{"kind", "a\"\\\n"}, {"n", "1"}});
    text.sample(std::numeric_limits<double>::infinity());
    EXPECT_EQ(text.text(),
              "# HELP a_total all\n# TYPE a_total counter\na_total 12345678901\n"
              "# HELP b parts\n# TYPE b gauge\nb{kind=\"a\\\"\\\\\\n\",n=\"1\"} 0.5\nb +Inf\n");
}

std::string fetched(asio::io_context& io, const tcp::endpoint& at, const std::string& request) {
    auto socket = std::make_shared<tcp::socket>(io);
    auto answer = std::make_shared<std::string>();
    auto done = std::make_shared<bool>(false);
    socket->async_connect(at, [&](boost::system::error_code) {
        asio::async_write(*socket, asio::buffer(request), [&](boost::system::error_code, std::size_t) {
            asio::async_read(*socket, asio::dynamic_buffer(*answer),
                             [&](boost::system::error_code, std::size_t) { *done = true; });
        });
    });
    while (!*done) io.run_one();
    return *answer;
}

TEST(Metrics, AreServedAndOtherRequestsAreRefused) {
    asio::io_context io(1);
    MetricsEndpoint endpoint(io, {asio::ip::make_address("127.0.0.1"), 0}, [] { return "x 1\n"; });
    const auto request = [&](const std::string& text) { return fetched(io, endpoint.endpoint(), text); };
    EXPECT_NE(request("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").find("\r\n\r\nx 1\n"), std::string::npos);
    EXPECT_EQ(request("GET /metric HTTP/1.1\r\nHost: x\r\n\r\n").substr(9, 3), "404");
    EXPECT_EQ(request("POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").substr(9, 3), "404");
    EXPECT_EQ(request("nonsense\r\n\r\n"), "");
    EXPECT_EQ(request("GET /metrics HTTP/1.1\r\nX: " + std::string(9000, 'x')), "");
    // Unused connections exhaust the endpoint's limit; it serves again once they are closed.
    std::vector<tcp::socket> silent;
    for (int i = 0; i < 8; ++i) {
        silent.emplace_back(io);
        silent.back().connect(endpoint.endpoint());
    }
    EXPECT_EQ(request("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"), "");
    silent.clear();
    std::string answer;
    while (answer.empty()) answer = request("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(answer.substr(9, 3), "200");
}

}  // namespace
}  // namespace cobaltshift
