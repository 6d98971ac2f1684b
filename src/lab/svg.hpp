// Plots as SVG, for a page that is read in light, in dark and on paper: colours come from the page's CSS by
// class (s0 to s7 for lines, `shade` for what is shaded). Texts are escaped here.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace cobaltshift::lab {

// For HTML and SVG, in text and in attributes.
std::string escaped(const std::string& text);

struct Line {
    std::string name;
    std::vector<std::pair<double, double>> points;  // what is no number is left out
    int colour = 0;                                 // of 8
    bool dashed = false;
};
struct Shade {  // from, to on the x axis; `strength` over 0 to 1
    double from, to, strength;
};
struct Plot {
    std::string title, x, y;
    std::vector<Line> lines;
    std::vector<Shade> shades;
    bool log_y = false;
    bool percentiles = false;  // x is a part of all (0 to 1), drawn by nines: 0, 90, 99, 99.9 ...
};
// A figure element with a title for those who can't see it. Empty plots say so.
std::string svg(const Plot& plot);

}  // namespace cobaltshift::lab
