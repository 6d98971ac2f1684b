#include "log/log.hpp"

// As headers only: what runs needs no library more.
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

std::string plain(std::string text) {
    if (text.size() > kLogLongest) text.resize(kLogLongest);
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
    return text;
}

class Log {
public:
    Log() : logger_("cobaltshift", std::make_shared<spdlog::sinks::stderr_sink_st>()) {
        logger_.flush_on(spdlog::level::trace);
        form(LogFormat::text);
    }
    void form(LogFormat format) {
        format_ = format;
        logger_.set_formatter(std::make_unique<spdlog::pattern_formatter>(
            format == LogFormat::json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","pid":%P,%v})" : "cobaltshift: %v",
            spdlog::pattern_time_type::utc));
    }
    void line(std::string_view event, std::string text, std::initializer_list<LogField> fields) {
        using Clock = std::chrono::steady_clock;
        const double now = std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
        const LogGate::Verdict verdict = gate_.ask(event, now);
        if (!verdict.passes) return;
        text = plain(std::move(text));
        if (format_ == LogFormat::numbered) text = std::string(event) + ": " + text;
        if (format_ != LogFormat::json) {
            if (verdict.left_out > 0) logger_.info("{} lines left out: {}", verdict.left_out, event);
            return logger_.info("{}", text);
        }
        nlohmann::json all = {{"event", event}, {"text", std::move(text)}};
        if (verdict.left_out > 0) all["left_out"] = verdict.left_out;
        for (const LogField& field : fields)
            std::visit([&](const auto& value) { all[std::string(field.key)] = value; }, field.value);
        for (auto& [key, value] : all.items())
            if (value.is_string()) value = plain(value.get<std::string>());
        const std::string json = all.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        logger_.info("{}", std::string_view(json).substr(1, json.size() - 2));
    }

private:
    spdlog::logger logger_;
    LogFormat format_ = LogFormat::text;
    LogGate gate_;
};

Log& log() {
    static Log log;
    return log;
}

}  // namespace

bool LogGate::Bucket::take(const LogBounds& bounds, double now) {
    allowance = std::min(bounds.burst, allowance + bounds.per_second * (now - at));
    at = now;
    if (allowance < 1) return false;
    allowance -= 1;
    return true;
}

LogGate::Named& LogGate::named(std::string_view event, double now) {
    for (std::size_t i = 0; i < count_; ++i)
        if (events_[i].event == event) return events_[i];
    if (count_ == kMostEvents) return events_[kMostEvents - 1];
    events_[count_] = {std::string(event), {kLogEvent.burst, now}, {kLogReserved.burst, now}};
    return events_[count_++];
}

LogGate::Verdict LogGate::ask(std::string_view event, double now) {
    Named& own = named(event, now);
    const bool passes =
        own.bucket.take(kLogEvent, now) && (all_.take(kLogAll, now) || own.reserved.take(kLogReserved, now));
    if (!passes) {
        ++own.bucket.left_out;
        return {};
    }
    return {true, std::exchange(own.bucket.left_out, 0)};
}

void log_as(LogFormat format) { log().form(format); }

void log_line(std::string_view event, std::string text, std::initializer_list<LogField> fields) {
    log().line(event, std::move(text), fields);
}

}  // namespace cobaltshift
