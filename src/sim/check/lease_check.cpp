#include "sim/check/lease_check.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "lease/codec.hpp"
#include "lease/gate.hpp"
#include "lease/holder.hpp"
#include "lease/office.hpp"
#include "raft/codec.hpp"
#include "sim/check/describe.hpp"

namespace cobaltshift::check {

namespace {

using raft::Millis;
using Guard = LeaseCheck::Guard;

constexpr std::size_t kKeepers = 3, kHolders = 2;
constexpr Millis kHeartbeat = 50, kElection = 150, kLength = 300, kMargin = 5, kDrift = 0.025, kOff = 0.02;
constexpr Millis kHorizon = 900, kFirstElections = 450;
constexpr std::array<Millis, 2> kWhiles{120, 500};  // how long a cut, a stop, a delay lasts
constexpr Millis kBack = 30;                        // of a keeper that died
const std::string kTask = "task";

// What happened so far, shared by all schedules that began so.
struct Note {
    std::shared_ptr<const Note> before;
    Millis at;
    std::string text;
};

// On its way. Keepers are 0 to 2, holders 3 and 4.
struct Flight {
    std::size_t from = 0, to = 0;
    std::shared_ptr<const std::string> bytes;
    enum class Kind : std::uint8_t { message, question, answer } kind = Kind::message;
    Millis not_before = 0;
};

template <class T>
T& own(std::shared_ptr<T>& shared) {
    if (shared.use_count() > 1) shared = std::make_shared<T>(*shared);
    return *shared;
}

class World {
public:
    explicit World(const LeaseCheck& what) : what_(what), left_(what.deviations) {
        for (std::size_t k = 0; k < kKeepers; ++k) {
            // At both ends of what clocks may do: keepers fast, so that they wait too short, holders slow.
            rate_[k] = 1 + kOff;
            disks_[k] = std::make_shared<raft::PersistentState>(
                raft::bootstrap(7, static_cast<std::uint32_t>(k), kKeepers));
            boot(k);
        }
        for (std::size_t h = 0; h < kHolders; ++h) {
            rate_[kKeepers + h] = 1 - kOff;
            lease::HolderSettings s;
            s.id = 100 + h;
            s.name = "holder-" + std::to_string(h);
            s.keepers = kKeepers;
            s.margin = kMargin;
            s.answer = 60, s.longest_pause = 100, s.poll = 100;
            holders_[h] = std::make_shared<lease::Holder>(s, what.seed * 31 + h);
        }
        end_ = kHorizon;
        if (what.from_start) {
            end_ = kFirstElections;  // without holders: who leads is all that is asked
        } else {
            const unsigned budget = std::exchange(left_, 0);
            // The first wants the task, then the second too.
            while (!led()) step();
            want(0);
            while (!right(0)) step();
            want(1);
            while (holders_[1]->state(kTask) != lease::Holder::State::waiting) step();
            left_ = budget;
            end_ = now_ + kHorizon;
        }
    }

    bool over() const { return now_ >= end_ || !broken_.empty(); }
    const std::string& broken() const { return broken_; }
    std::vector<std::string> trace() const {
        std::vector<std::string> all;
        for (const Note* note = notes_.get(); note; note = note->before.get())
            all.push_back(std::to_string(static_cast<long>(note->at)) + " ms: " + note->text);
        std::reverse(all.begin(), all.end());
        return all;
    }
    unsigned left() const { return left_; }
    std::uint64_t stale() const { return stale_; }

    // The one next step of the fixed schedule. A core that is told what can't be says so.
    void step() {
        try {
            if (const auto at = deliverable()) {
                const Flight flight = net_[*at];
                net_.erase(net_.begin() + static_cast<std::ptrdiff_t>(*at));
                deliver(flight);
            } else {
                pass_time();
            }
        } catch (const raft::ProtocolViolation& fault) {
            broken(fault.what());
        }
        look();
    }

    // All that may go wrong now instead; each leaves a world of its own behind.
    template <class Each>
    void deviate(const Each& each) const {
        if (left_ == 0) return;
        const auto other = [&](const char* kind, const std::string& text, const auto& what) {
            World world(*this);
            --world.left_;
            world.note(text);
            what(world);
            world.look();
            each(std::move(world), kind);
        };
        if (const auto at = deliverable()) {
            const std::string about = name(net_[*at].from) + " to " + name(net_[*at].to);
            const auto place = static_cast<std::ptrdiff_t>(*at);
            other("lost", "lost: " + about, [&](World& w) { w.net_.erase(w.net_.begin() + place); });
            for (const Millis length : kWhiles) {
                other("late", "late by " + std::to_string(static_cast<int>(length)) + " ms: " + about,
                      [&](World& w) {
                          Flight flight = w.net_[*at];
                          w.net_.erase(w.net_.begin() + place);
                          flight.not_before = w.now_ + length;
                          w.net_.push_back(std::move(flight));
                      });
                other("doubled",
                      "doubled, again in " + std::to_string(static_cast<int>(length)) + " ms: " + about,
                      [&](World& w) {
                          Flight flight = w.net_[*at];
                          flight.not_before = w.now_ + length;
                          w.net_.push_back(std::move(flight));
                      });
            }
            if (net_[*at].to < kKeepers)
                other("died", "dies as this comes: " + about, [&](World& w) { w.die(w.net_[*at].to); });
            if (net_[*at].from < kKeepers && net_[*at].from != net_[*at].to)
                other("died", "dies having sent this: " + about, [&](World& w) { w.die(w.net_[*at].from); });
            if (!what_.from_start) return;  // whole cuts and stops between two instants, below
        }
        for (const Millis length : kWhiles) {
            const std::string lasts = " for " + std::to_string(static_cast<int>(length)) + " ms";
            for (std::size_t k = 0; k < kKeepers; ++k) {
                if (!offices_[k]) continue;
                if (cut_[k] <= now_) {
                    other("cut", name(k) + " is cut off" + lasts,
                          [&](World& w) { w.cut_[k] = w.now_ + length; });
                    other("cut from keepers", name(k) + " is cut off from keepers" + lasts, [&](World& w) {
                        w.cut_[k] = w.now_ + length;
                        w.for_holders_[k] = true;
                    });
                }
            }
            for (std::size_t h = 0; h < kHolders; ++h) {
                if (!what_.from_start && cut_[kKeepers + h] <= now_)
                    other("holder cut", name(kKeepers + h) + " is cut off" + lasts,
                          [&](World& w) { w.cut_[kKeepers + h] = w.now_ + length; });
                if (stopped_[h] <= now_ && right(h))
                    other("holder stopped", name(kKeepers + h) + " is stopped in an act" + lasts,
                          [&](World& w) {
                              w.stopped_[h] = w.now_ + length;
                              w.act_[h] = w.right(h)->fence;
                          });
            }
        }
        for (std::size_t k = 0; k < kKeepers; ++k)
            if (offices_[k]) other("died", name(k) + " dies", [&](World& w) { w.die(k); });
    }

    std::uint64_t state() const {
        std::vector<std::uint64_t> sum;
        for (std::size_t k = 0; k < kKeepers; ++k) {
            if (offices_[k]) {
                if (described_[k] == 0) described_[k] = Describe::of(*offices_[k], clock(k));
                sum.push_back(described_[k]);
            } else {
                const std::string bytes = raft::encode(disks_[k]->snapshot);
                std::uint64_t disk = XXH3_64bits(bytes.data(), bytes.size());
                for (const raft::Entry& entry : disks_[k]->entries) {
                    const std::string data = raft::encode(entry);
                    disk = disk * 31 + XXH3_64bits(data.data(), data.size());
                }
                sum.insert(sum.end(),
                           {disk, disks_[k]->term, disks_[k]->voted, disks_[k]->starts, disks_[k]->id});
            }
            sum.push_back(from_now(back_[k]));
        }
        for (std::size_t h = 0; h < kHolders; ++h) {
            sum.push_back(Describe::of(*holders_[h], clock(kKeepers + h)));
            sum.push_back(from_now(stopped_[h]));
            sum.push_back(stopped_[h] > now_ ? act_[h] : 0);
        }
        for (std::size_t p = 0; p < kKeepers + kHolders; ++p) sum.push_back(from_now(cut_[p]));
        for (std::size_t k = 0; k < kKeepers; ++k) sum.push_back(cut_[k] > now_ && for_holders_[k]);
        for (const Flight& flight : net_) {
            sum.push_back(XXH3_64bits(flight.bytes->data(), flight.bytes->size()));
            sum.push_back(flight.from * 8 + flight.to);
            sum.push_back(from_now(flight.not_before));
        }
        for (const auto& [term, id] : leaders_) sum.insert(sum.end(), {term, id});
        for (const auto& [index, entry] : log_) sum.insert(sum.end(), {index, entry});
        sum.push_back(gate_.highest(kTask));
        sum.push_back(static_cast<std::uint64_t>((end_ - now_) * 1000));
        return XXH3_64bits(sum.data(), sum.size() * sizeof sum[0]);
    }

private:
    static std::string name(std::size_t p) {
        return p < kKeepers ? "keeper " + std::to_string(p) : "holder " + std::to_string(p - kKeepers);
    }
    Millis clock(std::size_t p) const { return 1000 + now_ * rate_[p]; }
    std::uint64_t from_now(Millis at) const {
        return at <= now_ ? 0 : static_cast<std::uint64_t>((at - now_) * 1000) + 1;
    }
    void note(const std::string& text) { notes_ = std::make_shared<Note>(Note{notes_, now_, text}); }
    void broken(const std::string& what) {
        if (broken_.empty()) broken_ = what, note(what);
    }
    bool led() const {
        return std::any_of(offices_.begin(), offices_.end(),
                           [](const auto& office) { return office && office->keeper().leads(); });
    }
    std::optional<lease::Holder::Right> right(std::size_t h) const {
        return holders_[h]->right(clock(kKeepers + h), kTask);
    }

    // ---- Processes ---------------------------------------------------------------------------------------

    void boot(std::size_t k) {
        raft::PersistentState& disk = own(disks_[k]);
        ++disk.starts;
        lease::LeaseServerSettings s;
        s.agree.cluster_id = 7;
        s.agree.number = static_cast<std::uint32_t>(k);
        s.agree.member_slots = kKeepers;
        s.agree.heartbeat = kHeartbeat, s.agree.election = kElection;
        s.drift = what_.out == Guard::no_drift ? 0 : kDrift;
        s.waiter_silence = 2000;
        offices_[k] = std::make_shared<lease::LeaseServer>(s, disk, clock(k),
                                                           what_.seed * 1000 + k * 100 + disk.starts);
        back_[k] = 0;
        pump(k);
    }
    void die(std::size_t k) {
        offices_[k].reset();
        led_[k] = 0;
        back_[k] = now_ + kBack;
    }
    void want(std::size_t h) {
        own(holders_[h]).want(clock(kKeepers + h), kTask, kLength, true);
        pump_holder(h);
    }

    void pump(std::size_t k) {
        lease::LeaseServer& office = own(offices_[k]);
        described_[k] = 0;
        try {
            while (office.ready()) {
                lease::LeaseServer::Output output = office.take(clock(k));
                const raft::Ready& ready = output.ready;
                raft::PersistentState& disk = own(disks_[k]);
                if (ready.vote && what_.out != Guard::vote_not_written)
                    disk.term = ready.vote->term, disk.voted = ready.vote->voted;
                if (ready.snapshot) disk.snapshot = *ready.snapshot, disk.entries.clear();
                if (ready.from > 0) {
                    disk.entries.resize(ready.from - disk.snapshot.index - 1);
                    disk.entries.insert(disk.entries.end(), ready.entries.begin(), ready.entries.end());
                }
                // A log's terms are its keeper's at least, also where its vote is not written.
                if (!disk.entries.empty()) disk.term = std::max(disk.term, disk.entries.back().term);
                if (ready.retired) {
                    disk = raft::newcomer(7, raft::kFirstRandomId + 100 * k + disk.starts);
                    return die(k);
                }
                office.stored();
                if (office.keeper().leads() && office.applied() == office.keeper().commit() &&
                    led_[k] != office.keeper().term())
                    leads(k, office);
                for (const raft::Committed& one : ready.committed) applied(one);
                for (const raft::Message& message : ready.messages) {
                    const auto bytes = std::make_shared<const std::string>(raft::encode(message));
                    for (std::size_t to = 0; to < kKeepers; ++to)
                        if (to != k && (message.kind == raft::Message::Kind::join || to == message.to_number))
                            send({k, to, bytes, Flight::Kind::message, 0});
                }
                for (const auto& reply : output.replies)
                    send({k, static_cast<std::size_t>(reply.client),
                          std::make_shared<const std::string>(lease::encode(reply.answer)),
                          Flight::Kind::answer, 0});
            }
        } catch (const raft::ProtocolViolation& fault) {
            broken(name(k) + ": " + fault.what());
        }
    }
    void leads(std::size_t k, lease::LeaseServer& office) {
        led_[k] = office.keeper().term();
        if (what_.out == Guard::no_wait_of_a_new_leader) Describe::forget_waits(office, clock(k));
        note(name(k) + " leads in term " + std::to_string(office.keeper().term()));
        const auto [at, first] = leaders_.try_emplace(office.keeper().term(), office.keeper().id());
        if (!first && at->second != office.keeper().id()) broken("two leaders in one term");
    }
    void applied(const raft::Committed& one) {
        const std::string bytes = raft::encode(one.entry);
        const std::uint64_t sum = XXH3_64bits(bytes.data(), bytes.size());
        const auto [at, first] = log_.try_emplace(one.index, sum);
        if (!first && at->second != sum) broken("two entries were applied in one place");
    }
    void pump_holder(std::size_t h) {
        lease::Holder& holder = own(holders_[h]);
        const Millis now = clock(kKeepers + h);
        holder.tick(now);
        for (const lease::Holder::Ask& ask : holder.take())
            send({kKeepers + h, ask.keeper, std::make_shared<const std::string>(lease::encode(ask.question)),
                  Flight::Kind::question, 0});
    }

    // ---- Between them ------------------------------------------------------------------------------------

    bool passes(std::size_t from, std::size_t to) const {
        for (const auto& [p, other] : {std::pair{from, to}, std::pair{to, from}})
            if (cut_[p] > now_ && !(p < kKeepers && for_holders_[p] && other >= kKeepers)) return false;
        return true;
    }
    void send(Flight flight) {
        if (flight.to < kKeepers + kHolders && passes(flight.from, flight.to))
            net_.push_back(std::move(flight));
    }
    std::optional<std::size_t> deliverable() const {
        for (std::size_t i = 0; i < net_.size(); ++i) {
            const Flight& flight = net_[i];
            if (flight.not_before > now_) continue;
            if (flight.to >= kKeepers && stopped_[flight.to - kKeepers] > now_) continue;  // it waits there
            return i;
        }
        return {};
    }
    void deliver(const Flight& flight) {
        std::string why;
        if (flight.to < kKeepers) {
            const std::size_t k = flight.to;
            if (!offices_[k]) return;
            lease::LeaseServer& office = own(offices_[k]);
            if (flight.kind == Flight::Kind::message) {
                if (const auto message = raft::decode_message(*flight.bytes, why))
                    office.heard(clock(k), *message);
            } else if (const auto question = lease::decode_question(*flight.bytes, why)) {
                office.asked(clock(k), flight.from, *question);
            }
            return pump(k);
        }
        const std::size_t h = flight.to - kKeepers;
        if (auto answer = lease::decode_answer(*flight.bytes, why)) {
            if (what_.out == Guard::right_from_answer && answer->kind == lease::Response::Kind::held)
                answer->length += clock(flight.to) -
                                  Describe::asked_at(*holders_[h], kTask, answer->number, clock(flight.to));
            own(holders_[h]).heard(clock(flight.to), *answer);
        }
        pump_holder(h);
    }

    // To the next moment at which something is due, and what is due then.
    void pass_time() {
        Millis next = end_;
        const auto at = [&](Millis when) {
            if (when > now_) next = std::min(next, when);
        };
        const auto own_due = [&](std::size_t p, Millis due) {
            at(std::max(now_ + 1e-3, (due - 1000) / rate_[p] + 1e-3));
        };
        for (std::size_t k = 0; k < kKeepers; ++k) {
            if (offices_[k]) own_due(k, offices_[k]->due());
            at(back_[k]);
        }
        for (std::size_t h = 0; h < kHolders; ++h) {
            if (stopped_[h] <= now_) own_due(kKeepers + h, holders_[h]->due());
            at(stopped_[h]);
        }
        for (const Millis cut : cut_) at(cut);
        for (const Flight& flight : net_) at(flight.not_before);
        const Millis before = now_;
        now_ = next;
        described_ = {};
        for (std::size_t p = 0; p < kKeepers; ++p)
            if (cut_[p] <= now_) for_holders_[p] = false;
        for (std::size_t h = 0; h < kHolders; ++h)
            if (stopped_[h] > before && stopped_[h] <= now_) {  // what it had looked at before, it sends now
                act(act_[h]);
                pump_holder(h);
            }
        for (std::size_t k = 0; k < kKeepers; ++k) {
            if (!offices_[k]) {
                if (back_[k] > 0 && back_[k] <= now_) boot(k);
            } else if (offices_[k]->due() <= clock(k)) {
                own(offices_[k]).tick(clock(k));
                pump(k);
            }
        }
        for (std::size_t h = 0; h < kHolders; ++h)
            if (stopped_[h] <= now_ && holders_[h]->due() <= clock(kKeepers + h)) pump_holder(h);
    }
    void act(lease::Fence fence) {
        const bool stale = fence < highest_;
        const bool passed = gate_.admit(kTask, fence) || what_.out == Guard::no_gate;
        if (!passed) ++stale_;
        if (passed && stale)
            broken("an act of fence " + std::to_string(fence) + " passed after one of " +
                   std::to_string(highest_));
        if (passed) highest_ = std::max(highest_, fence);
    }
    // After every event. Who is not stopped acts on, whenever it may.
    void look() {
        std::array<std::optional<lease::Holder::Right>, kHolders> rights;
        for (std::size_t h = 0; h < kHolders; ++h) {
            rights[h] = right(h);
            if (!rights[h] || held_[h] == rights[h]->fence) continue;
            held_[h] = rights[h]->fence;
            note(name(kKeepers + h) + " holds the task, fence " + std::to_string(held_[h]));
        }
        if (rights[0] && rights[1]) broken("two holders are inside their rights at once");
        for (std::size_t h = 0; h < kHolders; ++h)
            if (rights[h] && stopped_[h] <= now_) act(rights[h]->fence);
    }

    LeaseCheck what_;
    unsigned left_;
    Millis now_ = 0, end_ = 0;
    std::array<double, kKeepers + kHolders> rate_{};
    std::array<std::shared_ptr<raft::PersistentState>, kKeepers> disks_;
    std::array<std::shared_ptr<lease::LeaseServer>, kKeepers> offices_;
    std::array<std::shared_ptr<lease::Holder>, kHolders> holders_;
    mutable std::array<std::uint64_t, kKeepers> described_{};  // 0: to be made anew
    std::array<raft::Term, kKeepers> led_{};                   // of which it is known that it leads
    std::array<Millis, kKeepers> back_{};
    std::array<Millis, kHolders> stopped_{};
    std::array<lease::Fence, kHolders> act_{}, held_{};
    std::array<Millis, kKeepers + kHolders> cut_{};
    std::array<bool, kKeepers> for_holders_{};  // its cut leaves the ways to holders
    std::deque<Flight> net_;
    lease::Gate gate_;
    lease::Fence highest_ = 0;
    std::uint64_t stale_ = 0;
    std::map<raft::Term, raft::MemberId> leaders_;
    std::map<raft::Index, std::uint64_t> log_;
    std::shared_ptr<const Note> notes_;
    std::string broken_;
};

}  // namespace

const char* name_of(Guard guard) {
    switch (guard) {
        case Guard::none:
            return "none";
        case Guard::vote_not_written:
            return "vote not written";
        case Guard::no_drift:
            return "drift bound 0";
        case Guard::no_wait_of_a_new_leader:
            return "leader's wait left out";
        case Guard::no_gate:
            return "gate left out";
        case Guard::right_from_answer:
            return "right counted from its answer";
    }
    return "?";
}

LeaseChecked check(const LeaseCheck& what) {
    LeaseChecked checked;
    std::unordered_map<std::uint64_t, unsigned> seen;  // state -> deviations that were left, and one
    std::vector<World> open;
    open.emplace_back(what);
    while (!open.empty()) {
        World world = std::move(open.back());
        open.pop_back();
        ++checked.schedules;
        const std::uint64_t stale_before = world.stale();
        while (!world.over()) {
            unsigned& left = seen[world.state()];
            if (left > world.left()) {
                ++checked.revisited;
                break;
            }
            if (left == 0) ++checked.states;
            left = world.left() + 1;
            world.deviate([&](World&& other, const char* kind) {
                ++checked.struck[kind];
                open.push_back(std::move(other));
            });
            world.step();
            ++checked.steps;
        }
        checked.stale_refused += world.stale() - stale_before;
        if (!world.broken().empty()) {
            checked.broken = world.broken();
            checked.trace = world.trace();
            return checked;
        }
        if (checked.states >= what.most_states) {
            checked.whole = false;
            return checked;
        }
    }
    return checked;
}

}  // namespace cobaltshift::check
