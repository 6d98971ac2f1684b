// One schedule of the control plane's explicit-state check (control_check.hpp): members, messages between
// them, calls of operators and readers, and what went wrong so far. Copied wherever it may go on in another
// way; members and disks are shared until one of the copies changes them. Entry type: Schedule. Called by
// check(); free of I/O.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/replica.hpp"
#include "sim_mesh/control_check.hpp"
#include "sim_mesh/linearizability.hpp"

namespace cobaltshift::simmesh {

using raft::Millis;

// A call of the day's script, in ms after it is led.
struct Scripted {
    enum class What : std::uint8_t { read, change, first_change_again };
    Millis at;
    What what;
};

// What happened so far, shared by all schedules that began so.
struct Note {
    std::shared_ptr<const Note> before;
    Millis at;
    std::string text;
};

// A message on its way.
struct Flight {
    std::size_t from = 0, to = 0;
    std::shared_ptr<const std::string> bytes;
    bool passed_on = false;
    Millis not_before = 0;
};

class Schedule {
public:
    using Each = std::function<void(Schedule&&, const char* kind)>;
    static constexpr std::size_t kMembers = 3, kMachines = 5;  // the last two are spares
    // How long whoever asks or comes back waits.
    static constexpr Millis kBack = 60, kSilence = 250;

    explicit Schedule(const ControlCheck& what);

    bool over() const { return now_ >= end_ || !broken_.empty(); }
    unsigned left() const { return left_; }
    const std::string& broken() const { return broken_; }
    std::vector<std::string> trace() const;

    // The next message arrives, or time goes on to the next timer or call.
    void step();

    // Each schedule that deviates here, with its kind of deviation.
    void deviate(const Each& each) const;

    // All that may still matter, as one number.
    std::uint64_t state() const;

private:
    struct Call {
        std::uint64_t client = 0;
        std::size_t operation = 0, machine = 0;
        Millis until = 0;
        int tries = 0;
    };

    static std::string name(std::size_t m) { return "member " + std::to_string(m); }
    Millis clock() const { return 1000 + now_; }
    std::uint64_t from_now(Millis at) const;
    void note(const std::string& text) { notes_ = std::make_shared<Note>(Note{notes_, now_, text}); }
    void broken(const std::string& what);
    std::optional<std::size_t> leader() const;

    // ---- Processes

    void boot(std::size_t m);
    void die(std::size_t m);
    void wipe(std::size_t m);
    void replace(std::size_t m, std::size_t spare);
    void stop(std::size_t m);

    void pump(std::size_t m);
    void keep(std::size_t m, const raft::Ready& ready);
    void applied(const raft::Committed& one);

    // ---- Between them

    void send(std::size_t from, std::size_t to, const raft::Message& message);
    std::optional<std::size_t> deliverable() const;
    void deliver(const Flight& flight);

    void pass_time();

    // ---- Calls

    void begin(const Scripted& scripted);
    // At whoever believes that it leads, also one that no longer does: each in its turn.
    void ask(Call call);
    bool answers_without_majority(const Call& call, control::Replica& replica);
    void answered(const control::Reply& reply);
    // Without a clear answer it is sent again as it was.
    void call_again();
    void check_history();

    const ControlCheck what_;
    unsigned left_ = 0;
    Millis now_ = 0, start_ = 0, end_ = 0;
    std::array<std::shared_ptr<raft::PersistentState>, kMachines> disks_;
    std::array<std::shared_ptr<control::Replica>, kMachines> replicas_;
    mutable std::array<std::uint64_t, kMachines> described_{};  // 0: to be made anew
    std::array<Millis, kMachines> back_{}, deaf_{}, mute_{}, stops_{};
    std::deque<Flight> network_;
    std::vector<Operation> history_;
    std::vector<Call> calls_;
    std::uint64_t clients_ = 0, changes_ = 0, newest_known_ = 0;
    std::size_t next_scripted_ = 0;
    std::map<raft::Term, raft::MemberId> leaders_;
    std::map<raft::Index, std::uint64_t> log_;
    std::shared_ptr<const Note> notes_;
    std::string broken_;
};

// Gives a copy of its own to whoever is about to change what is shared.
template <class T>
T& own(std::shared_ptr<T>& shared) {
    if (shared.use_count() > 1) shared = std::make_shared<T>(*shared);
    return *shared;
}

// The day's calls, in the order of their times.
const std::vector<Scripted>& script();

}  // namespace cobaltshift::simmesh
