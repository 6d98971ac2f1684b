// What result files say: a page of its own (report, HTML, no network), the same for a terminal, and whether a
// second file of the same experiment is better or worse than a first beyond its noise (compare).
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace cobaltshift::lab {

struct Report {
    std::vector<std::string> files;
    std::string out;    // the page; empty: none
    bool text = false;  // to standard output
};
// Exit code: 0 all bounds hold, 1 one falls short, 2 a file can't be read, used or written.
int report(const Report& what, std::ostream& out, std::ostream& err);

// Pairs by variant and seed. Exit code: 0 nothing is worse, 1 something is, 2 the files can't be used: one
// can't be read, or they are of different experiments or engines, or have no day in common. Results of two
// builds are compared and marked so.
int compare(const std::string& before, const std::string& after, std::ostream& out, std::ostream& err);

}  // namespace cobaltshift::lab
