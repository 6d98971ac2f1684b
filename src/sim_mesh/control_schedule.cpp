#include "sim_mesh/control_schedule.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "raft/codec.hpp"
#include "sim/check/describe.hpp"

namespace cobaltshift::check {

// All that a replica knows, as one number; see Describe.
struct DescribeReplica {
    static std::uint64_t of(const control::Replica& replica, raft::Millis now) {
        std::vector<std::uint64_t> sum{Describe::of(replica.raft_, now), replica.applied_,
                                       replica.change_in_flight_, replica.term_,
                                       replica.checkpoint_ ? replica.checkpoint_->index : 0};
        const std::string state = replica.state_machine_.save();
        sum.push_back(XXH3_64bits(state.data(), state.size()));
        for (const raft::Millis at :
             {replica.last_leader_contact_, replica.membership_query_due_, replica.last_silence_check_})
            sum.push_back(from_now(at, now));
        for (const auto& one : replica.waiting_)
            sum.insert(sum.end(), {one.client, one.is_change, from_now(one.until, now), one.question,
                                   one.confirmed, one.index});
        return XXH3_64bits(sum.data(), sum.size() * sizeof sum[0]);
    }

private:
    static std::uint64_t from_now(raft::Millis at, raft::Millis now) {
        const double left = at - now;
        return std::abs(left) > 1e9 ? ~0ULL : static_cast<std::uint64_t>(std::llround(left * 1000));
    }
};

}  // namespace cobaltshift::check

namespace cobaltshift::simmesh {

using control::Replica;
using control::Reply;
using Safeguard = ControlCheck::Safeguard;

namespace {
constexpr std::uint32_t kFirstIp = 0x0a000001;
constexpr std::uint64_t kFleet = 7;
constexpr Millis kHeartbeat = 50, kElection = 150, kHorizon = 900;
constexpr std::array<Millis, 2> kWhiles{120, 500};  // how long a cut or a delay lasts
}  // namespace

Schedule::Schedule(const ControlCheck& what) : what_(what) {
    for (std::size_t m = 0; m < kMembers; ++m) {
        const std::vector<std::uint32_t> founders{kFirstIp, kFirstIp + 1, kFirstIp + 2};
        disks_[m] = std::make_shared<raft::PersistentState>(
            control::bootstrap(kFleet, kFirstIp + static_cast<std::uint32_t>(m), founders));
        boot(m);
    }
    while (!leader()) step();
    start_ = now_;
    end_ = now_ + kHorizon;
    left_ = what.deviations;
}

std::vector<std::string> Schedule::trace() const {
    std::vector<std::string> all;
    for (const Note* note = notes_.get(); note; note = note->before.get())
        all.push_back(std::to_string(static_cast<long>(note->at)) + " ms: " + note->text);
    std::reverse(all.begin(), all.end());
    return all;
}

void Schedule::step() {
    try {
        if (const auto at = deliverable()) {
            const Flight flight = network_[*at];
            network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(*at));
            deliver(flight);
        } else {
            pass_time();
        }
    } catch (const raft::ProtocolViolation& fault) {
        broken(fault.what());
    }
    if (now_ >= end_ && broken_.empty()) check_history();
}

void Schedule::deviate(const Each& each) const {
    if (left_ == 0) return;
    const auto other = [&](const char* kind, const std::string& text, const auto& what) {
        Schedule schedule(*this);
        --schedule.left_;
        schedule.note(text);
        what(schedule);
        each(std::move(schedule), kind);
    };
    if (const auto at = deliverable()) {
        const auto place = static_cast<std::ptrdiff_t>(*at);
        const std::string about = name(network_[*at].from) + " to " + name(network_[*at].to);
        other("lost", "lost: " + about, [&](Schedule& s) { s.network_.erase(s.network_.begin() + place); });
        for (const Millis length : kWhiles)
            other("late", "late by " + std::to_string(static_cast<int>(length)) + " ms: " + about,
                  [&](Schedule& s) {
                      Flight flight = s.network_[*at];
                      s.network_.erase(s.network_.begin() + place);
                      flight.not_before = s.now_ + length;
                      s.network_.push_back(std::move(flight));
                  });
        other("doubled", "doubled, again in 120 ms: " + about, [&](Schedule& s) {
            Flight flight = s.network_[*at];
            flight.not_before = s.now_ + kWhiles[0];
            s.network_.push_back(std::move(flight));
        });
        const std::size_t to = network_[*at].to, from = network_[*at].from;
        if (replicas_[to]) other("died", "dies as this comes: " + about, [&](Schedule& s) { s.die(to); });
        if (replicas_[from])
            other("died", "dies having sent this: " + about, [&](Schedule& s) { s.die(from); });
        if (replicas_[from])
            other("wiped", "wiped having sent this: " + about,
                  [&](Schedule& s) { s.die(from), s.wipe(from); });
    }
    for (std::size_t m = 0; m < kMachines; ++m) {
        if (!replicas_[m]) continue;
        for (const Millis length : kWhiles) {
            const std::string lasts = " for " + std::to_string(static_cast<int>(length)) + " ms";
            if (deaf_[m] > now_ || mute_[m] > now_) continue;
            other("cut off", name(m) + " is cut off" + lasts,
                  [&](Schedule& s) { s.deaf_[m] = s.mute_[m] = s.now_ + length; });
            other("deaf", name(m) + " hears nobody" + lasts,
                  [&](Schedule& s) { s.deaf_[m] = s.now_ + length; });
            other("mute", name(m) + " is heard by nobody" + lasts,
                  [&](Schedule& s) { s.mute_[m] = s.now_ + length; });
        }
        other("died", name(m) + " dies", [&](Schedule& s) { s.die(m); });
        other("wiped", name(m) + " is wiped", [&](Schedule& s) { s.die(m), s.wipe(m); });
        if (m < kMembers && !disks_[kMembers])
            other("replaced", name(m) + " is replaced", [&](Schedule& s) { s.replace(m, kMembers); });
        if (replicas_[m]->raft().leads())
            other("stopped", name(m) + " is told to stop", [&](Schedule& s) { s.stop(m); });
    }
}

std::uint64_t Schedule::state() const {
    std::vector<std::uint64_t> sum;
    for (std::size_t m = 0; m < kMachines; ++m) {
        if (replicas_[m]) {
            if (described_[m] == 0) described_[m] = check::DescribeReplica::of(*replicas_[m], clock());
            sum.push_back(described_[m]);
        } else if (disks_[m]) {
            const std::string bytes = raft::encode(disks_[m]->snapshot);
            std::uint64_t disk = XXH3_64bits(bytes.data(), bytes.size());
            for (const raft::Entry& entry : disks_[m]->entries) {
                const std::string data = raft::encode(entry);
                disk = disk * 31 + XXH3_64bits(data.data(), data.size());
            }
            sum.insert(sum.end(),
                       {disk, disks_[m]->term, disks_[m]->voted, disks_[m]->starts, disks_[m]->id});
        }
        sum.insert(sum.end(), {from_now(back_[m]), from_now(deaf_[m]), from_now(mute_[m])});
    }
    for (const Flight& flight : network_) {
        sum.push_back(XXH3_64bits(flight.bytes->data(), flight.bytes->size()));
        sum.push_back(flight.from * 8 + flight.to);
        sum.push_back(from_now(flight.not_before));
    }
    for (const auto& [term, id] : leaders_) sum.insert(sum.end(), {term, id});
    for (const auto& [index, entry] : log_) sum.insert(sum.end(), {index, entry});
    for (const Operation& one : history_)
        sum.insert(sum.end(),
                   {one.change, static_cast<std::uint64_t>(one.answer), one.seen_change, one.seen_edition});
    for (const Call& call : calls_)
        sum.insert(sum.end(), {call.operation, call.machine, from_now(call.until)});
    sum.push_back(next_scripted_);
    sum.push_back(static_cast<std::uint64_t>((end_ - now_) * 1000));
    return XXH3_64bits(sum.data(), sum.size() * sizeof sum[0]);
}

std::uint64_t Schedule::from_now(Millis at) const {
    return at <= now_ ? 0 : static_cast<std::uint64_t>((at - now_) * 1000) + 1;
}

void Schedule::broken(const std::string& what) {
    if (broken_.empty()) broken_ = what, note(what);
}

std::optional<std::size_t> Schedule::leader() const {
    for (std::size_t m = 0; m < kMachines; ++m)
        if (replicas_[m] && replicas_[m]->raft().leads()) return m;
    return {};
}

// ---- Processes ------------------------------------------------------------

void Schedule::boot(std::size_t m) {
    raft::PersistentState& disk = own(disks_[m]);
    ++disk.starts;
    control::ReplicaSettings settings;
    settings.consensus.cluster_id = kFleet;
    settings.consensus.number = kFirstIp + static_cast<std::uint32_t>(m);
    settings.consensus.member_slots = UINT32_MAX;
    settings.consensus.heartbeat = kHeartbeat, settings.consensus.election = kElection;
    settings.reply_timeout = kSilence, settings.leader_contact_max_age = kElection,
    settings.remove_silent_after = 600;
    settings.leaderless_after = 400;
    settings.checkpoint_entries = 2;  // snapshots soon, and on their way while all goes on
    replicas_[m] =
        std::make_shared<Replica>(settings, disk, clock(), what_.seed * 1000 + m * 100 + disk.starts);
    back_[m] = 0;
    pump(m);
}

void Schedule::die(std::size_t m) {
    replicas_[m].reset();
    back_[m] = now_ + kBack;
}

void Schedule::wipe(std::size_t m) {
    raft::PersistentState& disk = own(disks_[m]);
    if (what_.out != Safeguard::lost_disk_is_another_member) {
        disk = raft::newcomer(kFleet, raft::kFirstRandomId + 100 * m + disk.starts + 1);
        return;
    }
    const std::vector<std::uint32_t> founders{kFirstIp, kFirstIp + 1, kFirstIp + 2};
    const std::uint64_t starts = disk.starts + 100;
    disk = control::bootstrap(kFleet, kFirstIp + static_cast<std::uint32_t>(m), founders);
    disk.starts = starts;
}

void Schedule::replace(std::size_t m, std::size_t spare) {
    replicas_[m].reset();
    disks_[m].reset();
    back_[m] = 0;
    disks_[spare] =
        std::make_shared<raft::PersistentState>(raft::newcomer(kFleet, raft::kFirstRandomId + 1000 + spare));
    back_[spare] = now_ + kBack;
}

void Schedule::stop(std::size_t m) {
    own(replicas_[m]).hand_over(clock());
    pump(m);
    stops_[m] = now_ + kHeartbeat;
}

void Schedule::pump(std::size_t m) {
    described_[m] = 0;
    Replica& replica = own(replicas_[m]);
    while (replica.has_output()) {
        const control::Output output = replica.take_output(clock());
        keep(m, output.ready);
        if (output.ready.retired) {
            own(disks_[m]) = raft::newcomer(kFleet, raft::kFirstRandomId + 100 * m + disks_[m]->starts + 50);
            return die(m);
        }
        replica.persisted();
        const raft::RaftNode& raft = replica.raft();
        if (raft.role() == raft::RaftNode::Role::leader) {
            const auto [at, first] = leaders_.try_emplace(raft.term(), raft.id());
            if (!first && at->second != raft.id())
                broken("two leaders in term " + std::to_string(raft.term()));
        }
        for (const raft::Committed& one : output.ready.committed) applied(one);
        for (const raft::Message& message : output.ready.messages) {
            if (message.kind == raft::Message::Kind::join && message.number == kFirstIp + m) {
                for (std::size_t to = 0; to < kMachines; ++to) send(m, to, message);
            } else {
                send(m, message.to_number - kFirstIp, message);
            }
        }
        for (const raft::Message& message : output.to_all)
            for (std::size_t to = 0; to < kMachines; ++to) send(m, to, message);
        for (const Reply& reply : output.replies) answered(reply);
    }
}

void Schedule::keep(std::size_t m, const raft::Ready& ready) {
    raft::PersistentState& disk = own(disks_[m]);
    if (ready.vote) disk.term = ready.vote->term, disk.voted = ready.vote->voted;
    if (ready.snapshot) disk.snapshot = *ready.snapshot, disk.entries.clear();
    if (ready.from > 0) {
        disk.entries.resize(ready.from - disk.snapshot.index - 1);
        disk.entries.insert(disk.entries.end(), ready.entries.begin(), ready.entries.end());
    }
}

void Schedule::applied(const raft::Committed& one) {
    const std::string bytes = raft::encode(one.entry);
    const std::uint64_t sum = XXH3_64bits(bytes.data(), bytes.size());
    const auto [at, first] = log_.try_emplace(one.index, sum);
    if (!first && at->second != sum) broken("two entries were applied in one place");
}

// ---- Between them ------------------------------------------------------------

void Schedule::send(std::size_t from, std::size_t to, const raft::Message& message) {
    if (to == from || to >= kMachines || mute_[from] > now_ || deaf_[to] > now_) return;
    network_.push_back({from, to, std::make_shared<const std::string>(raft::encode(message)),
                        message.number != kFirstIp + from, 0});
}

std::optional<std::size_t> Schedule::deliverable() const {
    for (std::size_t i = 0; i < network_.size(); ++i)
        if (network_[i].not_before <= now_) return i;
    return {};
}

void Schedule::deliver(const Flight& flight) {
    if (!replicas_[flight.to]) return;
    std::string why;
    const auto message = raft::decode_message(*flight.bytes, why);
    if (!message) return broken("bytes that are no message: " + why);
    own(replicas_[flight.to]).on_message(clock(), *message, flight.passed_on);
    pump(flight.to);
}

void Schedule::pass_time() {
    Millis next = end_ > 0 ? end_ : now_ + 1000;
    const auto at = [&](Millis when) {
        if (when > now_) next = std::min(next, when);
    };
    for (std::size_t m = 0; m < kMachines; ++m) {
        if (replicas_[m]) at(std::max(now_ + 1e-3, replicas_[m]->due() - 1000 + 1e-3));
        at(back_[m]), at(deaf_[m]), at(mute_[m]), at(stops_[m]);
    }
    for (const Flight& flight : network_) at(flight.not_before);
    for (const Call& call : calls_) at(call.until);
    if (start_ > 0 && next_scripted_ < script().size())
        next = std::min(next, std::max(now_, start_ + script()[next_scripted_].at));
    now_ = next;
    described_ = {};
    for (std::size_t m = 0; m < kMachines; ++m) {
        if (stops_[m] > 0 && stops_[m] <= now_) {
            stops_[m] = 0;
            if (replicas_[m]) die(m);
        }
        if (!replicas_[m]) {
            if (disks_[m] && back_[m] > 0 && back_[m] <= now_) boot(m);
        } else if (replicas_[m]->due() <= clock()) {
            own(replicas_[m]).tick(clock());
            pump(m);
        }
    }
    call_again();
    while (start_ > 0 && next_scripted_ < script().size() && start_ + script()[next_scripted_].at <= now_)
        begin(script()[next_scripted_++]);
}

}  // namespace cobaltshift::simmesh
