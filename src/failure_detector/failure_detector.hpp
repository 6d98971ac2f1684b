// Failure detection for cluster members: SWIM (Das et al. 2002) with the local-health rules of Lifeguard
// (Dadgar et al. 2017). Entry type: FailureDetector. Used by gossip::Gossip, which sends the probes. Free of
// I/O; not thread-safe.
//
// One member is probed per probe interval, in an order that is shuffled for each round; while any member is
// suspect the interval is halved. If the member does not answer in time, other members are asked to probe it.
// If they get no answer either it becomes suspect, and gone unless an answer or a newer record of it arrives
// before the suspicion expires. The probe load does not depend on the number of members.
//
// Invariants:
// - A node that has received no answer from any member since a suspicion began does not declare the suspect
//   gone: the node itself may be cut off.
// - After a tick that comes late (the process was frozen) all probes and suspicions start anew.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "random.hpp"
#include "registry/records.hpp"

namespace cobaltshift::failure_detector {

using registry::MemberState;
using registry::Millis;

struct Settings {
    Millis probe_interval = 500;
    Millis direct_timeout = 150;      // without an answer for this long, other members are asked to probe
    Millis indirect_timeout = 250;    // for an answer to their probes, after direct_timeout
    Millis suspicion_timeout = 1200;  // from suspect to gone, for a suspicion of this node's own
    Millis relayed_suspicion_extra = 700;  // added for a relayed suspicion: its originator decides first
    Millis suspect_probe_interval = 300;   // between probes of a member that this node suspects itself
    Millis gone_probe_interval = 2000;     // between probes of members that are gone, one member each time
    Millis freeze_threshold = 400;         // a tick this late means that the process was frozen
    Millis isolation_threshold = 2000;  // suspicions restart at the first answer after this long without any
    std::size_t indirect_probe_count = 3;     // members that are asked to probe
    std::size_t isolated_after_failures = 3;  // failed probes in a row; then no member is suspected
    std::size_t max_pending_probes = 8;       // bounds probe_now(), not the periodic probes
    double early_probe_fraction = 0.4;        // of probe_interval: how early probe_early() may send
};

class FailureDetector {
public:
    struct Probe {
        std::uint32_t to, number;
    };
    // A request to `helper` to probe `target`.
    struct IndirectProbe {
        std::uint32_t helper, target, number;
    };
    struct Output {
        std::vector<Probe> probes;
        std::vector<IndirectProbe> indirect_probes;
        std::vector<std::uint32_t> suspected, gone,
            cleared;  // IPs of members that changed state in this call
    };

    FailureDetector(const Settings& settings, std::uint64_t seed);

    // Sets the state that a record or another node reports, and adds the member if it is not known. `suspect`
    // starts a relayed suspicion.
    void set(Millis now, std::uint32_t ip, MemberState state);
    void remove(std::uint32_t ip);
    // The member answered: a direct probe, an indirect one or a request.
    void on_answer(Millis now, std::uint32_t ip, Output& out);
    // Probes a member at once because of a hint that it may have failed; does nothing unless it is alive, has
    // no probe pending and fewer than max_pending_probes are.
    void probe_now(Millis now, std::uint32_t ip, Output& out);

    // Does nothing before due().
    void tick(Millis now, Output& out);
    // Sends the next periodic probe now if it is due soon. Called when the process is awake anyway, which
    // saves a wake-up.
    void probe_early(Millis now, Output& out);
    Millis due() const { return due_; }
    // Whether this node seems to be cut off: too many probes in a row have failed.
    bool isolated() const { return consecutive_failures_ >= settings_.isolated_after_failures; }

private:
    struct Member {
        std::uint32_t ip;
        MemberState state;
        bool own_suspicion = false;                                  // else relayed
        Millis suspected_at = 0, expires_at = 0, next_probe_at = 0;  // while suspect
    };
    struct PendingProbe {
        std::uint32_t ip, number;
        Millis sent_at;
        bool indirect_sent;
    };

    std::vector<Member>::iterator at(std::uint32_t ip);
    Member* find(std::uint32_t ip);
    void probe(Millis now, std::uint32_t ip, Output& out);
    void start_suspicion(Millis now, Member& member, bool own);
    void restart_suspicions(Millis now);
    // Asks other members to probe, and probes directly once more: a single lost datagram is no evidence.
    void probe_indirectly(const PendingProbe& pending, Output& out);
    void probe_next(Millis now, Output& out);
    void probe_random_gone(Output& out);
    void update_due();
    // Until the next periodic probe, with 5 % jitter. Halved while a member is suspect, because members often
    // fail together.
    Millis next_interval();

    const Settings settings_;
    kelplb::Random random_;
    std::vector<Member> members_;  // sorted by IP
    std::vector<std::uint32_t> round_;
    std::size_t cursor_ = 0;  // in round_: the next to probe
    std::vector<PendingProbe> pending_;
    std::size_t consecutive_failures_ = 0, suspect_count_ = 0, gone_count_ = 0;
    std::uint32_t last_number_ = 0;
    Millis next_probe_at_ = 0, next_gone_probe_at_ = 0, due_ = 0, last_answer_at_ = -1e18;
};

}  // namespace cobaltshift::failure_detector
