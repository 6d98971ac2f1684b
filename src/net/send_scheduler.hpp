// Shares one machine's link among the answers that leave it, so that a short answer never waits behind long
// ones. Short answers go out at once; long ones in pieces, only as far ahead as the link carries in `ahead`.
// The one with the least left has the next turn, which ends most answers soonest; but on a full link it would
// let a long answer be passed by all that come after it, so each has a moment from which it is urgent, and
// the one that is urgent longest goes before all others. Entry type: SendScheduler. Called by a Listener that
// was given one; free of I/O: time is an argument, what may be written comes out.
//
// Invariants:
//   an urgent answer waits for none but those urgent before it, and the piece that is being written
//   no more than `ahead` of link time is handed to the kernel in advance of what the link can have carried
//   a waiting answer is granted one piece at a time, and none once it was removed
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "kelplb/balancer.hpp"

namespace cobaltshift {

class SendScheduler {
public:
    using Millis = double;  // steady, from any origin
    using Id = std::uint64_t;
    struct Settings {
        double bytes_per_ms = 0;           // of the link
        std::size_t long_from = 8 * 1024;  // bytes of an answer; shorter ones are not held back
        std::size_t piece = 8 * 1024;      // bytes handed to the kernel at a time
        Millis ahead = 12;                 // of link time
    };
    struct Grant {
        Id id;
        std::size_t bytes;
    };

    explicit SendScheduler(const Settings& settings) : settings_(settings) {}

    bool is_long(std::size_t bytes) const { return bytes >= settings_.long_from; }
    std::size_t long_from() const { return settings_.long_from; }
    // A short answer was written.
    void sent(Millis now, std::size_t bytes);
    // A long answer waits to be written, and is urgent from `urgent_at` on. Its id is good until finished()
    // or remove().
    Id add(std::size_t bytes, Millis urgent_at);
    // The piece granted last has been taken by the kernel; true: all of it has, and the id is no more.
    bool finished(Id id);
    void remove(Id id);

    // From now on all that waits, and all that comes, may be written at once and whole: the process ends
    // soon, and what is with the kernel by then still leaves.
    void release() { released_ = true; }

    // Who may write now; none: nobody, look again at due().
    std::optional<Grant> next(Millis now);
    // When next() may grant something; none: nobody waits.
    std::optional<Millis> due() const;
    // Of long answers, not yet handed to the kernel.
    std::size_t queued_bytes() const { return queued_bytes_; }
    // How long the link is taken by what it has and what is queued, in ms from `now`.
    Millis backlog(Millis now) const;

private:
    struct Answer {
        Millis urgent_at = 0;
        std::size_t left = 0;
    };
    void wait(Id id, const Answer& answer);
    void stop_waiting(Id id, const Answer& answer);
    Id next_in_turn(Millis now) const;

    const Settings settings_;
    std::map<Id, Answer> answers_;
    // Those that wait for their turn; of two that are alike the older first.
    std::set<std::pair<std::size_t, Id>> by_left_;
    std::set<std::pair<Millis, Id>> by_urgency_;
    Id next_id_ = 1;
    std::size_t queued_bytes_ = 0;
    Millis link_free_at_ = 0;
    bool released_ = false;
};

}  // namespace cobaltshift
