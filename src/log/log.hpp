// Structured logging to standard error through spdlog. Each message has an event name, a text and key-value
// fields. It is written as text or as one JSON object per line ([log] format in the settings). The rate is
// limited, because log files and pipes count towards the process's memory and a failing neighbour must not
// fill them: per event, so that a frequent event does not suppress others, and for all events together.
// Entry: log_line(). Not thread-safe.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace cobaltshift {

struct LogField {
    std::string_view key;
    std::variant<std::string, double, std::uint64_t, bool> value;
};

enum class LogFormat { text, json, numbered };  // numbered: the text follows the event name

// A token bucket: `burst` lines at once, then `per_second` lines per second.
struct LogRate {
    double burst, per_second;
};
constexpr LogRate kLogEventRate{50, 1}, kLogTotalRate{100, 2};
// Reserved for each event in addition to the total rate, so that rare events are logged beside frequent ones.
constexpr LogRate kLogReservedRate{4, 0.1};
constexpr std::size_t kMaxLogValueChars = 200;  // characters; applies to the text and to each value

// Sets the format from now on; the default is text.
void set_log_format(LogFormat format);

// `event`: a constant name that is unique to this message and never contains external input. The number of an
// event's suppressed lines is reported with its next line. Control characters are replaced by '?', and the
// text and each value are truncated to kMaxLogValueChars.
void log_line(std::string_view event, std::string text, std::initializer_list<LogField> fields = {});

// Decides which lines are logged. Has no clock of its own; `now` is monotonic, in seconds.
class LogRateLimiter {
public:
    // `suppressed`: the number of this event's lines suppressed since its last one that was logged; only set
    // if this line is logged.
    struct Decision {
        bool allowed = false;
        std::uint64_t suppressed = 0;
    };
    Decision check(std::string_view event, double now);

private:
    struct TokenBucket {
        double allowance, at;
        std::uint64_t suppressed = 0;
        bool try_take(const LogRate& bounds, double now);
    };
    static constexpr std::size_t kMaxEvents = 64;  // further events share the last entry
    struct EventState {
        std::string event;
        TokenBucket bucket, reserved;
    };
    EventState& event_state(std::string_view event, double now);
    EventState events_[kMaxEvents];
    std::size_t count_ = 0;
    TokenBucket all_{kLogTotalRate.burst, 0};
};

}  // namespace cobaltshift
