// Machines and what lies between them: datagrams that get lost, and calls (one exchange over a TCP
// connection) that reset when the other process dies and hang when it is cut off or without power. Entry
// type: Network. Called by World, Node and whoever sends.
//
// Invariants: nothing runs in a process that has ended since, nor in a frozen or busy one (it waits its
// turn); a call that is over is never heard of again; what a cut holds back arrives when it is joined, unless
// the caller has closed.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "random.hpp"
#include "sim_mesh/timeline.hpp"

namespace cobaltshift::simmesh {

struct Machine {
    std::uint32_t ip = 0;
    std::string zone;
    bool hub = false, powered = true, running = false, frozen = false;
    bool busy = false;        // in a blocking system call (a sync)
    std::uint64_t epoch = 0;  // of its process
    std::deque<Task> held;
    bool blocked() const { return frozen || busy; }
};

// A TCP connection from one process to another: for one exchange (call()) or for many (connect(), send()).
struct Call {
    std::uint32_t from = 0, to = 0;
    std::uint64_t number = 0, from_epoch = 0, to_epoch = 0;
    bool connected = false, arrived = false, over = false;
    std::function<void(bool refused)> on_broken;  // at the caller; refused: it never got through
    Task on_closed;                               // at the one called: the caller left
};
using CallPtr = std::shared_ptr<Call>;

class Network {
public:
    Network(Timeline& time, std::uint64_t seed) : time_(time), random_(seed) {}

    Machine& add(std::uint32_t ip, const std::string& zone, bool hub);
    Machine& machine(std::uint32_t ip) { return machines_.at(ip); }
    const std::map<std::uint32_t, Machine>& machines() const { return machines_; }

    // ---- Processes
    void start(std::uint32_t ip);
    void end(std::uint32_t ip, bool power);
    void freeze(std::uint32_t ip, bool on);
    void busy(std::uint32_t ip, bool on, Task first = {});  // `first`: goes on where it was held up
    // In the process of this epoch, in turn.
    void in_process(std::uint32_t ip, std::uint64_t epoch, Task what);
    // Timers of the process that runs now.
    void at(std::uint32_t ip, Millis when, Task what);
    void after(std::uint32_t ip, Millis delay, Task what) { at(ip, time_.now() + delay, std::move(what)); }

    // ---- Links
    void cut(std::uint32_t from, std::uint32_t to, bool on);  // one way; counted
    bool passes(std::uint32_t from, std::uint32_t to) const { return !cuts_.count({from, to}); }
    void datagram(std::uint32_t from, std::uint32_t to, Task at_other);
    // `epoch`: of the process at the other end of a kept connection; 0: a new connection.
    CallPtr call(std::uint32_t from, std::uint32_t to, std::uint64_t epoch,
                 std::function<void(const CallPtr&)> arrive, std::function<void(bool)> broken);
    void reply(const CallPtr& call, Task at_caller);
    // A connection for many messages; `connected` runs at the caller, `broken` there once it is reset.
    CallPtr connect(std::uint32_t from, std::uint32_t to, Task connected, std::function<void(bool)> broken);
    // A message over it, forth or back. Forth, what nobody's kernel takes for `kDeadAfter` resets the
    // connection (TCP_USER_TIMEOUT).
    void send(const CallPtr& call, bool forth, Task at_other);
    void close(const CallPtr& call);  // by the caller
    // By a machine between the two, with both ends told: some of a machine's connections; how many.
    std::size_t reset_some(std::uint32_t ip, double share);
    double loss = 0;  // of datagrams

private:
    void pass(const CallPtr& call, bool forth, Task then, Task taken = {});
    void shake_hands(const CallPtr& call, Task connected);
    void reset(const CallPtr& call);
    void reset_by_kernel(const CallPtr& call);
    void finish(const CallPtr& call);
    void flush(Machine& machine);
    Millis delay() { return 0.3 + 2.5 * random_.unit(); }

    Timeline& time_;
    kelplb::Random random_;
    std::map<std::uint32_t, Machine> machines_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, int> cuts_;
    std::map<std::uint64_t, CallPtr> calls_;
    std::uint64_t numbers_ = 0;
};

}  // namespace cobaltshift::simmesh
