// Schedules the answers that leave over one machine's link, so that short answers do not wait behind long
// ones. Short answers are written at once. Long answers are written in pieces, and no more than `max_lead`
// milliseconds of link time is handed to the kernel in advance. The answer with the fewest remaining bytes is
// served first, which completes most answers soonest. On a saturated link that order alone would starve long
// answers, so each answer becomes urgent at a given time; urgent answers go before all others, those urgent
// longest first.
//
// Entry type: SendScheduler. Used by Listener through PacedLink. Performs no I/O: the time is an argument,
// and next() returns what may be written. Not thread-safe.
//
// Invariants:
//   - an urgent answer waits only for answers that became urgent before it and for the piece being written;
//   - at most `max_lead` of link time is handed to the kernel beyond what the link can have carried;
//   - a queued answer is granted one piece at a time, and none after it was removed.
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
    using Millis = double;  // monotonic time, from any origin
    using Id = std::uint64_t;
    struct Settings {
        double bytes_per_ms = 0;                   // rate of the link
        std::size_t long_answer_bytes = 8 * 1024;  // answers of at least this many bytes are scheduled
        std::size_t piece_bytes = 8 * 1024;        // bytes handed to the kernel per grant
        Millis max_lead = 12;                      // link time that may be handed to the kernel in advance
    };
    struct Grant {
        Id id;
        std::size_t bytes;
    };

    explicit SendScheduler(const Settings& settings) : settings_(settings) {}

    bool is_long(std::size_t bytes) const { return bytes >= settings_.long_answer_bytes; }
    std::size_t long_answer_bytes() const { return settings_.long_answer_bytes; }
    // Accounts for a short answer that was written without being scheduled.
    void record_sent(Millis now, std::size_t bytes);
    // Queues a long answer that becomes urgent at `urgent_at`. The id is valid until on_piece_written()
    // returns true or remove() is called.
    Id add(std::size_t bytes, Millis urgent_at);
    // Reports that the kernel has accepted the piece granted last, and queues the rest for another grant.
    // Returns true if the answer is complete or was removed; the id is then no longer valid.
    bool on_piece_written(Id id);
    void remove(Id id);

    // Ends pacing: from now on every answer is granted at once and whole. Used shortly before the process
    // exits, as the kernel still delivers what it holds by then.
    void release() { released_ = true; }

    // The answer that may write now, and how much; none: try again at due().
    std::optional<Grant> next(Millis now);
    // The time at which next() may grant something; none: no answer is queued.
    std::optional<Millis> due() const;
    // Bytes of long answers that have not been granted yet.
    std::size_t queued_bytes() const { return queued_bytes_; }
    // How long the link needs for everything sent and queued, in ms from `now`.
    Millis backlog(Millis now) const;

private:
    struct QueuedAnswer {
        Millis urgent_at = 0;
        std::size_t remaining_bytes = 0;
    };
    void enqueue(Id id, const QueuedAnswer& answer);
    void dequeue(Id id, const QueuedAnswer& answer);
    Id select_next(Millis now) const;

    const Settings settings_;
    std::map<Id, QueuedAnswer> answers_;
    // The answers without an outstanding grant, in both orders; ties go to the older answer.
    std::set<std::pair<std::size_t, Id>> by_remaining_;
    std::set<std::pair<Millis, Id>> by_urgency_;
    Id next_id_ = 1;
    std::size_t queued_bytes_ = 0;
    Millis link_free_at_ = 0;
    bool released_ = false;
};

}  // namespace cobaltshift
