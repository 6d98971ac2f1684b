#include "log/log.hpp"

// Header-only, so that the program depends on no further shared library.
#define SPDLOG_FMT_EXTERNAL
#define FMT_HEADER_ONLY
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace cobaltshift {

namespace {

// Replaces control characters by '?' and truncates the text to kMaxLogValueChars.
std::string sanitized(std::string text) {
    if (text.size() > kMaxLogValueChars) text.resize(kMaxLogValueChars);
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
    return text;
}

class Log {
public:
    Log() : logger_("cobaltshift", std::make_shared<spdlog::sinks::stderr_sink_st>()) {
        logger_.flush_on(spdlog::level::trace);
        set_format(LogFormat::text);
    }
    void set_format(LogFormat format) {
        format_ = format;
        logger_.set_formatter(std::make_unique<spdlog::pattern_formatter>(
            format == LogFormat::json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","pid":%P,%v})" : "cobaltshift: %v",
            spdlog::pattern_time_type::utc));
    }
    void line(std::string_view event, std::string text, std::initializer_list<LogField> fields) {
        using Clock = std::chrono::steady_clock;
        const double now = std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
        const LogRateLimiter::Decision decision = rate_limiter_.check(event, now);
        if (!decision.allowed) return;
        text = sanitized(std::move(text));
        if (format_ == LogFormat::numbered) text = std::string(event) + ": " + text;
        if (format_ != LogFormat::json) {
            if (decision.suppressed > 0) logger_.info("{} lines left out: {}", decision.suppressed, event);
            return logger_.info("{}", text);
        }
        nlohmann::json all = {{"event", event}, {"text", std::move(text)}};
        if (decision.suppressed > 0) all["left_out"] = decision.suppressed;
        for (const LogField& field : fields)
            std::visit([&](const auto& value) { all[std::string(field.key)] = value; }, field.value);
        for (auto& [key, value] : all.items())
            if (value.is_string()) value = sanitized(value.get<std::string>());
        const std::string json = all.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        logger_.info("{}", std::string_view(json).substr(1, json.size() - 2));
    }

private:
    spdlog::logger logger_;
    LogFormat format_ = LogFormat::text;
    LogRateLimiter rate_limiter_;
};

Log& log() {
    static Log log;
    return log;
}

}  // namespace

bool LogRateLimiter::TokenBucket::try_take(const LogRate& bounds, double now) {
    allowance = std::min(bounds.burst, allowance + bounds.per_second * (now - at));
    at = now;
    if (allowance < 1) return false;
    allowance -= 1;
    return true;
}

LogRateLimiter::EventState& LogRateLimiter::event_state(std::string_view event, double now) {
    for (std::size_t i = 0; i < count_; ++i)
        if (events_[i].event == event) return events_[i];
    if (count_ == kMaxEvents) return events_[kMaxEvents - 1];
    events_[count_] = {std::string(event), {kLogEventRate.burst, now}, {kLogReservedRate.burst, now}};
    return events_[count_++];
}

LogRateLimiter::Decision LogRateLimiter::check(std::string_view event, double now) {
    EventState& state = event_state(event, now);
    const bool allowed =
        state.bucket.try_take(kLogEventRate, now) &&
        (all_.try_take(kLogTotalRate, now) || state.reserved.try_take(kLogReservedRate, now));
    if (!allowed) {
        ++state.bucket.suppressed;
        return {};
    }
    return {true, std::exchange(state.bucket.suppressed, 0)};
}

void set_log_format(LogFormat format) { log().set_format(format); }

void log_line(std::string_view event, std::string text, std::initializer_list<LogField> fields) {
    log().line(event, std::move(text), fields);
}

}  // namespace cobaltshift
