// Writes metrics in the Prometheus text exposition format, version 0.0.4. Implemented here because Debian's
// prometheus-cpp depends on a web server that must not be installed on this project's machines, and the
// format needs only a few lines. Entry type: MetricsText. Performs no I/O.
#pragma once

#include <charconv>
#include <cmath>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace cobaltshift {

class MetricsText {
public:
    enum class Kind { counter, gauge };
    using Labels = std::initializer_list<std::pair<std::string_view, std::string>>;

    // Begins a metric family; its samples must follow before the next family. Names match [a-z_]+; names of
    // counters end in _total.
    void family(std::string_view name, Kind kind, std::string_view help) {
        name_ = name;
        text_.append("# HELP ").append(name).append(" ").append(help).append("\n# TYPE ").append(name);
        text_ += kind == Kind::counter ? " counter\n" : " gauge\n";
    }
    void sample(double value, Labels labels = {}) {
        text_ += name_;
        if (labels.size() > 0) {
            char separator = '{';
            for (const auto& [label, label_value] : labels) {
                text_ += std::exchange(separator, ',');
                text_.append(label).append("=\"").append(escaped(label_value)).append("\"");
            }
            text_ += '}';
        }
        text_ += ' ';
        text_.append(formatted(value)).append("\n");
    }
    // A family with a single sample.
    void counter(std::string_view name, std::string_view help, double value, Labels labels = {}) {
        family(name, Kind::counter, help), sample(value, labels);
    }
    void gauge(std::string_view name, std::string_view help, double value, Labels labels = {}) {
        family(name, Kind::gauge, help), sample(value, labels);
    }
    const std::string& text() const { return text_; }

private:
    static std::string escaped(const std::string& value) {
        std::string out;
        for (const char c : value) {
            if (c == '\\' || c == '"') out += '\\';
            if (c == '\n')
                out += "\\n";
            else
                out += c;
        }
        return out;
    }
    static std::string formatted(double value) {
        if (std::isnan(value)) return "NaN";
        if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
        char digits[40];
        return {digits, std::to_chars(digits, digits + sizeof digits, value).ptr};
    }
    std::string name_, text_;
};

}  // namespace cobaltshift
