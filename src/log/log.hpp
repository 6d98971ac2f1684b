// The log on standard error, by spdlog: each message an event with a text for people and values by key; as
// text, or as one JSON object a line by settings ([log] format). Bounded, as files and pipes count as memory
// and a failing neighbour must not fill them: each event by itself, so that one that comes without end hides
// no other, and all together. Entry: log_line(). For one thread.
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

enum class LogFormat { text, json, numbered };  // numbered: text behind its event

// Of lines: so many at once, then so many a second.
struct LogBounds {
    double burst, per_second;
};
constexpr LogBounds kLogEvent{50, 1}, kLogAll{100, 2};
// Of each event, whatever the others take of the bound of all: what is rare is heard beside what is not.
constexpr LogBounds kLogReserved{4, 0.1};
constexpr std::size_t kLogLongest = 200;  // characters of the text and of each value

// From now on. Starts as text.
void log_as(LogFormat format);

// `event`: a word of its own for this message, from the program alone. What was left out of an event is said
// with its next line. Control characters become '?'.
void log_line(std::string_view event, std::string text, std::initializer_list<LogField> fields = {});

// Which lines are let through: without a clock, for log_line() and its tests. `now`: seconds that never go
// back.
class LogGate {
public:
    // The number of this event's lines left out since its last that passed; none: this one is left out too.
    struct Verdict {
        bool passes = false;
        std::uint64_t left_out = 0;
    };
    Verdict ask(std::string_view event, double now);

private:
    struct Bucket {
        double allowance, at;
        std::uint64_t left_out = 0;
        bool take(const LogBounds& bounds, double now);
    };
    static constexpr std::size_t kMostEvents = 64;  // further ones share one
    struct Named {
        std::string event;
        Bucket bucket, reserved;
    };
    Named& named(std::string_view event, double now);
    Named events_[kMostEvents];
    std::size_t count_ = 0;
    Bucket all_{kLogAll.burst, 0};
};

}  // namespace cobaltshift
