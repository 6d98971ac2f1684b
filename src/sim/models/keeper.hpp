// A keeper's process: the Office unchanged, on a clock that runs a little off, with a journal on a disk that
// forgets. It dies where its disk refuses, starts again from what the disk holds, and begins a new life where
// that is nothing or spoilt.
#pragma once

#include <deque>
#include <memory>

#include "lease/office.hpp"
#include "sim/disk.hpp"
#include "sim/lease_facts.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::sim {

// Of all processes with leases in them.
struct LeaseSettings {
    explicit LeaseSettings(const Case& day);
    std::uint32_t keepers;
    std::size_t holders, tasks;
    Millis length, election, heartbeat, margin;
    double drift;  // that the keepers allow for
    double off;    // that clocks really are, at most
    std::size_t compact;
};

// A steady clock: starts anywhere, runs at its own rate.
struct OwnClock {
    Millis start = 0;
    double rate = 1;
    Millis at(Millis now) const { return start + now * rate; }
    Millis true_time(Millis own) const { return (own - start) / rate; }
    static OwnClock drawn(Stream& lots, double off);
};

class KeeperDesk : public Part {
public:
    KeeperDesk(Scene& scene, Node number);
    void start() override;

    Network::Endpoint endpoint() const { return endpoint_; }
    const lease::LeaseServer* office() const { return office_.get(); }  // null while it is dead
    void arrived(const std::string& bytes);                             // from a keeper
    // From a holder, who is answered by its endpoint.
    void asked(Network::Endpoint from, const std::string& bytes, Network::Arrive answer);

    // Faults.
    void stop();
    void boot();
    void pause(bool on);
    Disk& disk() { return disk_; }
    void slow_disk(Millis ms) { slow_ = ms; }
    void die_in_write() { die_in_write_ = true; }  // the next time, before the sync
    void keep_copy();                              // of the folder, as an operator's backup
    void restore_copy();
    // All others are voters and stored all that is committed: the loss of this folder leaves a majority
    // whole.
    bool others_whole() const;

private:
    void later(Task what);
    void run(Task what);
    void pump();
    void finish(lease::LeaseServer::Output output);
    void schedule();
    bool persist(const lease::LeaseServer::Output& output);
    void newcomer();
    Millis own() const { return clock_.at(scene_.kernel.now()); }

    Scene& scene_;
    const Node number_;
    const LeaseSettings settings_;
    const Network::Endpoint endpoint_;
    Stream lots_;
    Disk disk_;
    const OwnClock clock_;
    std::unique_ptr<lease::LeaseServer> office_;
    std::uint64_t life_ = 0, timer_ = 0;
    raft::PersistentState head_;  // what the journal's head says: fleet, id, starts
    bool paused_ = false, busy_ = false, die_in_write_ = false, leads_ = false;
    Millis slow_ = 0;
    std::deque<Task> inbox_;  // while paused or busy
    std::map<std::uint64_t, std::pair<Network::Endpoint, Network::Arrive>> clients_;
    std::uint64_t next_client_ = 1;
    std::optional<std::string> copy_;
};

}  // namespace cobaltshift::sim
