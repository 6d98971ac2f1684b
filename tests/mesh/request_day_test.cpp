// Drawn days of the data plane over the shipped code, in virtual time.
#include "sim_mesh/request_day.hpp"

#include <doctest/doctest.h>

using namespace cobaltshift::simmesh;

namespace {
constexpr std::uint64_t kDays = 60;

std::string first_finding(const Played& played) {
    return played.findings.empty() ? "" : played.findings[0].rule + ": " + played.findings[0].what;
}
}  // namespace

TEST_CASE("request days: no drawn day breaks a rule") {
    for (std::uint64_t seed = 1; seed <= kDays; ++seed) {
        const RequestDay day = drawn_request_day(seed);
        const Played played = play_request_day(day);
        CHECK_MESSAGE(played.findings.empty(), first_finding(played) << "\n" << text_of(shrunk(day)));
    }
}

TEST_CASE("request days: a seed draws the same day and ends the same way") {
    const RequestDay day = drawn_request_day(7);
    CHECK(text_of(day) == text_of(drawn_request_day(7)));
    const Played one = play_request_day(day), other = play_request_day(day);
    CHECK(one.events == other.events);
    CHECK(one.statuses == other.statuses);
    CHECK(one.struck == other.struck);
}
