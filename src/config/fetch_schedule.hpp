// Decides which node to fetch a newer configuration from, and when. Entry type: FetchSchedule. Free of I/O:
// reports of editions and the ends of fetches go in with their times, and the next node to ask comes out.
// Driven over sockets by ConfigDistributor and in virtual time by sim_mesh. Not thread-safe.
//
// Fetches are hedged: if one has not begun to be answered after kHedgeDelayMs another is started beside it,
// up to kMaxConcurrentFetches. All but the first go to a control node if one is known, because what other
// nodes reported is useless once they have left: however many of them do not answer, the second fetch finds a
// node that does.
//
// Invariants:
// - No node is asked unless some node has reported a newer edition.
// - No node is asked twice at once, or again within kRetryDelayMs.
// - A node that failed is asked again only after those that did not.
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
    using Millis = double;     // on a steady clock, from an arbitrary origin
    using Ip = std::uint32_t;  // IPv4 in host byte order
    static constexpr std::size_t kMaxSources = 32, kMaxConcurrentFetches = 3;
    static constexpr Millis kHedgeDelayMs = 100, kRetryDelayMs = 100;

    enum class End { newer, nothing_newer, failed };

    // The node has reported this edition, which is newer than the one held here.
    void hint(Ip ip, Edition edition);
    // This node now holds `edition`; sources without a newer one are dropped.
    void hold(Edition edition);

    // The node to fetch from now; the fetch counts as in flight until ended(). None: see due().
    std::optional<Ip> next(Millis now, const std::vector<Ip>& control_nodes);
    // The node has begun to answer: no further fetch is started beside it.
    void response_started(Ip ip);
    void ended(Ip ip, End end);
    // When next() may return a node without any other call before; none if time alone changes nothing.
    std::optional<Millis> due() const;

    std::size_t sources() const { return sources_.size(); }
    std::size_t asked() const { return in_flight_.size(); }

private:
    static constexpr Millis kNever = -1e18;
    struct Source {
        Edition edition = 0;  // 0: a control node that has not reported a newer edition
        Millis last_asked = kNever;
        unsigned failures = 0;  // in a row
    };
    using Sources = std::map<Ip, Source>;
    std::optional<Ip> best_source(Millis now) const;
    std::optional<Ip> best_control_node(Millis now, const std::vector<Ip>& control_nodes) const;
    bool may_ask(Ip ip, Millis last_asked, Millis now) const;
    Source* find_source(Ip ip);

    Sources sources_;                      // nodes that reported a newer edition
    Sources control_nodes_asked_;          // control nodes that were asked without a report
    std::map<Ip, bool> in_flight_;         // value: whether the node has begun to answer
    std::optional<Millis> last_asked_at_;  // any node
};

}  // namespace cobaltshift::config
