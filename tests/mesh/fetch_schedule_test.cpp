// FetchSchedule: which node is asked for a newer configuration, and when.
#include "config/fetch_schedule.hpp"

#include <doctest/doctest.h>

using namespace cobaltshift::config;
using End = FetchSchedule::End;

namespace {
using Ips = std::vector<FetchSchedule::Ip>;
const Ips kControl{101, 102, 103};

// All nodes that are asked at this time.
Ips asked(FetchSchedule& schedule, double now, const Ips& control_nodes) {
    Ips all;
    while (const auto ip = schedule.next(now, control_nodes)) all.push_back(*ip);
    return all;
}
}  // namespace

TEST_CASE("fetch schedule: no node is asked before one has reported a newer edition") {
    FetchSchedule schedule;
    CHECK(asked(schedule, 0, kControl).empty());
    CHECK_FALSE(schedule.due());
    schedule.hint(7, 12);
    CHECK(asked(schedule, 0, kControl) == Ips{7});
    schedule.ended(7, End::newer);
    schedule.hold(12);
    CHECK(asked(schedule, 1000, kControl).empty());
    CHECK_FALSE(schedule.due());
}

TEST_CASE("fetch schedule: the second fetch goes to a control node, however many others do not answer") {
    FetchSchedule schedule;
    for (FetchSchedule::Ip ip = 1; ip <= 30; ++ip) schedule.hint(ip, 12);
    CHECK(asked(schedule, 0, kControl).size() == 1);
    CHECK(*schedule.due() == FetchSchedule::kHedgeDelayMs);
    CHECK(asked(schedule, 99, kControl).empty());
    CHECK(asked(schedule, 100, kControl) == Ips{101});
    CHECK(asked(schedule, 200, kControl) == Ips{102});
    CHECK(asked(schedule, 300, kControl).empty());  // at most three at once
    CHECK_FALSE(schedule.due());
    schedule.ended(101, End::failed);
    CHECK(asked(schedule, 300, kControl) == Ips{103});
}

TEST_CASE("fetch schedule: no other node is asked while one is answering") {
    FetchSchedule schedule;
    schedule.hint(1, 12), schedule.hint(2, 12);
    REQUIRE(asked(schedule, 0, kControl) == Ips{1});
    schedule.response_started(1);
    CHECK(asked(schedule, 5000, kControl).empty());
    schedule.ended(1, End::failed);
    CHECK(asked(schedule, 5000, kControl) == Ips{2});
}

TEST_CASE("fetch schedule: without control nodes, nodes that failed come after those that did not") {
    FetchSchedule schedule;
    schedule.hint(1, 12), schedule.hint(2, 11), schedule.hint(3, 10);
    REQUIRE(asked(schedule, 0, {}) == Ips{1});  // the newest edition first
    schedule.ended(1, End::failed);
    REQUIRE(asked(schedule, 0, {}) == Ips{2});
    schedule.ended(2, End::nothing_newer);  // no source until it reports again
    REQUIRE(asked(schedule, 0, {}) == Ips{3});
    schedule.ended(3, End::failed);
    CHECK(asked(schedule, 99, {}).empty());
    CHECK(*schedule.due() == 100);
    CHECK(asked(schedule, 100, {}) == Ips{1});
    schedule.hint(4, 9);
    CHECK(asked(schedule, 200, {}) == Ips{4});
}

TEST_CASE("fetch schedule: sources are bounded, those of the oldest editions are evicted") {
    FetchSchedule schedule;
    for (FetchSchedule::Ip ip = 1; ip <= 100; ++ip) schedule.hint(ip, ip);
    CHECK(schedule.sources() == FetchSchedule::kMaxSources);
    schedule.hint(200, 1);
    CHECK(schedule.sources() == FetchSchedule::kMaxSources);
    CHECK(asked(schedule, 0, {}) == Ips{100});
}
