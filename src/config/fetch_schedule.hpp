// Whom to ask for a newer configuration, and when. Entry type: FetchSchedule. Free of I/O: what is heard and
// how an ask ended goes in with its time, whom to ask now comes out. Driven over sockets by
// ConfigDistributor, in virtual time by sim_mesh.
//
// Asks are hedged: while one has said nothing for kHedgeAfter the next is begun beside it, kMostAtOnce
// together. Every ask but the first goes to a control node where one is known, since what the others said
// they hold is of no use once they have left: however many of them are silent, the second ask finds one that
// is not.
//
// Invariants:
//   nobody is asked unless somebody was heard to hold something newer
//   no node is asked twice at once, nor again within kRetryAfter
//   one that failed is asked again only after those that did not
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "config/configuration.hpp"

namespace cobaltshift::config {

class FetchSchedule {
public:
    using Millis = double;     // steady, from any origin
    using Ip = std::uint32_t;  // IPv4 in host order
    static constexpr std::size_t kMostSources = 32, kMostAtOnce = 3;
    static constexpr Millis kHedgeAfter = 100, kRetryAfter = 100;

    enum class End { newer, nothing_newer, failed };

    // The node holds this edition, which is newer than what is held here.
    void hint(Ip ip, Edition edition);
    // This edition is held: whoever has nothing newer is of no use.
    void hold(Edition edition);

    // Whom to ask now; it counts as asked until ended(). None: nobody, see due().
    std::optional<Ip> next(Millis now, const std::vector<Ip>& control_nodes);
    // It has begun to answer: nobody else is asked beside it.
    void answers(Ip ip);
    void ended(Ip ip, End end);
    // When next() may name somebody without anything else happening; none: no time will do.
    std::optional<Millis> due() const;

    std::size_t sources() const { return sources_.size(); }
    std::size_t asked() const { return asked_.size(); }

private:
    static constexpr Millis kNever = -1e18;
    struct Source {
        Edition edition = 0;  // 0: a control node of which nothing newer was heard
        Millis tried = kNever;
        unsigned failures = 0;  // in a row
    };
    using Sources = std::map<Ip, Source>;
    std::optional<Ip> best_source(Millis now) const;
    std::optional<Ip> best_control_node(Millis now, const std::vector<Ip>& control_nodes) const;
    bool may_ask(Ip ip, Millis tried, Millis now) const;
    Source* record_of(Ip ip);

    Sources sources_;             // that hold something newer
    Sources control_;             // control nodes that were asked without such a hint
    std::map<Ip, bool> asked_;    // now; whether it answers
    std::optional<Millis> last_;  // ask
};

}  // namespace cobaltshift::config
