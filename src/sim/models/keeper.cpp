#include "sim/models/keeper.hpp"

#include <xxhash.h>

#include <algorithm>

#include "lease/codec.hpp"
#include "raft/codec.hpp"
#include "store/journal.hpp"

namespace cobaltshift::sim {

namespace {
constexpr std::uint64_t kFleet = 77;
constexpr Millis kRestart = 800;
constexpr const char* kFile = "journal";
constexpr std::size_t kClientsMost = 1000;
}  // namespace

LeaseSettings::LeaseSettings(const Case& day)
    : keepers(static_cast<std::uint32_t>(day.count("keepers", 0))),
      holders(day.count("holders", 0)),
      tasks(day.count("tasks", 2)),
      length(day.get("lease.length", 2000)),
      election(day.get("lease.election", 500)),
      heartbeat(day.get("lease.heartbeat", 50)),
      margin(day.get("lease.margin", 50)),
      drift(day.get("lease.drift", 0.025)),
      off(day.get("lease.off", 0.02)),
      compact(day.count("lease.compact", 40)) {}

// Often at either end: that is where a bound is tried.
OwnClock OwnClock::drawn(Stream& lots, double off) {
    OwnClock clock;
    clock.start = 1e6 * lots.unit();
    const double lot = lots.unit();
    clock.rate = 1 + (lot < 0.3 ? -off : lot < 0.6 ? off : off * (2 * lots.unit() - 1));
    return clock;
}

KeeperDesk::KeeperDesk(Scene& scene, Node number)
    : scene_(scene),
      number_(number),
      settings_(scene.day),
      endpoint_(scene.network.endpoint("keeper-" + std::to_string(number))),
      lots_(scene.kernel.stream("keeper/" + std::to_string(number))),
      disk_(scene.kernel.stream("keeper/" + std::to_string(number) + "/disk"), 16 << 20),
      clock_(OwnClock::drawn(lots_, settings_.off)) {}

void KeeperDesk::start() {
    disk_.write(kFile, store::records_of(
                           raft::bootstrap(kFleet, static_cast<std::uint32_t>(number_), settings_.keepers)));
    disk_.sync(kFile);
    disk_.sync_names();
    boot();
}

void KeeperDesk::newcomer() {
    const raft::MemberId id = raft::kFirstRandomId + lots_.below(1ULL << 60);
    disk_.write("new", store::records_of(raft::newcomer(kFleet, id)));
    disk_.sync("new");
    disk_.rename("new", kFile);
    disk_.sync_names();
    scene_.figure("new lives") += 1;
}

void KeeperDesk::boot() {
    if (office_) return;
    store::Replayed found = store::replay(disk_.read(kFile).value_or(""));
    if (found.found == store::Replayed::Found::corrupt) scene_.figure("spoilt folders") += 1;
    if (found.found == store::Replayed::Found::corrupt || found.found == store::Replayed::Found::nothing) {
        newcomer();
        found = store::replay(disk_.read(kFile).value_or(""));
        if (found.found != store::Replayed::Found::intact) return;  // a full disk: not before the next start
    }
    if (found.found == store::Replayed::Found::torn) scene_.figure("torn tails") += 1;
    // One more run, and the tail cut off, before anything is said.
    ++found.stored.starts;
    if (!disk_.write("new", store::records_of(found.stored))) return;
    disk_.sync("new");
    disk_.rename("new", kFile);
    disk_.sync_names();
    head_ = found.stored;
    head_.entries.clear();
    head_.snapshot = {};
    ++life_;
    lease::LeaseServerSettings s;
    s.agree.cluster_id = kFleet;
    s.agree.number = static_cast<std::uint32_t>(number_);
    s.agree.member_slots = settings_.keepers;
    s.agree.heartbeat = settings_.heartbeat;
    s.agree.election = settings_.election;
    s.drift = settings_.drift;
    s.waiter_silence = 2400;
    s.compact_after = settings_.compact;
    office_ =
        std::make_unique<lease::LeaseServer>(s, std::move(found.stored), own(), lots_.below(1ULL << 62));
    scene_.bus.tell(KeeperTurned{number_, "starts"});
    pump();
}

void KeeperDesk::stop() {
    if (!office_) return;
    scene_.bus.tell(KeeperTurned{number_, "dies"});
    office_.reset();
    ++life_;
    inbox_.clear();
    clients_.clear();
    busy_ = paused_ = leads_ = false;
}

void KeeperDesk::pause(bool on) {
    if (!office_) return;
    paused_ = on;
    scene_.bus.tell(KeeperTurned{number_, on ? "is stopped" : "goes on"});
    if (!on) later([this] { pump(); });
}

void KeeperDesk::keep_copy() { copy_ = disk_.read(kFile); }

void KeeperDesk::restore_copy() {
    if (!copy_) return;
    disk_.write(kFile, *copy_);
    disk_.sync(kFile);
    disk_.sync_names();
}

// By what they are, not by what a leader remembers of them: one that is down, or whose folder was lost a
// moment ago, would still count.
bool KeeperDesk::others_whole() const {
    const lease::LeaseServer* leader = nullptr;
    for (const KeeperDesk* desk : scene_.all<KeeperDesk>())
        if (desk->number_ != number_ && desk->office() && desk->office()->keeper().leads())
            if (!leader || desk->office()->keeper().term() > leader->keeper().term()) leader = desk->office();
    if (!leader || leader->keeper().changing()) return false;
    for (const KeeperDesk* desk : scene_.all<KeeperDesk>()) {
        if (desk->number_ == number_) continue;
        if (!desk->office() || desk->office()->keeper().retired()) return false;
        const raft::RaftNode& keeper = desk->office()->keeper();
        if (keeper.last() < leader->keeper().commit() || keeper.term() != leader->keeper().term())
            return false;
        bool votes = false;
        for (const raft::Member& member : leader->keeper().members())
            votes = votes || (member.id == keeper.id() && member.voter);
        if (!votes) return false;
    }
    return true;
}

// ---- Events ----------------------------------------------------------------------------------------------

// A stopped process, or one that waits for its disk, finds all that came afterwards.
void KeeperDesk::later(Task what) {
    if (!office_) return;
    if (paused_ || busy_) {
        inbox_.push_back(std::move(what));
        return;
    }
    run(std::move(what));
}

void KeeperDesk::run(Task what) {
    const std::uint64_t life = life_;
    try {
        what();
        while (life_ == life && !paused_ && !busy_ && !inbox_.empty()) {
            Task next = std::move(inbox_.front());
            inbox_.pop_front();
            next();
        }
        if (life_ == life && !busy_ && !paused_) pump();
    } catch (const raft::ProtocolViolation& fault) {
        scene_.broken("agreement", keeper_name(number_) + ": " + fault.what(), keeper_name(number_));
        stop();
    }
}

void KeeperDesk::arrived(const std::string& bytes) {
    later([this, bytes] {
        std::string why;
        const auto message = raft::decode_message(bytes, why);
        if (!message) {
            scene_.figure("messages refused") += 1;
            return;
        }
        office_->heard(own(), *message);
    });
}

void KeeperDesk::asked(Network::Endpoint from, const std::string& bytes, Network::Arrive answer) {
    later([this, from, bytes, answer = std::move(answer)] {
        std::string why;
        const auto question = lease::decode_question(bytes, why);
        if (!question) {
            scene_.figure("messages refused") += 1;
            return;
        }
        if (clients_.size() >= kClientsMost) clients_.erase(clients_.begin());
        clients_[next_client_] = {from, answer};
        office_->asked(own(), next_client_++, *question);
    });
}

bool KeeperDesk::persist(const lease::LeaseServer::Output& output) {
    const raft::Ready& ready = output.ready;
    if (!ready.writes()) return true;
    if (ready.snapshot) {
        raft::PersistentState all = head_;
        all.term = office_->keeper().term();
        all.voted = office_->keeper().voted();
        all.snapshot = *ready.snapshot;
        all.entries = ready.entries;
        if (!disk_.write("new", store::records_of(all))) return false;
        if (std::exchange(die_in_write_, false)) return false;
        disk_.sync("new");
        disk_.rename("new", kFile);
        disk_.sync_names();
        return true;
    }
    if (!disk_.append(kFile, store::records_of(ready))) return false;
    if (std::exchange(die_in_write_, false)) {
        scene_.figure("deaths in a write") += 1;
        return false;
    }
    disk_.sync(kFile);
    scene_.figure("syncs") += 1;
    return true;
}

void KeeperDesk::pump() {
    const std::uint64_t life = life_;
    while (life_ == life && office_ && !busy_ && !paused_ && office_->ready()) {
        lease::LeaseServer::Output output = office_->take(own());
        if (!persist(output)) {  // it can promise nothing: what its folder holds is all that counts
            stop();
            disk_.crash();
            scene_.kernel.after(kRestart, [this] { boot(); });
            return;
        }
        if (output.ready.retired) {
            scene_.bus.tell(KeeperTurned{number_, "is no member any more"});
            stop();
            disk_.lose_all();
            scene_.kernel.after(kRestart, [this] { boot(); });
            return;
        }
        if (slow_ > 0 && output.ready.writes()) {
            busy_ = true;
            scene_.kernel.after(
                slow_,
                [this, life, output = std::make_shared<lease::LeaseServer::Output>(std::move(output))] {
                    if (life_ != life) return;
                    busy_ = false;
                    finish(std::move(*output));
                    later([this] { pump(); });
                });
            break;
        }
        finish(std::move(output));
    }
    if (life_ == life) schedule();
}

void KeeperDesk::finish(lease::LeaseServer::Output output) {
    office_->stored();
    for (const raft::Committed& one : output.ready.committed) {
        const std::string bytes = raft::encode(one.entry);
        scene_.bus.tell(Agreed{number_, one.index, XXH3_64bits(bytes.data(), bytes.size())});
    }
    if (!output.ready.committed.empty() || output.ready.restored)
        scene_.bus.tell(BookAt{number_, office_->applied(), office_->book().digest()});
    const bool leads = office_->keeper().leads();
    if (leads && !leads_) scene_.bus.tell(Led{number_, office_->keeper().id(), office_->keeper().term()});
    leads_ = leads;
    for (const raft::Message& message : output.ready.messages) {
        const std::string bytes = raft::encode(message);
        for (KeeperDesk* desk : scene_.all<KeeperDesk>()) {
            if (desk->number_ == number_) continue;
            if (message.kind != raft::Message::Kind::join && desk->number_ != message.to_number) continue;
            scene_.network.send(endpoint_, desk->endpoint(), bytes,
                                [desk](const std::string& arrives) { desk->arrived(arrives); });
        }
    }
    for (const auto& reply : output.replies) {
        const auto client = clients_.find(reply.client);
        if (client == clients_.end()) continue;
        scene_.network.send(endpoint_, client->second.first, lease::encode(reply.answer),
                            client->second.second);
    }
}

void KeeperDesk::schedule() {
    if (!office_) return;
    const Millis due = office_->due();
    if (due > 1e17) return;
    const std::uint64_t timer = ++timer_;
    scene_.kernel.at(clock_.true_time(due) + 1e-6, [this, timer, life = life_] {
        if (timer_ != timer || life_ != life) return;
        later([this] { office_->tick(own()); });
    });
}

namespace {
const Registered kModel = Registered::model("keeper", [](Scene& scene) {
    for (Node k = 0; k < scene.day.count("keepers", 0); ++k) scene.add<KeeperDesk>(scene, k);
});
}  // namespace

}  // namespace cobaltshift::sim
