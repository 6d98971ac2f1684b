#include "sim_mesh/server.hpp"

#include <cmath>

#include "sim_mesh/proxy.hpp"
#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

namespace {
constexpr Millis kAckWithin = 1000, kSoon = 250, kAnyway = 5000, kLittleLonger = 500, kExtraAfter = 30,
                 kForgetsAfter = 300, kHop = 0.3;
constexpr double kRefusedTwice = 0.5;  // of the refusals of a server that refuses without need
constexpr double kCloses = 0.02;       // now and then an answer says Connection: close

const char* name_of(Server::Loses how) {
    switch (how) {
        case Server::Loses::nothing:
            return "answer as it is";
        case Server::Loses::by_reset:
            return "answer lost by a reset";
        case Server::Loses::by_silence:
            return "answer lost by silence";
        case Server::Loses::half:
            return "answer broken off";
        case Server::Loses::extra:
            return "second answer, late";
        case Server::Loses::twice:
            return "second answer, at once";
        case Server::Loses::idle:
            return "connections forgotten";
        case Server::Loses::fails:
            return "server error";
        case Server::Loses::refuses:
            return "turned away by the server";
    }
    return "";
}
}  // namespace

Server::Server(World& world, Ip ip, std::string service, std::string life, const Settings& settings,
               bool warm)
    : world_(world),
      ip_(ip),
      service_(std::move(service)),
      life_(std::move(life)),
      settings_(settings),
      started_(warm ? -1e9 : world.time.now()) {
    after(5, [this] { beat(); });
}

void Server::after(Millis delay, Task what) {
    world_.time.after(delay, [alive = alive_, what = std::move(what)] {
        if (*alive) what();
    });
}

double Server::warmup_left_s() const {
    return std::max(0.0, started_ + settings_.cold - world_.time.now()) / 1000;
}

void Server::beat() {
    const bool closing = closing_;
    if (closing && told_) return;
    const std::uint64_t seq = ++seq_;
    auto acknowledged = std::make_shared<bool>(false);
    Machine& machine = world_.net.machine(ip_);
    if (machine.running)
        world_.time.after(0.3, [this, alive = alive_, closing, seq, acknowledged, epoch = machine.epoch] {
            if (!*alive) return;
            world_.net.in_process(ip_, epoch, [this, alive = alive_, closing, seq, acknowledged] {
                if (!*alive) return;  // a frozen machine holds what is for it longer than a server lives
                auto* proxy = dynamic_cast<Proxy*>(world_.node(ip_));
                if (!proxy || !proxy->beat(*this, closing, seq)) return;
                world_.time.after(0.3, [this, alive, closing, acknowledged] {
                    if (!*alive) return;
                    *acknowledged = true;
                    if (!closing || std::exchange(told_, true)) return;
                    world_.rules.tell([&](Checker& c) { c.closing(ip_, life_); });
                    after(world_.bounds.drain + kLittleLonger, [this] { end(); });
                });
            });
        });
    after(closing ? kSoon : world_.bounds.heartbeat, [this] { beat(); });
    (void)kAckWithin;
}

void Server::close() {
    if (std::exchange(closing_, true)) return;
    beat();
    after(kAnyway, [this] {
        if (!told_) end();
    });
}

void Server::end() {
    if (auto* proxy = dynamic_cast<Proxy*>(world_.node(ip_)); proxy && !world_.net.machine(ip_).blocked())
        proxy->server_gone(life_);
    if (on_end) on_end();  // the last that it does: `this` is gone then
}

void Server::crash() {
    *alive_ = false;
    hang_up();
}

Server::~Server() {
    *alive_ = false;
    hang_up();
}

void Server::hang_up() {
    for (const auto& [number, connection] : connections_)
        world_.time.after(kHop, [deliver = connection.deliver] { deliver({}); });
    connections_.clear();
    jobs_.clear();
}

// ---- Connections -----------------------------------------------------------------------------------------

Server::ConnectionNumber Server::connect(Deliver deliver) {
    connections_[next_] = {std::move(deliver), world_.time.now()};
    return next_++;
}

void Server::disconnect(ConnectionNumber connection) {
    connections_.erase(connection);
    // What has begun goes on, to the strict side: some servers drop it.
    std::erase_if(jobs_, [connection](const auto& one) {
        return one.second.connection == connection && !one.second.at_work;
    });
}

void Server::disconnect_all() {
    while (!connections_.empty()) disconnect(connections_.begin()->first);
}

void Server::deliver(ConnectionNumber connection, ServerAnswer answer, Millis delay) {
    after(delay, [this, connection, answer = std::move(answer)] {
        const auto at = connections_.find(connection);
        if (at == connections_.end()) return;
        at->second.rests_since = world_.time.now();
        at->second.deliver(answer);
    });
}

void Server::reset(ConnectionNumber connection) {
    after(kHop, [this, connection] {
        const auto at = connections_.find(connection);
        if (at == connections_.end()) return;
        const Deliver to = at->second.deliver;
        connections_.erase(at);
        to({});
    });
}

void Server::request(ConnectionNumber connection, const Run& run, const std::string& expected) {
    using Kind = ServerAnswer::Kind;
    const auto at = connections_.find(connection);
    if (at == connections_.end()) return;
    const bool forgotten =
        loses_ == Loses::idle && world_.time.now() > at->second.rests_since + kForgetsAfter;
    if (forgotten) {
        world_.strike("connection forgotten");
        return reset(connection);
    }
    world_.rules.tell([&](Checker& c) {
        if (expected == life_ || expected.empty()) c.arrived(run);
    });
    if (!expected.empty() && expected != life_) return turn_away(connection, Kind::wrong_life);
    if (world_.time.now() >= run.request->deadline || queue_.size() >= 2 * settings_.capacity)
        return turn_away(connection, Kind::turned_away);
    if (loses_ == Loses::refuses && world_.unit() < lost_share_) {
        world_.strike(name_of(loses_));
        return turn_away(connection, Kind::turned_away);
    }
    const std::uint64_t number = next_++;
    jobs_[number] = {run, connection, false};
    queue_.push_back(number);
    look();
}

// On the wire a refusal names no request.
void Server::turn_away(ConnectionNumber connection, ServerAnswer::Kind kind) {
    const ServerAnswer refusal{kind, "", false};
    deliver(connection, refusal);
    const bool twice = (loses_ == Loses::extra && world_.unit() < lost_share_) ||
                       (loses_ == Loses::refuses && world_.unit() < kRefusedTwice);
    if (!twice) return;
    world_.strike("second refusal, late");
    deliver(connection, refusal, kExtraAfter);
}

// ---- Work ------------------------------------------------------------------------------------------------

void Server::look() {
    while (working_ < settings_.capacity && !queue_.empty()) {
        const std::uint64_t number = queue_.front();
        queue_.pop_front();
        if (jobs_.count(number)) begin(number);
    }
}

void Server::begin(std::uint64_t number) {
    Job& job = jobs_.at(number);
    job.at_work = true;
    ++working_;
    world_.rules.tell([&](Checker& c) { c.ran(job.run); });
    Millis work = settings_.work * (0.3 - 0.7 * std::log(1 - world_.unit()));
    if (warmup_left_s() > 0) work *= settings_.cold_factor;
    after(work, [this, number] { finish(number); });
}

void Server::finish(std::uint64_t number) {
    using Kind = ServerAnswer::Kind;
    const auto at = jobs_.find(number);
    --working_;
    if (at != jobs_.end()) {
        const Job job = std::move(at->second);
        jobs_.erase(at);
        const Loses how = world_.unit() < lost_share_ ? loses_ : Loses::nothing;
        const ServerAnswer whole{Kind::whole, job.run.id, closing_ || world_.unit() < kCloses};
        if (how == Loses::by_reset || how == Loses::half) reset(job.connection);
        if (how == Loses::fails) deliver(job.connection, {Kind::failed, job.run.id});
        if (how != Loses::nothing && how != Loses::idle && how != Loses::refuses) world_.strike(name_of(how));
        const bool comes = how == Loses::nothing || how == Loses::extra || how == Loses::twice ||
                           how == Loses::idle || how == Loses::refuses;
        if (comes) deliver(job.connection, whole);
        if (how == Loses::extra) deliver(job.connection, whole, kExtraAfter);
        if (how == Loses::twice) deliver(job.connection, whole);
    }
    look();
}

}  // namespace cobaltshift::simmesh
