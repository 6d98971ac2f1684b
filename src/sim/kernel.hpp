// Virtual time and all that happens in it, for a whole system in one process and one thread. Events run in
// the order of their time and, at one time, of their being set; one seed fixes everything. Entry type:
// Kernel; models (servers, forwarders, ...) hold a reference to it, and Network, Process and Disk are built
// on it.
//
// Invariants: time never goes back; an event set for the past runs now, after those that are due already;
// what is cancelled never runs.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "sim/stream.hpp"
#include "sim/task.hpp"

namespace cobaltshift::sim {

using Millis = double;

// A model's fault, not a finding: two owners of one stream, an endpoint nobody has.
struct ModelError : std::logic_error {
    using std::logic_error::logic_error;
};

class Kernel {
public:
    explicit Kernel(std::uint64_t seed) : seed_(seed) {}
    Kernel(const Kernel&) = delete;
    Kernel& operator=(const Kernel&) = delete;

    std::uint64_t seed() const { return seed_; }
    Millis now() const { return now_; }
    std::uint64_t events() const { return events_; }      // run so far
    std::size_t pending() const { return heap_.size(); }  // those cancelled may still count

    // The number cancels it; no number comes twice.
    using Handle = std::uint64_t;
    Handle at(Millis when, Task what);
    Handle after(Millis delay, Task what) { return at(now_ + delay, std::move(what)); }
    // False: it has run or been cancelled already.
    bool cancel(Handle handle);

    // Runs the next event if it is due by `end`; false: none is.
    bool step(Millis end);
    void run(Millis end) {
        while (!stopped_ && step(end)) {
        }
    }
    void stop() { stopped_ = true; }

    // The stream of this name. Throws ModelError if it has been taken: two parts that drew from one stream
    // would move each other's draws.
    Stream stream(std::string_view name);

    // A running hash of what has happened: of each event's time, and of whatever models add. Two runs of one
    // case and seed end with the same one on every machine.
    void note(std::uint64_t what) { digest_ = mix(digest_ ^ what); }
    std::uint64_t digest() const { return digest_; }

private:
    struct Entry {
        Millis at;
        std::uint64_t order;
        std::uint32_t slot;
        bool operator<(const Entry& other) const {
            return at < other.at || (at == other.at && order < other.order);
        }
    };
    struct Slot {
        Task what;
        std::uint64_t order = 0;  // of the event in it; 0: free
    };
    static std::uint64_t mix(std::uint64_t h) {  // SplitMix64's finisher
        h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9;
        h = (h ^ (h >> 27)) * 0x94d049bb133111eb;
        return h ^ (h >> 31);
    }
    void push(Entry entry);
    void pop();

    std::uint64_t seed_;
    Millis now_ = 0;
    std::uint64_t order_ = 0, events_ = 0, digest_ = 0x9e3779b97f4a7c15;
    bool stopped_ = false;
    std::vector<Entry> heap_;  // four children to a node: half the levels, and they share a cache line or two
    std::vector<Slot> slots_;
    std::vector<std::uint32_t> free_;
    std::map<std::string, bool, std::less<>> streams_;
};

}  // namespace cobaltshift::sim
