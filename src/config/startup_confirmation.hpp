// Whether a process that has just started may put the configuration that it holds in force. Others may have
// told it an old one: a control node that is cut off holds what was current before the cut. Entry type:
// StartupConfirmation, made at the start of each proxy's life. Called by proxy::Proxy and by the simulated
// proxy; free of I/O.
//
// Invariants:
//   confirmed     a control node with a majority's word said, after this process asked, which edition is
//   current,
//                 and this process holds that one or a newer one
//   unconfirmed   `bound` has passed without such a word: the newest that anybody told is in force, and is
//   said to
//                 be unconfirmed until the word comes
// What is in force never goes back in one life, confirmed or not; that is the distributor's rule.
#pragma once

#include <optional>
#include <vector>

#include "config/configuration.hpp"

namespace cobaltshift::config {

using Millis = double;  // steady, from any origin

// What a control node answers to the question which edition is current.
struct CurrentAnswer {
    enum class Kind : std::uint8_t { unavailable, current, elsewhere };
    Kind kind = Kind::unavailable;
    Edition edition = 0;       // current: confirmed by a majority; 0: nothing has been put yet
    std::uint32_t leader = 0;  // elsewhere: the IPv4 of the node that leads, in host order
};

class StartupConfirmation {
public:
    enum class State : std::uint8_t { waiting, confirmed, unconfirmed };
    struct Settings {
        Millis bound = 800;       // ms from the start; then the best that is known is in force
        Millis ask_every = 120;   // ms between two questions while waiting
        Millis ask_later = 1000;  // ms between two questions past the bound
    };

    StartupConfirmation(Settings settings, Millis started);

    // Whom to ask now, among the control nodes that are known; none: not now, or no need. At most one
    // question is open at a time.
    std::optional<std::uint32_t> next_to_ask(Millis now, const std::vector<std::uint32_t>& control_nodes);
    void on_answer(const CurrentAnswer& answer);
    // When next_to_ask() or state() should be looked at again; none: no need.
    std::optional<Millis> due(Millis now) const;

    State state(Millis now, Edition held) const;
    // The edition held may be in force: state() is not `waiting`, and there is one.
    bool usable(Millis now, Edition held) const { return held > 0 && state(now, held) != State::waiting; }

private:
    const Settings settings_;
    const Millis started_;
    std::optional<Edition> current_;  // as a majority confirmed it
    std::optional<std::uint32_t> leader_;
    bool asking_ = false;
    Millis ask_at_;
    std::size_t next_node_ = 0;
};

}  // namespace cobaltshift::config
