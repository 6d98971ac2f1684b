#include "sim_mesh/hub.hpp"

#include <algorithm>

#include "raft/codec.hpp"
#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

namespace {
constexpr std::uint64_t kFleet = 77;
constexpr Millis kStoreAgain = 300, kLookAtHubs = 250;  // as control_io and programs/control.cpp

void keep(raft::PersistentState& disk, const raft::Ready& ready) {
    if (ready.vote) disk.term = ready.vote->term, disk.voted = ready.vote->voted;
    if (ready.snapshot) disk.snapshot = *ready.snapshot, disk.entries.clear();
    if (ready.from > 0) {
        disk.entries.resize(ready.from - disk.snapshot.index - 1);
        disk.entries.insert(disk.entries.end(), ready.entries.begin(), ready.entries.end());
    }
}
}  // namespace

Hub::Hub(World& world, Ip ip, Disk& disk, bool first_boot)
    : Node(world, ip, registry::NodeRole::control_node, !first_boot), disk_(disk), first_boot_(first_boot) {
    begin();
    open();
    look();
}

Hub::~Hub() {
    // Ended in the middle of a sync: the batch is there or it isn't.
    if (writing_ && disk_.stored && !disk_.full && world_.draw() % 2 == 0)
        keep(*disk_.stored, writing_->ready);
}

void Hub::look() {
    if (replica_ && replica_->state_machine().edition() != gossip().self().config_edition)
        tell([this](registry::NodeRecord& own) {
            own.config_edition = replica_->state_machine().edition(), own.ready = true;
        });
    after(kLookAtHubs, [this] { look(); });
}

void Hub::open() {
    replica_.reset();
    if (disk_.full) return refuses();
    if (!disk_.stored)
        disk_.stored = first_boot_ ? control::bootstrap(kFleet, ip_, world_.seeds())
                                   : raft::newcomer(kFleet, raft::kFirstRandomId + (world_.draw() >> 4));
    ++disk_.stored->starts;
    control::ReplicaSettings settings;
    settings.consensus.cluster_id = kFleet;
    settings.consensus.number = ip_;
    settings.consensus.member_slots = UINT32_MAX;
    settings.consensus.heartbeat = 100;
    settings.consensus.election = 600;
    replica_ = std::make_unique<control::Replica>(settings, *disk_.stored, now(), world_.draw());
    event([] {});
}

void Hub::refuses() {
    replica_.reset();
    const auto calls = std::exchange(calls_, {});
    for (const auto& [client, done] : calls) done(control::Reply());
    after(kStoreAgain, [this] {
        if (!replica_) open();
    });
}

void Hub::event(const std::function<void()>& what) {
    if (!replica_) return;
    what();
    if (std::exchange(pump_posted_, true)) return;
    after(0, [this] {
        pump_posted_ = false;
        pump();
    });
}

void Hub::pump() {
    while (replica_ && replica_->has_output() && !writing_) {
        auto output = std::make_shared<control::Output>(replica_->take_output(now()));
        if (!output->ready.writes()) {
            carry_out(*output);
            continue;
        }
        if (disk_.full) return refuses();
        // A sync blocks the whole process, as its loop is one thread.
        writing_ = output;
        world_.net.busy(ip_, true);
        sync(disk_.sync);
        return;
    }
    if (!replica_) return;
    if (replica_->due() != armed_) {
        armed_ = replica_->due();
        after(std::max(0.0, armed_ - now()) + 0.001, [this, due = armed_] {
            if (armed_ != due) return;
            armed_ = 1e18;
            event([this] { replica_->tick(now()); });
        });
    }
}

void Hub::sync(Millis delay) {
    world_.time.after(delay, [this, &net = world_.net, ip = ip_, epoch = world_.net.machine(ip_).epoch] {
        if (!net.machine(ip).running || net.machine(ip).epoch != epoch) return;  // `this` is gone
        if (disk_.hangs) return sync(20);
        const bool failed = disk_.full;
        if (!failed) keep(*disk_.stored, writing_->ready);
        net.busy(ip, false, [this, output = std::exchange(writing_, nullptr), failed] {
            if (failed) return refuses();
            carry_out(*output);
            pump();
        });
    });
}

void Hub::carry_out(const control::Output& output) {
    if (output.ready.retired) {
        disk_.stored = raft::newcomer(kFleet, raft::kFirstRandomId + (world_.draw() >> 4));
        const auto calls = std::exchange(calls_, {});
        for (const auto& [client, done] : calls) done(control::Reply());
        return open();
    }
    replica_->persisted();
    const std::vector<Ip> others = hubs();
    for (const raft::Message& message : output.ready.messages) {
        if (message.kind != raft::Message::Kind::join || message.number != ip_) {
            send(message.to_number, message);
            continue;
        }
        std::vector<Ip> all = world_.seeds();
        all.insert(all.end(), others.begin(), others.end());
        std::sort(all.begin(), all.end());
        all.erase(std::unique(all.begin(), all.end()), all.end());
        for (const Ip ip : all) send(ip, message);
    }
    for (const raft::Message& message : output.to_all) {
        std::vector<Ip> all = world_.seeds();
        all.insert(all.end(), others.begin(), others.end());
        for (const raft::Member& member : replica_->raft().members()) all.push_back(member.number);
        std::sort(all.begin(), all.end());
        all.erase(std::unique(all.begin(), all.end()), all.end());
        for (const Ip ip : all) send(ip, message);
    }
    if (output.newest) {
        hold(output.newest);
        tell([&](registry::NodeRecord& own) {
            own.config_edition = output.newest->edition, own.ready = true;
        });
    }
    for (const control::Reply& reply : output.replies) {
        const auto at = calls_.find(reply.client);
        if (at == calls_.end()) continue;
        const Done done = std::move(at->second);
        calls_.erase(at);
        done(reply);
    }
}

void Hub::send(Ip to, const raft::Message& message) {
    if (to == ip_) return;
    world_.net.datagram(
        ip_, to, [&world = world_, to, bytes = raft::encode(message), passed_on = message.number != ip_] {
            auto* hub = dynamic_cast<Hub*>(world.node(to));
            std::string why;
            const auto heard = raft::decode_message(bytes, why);
            if (hub && heard && hub->replica_)
                hub->event([&] { hub->replica_->on_message(hub->now(), *heard, passed_on); });
        });
}

std::uint64_t Hub::call(Done done) {
    calls_[next_] = std::move(done);
    return next_++;
}

void Hub::change(config::Change change, Done done) {
    if (!replica_) return done(control::Reply());
    const bool valid = replica_->state_machine().current() == nullptr ||
                       change.body.find("\"deadline_s\":0") == std::string::npos;
    if ((!world_.safeguards.commit_first && leads() && valid) ||
        (!world_.safeguards.checks_changes && leads() && !valid)) {
        // A proxy is taken out: it answers as soon as it has heard.
        control::Reply reply;
        reply.kind = control::Reply::Kind::taken;
        done(reply);
        done = [](const control::Reply&) {};
    }
    const std::uint64_t client = call(std::move(done));
    event([&] { replica_->change(now(), client, std::move(change)); });
}

void Hub::read(Done done) {
    if (!replica_) return done(control::Reply());
    const std::uint64_t client = call(std::move(done));
    event([&] { replica_->read(now(), client); });
}

}  // namespace cobaltshift::simmesh
