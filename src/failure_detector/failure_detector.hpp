// Who of the others lives (the watch: SWIM failure detection, Das et al. 2002, with Lifeguard's care for
// one's own health, Dadgar et al. 2017). Entry type: FailureDetector. Called by gossip's Gossip. Free of I/O.
//
// One member is probed a period (two, while anybody is suspect), in a shuffled round. Without an answer,
// others are asked to probe it; without one from them it is suspect, and gone unless it answers or says
// otherwise. Load does not depend on the number of members.
//
// Invariants:
// - Nobody is declared gone by one who has had no answer at all since the suspicion began: it is cut off.
// - After a tick that comes late (frozen, thawed) every probe and suspicion starts anew.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "random.hpp"
#include "registry/records.hpp"

namespace cobaltshift::failure_detector {

using registry::Millis;
using registry::Standing;

struct Settings {
    Millis period = 500;       // between probes
    Millis direct = 150;       // for an answer, before others are asked
    Millis second = 250;       // for theirs
    Millis suspicion = 1200;   // own: from suspect to gone
    Millis heard_more = 700;   // longer for a suspicion heard of: who had it first says gone first
    Millis again = 300;        // between probes of one whom we suspect
    Millis gone_again = 2000;  // between probes of those gone
    Millis late = 400;         // a tick this late: frozen
    Millis silence = 2000;     // without any answer: what was suspected then starts anew with the next answer
    std::size_t helpers = 3;   // asked for a second opinion
    std::size_t deaf_after = 3;  // failures in a row: suspect nobody more
    std::size_t at_once = 8;     // probes out
    double early = 0.4;          // of a period, that a probe may go before its time
};

class FailureDetector {
public:
    struct Probe {
        std::uint32_t to, number;
    };
    struct Ask {
        std::uint32_t helper, target, number;
    };
    struct Output {
        std::vector<Probe> probes;
        std::vector<Ask> asks;
        std::vector<std::uint32_t> suspected, gone, cleared;  // ips: found so just now
    };

    FailureDetector(const Settings& settings, std::uint64_t seed);

    // What others say or a record shows of a member. Suspect: of a suspicion heard of.
    void set(Millis now, std::uint32_t ip, Standing standing);
    void remove(std::uint32_t ip);
    // Any answer of this member: to our probe, to one we asked for, to a request.
    void answered(Millis now, std::uint32_t ip, Output& out);
    // A hint: probe it now.
    void doubt(Millis now, std::uint32_t ip, Output& out);

    void tick(Millis now, Output& out);
    // We are awake anyway: the next probe goes now if it is due soon, so that it costs no wake-up of its own.
    void early(Millis now, Output& out);
    Millis due() const { return due_; }
    bool deaf() const { return failures_ >= settings_.deaf_after; }

private:
    struct Member {
        std::uint32_t ip;
        Standing standing;
        bool own = false;                        // suspicion is ours
        Millis began = 0, until = 0, again = 0;  // while suspect
    };
    struct Running {
        std::uint32_t ip, number;
        Millis at;
        bool asked;
    };

    std::vector<Member>::iterator at(std::uint32_t ip);
    Member* find(std::uint32_t ip);
    void probe(Millis now, std::uint32_t ip, Output& out);
    void suspect(Millis now, Member& member, bool own);
    void restart(Millis now);
    // By another way: others, and the same way once more, as one loss is no sign.
    void ask_others(const Running& running, Output& out);
    void next_probe(Millis now, Output& out);
    void probe_gone(Output& out);
    void work_out_due();
    // Till the next probe. While somebody is suspect it is half: seldom does one fall alone.
    Millis pause();

    const Settings settings_;
    kelplb::Random random_;
    std::vector<Member> members_;  // by ip
    std::vector<std::uint32_t> round_;
    std::size_t cursor_ = 0;
    std::vector<Running> running_;
    std::size_t failures_ = 0, suspects_ = 0, gone_ = 0;
    std::uint32_t number_ = 0;
    Millis next_ = 0, next_gone_ = 0, due_ = 0, answered_at_ = -1e18;
};

}  // namespace cobaltshift::failure_detector
