#include "sim/models/archive.hpp"

#include <algorithm>

#include "sim/models/discovery.hpp"

namespace cobaltshift::sim {

using kelplb::Outcome;

ArchiveSettings::ArchiveSettings(const Case& day)
    : servers(day.count("servers", 12)),
      slots(day.count("server.slots", 4)),
      queue(day.count("server.queue", 64)),
      work(day.get("server.work_ms", 20)),
      warmup_time(day.get("server.warm_within_ms", 8000)),
      fall_window(day.get("server.fall_window_ms", 1000)),
      cold_capacity(day.get("server.cold_from", 0.3)),
      overload_multiple(day.get("server.fall_multiple", 2.5)) {}

Archive::Archive(Scene& scene, std::size_t number)
    : scene_(scene),
      settings_(scene.day),
      number_(number),
      endpoint_(scene.network.endpoint("server-" + std::to_string(number))),
      lots_(scene.kernel.stream("server/" + std::to_string(number))) {}

kelplb::ServerInfo Archive::info() const {
    return {id(), static_cast<kelplb::ZoneId>(number_ % 3), 0, phase_, born_, 1};
}

bool Archive::cold() const { return born_ > 0 && scene_.kernel.now() < born_ + settings_.warmup_time; }

double Archive::share() const {
    if (born_ == 0) return 1;
    const double age = (scene_.kernel.now() - born_) / settings_.warmup_time;
    return settings_.cold_capacity + (1 - settings_.cold_capacity) * std::min(1.0, age);
}

void Archive::answer(const Job& job, Outcome outcome, Millis after) {
    if (mute_) return;
    const auto send = [this, job, outcome] {
        scene_.network.pass(endpoint_, job.from,
                            [job, outcome] { job.caller->ended(job.life, job.id, job.attempt, outcome); });
    };
    if (after > 0)
        scene_.kernel.after(after, send);
    else
        send();
}

void Archive::receive(Job job) {
    if (!up_) return answer(job, Outcome::refused_connection);
    if (cold()) scene_.bus.tell(Received{id(), job.work, share()});
    if (errors_ > 0 && lots_.chance(errors_)) return answer(job, Outcome::errored, 1);
    if (running_.size() + waiting_.size() >= settings_.slots + settings_.queue)
        return answer(job, Outcome::saturated);
    waiting_.push_back(job);
    begin();
}

void Archive::begin() {
    while (!frozen_ && !waiting_.empty() && running_.size() < settings_.slots) {
        const std::uint64_t number = next_++;
        const Job job = waiting_.front();
        waiting_.pop_front();
        running_[number] = job;
        scene_.bus.tell(Ran{job.request, id()});
        scene_.kernel.after(job.work / share(), [this, number, life = life_] {
            if (life_ == life) finish(number);
        });
    }
}

void Archive::finish(std::uint64_t number) {
    if (frozen_) return over_.push_back(number);
    const auto at = running_.find(number);
    if (at == running_.end()) return;
    const Job job = at->second;
    running_.erase(at);
    answer(job, Outcome::completed);
    begin();
}

void Archive::crash() {
    if (!up_) return;
    up_ = false, frozen_ = false;
    ++life_;
    scene_.bus.tell(ServerTurned{id(), "crashes"});
    for (const auto& [number, job] : running_) answer(job, Outcome::connection_lost);
    for (const auto& job : waiting_) answer(job, Outcome::connection_lost);
    running_.clear(), waiting_.clear(), over_.clear();
    // Discovery notices later, unless it is back by then.
    const Millis notice = scene_.day.get("discovery.notice_ms", 1500);
    scene_.kernel.after(notice, [this, life = life_] {
        if (life_ == life && !up_) drain(kelplb::Phase::off);
    });
}

void Archive::back() {
    if (up_) return;
    up_ = true;
    ++life_;
    born_ = scene_.kernel.now();
    scene_.bus.tell(ServerTurned{id(), "returns cold"});
    drain(kelplb::Phase::on);
}

void Archive::freeze() {
    if (!up_ || frozen_) return;
    frozen_ = true;
    scene_.bus.tell(ServerTurned{id(), "freezes"});
}

void Archive::thaw() {
    if (!frozen_) return;
    frozen_ = false;
    scene_.bus.tell(ServerTurned{id(), "goes on"});
    std::vector<std::uint64_t> over;
    over.swap(over_);
    for (const auto number : over) finish(number);
    begin();
}

void Archive::drain(kelplb::Phase phase) {
    // One taken off the list while it ran comes back as another process.
    if (phase == kelplb::Phase::on && phase_ == kelplb::Phase::off && up_) born_ = scene_.kernel.now();
    phase_ = phase;
    for (Discovery* discovery : scene_.all<Discovery>()) discovery->say(info());
}

namespace {
const Registered kModel = Registered::model("archive", [](Scene& scene) {
    for (std::size_t n = 0; n < ArchiveSettings(scene.day).servers; ++n) scene.add<Archive>(scene, n);
});
}  // namespace

}  // namespace cobaltshift::sim
