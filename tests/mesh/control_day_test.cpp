// Drawn days of the control plane: some of each family, and the faults that such days have found, each alone.
#include "sim_mesh/control_day.hpp"

#include <doctest/doctest.h>

using namespace cobaltshift::simmesh;
using What = ControlFault::What;
using Target = ControlFault::Target;

namespace {

ControlDay day_of(std::uint64_t seed, int members = 3) {
    ControlDay day;
    day.seed = seed;
    day.members = members;
    return day;
}

ControlFault fault(What what, Target target, Millis lasts, bool on_acknowledgement = false) {
    ControlFault one;
    one.what = what, one.target = target, one.lasts = lasts, one.on_acknowledgement = on_acknowledgement;
    return one;
}

void must_hold(const ControlDay& day) {
    const ControlPlayed played = play_control_day(day);
    for (const std::string& finding : played.findings) FAIL_CHECK(describe(day) << ' ' << finding);
}

}  // namespace

TEST_CASE("control day: a few drawn ones of each family") {
    for (std::uint64_t seed = 1; seed <= 24; ++seed) must_hold(drawn_control_day(seed));
}

TEST_CASE(
    "control day: point 1, the leader is cut off for twenty seconds, in each direction, and restarted "
    "meanwhile") {
    for (const What what : {What::cut, What::hears_none, What::heard_by_none, What::cut_from_one})
        for (const Millis restart : {0.0, 6000.0}) {
            ControlDay day = day_of(5, 4);
            day.faults = {fault(what, Target::leader, 20000)};
            day.faults[0].restart_after = restart;
            must_hold(day);
        }
}

TEST_CASE(
    "control day: point 2, races on one edition beside lost answers, the leader dies right after "
    "acknowledging") {
    ControlDay day = day_of(6);
    day.callers.same_base = 0.9, day.callers.answers_lost = 0.3, day.callers.resends = 0.3;
    day.callers.change_pause = 80;
    for (int i = 0; i < 3; ++i) day.faults.push_back(fault(What::kill, Target::leader, 400, true));
    must_hold(day);
}

TEST_CASE(
    "control day: point 3, three replacements in a row, the last of a leader right after acknowledging") {
    ControlDay day = day_of(7);
    day.faults = {fault(What::replace, Target::follower, 500), fault(What::replace, Target::leader, 500),
                  fault(What::replace, Target::leader, 500, true)};
    must_hold(day);
}

TEST_CASE("control day: point 3, a disk is lost right after the repair of the loss before") {
    ControlDay day = day_of(8, 4);
    for (int i = 0; i < 3; ++i) day.faults.push_back(fault(What::wipe, Target::leader, 300, true));
    day.faults.push_back(fault(What::power_all_wipe_one, Target::any, 800, true));
    must_hold(day);
}

// 800 bytes a millisecond are 6.4 Mbit/s. Red with a resend at each heartbeat, with a window of 4 MiB, with a
// vote only for who has the newest commit, or with a log compacted past who lags.
TEST_CASE(
    "control day: point 4, a member that was away catches up with 200 routes a change on a narrow link") {
    for (const What what : {What::kill, What::wipe, What::replace, What::cut}) {
        ControlDay day = day_of(9);
        day.callers.change_pause = 60, day.callers.routes = 200;
        day.bytes_per_ms = 800;
        day.faults = {fault(what, Target::follower, 6000), fault(what, Target::leader, 2000)};
        must_hold(day);
    }
}

TEST_CASE("control day: each safeguard taken out is found") {
    const auto found = [](bool ControlSafeguards::*safeguard, std::uint64_t last) {
        ControlSafeguards without;
        without.*safeguard = false;
        for (std::uint64_t seed = 1; seed <= last; ++seed)
            if (!play_control_day(drawn_control_day(seed), without).findings.empty()) return true;
        return false;
    };
    CHECK(found(&ControlSafeguards::commit_before_acknowledgement, 40));
    CHECK(found(&ControlSafeguards::synced_before_answers, 160));
    CHECK(found(&ControlSafeguards::majority_for_readings, 160));
}

TEST_CASE("control day: a day that breaks a rule is shrunk to the faults that it needs") {
    ControlSafeguards without;
    without.commit_before_acknowledgement = false;
    ControlDay broken;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        broken = drawn_control_day(seed);
        if (!play_control_day(broken, without).findings.empty()) break;
    }
    const ControlDay least = shrunk(broken, without);
    CHECK(least.faults.size() <= broken.faults.size());
    CHECK_FALSE(play_control_day(least, without).findings.empty());
}
