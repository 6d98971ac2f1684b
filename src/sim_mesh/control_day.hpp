// A day of the control plane in virtual time: operators and readers at work, and faults one after the other,
// each at the moment that hurts most: right after an acknowledgement, right after a repair. Entry types:
// ControlDay, drawn by drawn_control_day(), played by play_control_day(). Called by cobaltshift-lab
// control-world and by tests; free of I/O. One loss at a time is what the users' deployments bear; a member
// counts as lost until kCatchUp after its return.
//
// What must hold: the history is linearizable (linearizability.hpp); a call is answered within kAckWithin of
// calm time; a member that returns, or its successor, votes and has caught up within kCatchUp; at the end all
// members have the same state, and each change that was acknowledged is acknowledged again.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sim_mesh/control_callers.hpp"

namespace cobaltshift::simmesh {

constexpr Millis kCatchUp = 4000, kContact = 3000, kAckWithin = 5000, kAnswerWithin = 1000;

// What a day aims at: the users' points 1 to 4.
enum class ControlFamily : std::uint8_t { cut_off, races, losses, many_changes };
constexpr std::size_t kControlFamilies = 4;
const char* name_of(ControlFamily family);

struct ControlFault {
    enum class What : std::uint8_t {
        cut,  // from all others, both ways
        hears_none,
        heard_by_none,
        cut_from_one,
        kill,
        kill_all,
        stop,     // SIGTERM: the lead is handed over; the disk comes back
        wipe,     // process and disk
        replace,  // gone for good; a successor at another address
        power_all_wipe_one,
        freeze,
        slow_disk,
    };
    enum class Target : std::uint8_t { leader, follower, any };
    What what = What::kill;
    Target target = Target::any;
    bool on_acknowledgement = false;  // right after the next one, else after `wait`
    Millis wait = 0;                  // since the fault before was repaired
    Millis lasts = 1000;
    Millis restart_after = 0;  // of a cut: the member is killed and started again meanwhile; 0: it is not
};
const char* name_of(ControlFault::What what);

struct ControlDay {
    ControlFamily family = ControlFamily::cut_off;
    std::uint64_t seed = 1;
    int members = 3;
    CallersSettings callers;
    Millis sync_ms = 2;       // of each disk
    double bytes_per_ms = 0;  // of each link; 0: without a bound
    double loss = 0;          // share of messages between members
    std::vector<ControlFault> faults;
};

ControlDay drawn_control_day(std::uint64_t seed);

// Takes one promise out, to see that the checks find it.
struct ControlSafeguards {
    bool majority_for_readings = true;          // else a leader reads out what it holds
    bool commit_before_acknowledgement = true;  // else a leader acknowledges what it has proposed
    bool synced_before_answers = true;          // else a loss of power takes what was written last
};

struct ControlPlayed {
    std::vector<std::string> findings;            // "RULE: what", each with its time
    std::vector<std::string> trace;               // faults and repairs, with their times
    std::map<std::string, std::uint64_t> struck;  // faults, and other things that a day should have seen
    std::map<std::string, double> margins;        // the worst of each timed promise, as a share of its bound
    std::uint64_t acknowledged = 0, readings = 0;
    Millis virtual_ms = 0;
};

ControlPlayed play_control_day(const ControlDay& day, const ControlSafeguards& safeguards = {});

// Fewer faults, shorter ones, as long as the day still breaks the same rule.
ControlDay shrunk(const ControlDay& day, const ControlSafeguards& safeguards = {});
std::string describe(const ControlDay& day);

}  // namespace cobaltshift::simmesh
