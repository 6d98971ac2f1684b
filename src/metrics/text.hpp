// Metrics as text in Prometheus' public exposition format, version 0.0.4: families with their help and kind,
// samples with labels. Debian's prometheus-cpp brings a web server with its headers, which has no place on
// this project's machines; the format is some lines. Entry type: MetricsText. Free of I/O.
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

    // A family; its samples follow, before the next family begins. Names are [a-z_]+, counters' end in
    // _total.
    void family(std::string_view name, Kind kind, std::string_view help) {
        name_ = name;
        text_.append("# HELP ").append(name).append(" ").append(help).append("\n# TYPE ").append(name);
        text_ += kind == Kind::counter ? " counter\n" : " gauge\n";
    }
    void sample(double value, Labels labels = {}) {
        text_ += name_;
        if (labels.size() > 0) {
            char sign = '{';
            for (const auto& [label, is] : labels) {
                text_ += std::exchange(sign, ',');
                text_.append(label).append("=\"").append(escaped(is)).append("\"");
            }
            text_ += '}';
        }
        text_ += ' ';
        text_.append(shown(value)).append("\n");
    }
    // A family of one sample.
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
    static std::string shown(double value) {
        if (std::isnan(value)) return "NaN";
        if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
        char digits[40];
        return {digits, std::to_chars(digits, digits + sizeof digits, value).ptr};
    }
    std::string name_, text_;
};

}  // namespace cobaltshift
