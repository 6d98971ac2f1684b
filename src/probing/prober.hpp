// Shared probing: of all the sidecars that share it, one probes each server and tells the others. Servers
// fall into shards by their numbers; who holds the right to a shard (src/lease) probes its servers once an
// interval. Entry type: Prober, of one sidecar; src/probing_io has it on sockets. Free of I/O.
//
// Invariants:
// - A server is probed only under a right that holds beyond the probe's own end.
// - Two probes of one server by one holder are an interval apart. Who gains a shard probes a server an
//   interval after the last probe that it has heard of, where that is not over yet, else half an interval
//   after its gain at the earliest. So of three probes of one server the first and the last are an interval
//   apart at least, whoever sent them, whatever was lost on the way and whoever died.
// - What is told under a lower fence than the highest heard of for the shard, or twice, changes nothing.
// - What is heard orders servers by what the decision module makes of a rumour (its gossip of failures, which
//   breaks ties and is forgotten); it never outweighs own requests.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kelplb/balancer.hpp"
#include "lease/gate.hpp"
#include "lease/holder.hpp"

namespace cobaltshift::probing {

using kelplb::Millis;
using kelplb::ServerId;
using lease::Fence;

constexpr std::size_t kMaxInstances = 4096, kMaxShards = 256, kMaxServers = 16384, kMaxMessage = 1200;

struct ProberSettings {
    std::uint32_t number = 0, instances = 1;  // this one's place among those that share, from 0
    std::uint32_t shards = 8;
    Millis interval = 10000;
    Millis probe = 500;        // a probe ends within this
    std::size_t stand_by = 3;  // instances that ask for a shard from the start; the others once it is silent
    std::uint32_t listeners = 0;  // the last so many instances hear what others tell, and ask for no shard
    std::size_t at_once = 8;      // probes out at a time
    bool operator==(const ProberSettings&) const = default;
};

// Shard of a server; the right to a shard is the right to this task.
std::uint32_t shard_of(ServerId server, std::uint32_t shards);
std::string task_of(std::uint32_t shard);

class Prober {
public:
    struct Output {
        std::vector<std::uint32_t> want, give_up;  // shards
        std::vector<ServerId> probe;
        std::vector<std::string> tell;  // each to all the others, sealed
        std::vector<ServerId> failed;   // found just now, by whomever: a rumour for the decision module
        struct Found {
            ServerId server;
            bool good;
        };
        std::vector<Found> found;  // all that was, each probe's result once
    };

    explicit Prober(const ProberSettings& settings);

    // All servers that may be probed.
    void listed(Millis now, const std::vector<ServerId>& servers);
    // What this sidecar's right to a shard that it wants is just now.
    void right(Millis now, std::uint32_t shard, std::optional<lease::Holder::Right> right);
    // A probe that was handed out has ended. No value: it never went out.
    void probed(Millis now, ServerId server, std::optional<bool> good);
    // Returns what is wrong with it; empty: taken.
    std::string heard(Millis now, std::string_view bytes);
    // Gives back what it holds and asks for nothing any more.
    void stop(Millis now);

    void tick(Millis now);
    Millis due() const { return due_; }
    Output take();

    bool wants(std::uint32_t shard) const { return shards_[shard].wanted; }
    bool holds(std::uint32_t shard) const { return shards_[shard].fence != 0; }
    // Of all servers listed: the fleet's verdict, while it is not older than two intervals.
    struct Known {
        std::size_t good = 0, bad = 0, unknown = 0;
    };
    Known known(Millis now) const;
    struct Counts {
        std::uint64_t probes = 0, gained = 0, lost = 0, told = 0, heard = 0, refused = 0, failed = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    struct Server {
        std::uint32_t shard = 0;
        bool listed = true;
        std::optional<Millis> last;  // probed, by whomever, as far as is known
        Millis next = 0;             // while its shard is held
        bool out = false;
        // The newest verdict and the probe it is of: by fence, then number.
        Fence fence = 0;
        std::uint64_t number = 0;
        bool good = true;
        Millis at = -1e18;
    };
    struct Shard {
        std::size_t rank = 0;  // of this instance, from 0
        std::size_t servers = 0;
        bool wanted = false;
        Fence fence = 0;  // held under; 0: not held
        Fence held = 0;   // held under last
        Millis until = 0, tell_due = 0;
        std::uint64_t sequence = 0, probes = 0;  // under `held`
        Fence heard_fence = 0;
        std::uint64_t heard_sequence = 0;
        Millis heard_at = 0;
        bool news = false;
    };
    void plan(Millis now, ServerId id, Server& server) const;
    void stand(Millis now, std::uint32_t number, Shard& shard);
    void probe_round(Millis now);
    void tell(Millis now, std::uint32_t number, Shard& shard);
    void verdict(Millis now, ServerId id, Server& server, Fence fence, std::uint64_t number, bool good,
                 Millis at);
    Millis silence(const Shard& shard) const;

    const ProberSettings settings_;
    std::vector<Shard> shards_;
    std::map<ServerId, Server> servers_;
    lease::Gate gate_;
    std::size_t out_ = 0;
    bool stopped_ = false;
    Millis due_ = 0;
    Output output_;
    Counts counts_;
};

}  // namespace cobaltshift::probing
