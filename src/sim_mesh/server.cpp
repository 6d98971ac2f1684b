#include "sim_mesh/server.hpp"

#include <cmath>

#include "sim_mesh/proxy.hpp"
#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

namespace {
constexpr Millis kAckWithin = 1000, kSoon = 250, kAnyway = 5000, kLittleLonger = 500, kExtraAfter = 30;
}

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
                auto* proxy = dynamic_cast<Proxy*>(world_.node(ip_));
                if (!*alive || !proxy || !proxy->beat(*this, closing, seq)) return;
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
    for (auto& [number, job] : jobs_) {
        Answered answer = std::move(job.answer);
        world_.time.after(0.3, [answer] { answer({ServerAnswer::Kind::broken, {}}); });
    }
    jobs_.clear();
}

void Server::answered(Answered& to, ServerAnswer answer, Millis delay) {
    world_.time.after(delay, [to, answer = std::move(answer)] { to(answer); });
}

std::uint64_t Server::take(const Run& run, const std::string& expected, Answered answer, Answered extra) {
    world_.rules.tell([&](Checker& c) {
        if (expected == life_ || expected.empty()) c.arrived(run);
    });
    if (!expected.empty() && expected != life_) {
        answered(answer, {ServerAnswer::Kind::wrong_life, run.id});
        return 0;
    }
    if (world_.time.now() >= run.request->deadline || queue_.size() >= 2 * settings_.capacity) {
        answered(answer, {ServerAnswer::Kind::turned_away, run.id});
        return 0;
    }
    const std::uint64_t number = next_++;
    jobs_[number] = {run, std::move(answer), std::move(extra)};
    queue_.push_back(number);
    look();
    return number;
}

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
    const auto at = jobs_.find(number);
    --working_;
    if (at != jobs_.end()) {
        Job job = std::move(at->second);
        jobs_.erase(at);
        const bool lost = loses_ != Loses::nothing && world_.unit() < lost_share_;
        const ServerAnswer whole{ServerAnswer::Kind::whole, job.run.id};
        if (!lost || loses_ == Loses::extra) answered(job.answer, whole);
        if (lost && loses_ == Loses::extra) answered(job.extra, whole, kExtraAfter);
        if (lost && (loses_ == Loses::by_reset || loses_ == Loses::half))
            answered(job.answer, {ServerAnswer::Kind::broken, job.run.id});
    }
    look();
}

void Server::dropped(std::uint64_t number) {
    const auto at = jobs_.find(number);
    // What has begun goes on, to the strict side: some servers drop it.
    if (at != jobs_.end() && !at->second.at_work) jobs_.erase(at);
}

}  // namespace cobaltshift::simmesh
