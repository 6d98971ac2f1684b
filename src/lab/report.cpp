#include "lab/report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <set>

#include "lab/results.hpp"
#include "lab/scenario.hpp"
#include "lab/statistics.hpp"
#include "lab/svg.hpp"

namespace cobaltshift::lab {

namespace {

using Days = std::vector<const DayResult*>;
constexpr std::size_t kMostUnits = 400;  // of a bootstrap: more days are taken together in blocks
constexpr std::size_t kMostLines = 8;    // of a plot

// One variant of one experiment on one engine, by one build on one machine.
struct Group {
    std::string label, base;
    Days days;  // by seed
    Histogram times;
};
struct Sheet {
    const DayResult* first = nullptr;
    std::set<std::string> commits, machines;
    std::vector<Group> groups;
    const Group* group(const std::string& label) const {
        for (const Group& g : groups)
            if (g.label == label) return &g;
        return nullptr;
    }
};

double of(const DayResult* day, const std::string& name) {
    const auto at = day->figures.find(name);
    return at == day->figures.end() ? std::nan("") : at->second;
}

// By experiment and engine, in the order of the files.
// They point into the files, which must outlive them.
std::vector<Sheet> sheets_of(const std::vector<const Held*>& files) {
    std::vector<Sheet> sheets;
    for (const Held* file : files)
        for (const DayResult& day : file->days) {
            auto at = std::find_if(sheets.begin(), sheets.end(), [&](const Sheet& s) {
                return s.first->experiment == day.experiment && s.first->engine == day.engine;
            });
            if (at == sheets.end()) {
                sheets.emplace_back();
                at = std::prev(sheets.end());
                at->first = &day;
            }
            at->commits.insert(day.commit), at->machines.insert(day.machine);
            auto group = std::find_if(at->groups.begin(), at->groups.end(),
                                      [&](const Group& g) { return g.label == day.label; });
            if (group == at->groups.end()) {
                at->groups.push_back({day.label, day.pair_base, {}, {}});
                group = std::prev(at->groups.end());
            }
            group->days.push_back(&day);
            for (const auto& [bin, count] : day.times) group->times.add_bin(bin, count);
        }
    for (Sheet& sheet : sheets)
        for (Group& g : sheet.groups)
            std::stable_sort(g.days.begin(), g.days.end(),
                             [](const DayResult* a, const DayResult* b) { return a->seed < b->seed; });
    return sheets;
}

// Of a share over all days, resampled by day or by block of days.
Interval share_of(const Days& days, const char* part, const char* whole) {
    const std::size_t units = std::min(days.size(), kMostUnits);
    std::vector<double> parts(units), wholes(units);
    for (std::size_t i = 0; i < days.size(); ++i) {
        parts[i % units] += of(days[i], part);
        wholes[i % units] += of(days[i], whole);
    }
    return bootstrap(units, [&](const std::vector<std::size_t>& drawn) {
        double a = 0, b = 0;
        for (const std::size_t unit : drawn) a += parts[unit], b += wholes[unit];
        return a / b;
    });
}

std::optional<Interval> removed_against(const Group& g, const Group* base) {
    if (!base) return {};
    std::vector<Pair> pairs;
    for (const DayResult* day : g.days)
        for (const DayResult* other : base->days)
            if (other->seed == day->seed) pairs.push_back({of(other, "loss"), of(day, "loss")});
    if (pairs.empty()) return {};
    if (pairs.size() > kMostUnits) {
        std::vector<Pair> blocks(kMostUnits);
        for (std::size_t i = 0; i < pairs.size(); ++i) {
            blocks[i % kMostUnits].without += pairs[i].without;
            blocks[i % kMostUnits].with += pairs[i].with;
        }
        pairs.swap(blocks);
    }
    return part_removed(pairs);
}

std::string between(const Interval& i, double scale, int digits) {
    if (!std::isfinite(i.value)) return "-";
    const std::string value = shown(scale * i.value, digits);
    return i.known
               ? value + " (" + shown(scale * i.low, digits) + " to " + shown(scale * i.high, digits) + ")"
               : value;
}

struct BoundRow {
    std::string text;
    double value;
    bool known, holds;
};
std::vector<BoundRow> bounds_of(const Sheet& sheet) {
    std::vector<BoundRow> rows;
    for (const Group& g : sheet.groups)
        for (const auto& b : g.days.front()->bounds) {
            double value = figure_of(g.days, b.figure);
            if (b.figure == "loss removed") {
                const auto removed = removed_against(g, sheet.group(g.base));
                if (!removed) continue;  // the first of its pairs
                value = removed->value;
            }
            rows.push_back(
                {b.figure + ", " + g.label + (b.most ? " at most " : " at least ") + shown(b.bound, 4), value,
                 std::isfinite(value),
                 std::isfinite(value) && (b.most ? value <= b.bound : value >= b.bound)});
        }
    return rows;
}

std::string told(double value) { return std::isfinite(value) ? shown(value) : "-"; }

using Table = std::vector<std::vector<std::string>>;
Table table_of(const Sheet& sheet) {
    Table rows{{"variant", "days", "asked", "in time, %", "late", "refused", "failed", "p50, ms", "p99, ms",
                "p99.9, ms", "loss removed, %"}};
    for (const Group& g : sheet.groups) {
        const auto count = [&](const char* name) { return told(figure_of(g.days, name)); };
        const auto removed = removed_against(g, sheet.group(g.base));
        const auto time = [&](double p) {
            return g.times.count() > 0 ? shown(g.times.percentile(p), 1) : "-";
        };
        rows.push_back({g.label, std::to_string(g.days.size()), count("asked"),
                        between(share_of(g.days, "in time", "asked"), 100, 3), count("late"),
                        count("refused"), count("failed"), time(0.5), time(0.99), time(0.999),
                        removed ? between(*removed, 100, 1) : ""});
    }
    return rows;
}
// Causes, where the engine tells them.
Table causes_of(const Sheet& sheet) {
    std::vector<std::string> names;
    for (const auto& [name, value] : sheet.first->figures)
        if (name.starts_with("lost to ")) names.push_back(name);
    if (names.empty()) return {};
    Table rows{{"variant"}};
    for (const auto& name : names) rows[0].push_back(name);
    for (const Group& g : sheet.groups) {
        rows.push_back({g.label});
        for (const auto& name : names) rows.back().push_back(told(figure_of(g.days, name)));
    }
    return rows;
}

// ---- The page --------------------------------------------------------------------------------------------

const char* const kStyle = R"(
:root{--bg:#fff;--fg:#1b1f24;--soft:#57606a;--grid:#d8dee4;--bad:#a40e26;--good:#0a6640;--shade:#b35900;
--c0:#0060c0;--c1:#c04000;--c2:#087050;--c3:#8030a0;--c4:#806000;--c5:#c0206a;--c6:#007a8a;--c7:#505860}
@media (prefers-color-scheme:dark){:root{--bg:#14171a;--fg:#e6e9ec;--soft:#9aa4ae;--grid:#343b43;--bad:#ff8088;
--good:#5fd39a;--shade:#d08a3a;--c0:#6cb4ff;--c1:#ff9a5c;--c2:#4fd0a0;--c3:#d09aff;--c4:#e0c050;--c5:#ff8ac0;
--c6:#50d0e0;--c7:#b0b8c0}}
@media print{:root{--bg:#fff;--fg:#000;--soft:#444;--grid:#ccc}figure,table{break-inside:avoid}}
body{background:var(--bg);color:var(--fg);font:15px/1.5 system-ui,sans-serif;max-width:1000px;margin:2rem auto;
padding:0 1rem}h1{font-size:1.4rem}h2{font-size:1.15rem;margin-top:2rem}.soft,figcaption{color:var(--soft)}
table{font-size:13px;border-collapse:collapse;font-variant-numeric:tabular-nums;margin:.8rem 0;display:block;overflow-x:auto}
th,td{padding:.2rem .55rem .2rem 0;text-align:right;border-bottom:1px solid var(--grid);white-space:nowrap}
th:first-child,td:first-child{text-align:left}figure{margin:1rem 0}svg{width:100%;height:auto;display:block}
.t{fill:var(--soft);font:11px system-ui,sans-serif}.grid{stroke:var(--grid);stroke-width:1}
.l{fill:none;stroke-width:2}.d{stroke-dasharray:6 4}.shade{fill:var(--shade)}
.k{display:inline-block;width:24px;height:8px;vertical-align:middle}.key span{margin-right:1.2rem;white-space:nowrap}
.s0{stroke:var(--c0)}.s1{stroke:var(--c1)}.s2{stroke:var(--c2)}.s3{stroke:var(--c3)}.s4{stroke:var(--c4)}
.s5{stroke:var(--c5)}.s6{stroke:var(--c6)}.s7{stroke:var(--c7)}.bad{color:var(--bad);font-weight:600}
.good{color:var(--good)})";

std::string html_of(const Table& rows) {
    std::string out = "<table>";
    for (std::size_t r = 0; r < rows.size(); ++r) {
        out += "<tr>";
        for (const std::string& cell : rows[r])
            out += (r == 0 ? "<th>" : "<td>") + escaped(cell) + (r == 0 ? "</th>" : "</td>");
        out += "</tr>\n";
    }
    return out + "</table>\n";
}

Plot percentiles_of(const Sheet& sheet) {
    Plot plot{
        "Time of an answer by percentile, from the intended start", "percentile", "ms", {}, {}, true, true};
    int colour = 0;
    for (const Group& g : sheet.groups) {
        if (plot.lines.size() >= kMostLines) break;
        Line line{g.label, {}, colour++, false};
        // By nines, and no further than there are samples for.
        for (double nines = 0; g.times.count() > 0 && nines <= std::min(5.0, std::log10(g.times.count()));
             nines += 0.02)
            line.points.emplace_back(1 - std::pow(10, -nines), g.times.percentile(1 - std::pow(10, -nines)));
        plot.lines.push_back(std::move(line));
    }
    return plot;
}

// Of what was asked in each second, the mean over days; and how much of each half second had a fault.
Plot course_of(const Sheet& sheet) {
    Plot plot{
        "Not served in time, and of that refused (dashed), by when it was asked; shaded: servers in trouble",
        "s",
        "% of what was asked",
        {},
        {}};
    int colour = 0;
    for (const Group& g : sheet.groups) {
        if (plot.lines.size() >= kMostLines) break;
        std::vector<std::array<double, 4>> seconds;
        for (const DayResult* day : g.days)
            for (std::size_t i = 0; i < day->course.slots.size(); ++i) {
                if (seconds.size() <= i / 2) seconds.resize(i / 2 + 1);
                for (std::size_t end = 0; end < 4; ++end) seconds[i / 2][end] += day->course.slots[i][end];
            }
        Line lost{g.label, {}, colour, false}, refused{g.label + ", refused", {}, colour, true};
        bool any_refused = false;
        for (std::size_t s = 0; s < seconds.size(); ++s) {
            const auto& [good, late, no, failed] = seconds[s];
            const double asked = good + late + no + failed;
            if (asked <= 0) continue;
            lost.points.emplace_back(static_cast<double>(s) + 0.5, 100 * (1 - good / asked));
            refused.points.emplace_back(static_cast<double>(s) + 0.5, 100 * no / asked);
            any_refused = any_refused || no > 0;
        }
        plot.lines.push_back(std::move(lost));
        if (any_refused) plot.lines.push_back(std::move(refused));
        ++colour;
    }
    constexpr double kStep = 500;
    std::map<long, double> in_trouble;
    const Days& days = sheet.groups.front().days;
    for (const DayResult* day : days) {
        std::set<long> slots;
        for (const sim::Fault& f : day->faults) {
            if (f.kind.starts_with("planner") || f.kind == "lag" || f.kind == "lying" || f.kind == "restart")
                continue;
            const double until = std::min(f.at + f.length, day->length);
            for (double at = f.at; at <= until; at += kStep)
                slots.insert(std::lround(std::floor(at / kStep)));
        }
        for (const long slot : slots) in_trouble[slot] += 1.0 / static_cast<double>(days.size());
    }
    for (const auto& [slot, part] : in_trouble)
        plot.shades.push_back({static_cast<double>(slot) * kStep / 1000,
                               static_cast<double>(slot + 1) * kStep / 1000, 0.25 * part});
    return plot;
}

// "a=1 b=2" -> {a: 1, b: 2}; whatever else a label says is the rest.
std::map<std::string, double> numbers_of(const std::string& label, std::string& rest,
                                         const std::string& but) {
    std::map<std::string, double> all;
    std::size_t from = 0;
    while (from < label.size()) {
        const std::size_t end = std::min(label.find(' ', from), label.size());
        const std::string word = label.substr(from, end - from);
        const auto sign = word.find('=');
        char* stop = nullptr;
        const double value = sign == std::string::npos ? 0 : std::strtod(word.c_str() + sign + 1, &stop);
        if (stop && *stop == 0 && stop != word.c_str() + sign + 1) all[word.substr(0, sign)] = value;
        if (word.substr(0, sign) != but) rest += (rest.empty() ? "" : " ") + word;
        from = end + 1;
    }
    return all;
}

// A curve for each thing that was varied over three values or more.
std::vector<Plot> curves_of(const Sheet& sheet) {
    std::map<std::string, std::set<double>> varied;
    for (const Group& g : sheet.groups) {
        std::string rest;
        for (const auto& [name, value] : numbers_of(g.label, rest, "")) varied[name].insert(value);
    }
    std::vector<Plot> plots;
    for (const auto& [name, values] : varied) {
        if (values.size() < 3) continue;
        for (const bool latency : {false, true}) {
            Plot plot{latency ? "Time of 99 of 100 answers by " + name : "Not served in time by " + name,
                      name,
                      latency ? "ms" : "%",
                      {},
                      {},
                      latency};
            std::map<std::string, Line> lines;
            for (const Group& g : sheet.groups) {
                std::string rest;
                const auto numbers = numbers_of(g.label, rest, name);
                const auto at = numbers.find(name);
                if (at == numbers.end()) continue;
                lines[rest].points.emplace_back(
                    at->second, latency ? g.times.percentile(0.99) : 100 * figure_of(g.days, "loss"));
            }
            for (auto& [rest, line] : lines) {
                if (plot.lines.size() >= kMostLines) break;
                std::sort(line.points.begin(), line.points.end());
                line.name = rest.empty() ? "all" : rest;
                line.colour = static_cast<int>(plot.lines.size());
                plot.lines.push_back(line);
            }
            plots.push_back(plot);
        }
    }
    return plots;
}

std::string joined(const std::set<std::string>& all) {
    std::string text;
    for (const std::string& one : all) text += (text.empty() ? "" : ", ") + one;
    return text;
}
std::string provenance(const Sheet& sheet) {
    std::string text = sheet.first->engine == "sockets" ? "real processes on loopback" : "virtual time";
    text += "; build " + joined(sheet.commits) + "; " + joined(sheet.machines);
    if (sheet.commits.size() > 1) text += " - MIXED: days of several builds are taken together";
    return text;
}

std::string page_of(const std::vector<Sheet>& sheets) {
    std::string out =
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
        "<meta name=\"viewport\" content=\"width=device-width\"><title>cobaltshift: measured</title>"
        "<style>";
    out += std::string(kStyle) + "</style></head><body>\n<h1>cobaltshift: measured</h1>\n";
    if (sheets.empty()) out += "<p>No day has been played.</p>\n";
    for (const Sheet& sheet : sheets) {
        out += "<h2>" + escaped(sheet.first->name) + "</h2>\n<p>" + escaped(sheet.first->about) +
               "</p>\n<p class=\"soft\">" + escaped(provenance(sheet)) +
               ". In brackets: 95 % intervals (BCa bootstrap over days).</p>\n";
        out += html_of(table_of(sheet));
        if (const Table causes = causes_of(sheet); !causes.empty()) out += html_of(causes);
        const auto bounds = bounds_of(sheet);
        if (!bounds.empty()) {
            out += "<table><tr><th>bound</th><th>measured</th><th></th></tr>\n";
            for (const BoundRow& row : bounds)
                out += "<tr><td>" + escaped(row.text) + "</td><td>" +
                       (row.known ? shown(row.value, 4) : "nothing") + "</td><td class=\"" +
                       (row.holds ? "good\">holds" : "bad\">falls short") + "</td></tr>\n";
            out += "</table>\n";
        }
        out += svg(percentiles_of(sheet)) + svg(course_of(sheet));
        for (const Plot& plot : curves_of(sheet)) out += svg(plot);
    }
    return out + "</body></html>\n";
}

void print(const Table& rows, std::ostream& out) {
    std::vector<std::size_t> widths(rows.empty() ? 0 : rows[0].size());
    for (const auto& row : rows)
        for (std::size_t c = 0; c < row.size(); ++c) widths[c] = std::max(widths[c], row[c].size());
    for (const auto& row : rows) {
        for (std::size_t c = 0; c < row.size(); ++c) {
            const std::string pad(widths[c] - row[c].size(), ' ');
            out << (c == 0 ? row[c] + pad : "  " + pad + row[c]);
        }
        out << '\n';
    }
}

}  // namespace

int report(const Report& what, std::ostream& out, std::ostream& err) {
    std::vector<Held> files;
    try {
        for (const std::string& file : what.files) files.push_back(read_results(file));
    } catch (const std::exception& error) {
        err << "cobaltshift-lab: " << error.what() << '\n';
        return 2;
    }
    std::vector<const Held*> all;
    for (const Held& file : files) all.push_back(&file);
    const auto sheets = sheets_of(all);
    bool holds = true;
    for (const Sheet& sheet : sheets) {
        const auto bounds = bounds_of(sheet);
        for (const BoundRow& row : bounds) holds = holds && row.holds;
        if (!what.text) continue;
        out << sheet.first->name << ": " << sheet.first->about << '\n' << provenance(sheet) << '\n';
        print(table_of(sheet), out);
        print(causes_of(sheet), out);
        for (const BoundRow& row : bounds)
            out << (row.holds ? "holds  " : "SHORT  ") << row.text << ": "
                << (row.known ? shown(row.value, 4) : "nothing measured") << '\n';
    }
    if (what.text && sheets.empty()) out << "No day has been played.\n";
    if (!what.out.empty() && !(std::ofstream(what.out) << page_of(sheets))) {
        err << "cobaltshift-lab: " << what.out << " can't be written\n";
        return 2;
    }
    return holds ? 0 : 1;
}

int compare(const std::string& before, const std::string& after, std::ostream& out, std::ostream& err) {
    const auto complain = [&](const std::string& text) {
        err << "cobaltshift-lab: " << text << '\n';
        return 2;
    };
    std::vector<Held> files;
    try {
        files.push_back(read_results(before));
        files.push_back(read_results(after));
    } catch (const std::exception& error) {
        return complain(error.what());
    }
    const auto a = sheets_of({&files[0]}), b = sheets_of({&files[1]});
    if (a.size() != 1 || b.size() != 1)
        return complain((a.size() != 1 ? before : after) + " holds not one experiment on one engine");
    if (a[0].first->experiment != b[0].first->experiment)
        return complain("different experiments: " + a[0].first->name + " and " + b[0].first->name +
                        ", or other versions of one");
    if (a[0].first->engine != b[0].first->engine)
        return complain("different engines: " + a[0].first->engine + " and " + b[0].first->engine);
    if (a[0].commits != b[0].commits)
        out << "builds differ: " << joined(a[0].commits) << " and " << joined(b[0].commits) << '\n';
    if (a[0].machines != b[0].machines)
        out << "MACHINES DIFFER: " << joined(a[0].machines) << " and " << joined(b[0].machines) << '\n';

    // Figure, what it is a part of (none: its own mean a day), and whether more of it is worse.
    struct Row {
        const char *name, *whole;
        bool more_is_worse;
    };
    const Row rows[] = {{"in time", "asked", false},  {"late", "asked", true},
                        {"refused", "asked", true},   {"failed", "asked", true},
                        {"attempts", "asked", true},  {"cold peak", nullptr, true},
                        {"removal s", nullptr, true}, {"broken", nullptr, true},
                        {"p50 ms", nullptr, true},    {"p99 ms", nullptr, true}};
    Table table{{"variant", "figure", "before", "after", "difference", "verdict"}};
    bool worse = false;
    std::size_t common = 0;
    for (const Group& g : a[0].groups) {
        const Group* other = b[0].group(g.label);
        if (!other) continue;
        std::vector<std::pair<const DayResult*, const DayResult*>> pairs;
        for (const DayResult* x : g.days)
            for (const DayResult* y : other->days)
                if (x->seed == y->seed) pairs.emplace_back(x, y);
        common += pairs.size();
        for (const Row& row : rows) {
            const std::size_t units = std::min(pairs.size(), kMostUnits);
            std::array<std::vector<double>, 4> sums;  // part and whole, before and after
            for (auto& sum : sums) sum.resize(units);
            for (std::size_t i = 0; i < pairs.size(); ++i) {
                const auto [x, y] = pairs[i];
                sums[0][i % units] += of(x, row.name), sums[2][i % units] += of(y, row.name);
                sums[1][i % units] += row.whole ? of(x, row.whole) : 1;
                sums[3][i % units] += row.whole ? of(y, row.whole) : 1;
            }
            const auto value = [&](const std::vector<std::size_t>& drawn, int which) {
                double part = 0, whole = 0;
                for (const std::size_t unit : drawn)
                    part += sums[2 * which][unit], whole += sums[2 * which + 1][unit];
                return part / whole;
            };
            std::vector<std::size_t> all(units);
            for (std::size_t i = 0; i < units; ++i) all[i] = i;
            const double was = value(all, 0), is = value(all, 1);
            if (units == 0 || !std::isfinite(was) || !std::isfinite(is)) continue;
            const Interval moved = bootstrap(units, [&](const std::vector<std::size_t>& drawn) {
                return value(drawn, 1) - value(drawn, 0);
            });
            std::string verdict = "as before";
            if (!moved.known)
                verdict = was == is ? "as before" : "too few days to say";
            else if (moved.low > 0 || moved.high < 0) {
                const bool bad = (moved.low > 0) == row.more_is_worse;
                verdict = bad ? "WORSE" : "better";
                worse = worse || bad;
            }
            const double scale = row.whole ? 100 : 1;
            table.push_back({g.label, std::string(row.name) + (row.whole ? ", % of asked" : ""),
                             shown(scale * was, 3), shown(scale * is, 3), between(moved, scale, 3), verdict});
        }
    }
    if (common == 0) return complain("the two have no day in common");
    print(table, out);
    return worse ? 1 : 0;
}

}  // namespace cobaltshift::lab
