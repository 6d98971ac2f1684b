#include "sim_mesh/control_check.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

#include "control/replica.hpp"
#include "raft/codec.hpp"
#include "sim/check/describe.hpp"
#include "sim_mesh/linearizability.hpp"

namespace cobaltshift::check {

// All that a replica knows, as one number; see Describe.
struct DescribeReplica {
    static std::uint64_t of(const control::Replica& replica, raft::Millis now) {
        std::vector<std::uint64_t> sum{Describe::of(replica.raft_, now), replica.applied_, replica.busy_,
                                       replica.term_, replica.checkpoint_ ? replica.checkpoint_->index : 0};
        const std::string state = replica.state_machine_.save();
        sum.push_back(XXH3_64bits(state.data(), state.size()));
        for (const raft::Millis at : {replica.leader_heard_, replica.lost_at_, replica.looked_at_})
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

namespace {

using control::Replica;
using control::Reply;
using raft::Millis;
using Safeguard = ControlCheck::Safeguard;

constexpr std::size_t kMembers = 3, kMachines = 5;  // the last two are spares
constexpr std::uint32_t kFirstIp = 0x0a000001;
constexpr std::uint64_t kFleet = 7;
constexpr Millis kHeartbeat = 50, kElection = 150, kHorizon = 900, kBack = 60, kSilence = 250;
constexpr std::array<Millis, 2> kWhiles{120, 500};  // how long a cut or a delay lasts

// The calls of a day, in ms after it is led.
struct Scripted {
    enum class What : std::uint8_t { read, change, first_change_again };
    Millis at;
    What what;
};
constexpr Millis kReadEvery = 25, kChangeEvery = 110, kAgainAt = 260, kLastCall = 600;

// Readings all the time, two changes on one base at once now and then, the first one sent again.
const std::vector<Scripted>& script() {
    static const std::vector<Scripted> all = [] {
        std::vector<Scripted> calls;
        for (Millis at = 0; at <= kLastCall; at += kChangeEvery)
            calls.insert(calls.end(), 2, {at, Scripted::What::change});
        for (Millis at = 10; at <= kLastCall; at += kReadEvery) calls.push_back({at, Scripted::What::read});
        calls.push_back({kAgainAt, Scripted::What::first_change_again});
        std::stable_sort(calls.begin(), calls.end(),
                         [](const Scripted& a, const Scripted& b) { return a.at < b.at; });
        return calls;
    }();
    return all;
}

std::string body(std::uint64_t change, std::uint64_t edition) {
    return "{\"edition\":\"r" + std::to_string(edition) +
           "\",\"routes\":{\"mark\":{\"host\":\"h\",\"path_prefix\":\"/" + std::to_string(change) +
           "/\",\"route_kind\":\"plain\",\"deadline_s\":1,\"target_s\":1,\"priority\":0,\"service\":\"s\","
           "\"tries\":1}},"
           "\"services\":{\"s\":{\"health_path\":\"/"
           "\",\"max_connections\":1}},\"limits\":{\"max_header_bytes\":1,"
           "\"max_body_bytes\":1,\"header_read_s\":1,\"idle_timeout_s\":1}}";
}

std::uint64_t change_of(const config::Configuration& configuration) {
    return std::strtoull(configuration.routes.at("mark").path_prefix.c_str() + 1, nullptr, 10);
}

// What happened so far, shared by all schedules that began so.
struct Note {
    std::shared_ptr<const Note> before;
    Millis at;
    std::string text;
};

struct Flight {
    std::size_t from = 0, to = 0;
    std::shared_ptr<const std::string> bytes;
    bool passed_on = false;
    Millis not_before = 0;
};

template <class T>
T& own(std::shared_ptr<T>& shared) {
    if (shared.use_count() > 1) shared = std::make_shared<T>(*shared);
    return *shared;
}

class Schedule {
public:
    explicit Schedule(const ControlCheck& what) : what_(what) {
        for (std::size_t m = 0; m < kMembers; ++m) {
            const std::vector<std::uint32_t> founders{kFirstIp, kFirstIp + 1, kFirstIp + 2};
            disks_[m] = std::make_shared<raft::Stored>(
                control::bootstrap(kFleet, kFirstIp + static_cast<std::uint32_t>(m), founders));
            boot(m);
        }
        while (!leader()) step();
        start_ = now_;
        end_ = now_ + kHorizon;
        left_ = what.deviations;
    }

    bool over() const { return now_ >= end_ || !broken_.empty(); }
    unsigned left() const { return left_; }
    const std::string& broken() const { return broken_; }
    std::vector<std::string> trace() const {
        std::vector<std::string> all;
        for (const Note* note = notes_.get(); note; note = note->before.get())
            all.push_back(std::to_string(static_cast<long>(note->at)) + " ms: " + note->text);
        std::reverse(all.begin(), all.end());
        return all;
    }

    void step() {
        try {
            if (const auto at = deliverable()) {
                const Flight flight = network_[*at];
                network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(*at));
                deliver(flight);
            } else {
                pass_time();
            }
        } catch (const raft::Broken& fault) {
            broken(fault.what());
        }
        if (now_ >= end_ && broken_.empty()) check_history();
    }

    template <class Each>
    void deviate(const Each& each) const {
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
            other("lost", "lost: " + about,
                  [&](Schedule& s) { s.network_.erase(s.network_.begin() + place); });
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

    std::uint64_t state() const {
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
            sum.insert(sum.end(), {one.change, static_cast<std::uint64_t>(one.answer), one.seen_change,
                                   one.seen_edition});
        for (const Call& call : calls_)
            sum.insert(sum.end(), {call.operation, call.machine, from_now(call.until)});
        sum.push_back(next_scripted_);
        sum.push_back(static_cast<std::uint64_t>((end_ - now_) * 1000));
        return XXH3_64bits(sum.data(), sum.size() * sizeof sum[0]);
    }

private:
    struct Call {
        std::uint64_t client = 0;
        std::size_t operation = 0, machine = 0;
        Millis until = 0;
        int tries = 0;
    };

    static std::string name(std::size_t m) { return "member " + std::to_string(m); }
    Millis clock() const { return 1000 + now_; }
    std::uint64_t from_now(Millis at) const {
        return at <= now_ ? 0 : static_cast<std::uint64_t>((at - now_) * 1000) + 1;
    }
    void note(const std::string& text) { notes_ = std::make_shared<Note>(Note{notes_, now_, text}); }
    void broken(const std::string& what) {
        if (broken_.empty()) broken_ = what, note(what);
    }
    std::optional<std::size_t> leader() const {
        for (std::size_t m = 0; m < kMachines; ++m)
            if (replicas_[m] && replicas_[m]->raft().leads()) return m;
        return {};
    }

    // ---- Processes ---------------------------------------------------------------------------------------

    void boot(std::size_t m) {
        raft::Stored& disk = own(disks_[m]);
        ++disk.starts;
        control::ReplicaSettings settings;
        settings.agree.fleet = kFleet;
        settings.agree.number = kFirstIp + static_cast<std::uint32_t>(m);
        settings.agree.keepers = UINT32_MAX;
        settings.agree.heartbeat = kHeartbeat, settings.agree.election = kElection;
        settings.answer_within = kSilence, settings.leader_fresh = kElection, settings.removed_after = 600;
        settings.lost_after = 400;
        settings.checkpoint_entries = 2;  // snapshots soon, and on their way while all goes on
        replicas_[m] =
            std::make_shared<Replica>(settings, disk, clock(), what_.seed * 1000 + m * 100 + disk.starts);
        back_[m] = 0;
        pump(m);
    }
    void die(std::size_t m) {
        replicas_[m].reset();
        back_[m] = now_ + kBack;
    }
    void wipe(std::size_t m) {
        raft::Stored& disk = own(disks_[m]);
        if (what_.out != Safeguard::lost_disk_is_another_member) {
            disk = raft::newcomer(kFleet, raft::kFirstDrawn + 100 * m + disk.starts + 1);
            return;
        }
        const std::vector<std::uint32_t> founders{kFirstIp, kFirstIp + 1, kFirstIp + 2};
        const std::uint64_t starts = disk.starts + 100;
        disk = control::bootstrap(kFleet, kFirstIp + static_cast<std::uint32_t>(m), founders);
        disk.starts = starts;
    }
    void replace(std::size_t m, std::size_t spare) {
        replicas_[m].reset();
        disks_[m].reset();
        back_[m] = 0;
        disks_[spare] =
            std::make_shared<raft::Stored>(raft::newcomer(kFleet, raft::kFirstDrawn + 1000 + spare));
        back_[spare] = now_ + kBack;
    }
    void stop(std::size_t m) {
        own(replicas_[m]).hand_over(clock());
        pump(m);
        stops_[m] = now_ + kHeartbeat;
    }

    void pump(std::size_t m) {
        described_[m] = 0;
        Replica& replica = own(replicas_[m]);
        while (replica.has_output()) {
            const control::Output output = replica.take_output(clock());
            keep(m, output.ready);
            if (output.ready.retired) {
                own(disks_[m]) = raft::newcomer(kFleet, raft::kFirstDrawn + 100 * m + disks_[m]->starts + 50);
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
    void keep(std::size_t m, const raft::Ready& ready) {
        raft::Stored& disk = own(disks_[m]);
        if (ready.vote) disk.term = ready.vote->term, disk.voted = ready.vote->voted;
        if (ready.snapshot) disk.snapshot = *ready.snapshot, disk.entries.clear();
        if (ready.from > 0) {
            disk.entries.resize(ready.from - disk.snapshot.index - 1);
            disk.entries.insert(disk.entries.end(), ready.entries.begin(), ready.entries.end());
        }
    }
    void applied(const raft::Committed& one) {
        const std::string bytes = raft::encode(one.entry);
        const std::uint64_t sum = XXH3_64bits(bytes.data(), bytes.size());
        const auto [at, first] = log_.try_emplace(one.index, sum);
        if (!first && at->second != sum) broken("two entries were applied in one place");
    }

    // ---- Between them ------------------------------------------------------------------------------------

    void send(std::size_t from, std::size_t to, const raft::Message& message) {
        if (to == from || to >= kMachines || mute_[from] > now_ || deaf_[to] > now_) return;
        network_.push_back({from, to, std::make_shared<const std::string>(raft::encode(message)),
                            message.number != kFirstIp + from, 0});
    }
    std::optional<std::size_t> deliverable() const {
        for (std::size_t i = 0; i < network_.size(); ++i)
            if (network_[i].not_before <= now_) return i;
        return {};
    }
    void deliver(const Flight& flight) {
        if (!replicas_[flight.to]) return;
        std::string why;
        const auto message = raft::decode_message(*flight.bytes, why);
        if (!message) return broken("bytes that are no message: " + why);
        own(replicas_[flight.to]).on_message(clock(), *message, flight.passed_on);
        pump(flight.to);
    }

    void pass_time() {
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

    // ---- Calls -------------------------------------------------------------------------------------------

    void begin(const Scripted& scripted) {
        Operation operation;
        operation.called = now_;
        operation.who = "call " + std::to_string(history_.size());
        if (scripted.what != Scripted::What::read) {
            const bool again = scripted.what == Scripted::What::first_change_again;
            operation.kind = Operation::Kind::change;
            operation.change = again ? 1 : ++changes_;
            operation.base = again ? 0 : newest_known_;
            operation.edition = operation.base + 1;
        }
        history_.push_back(operation);
        ask({0, history_.size() - 1, 0, 0, 0});
    }
    // At whoever believes that it leads, also one that no longer does: each in its turn.
    void ask(Call call) {
        std::vector<std::size_t> leaders, all;
        for (std::size_t m = 0; m < kMachines; ++m) {
            if (!replicas_[m]) continue;
            all.push_back(m);
            if (replicas_[m]->raft().leads()) leaders.push_back(m);
        }
        const std::vector<std::size_t>& among = leaders.empty() ? all : leaders;
        call.until = now_ + kSilence;
        if (!among.empty()) {
            call.machine = among[(call.operation + static_cast<std::size_t>(call.tries)) % among.size()];
            call.client = ++clients_;
        }
        calls_.push_back(call);
        if (among.empty()) return;
        const Operation& operation = history_[call.operation];
        Replica& replica = own(replicas_[call.machine]);
        if (answers_without_majority(call, replica)) return;
        if (operation.kind == Operation::Kind::read)
            replica.read(clock(), call.client);
        else
            replica.change(
                clock(), call.client,
                {config::Change::Kind::put, operation.base, body(operation.change, operation.edition)});
        pump(call.machine);
    }
    bool answers_without_majority(const Call& call, Replica& replica) {
        if (!replica.raft().leads()) return false;
        const Operation& operation = history_[call.operation];
        Reply reply;
        reply.client = call.client;
        reply.current = replica.state_machine().current();
        reply.edition = replica.state_machine().edition();
        const bool reads = operation.kind == Operation::Kind::read;
        if (reads && what_.out == Safeguard::majority_for_readings) {
            reply.kind = reply.current ? Reply::Kind::config : Reply::Kind::nothing_yet;
        } else if (!reads && reply.edition != operation.base &&
                   what_.out == Safeguard::majority_for_refusals && operation.change > 1) {
            reply.kind = Reply::Kind::stale;
        } else if (!reads && reply.edition == operation.base &&
                   what_.out == Safeguard::acknowledged_after_commit) {
            replica.change(
                clock(), ++clients_,
                {config::Change::Kind::put, operation.base, body(operation.change, operation.edition)});
            reply.kind = Reply::Kind::taken;
        } else {
            return false;
        }
        pump(call.machine);
        answered(reply);
        return true;
    }
    void answered(const Reply& reply) {
        const auto at = std::find_if(calls_.begin(), calls_.end(),
                                     [&](const Call& c) { return c.client == reply.client; });
        if (reply.client == 0 || at == calls_.end()) return;
        Operation& operation = history_[at->operation];
        switch (reply.kind) {
            case Reply::Kind::elsewhere:
            case Reply::Kind::unavailable:
                at->client = 0;
                at->until = now_ + kBack;
                return;
            case Reply::Kind::config:
            case Reply::Kind::nothing_yet:
                operation.answer = Operation::Answer::value;
                operation.seen_change = reply.current ? change_of(*reply.current) : 0;
                break;
            case Reply::Kind::taken:
                operation.answer = Operation::Answer::taken;
                break;
            case Reply::Kind::stale:
                operation.answer = Operation::Answer::stale;
                operation.seen_edition = reply.edition;
                break;
            case Reply::Kind::invalid:
                operation.answer = Operation::Answer::invalid;
                break;
        }
        if (operation.answer == Operation::Answer::taken)
            newest_known_ = std::max(newest_known_, operation.edition);
        newest_known_ = std::max({newest_known_, reply.edition, reply.current ? reply.current->edition : 0});
        operation.returned = now_;
        calls_.erase(at);
    }
    // Without a clear answer it is sent again as it was.
    void call_again() {
        for (std::size_t i = 0; i < calls_.size(); ++i) {
            if (calls_[i].until > now_) continue;
            Call call = calls_[i];
            calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(i--));
            ++call.tries;
            call.client = 0;
            if (history_[call.operation].kind == Operation::Kind::read)
                history_[call.operation].called = now_;
            ask(call);
            if (call.tries > 20) break;
        }
    }
    void check_history() {
        const Linearizability said = check_linearizable(history_);
        if (!said.holds) broken(said.why);
    }

    const ControlCheck what_;
    unsigned left_ = 0;
    Millis now_ = 0, start_ = 0, end_ = 0;
    std::array<std::shared_ptr<raft::Stored>, kMachines> disks_;
    std::array<std::shared_ptr<Replica>, kMachines> replicas_;
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

}  // namespace

const char* name_of(Safeguard safeguard) {
    switch (safeguard) {
        case Safeguard::none:
            return "none";
        case Safeguard::majority_for_readings:
            return "a majority's word for readings";
        case Safeguard::majority_for_refusals:
            return "a majority's word for refusals";
        case Safeguard::acknowledged_after_commit:
            return "the commit before the acknowledgement";
        case Safeguard::lost_disk_is_another_member:
            return "a lost disk is another member";
    }
    return "?";
}

ControlChecked check(const ControlCheck& what) {
    ControlChecked checked;
    std::unordered_map<std::uint64_t, unsigned> seen;  // state -> deviations that were left, and one
    std::vector<Schedule> open;
    open.emplace_back(what);
    while (!open.empty()) {
        Schedule schedule = std::move(open.back());
        open.pop_back();
        ++checked.schedules;
        while (!schedule.over()) {
            unsigned& left = seen[schedule.state()];
            if (left > schedule.left()) {
                ++checked.revisited;
                break;
            }
            if (left == 0) ++checked.states;
            left = schedule.left() + 1;
            schedule.deviate([&](Schedule&& other, const char* kind) {
                ++checked.struck[kind];
                open.push_back(std::move(other));
            });
            schedule.step();
            ++checked.steps;
        }
        if (!schedule.broken().empty()) {
            checked.broken = schedule.broken();
            checked.trace = schedule.trace();
            return checked;
        }
        if (checked.states >= what.most_states) {
            checked.complete = false;
            return checked;
        }
    }
    return checked;
}

}  // namespace cobaltshift::simmesh
