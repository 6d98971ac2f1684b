// The fault world made of models (src/sim): days played over all cores, and single ones looked at closely.
#pragma once

#include "lab/scenario.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::lab {

// Each day played whole by one thread, whichever is free.
std::vector<sim::Played> play_all(const std::vector<sim::Case>& days);
// How many days broke a rule; the first few are noted with their seeds.
double broken_days(Result& result, const std::vector<sim::Case>& days,
                   const std::vector<sim::Played>& played);
// Drawn days; no rule is broken.
Result plan_world(const Run& run);
// Plays the day of a seed, or of a case's file, and prints what its findings' subjects went through, or with
// `all` everything. With `shorten` the smallest case found that still breaks the same rule is printed and, if
// a name is given, written there. Exit code: 0 no rule is broken, 1 one is, 2 the file can't be read.
struct Replay {
    std::uint64_t seed = 1;
    bool lease = false;  // the seed is of a day of keepers and holders
    std::string file, write;
    bool all = false, shorten = false;
};
int replay(const Replay& what);
// Plays every *.case of this folder and the first drawn days, and writes what they end with there
// (tests/cases/README.md). Exit code: 0 written, 1 a rule is broken and nothing is written, 2 a file can't be
// used.
int digests(const std::string& folder);

}  // namespace cobaltshift::lab
