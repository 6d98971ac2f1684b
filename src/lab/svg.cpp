#include "lab/svg.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace cobaltshift::lab {

namespace {

constexpr double kWidth = 720, kHeight = 300, kLeft = 62, kRight = 26, kTop = 12, kBottom = 42;
constexpr std::size_t kMostPoints = 600;  // of a line: more than a screen can show
constexpr double kMostNines = 5;

std::string n(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", value);
    return text;
}
std::string tick(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%g", std::abs(value) < 1e-12 ? 0.0 : value);
    return text;
}

struct Scale {
    double least = 0, most = 1;
    bool log = false;
    double place(double value) const {  // 0 to 1
        if (log) return (std::log10(value) - std::log10(least)) / (std::log10(most) - std::log10(least));
        return (value - least) / (most - least);
    }
    std::vector<double> ticks() const {
        std::vector<double> all;
        if (log) {
            const bool few = std::log10(most / least) < 2;
            for (double decade = std::pow(10, std::floor(std::log10(least))); decade <= most * 1.0001;
                 decade *= 10)
                for (const double part : {1.0, 2.0, 5.0})
                    if ((few || part == 1) && decade * part >= least * 0.9999 &&
                        decade * part <= most * 1.0001)
                        all.push_back(decade * part);
            return all;
        }
        const double rough = (most - least) / 8, power = std::pow(10, std::floor(std::log10(rough)));
        double step = power;
        for (const double part : {2.0, 5.0, 10.0})
            if (step < rough) step = power * part;
        for (double at = std::ceil(least / step) * step; at <= most + step * 1e-6; at += step)
            all.push_back(at);
        return all;
    }
};

double nines(double part) { return -std::log10(std::max(std::pow(10, -kMostNines), 1 - part)); }

}  // namespace

std::string escaped(const std::string& text) {
    std::string safe;
    for (const char c : text) switch (c) {
            case '&':
                safe += "&amp;";
                break;
            case '<':
                safe += "&lt;";
                break;
            case '>':
                safe += "&gt;";
                break;
            case '"':
                safe += "&quot;";
                break;
            case '\'':
                safe += "&#39;";
                break;
            default:
                safe += static_cast<unsigned char>(c) < 0x20 && c != '\n' ? ' ' : c;
        }
    return safe;
}

std::string svg(const Plot& plot) {
    const std::string head = "<figure><figcaption>" + escaped(plot.title) + "</figcaption>\n";
    Scale x, y;
    bool any = false;
    const auto usable = [&](const std::pair<double, double>& p) {
        return std::isfinite(p.first) && std::isfinite(p.second) && !(plot.log_y && p.second <= 0);
    };
    const auto across = [&](double value) { return plot.percentiles ? nines(value) : value; };
    for (const Line& line : plot.lines)
        for (const auto& p : line.points) {
            if (!usable(p)) continue;
            const double px = across(p.first);
            if (!any) x.least = x.most = px, y.least = y.most = p.second;
            x.least = std::min(x.least, px), x.most = std::max(x.most, px);
            y.least = std::min(y.least, p.second), y.most = std::max(y.most, p.second);
            any = true;
        }
    if (!any) return head + "<p>Nothing was measured.</p></figure>\n";
    y.log = plot.log_y;
    if (!y.log && y.least > 0 && y.least < y.most * 0.6) y.least = 0;
    if (y.most - y.least < 1e-9 * std::max(1.0, std::abs(y.most))) {
        y.least = y.log ? y.least / 2 : y.least - 0.5, y.most = y.log ? y.most * 2 : y.most + 0.5;
    } else if (!y.log) {
        y.most += (y.most - y.least) * 0.05;
    }
    if (x.most <= x.least) x.least -= 0.5, x.most += 0.5;
    const auto px = [&](double value) { return kLeft + x.place(value) * (kWidth - kLeft - kRight); };
    const auto py = [&](double value) {
        return kHeight - kBottom - y.place(value) * (kHeight - kTop - kBottom);
    };

    std::string out = head + "<svg viewBox=\"0 0 " + n(kWidth) + " " + n(kHeight) +
                      "\" role=\"img\" aria-label=\"" + escaped(plot.title) + "\">\n";
    for (const Shade& shade : plot.shades) {
        const double from = std::max(shade.from, x.least), to = std::min(shade.to, x.most);
        if (to <= from) continue;
        char strength[16];
        std::snprintf(strength, sizeof strength, "%.2f", std::clamp(shade.strength, 0.0, 1.0));
        out += "<rect class=\"shade\" x=\"" + n(px(from)) + "\" y=\"" + n(kTop) + "\" width=\"" +
               n(px(to) - px(from)) + "\" height=\"" + n(kHeight - kTop - kBottom) + "\" opacity=\"" +
               strength + "\"/>\n";
    }
    for (const double at : y.ticks())
        out += "<line class=\"grid\" x1=\"" + n(kLeft) + "\" x2=\"" + n(kWidth - kRight) + "\" y1=\"" +
               n(py(at)) + "\" y2=\"" + n(py(at)) + "\"/><text class=\"t\" text-anchor=\"end\" x=\"" +
               n(kLeft - 6) + "\" y=\"" + n(py(at) + 4) + "\">" + tick(at) + "</text>\n";
    const auto across_tick = [&](double at, const std::string& text) {
        out += "<line class=\"grid\" y1=\"" + n(kTop) + "\" y2=\"" + n(kHeight - kBottom) + "\" x1=\"" +
               n(px(at)) + "\" x2=\"" + n(px(at)) + "\"/><text class=\"t\" text-anchor=\"middle\" x=\"" +
               n(px(at)) + "\" y=\"" + n(kHeight - kBottom + 16) + "\">" + text + "</text>\n";
    };
    if (plot.percentiles) {
        const std::pair<double, const char*> marks[] = {
            {0, "0"},        {0.5, "50"},       {0.9, "90"},        {0.99, "99"},
            {0.999, "99.9"}, {0.9999, "99.99"}, {0.99999, "99.999"}};
        for (const auto& [part, text] : marks)
            if (nines(part) >= x.least - 1e-9 && nines(part) <= x.most + 1e-9) across_tick(nines(part), text);
    } else {
        for (const double at : x.ticks()) across_tick(at, tick(at));
    }
    out += "<text class=\"t\" text-anchor=\"middle\" x=\"" + n((kLeft + kWidth - kRight) / 2) + "\" y=\"" +
           n(kHeight - 6) + "\">" + escaped(plot.x) +
           "</text><text class=\"t\" text-anchor=\"middle\" transform=\"translate(14 " +
           n((kHeight - kBottom + kTop) / 2) + ") rotate(-90)\">" + escaped(plot.y) + "</text>\n";
    for (const Line& line : plot.lines) {
        std::string points;
        const std::size_t every =
            std::max<std::size_t>(1, (line.points.size() + kMostPoints - 1) / kMostPoints);
        for (std::size_t i = 0; i < line.points.size(); ++i) {
            if ((i % every != 0 && i + 1 != line.points.size()) || !usable(line.points[i])) continue;
            points += n(px(across(line.points[i].first))) + "," + n(py(line.points[i].second)) + " ";
        }
        out += "<polyline class=\"l s" + std::to_string(line.colour % 8) + (line.dashed ? " d" : "") +
               "\" points=\"" + points + "\"><title>" + escaped(line.name) + "</title></polyline>\n";
    }
    out += "</svg>\n<p class=\"key\">";
    for (const Line& line : plot.lines)
        out += "<span><svg class=\"k\" viewBox=\"0 0 24 8\"><line class=\"l s" +
               std::to_string(line.colour % 8) + (line.dashed ? " d" : "") +
               "\" x1=\"0\" x2=\"24\" y1=\"4\" y2=\"4\"/></svg> " + escaped(line.name) + "</span> ";
    return out + "</p></figure>\n";
}

}  // namespace cobaltshift::lab
