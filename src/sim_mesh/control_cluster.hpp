// Control nodes in virtual time: replicas with their disks, a network with delay, loss, bandwidth and cuts,
// kills and wiped disks. Entry type: ControlCluster. Called by drawn days of the control plane
// (control_day.hpp) and by tests; free of I/O. Unlike World it has no proxies, gossip or traffic, so that
// thousands of days are played in a minute.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "control/replica.hpp"
#include "random.hpp"

namespace cobaltshift::simmesh {

using control::Millis;

constexpr std::uint32_t kFirstHub = 0x0a000001;  // 10.0.0.1

// What must not be, seen by the cluster itself: an answer given twice, bytes that are no message.
struct ClusterFault : std::logic_error {
    using std::logic_error::logic_error;
};

class ControlCluster {
public:
    struct Hub {
        std::optional<raft::PersistentState> disk;
        std::optional<raft::PersistentState> disk_before;  // the last batch, where syncs are taken out
        std::unique_ptr<control::Replica> replica;
        bool first_boot = false, frozen = false;
        Millis sync_ms = 1, busy_until = 0;
        bool refuses = false;  // its disk
        int lives = 0, runs = 0;
    };

    explicit ControlCluster(std::uint64_t seed, control::ReplicaSettings given = {}, int founders = 3);

    // ---- Processes, disks, links
    void start(std::uint32_t ip);
    void kill(std::uint32_t ip) { hubs.at(ip).replica.reset(); }
    // The process ends, and what was not synced is gone.
    void lose_power(std::uint32_t ip);
    void wipe(std::uint32_t ip) { hubs.at(ip).disk.reset(); }
    void cut(std::uint32_t a, std::uint32_t b) { cuts.insert({a, b}), cuts.insert({b, a}); }
    void isolate(std::uint32_t ip);
    // SIGTERM: the lead is handed over, if it is there.
    bool hand_over(std::uint32_t ip);

    // ---- Calls of operators, by a number of their own; what came of each
    std::uint64_t put(std::uint32_t ip, config::Change change);
    std::uint64_t get(std::uint32_t ip);
    const control::Reply* reply(std::uint64_t client) const;
    // As an operator does it: runs until it is answered.
    control::Reply await(std::uint64_t client, Millis most = 2000);

    // ---- Time
    void run(Millis time);
    bool await(const std::function<bool()>& what, Millis most);

    // ---- What is to be seen
    std::uint32_t leader() const;                    // 0: none
    std::uint32_t await_leader(Millis most = 3000);  // throws ClusterFault if there is none by then
    std::uint32_t other_than(std::uint32_t ip) const;
    const raft::Members& members(std::uint32_t ip) const { return hubs.at(ip).replica->raft().members(); }
    bool votes(std::uint32_t at, std::uint32_t ip) const;
    // Everybody's newest member of this life, as the leader has it committed.
    bool settled(std::uint32_t ip) const;

    static constexpr std::uint64_t kFleet = 77;
    std::map<std::uint32_t, Hub> hubs;
    std::vector<std::uint32_t> seeds;
    std::set<std::pair<std::uint32_t, std::uint32_t>> cuts;
    std::set<std::uint32_t> joins_to;  // hubs that newcomers know of; empty: all
    double loss = 0;                   // share of messages
    // Promises that a test takes out, to see that its checks find it.
    bool reads_need_majority = true, acknowledges_after_commit = true, syncs_before_answers = true;
    double bytes_per_ms = 0;  // of each link, in each direction; 0: without a bound
    Millis now = 1000;
    control::ReplicaSettings settings;
    std::map<std::uint64_t, control::Reply> replies;
    std::uint64_t clients = 0;
    std::uint64_t messages = 0, message_bytes = 0, snapshot_pieces = 0;

private:
    struct Mail {
        Millis at;
        std::uint64_t number;
        std::uint32_t from, to;
        std::string bytes;
        bool passed_on;
        bool operator<(const Mail& other) const {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };
    std::uint64_t draw() { return 1 + static_cast<std::uint64_t>(random_.unit() * 0x1p52); }
    void send(std::uint32_t from, std::uint32_t to, const raft::Message& message, Millis after);
    void deliver(const Mail& one);
    void pump(std::uint32_t ip);
    void answer_at_once(std::uint64_t client, control::Reply::Kind kind, const control::Replica& replica);

    kelplb::Random random_;
    std::priority_queue<Mail> mail_;
    std::uint64_t mails_ = 0;
    std::map<std::pair<std::uint32_t, std::uint32_t>, Millis> link_free_at_;
};

}  // namespace cobaltshift::simmesh
