// Decides whether a process that has just started may put the configuration that it holds in force. It may
// have received an outdated one: a partitioned control node still holds what was current before the
// partition. Entry type: StartupConfirmation, created at the start of each proxy process. Used by
// proxy::Proxy and the simulated proxy. Free of I/O; not thread-safe.
//
// States:
// - confirmed: a control node, backed by a majority, reported the current edition after this process asked,
//   and this process holds that edition or a newer one.
// - unconfirmed: max_wait has passed without such a report. The newest edition that any node offered is in
//   force, and is reported as unconfirmed until the report arrives.
//
// Confirmed or not, the configuration in force never goes back within a process: ConfigDistributor ensures
// that.
#pragma once

#include <optional>
#include <vector>

#include "config/configuration.hpp"

namespace cobaltshift::config {

using Millis = double;  // on a steady clock, from an arbitrary origin

// A control node's answer to the question which edition is current.
struct CurrentAnswer {
    // elsewhere: the node asked is not the leader, but knows it.
    enum class Kind : std::uint8_t { unavailable, current, elsewhere };
    Kind kind = Kind::unavailable;
    Edition edition = 0;       // current: confirmed by a majority; 0: no configuration exists yet
    std::uint32_t leader = 0;  // elsewhere: the leader's IPv4 address in host byte order
};

class StartupConfirmation {
public:
    enum class State : std::uint8_t { waiting, confirmed, unconfirmed };
    struct Settings {
        Millis max_wait = 800;              // from the start; then the newest known is in force
        Millis retry_interval = 120;        // between two queries while waiting
        Millis late_retry_interval = 1000;  // between two queries after max_wait
    };

    StartupConfirmation(Settings settings, Millis started);

    // The control node to query now, out of those that are known; none if it is not time or not needed. At
    // most one query is pending at a time: on_answer() must follow, also after a failure (`unavailable`).
    std::optional<std::uint32_t> next_to_ask(Millis now, const std::vector<std::uint32_t>& control_nodes);
    void on_answer(const CurrentAnswer& answer);
    // When to call next_to_ask() and state() again; none if never.
    std::optional<Millis> due(Millis now) const;

    State state(Millis now, Edition held) const;
    // Whether the edition held may be in force: there is one, and state() is not `waiting`.
    bool usable(Millis now, Edition held) const { return held > 0 && state(now, held) != State::waiting; }

private:
    const Settings settings_;
    const Millis started_at_;
    std::optional<Edition> confirmed_edition_;  // as confirmed by a majority
    std::optional<std::uint32_t> leader_hint_;
    bool query_pending_ = false;
    Millis next_query_at_;
    std::size_t next_node_ = 0;
};

}  // namespace cobaltshift::config
