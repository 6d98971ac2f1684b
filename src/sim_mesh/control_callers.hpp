// Operators and readers of the control plane in virtual time, as the users' platform has them: each call goes
// to any control node, follows a redirect twice, gives up after a second of silence and is sent again as it
// was. What they were told is a history for check_linearizable(). Entry type: Callers. Called by
// play_control_day(); free of I/O.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sim_mesh/control_cluster.hpp"
#include "sim_mesh/linearizability.hpp"

namespace cobaltshift::simmesh {

struct CallersSettings {
    std::size_t operators = 2, readers = 2;
    Millis change_pause = 400, read_pause = 350;  // mean, between two calls of one caller
    double answers_lost = 0.03, requests_lost = 0.02;
    double resends = 0.1;   // share of changes that were taken before and are sent again
    double invalid = 0.03;  // share of changes
    double same_base =
        0.3;  // share of changes on the newest edition that any operator knows, and one above it
    std::size_t routes = 3;  // of a configuration
};

class Callers {
public:
    Callers(ControlCluster& cluster, const CallersSettings& settings, std::uint64_t seed);

    // One turn: what is due is sent, what has come is heard.
    void turn();
    // From here on nothing new is begun, and nothing is lost on its way.
    void finish() { finishing_ = true; }
    bool idle() const;
    // A change that was taken, so many acknowledgements ago, is sent again by nobody in particular.
    config::Change acknowledged_change(std::size_t ago) const;
    std::size_t acknowledged() const { return acknowledged_.size(); }
    std::uint64_t newest_edition() const { return newest_acknowledged_edition_; }

    const std::vector<Operation>& history() const { return history_; }
    // The longest that an open call has been pending in calm times, and whose it is; `calm` is said each
    // turn.
    Millis longest_calm_wait() const { return longest_calm_wait_; }
    Millis longest_answer() const { return longest_answer_; }  // of a node that is up, to one call
    void set_calm(bool calm) { calm_ = calm; }
    std::function<void()> on_acknowledged;

    struct Counts {
        std::uint64_t readings = 0, resends = 0, refused = 0, invalid = 0, unclear = 0, answers_lost = 0,
                      redirects = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    enum class Phase : std::uint8_t { resting, asking, waiting, hearing };
    struct Caller {
        std::string name;
        bool reads = false;
        Phase phase = Phase::resting;
        Millis at = 0;                         // when the phase's next step is due
        std::optional<std::size_t> operation;  // in the history; none: between two calls
        config::Change change;
        bool valid = true;
        std::uint32_t node = 0;
        int redirects = 0;
        std::uint64_t client = 0;
        Millis sent = 0, pause = 0, calm_wait = 0, last_turn = 0;
        std::uint64_t known_edition = 0;
        control::Reply reply;
    };
    void begin(Caller& caller);
    void begin_change(Caller& caller, Operation& operation);
    void ask(Caller& caller);
    void wait(Caller& caller);
    void hear(Caller& caller);
    void again(Caller& caller);
    void done(Caller& caller, Operation::Answer answer);
    std::uint32_t any_node();
    std::string body(std::uint64_t change, std::uint64_t edition, bool valid);
    bool chance(double share) { return random_.unit() < share; }
    Millis around(Millis mean) { return mean * (0.3 + 1.4 * random_.unit()); }

    ControlCluster& cluster_;
    const CallersSettings settings_;
    kelplb::Random random_;
    std::vector<Caller> callers_;
    std::vector<Operation> history_;
    struct Acknowledged {
        std::uint64_t change = 0;
        config::Change call;
        std::uint64_t edition = 0;
    };
    std::vector<Acknowledged> acknowledged_;
    std::uint64_t next_change_ = 1, newest_acknowledged_edition_ = 0, newest_known_edition_ = 0;
    Millis longest_calm_wait_ = 0, longest_answer_ = 0;
    bool finishing_ = false, calm_ = false;
    Counts counts_;
};

}  // namespace cobaltshift::simmesh
