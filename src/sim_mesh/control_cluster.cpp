#include "sim_mesh/control_cluster.hpp"

#include <algorithm>
#include <utility>

#include "raft/codec.hpp"

namespace cobaltshift::simmesh {

namespace {

constexpr Millis kElection = 600, kLeastDelay = 0.5, kMostDelay = 4, kFrozenLook = 50;
constexpr Millis kMostQueue = 80;  // of what the kernel holds of a connection, on the narrowest link
constexpr std::size_t kLongestDatagram = 1200;  // as control_io/peers.hpp

void keep(raft::PersistentState& disk, const raft::Ready& ready) {
    if (ready.vote) disk.term = ready.vote->term, disk.voted = ready.vote->voted;
    if (ready.snapshot) disk.snapshot = *ready.snapshot, disk.entries.clear();
    if (ready.from > 0) {
        disk.entries.resize(ready.from - disk.snapshot.index - 1);
        disk.entries.insert(disk.entries.end(), ready.entries.begin(), ready.entries.end());
    }
}

}  // namespace

ControlCluster::ControlCluster(std::uint64_t seed, control::ReplicaSettings given, int founders)
    : settings(given), random_(seed) {
    for (int i = 0; i < founders; ++i) seeds.push_back(kFirstHub + static_cast<std::uint32_t>(i));
    for (const std::uint32_t ip : seeds) hubs[ip].first_boot = true, start(ip);
    for (const std::uint32_t ip : seeds) hubs[ip].first_boot = false;
}

// ---- Processes, disks, links -----------------------------------------------------------------------------

void ControlCluster::start(std::uint32_t ip) {
    Hub& hub = hubs[ip];
    if (!hub.disk) {
        const bool founder = hub.first_boot;
        hub.disk = founder ? control::bootstrap(kFleet, ip, seeds)
                           : raft::newcomer(kFleet, raft::kFirstRandomId + draw());
        ++hub.lives;
    }
    ++hub.disk->starts;
    ++hub.runs;
    settings.consensus.cluster_id = kFleet;
    settings.consensus.number = ip;
    settings.consensus.member_slots = UINT32_MAX;
    settings.consensus.election = kElection;
    hub.replica = std::make_unique<control::Replica>(settings, *hub.disk, now, draw());
    pump(ip);
}

void ControlCluster::lose_power(std::uint32_t ip) {
    kill(ip);
    Hub& hub = hubs.at(ip);
    if (!syncs_before_answers && hub.disk_before && hub.disk) {
        const std::uint64_t starts = hub.disk->starts;
        hub.disk = std::exchange(hub.disk_before, std::nullopt);
        hub.disk->starts = starts;  // counted in a batch of its own
    }
}

void ControlCluster::isolate(std::uint32_t ip) {
    for (const auto& [other, hub] : hubs)
        if (other != ip) cut(ip, other);
}

bool ControlCluster::hand_over(std::uint32_t ip) {
    Hub& hub = hubs.at(ip);
    const bool asked = hub.replica && hub.replica->hand_over(now);
    pump(ip);
    return asked;
}

// ---- Calls -----------------------------------------------------------------------------------------------

std::uint64_t ControlCluster::put(std::uint32_t ip, config::Change change) {
    const std::uint64_t client = ++clients;
    control::Replica* replica = hubs.at(ip).replica.get();
    if (!replica) return client;
    if (!acknowledges_after_commit && replica->raft().leads() &&
        replica->state_machine().edition() == change.if_match &&
        change.body.find("\"deadline_s\":0,") == std::string::npos) {
        answer_at_once(client, control::Reply::Kind::taken, *replica);
        replica->change(now, ++clients, std::move(change));
    } else {
        replica->change(now, client, std::move(change));
    }
    pump(ip);
    return client;
}

std::uint64_t ControlCluster::get(std::uint32_t ip) {
    const std::uint64_t client = ++clients;
    control::Replica* replica = hubs.at(ip).replica.get();
    if (!replica) return client;
    if (!reads_need_majority && replica->raft().leads()) {
        answer_at_once(client,
                       replica->state_machine().current() ? control::Reply::Kind::config
                                                          : control::Reply::Kind::no_config,
                       *replica);
        return client;
    }
    replica->read(now, client);
    pump(ip);
    return client;
}

// A promise is taken out.
void ControlCluster::answer_at_once(std::uint64_t client, control::Reply::Kind kind,
                                    const control::Replica& replica) {
    control::Reply reply;
    reply.client = client;
    reply.kind = kind;
    reply.edition = replica.state_machine().edition();
    reply.current = replica.state_machine().current();
    replies.emplace(client, std::move(reply));
}

const control::Reply* ControlCluster::reply(std::uint64_t client) const {
    const auto at = replies.find(client);
    return at == replies.end() ? nullptr : &at->second;
}

control::Reply ControlCluster::await(std::uint64_t client, Millis most) {
    const Millis until = now + most;
    while (!reply(client) && now < until) run(5);
    return reply(client) ? *reply(client) : control::Reply();
}

// ---- Time ------------------------------------------------------------------------------------------------

void ControlCluster::run(Millis time) {
    const Millis until = now + time;
    while (true) {
        Millis next = until;
        if (!mail_.empty()) next = std::min(next, mail_.top().at);
        for (const auto& [ip, hub] : hubs)
            if (hub.replica && !hub.frozen)
                next = std::min(next, std::max(hub.busy_until, hub.replica->due()));
        now = std::max(now, next);
        if (now >= until) break;
        for (auto& [ip, hub] : hubs)
            if (hub.replica && !hub.frozen && hub.busy_until <= now && hub.replica->due() <= now) {
                hub.replica->tick(now);
                pump(ip);
            }
        while (!mail_.empty() && mail_.top().at <= now) {
            const Mail one = mail_.top();
            mail_.pop();
            deliver(one);
        }
    }
}

bool ControlCluster::await(const std::function<bool()>& what, Millis most) {
    const Millis until = now + most;
    while (!what() && now < until) run(10);
    return what();
}

void ControlCluster::send(std::uint32_t from, std::uint32_t to, const raft::Message& message, Millis after) {
    if (to == from || random_.unit() < loss) return;
    std::string bytes = raft::encode(message);
    ++messages;
    message_bytes += bytes.size();
    snapshot_pieces += message.kind == raft::Message::Kind::snapshot_piece;
    Millis leaves = now + after;
    if (bytes_per_ms > 0) {
        // What is short goes by datagram, between the segments of the connection that carries what is long.
        Millis& free_at = link_free_at_[{from, to}];
        const Millis takes = static_cast<double>(bytes.size()) / bytes_per_ms;
        const bool by_datagram = bytes.size() <= kLongestDatagram;
        if (by_datagram) {
            leaves += std::clamp(free_at - leaves, 0.0, kMostQueue) + takes;
            free_at += takes;
        } else {
            leaves = std::max(leaves, free_at) + takes;
            free_at = leaves;
        }
    }
    const Millis delay = kLeastDelay + (kMostDelay - kLeastDelay) * random_.unit();
    mail_.push({leaves + delay, ++mails_, from, to, std::move(bytes), message.number != from});
}

void ControlCluster::deliver(const Mail& one) {
    const auto to = hubs.find(one.to);
    if (to == hubs.end()) return;  // gone for good
    Hub& hub = to->second;
    if (!hub.replica || cuts.count({one.from, one.to})) return;
    if (hub.frozen || hub.busy_until > now) {
        Mail later = one;
        later.at = hub.frozen ? now + kFrozenLook : hub.busy_until;
        later.number = ++mails_;
        return mail_.push(later);
    }
    std::string why;
    const auto message = raft::decode_message(one.bytes, why);
    if (!message) throw ClusterFault("bytes that are no message: " + why);
    hub.replica->on_message(now, *message, one.passed_on);
    pump(one.to);
}

void ControlCluster::pump(std::uint32_t ip) {
    Hub& hub = hubs.at(ip);
    while (hub.replica && hub.replica->has_output()) {
        control::Output output = hub.replica->take_output(now);
        Millis after = 0;
        if (output.ready.writes()) {
            if (hub.refuses) return kill(ip);  // what it holds is what was there before
            if (!syncs_before_answers) hub.disk_before = hub.disk;
            keep(*hub.disk, output.ready);
            after = hub.sync_ms;
            hub.busy_until = now + hub.sync_ms;
        }
        if (output.ready.retired) {
            hub.disk.reset();
            return start(ip);
        }
        hub.replica->persisted();
        for (const raft::Message& message : output.ready.messages) {
            if (message.kind != raft::Message::Kind::join || message.number != ip) {
                send(ip, message.to_number, message, after);
                continue;
            }
            for (const auto& [other, at] : hubs)
                if (joins_to.empty() || joins_to.count(other)) send(ip, other, message, after);
        }
        for (const raft::Message& message : output.to_all)
            for (const auto& [other, at] : hubs) send(ip, other, message, after);
        for (const control::Reply& reply : output.replies)
            if (!replies.emplace(reply.client, reply).second) throw ClusterFault("a call was answered twice");
    }
}

// ---- What is to be seen ----------------------------------------------------------------------------------

std::uint32_t ControlCluster::leader() const {
    for (const auto& [ip, hub] : hubs)
        if (hub.replica && !hub.frozen && hub.replica->raft().leads()) return ip;
    return 0;
}

std::uint32_t ControlCluster::await_leader(Millis most) {
    await([&] { return leader() != 0; }, most);
    if (leader() == 0) throw ClusterFault("nobody leads");
    return leader();
}

std::uint32_t ControlCluster::other_than(std::uint32_t ip) const {
    for (const auto& [other, hub] : hubs)
        if (other != ip && hub.replica) return other;
    return 0;
}

bool ControlCluster::votes(std::uint32_t at, std::uint32_t ip) const {
    if (!hubs.at(at).replica || !hubs.at(ip).replica) return false;
    for (const raft::Member& member : members(at))
        if (member.number == ip) return member.voter && member.id == hubs.at(ip).replica->raft().id();
    return false;
}

bool ControlCluster::settled(std::uint32_t ip) const {
    return leader() != 0 && votes(leader(), ip) && !hubs.at(leader()).replica->raft().changing();
}

}  // namespace cobaltshift::simmesh
