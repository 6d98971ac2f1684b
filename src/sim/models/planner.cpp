#include "sim/models/planner.hpp"

#include <algorithm>
#include <cstdio>
#include <limits>

#include "plan/codec.hpp"
#include "sim/models/archive.hpp"
#include "sim/models/discovery.hpp"

namespace cobaltshift::sim {

namespace {
constexpr Millis kTickEvery = 500, kWait = 1000;
constexpr Millis kFiveMinutes = 300000;
}  // namespace

PlannerDesk::PlannerDesk(Scene& scene, Node number)
    : scene_(scene),
      number_(number),
      endpoint_(scene.network.endpoint("planner-" + std::to_string(number))),
      lots_(scene.kernel.stream("planner/" + std::to_string(number))),
      disk_(scene.kernel.stream("planner/" + std::to_string(number) + "/disk")),
      skew_(kFiveMinutes * (static_cast<double>(number) - 1)) {}

void PlannerDesk::start() {
    for (const auto& info : scene_.all<Discovery>().at(0)->list()) list_[info.id] = info;
    scene_.all<Discovery>().at(0)->subscribe(
        [this](const kelplb::ServerInfo& info) {
            list_[info.id] = info;
            if (core_) core_->listed(clock(), {info}, false);
        },
        [this] { return lag_ > 0 && lots_.chance(0.3) ? lag_ : 0.0; });
    boot();
}

void PlannerDesk::boot() {
    if (core_) return;
    ++life_;
    const ArchiveSettings servers(scene_.day);
    plan::PlannerSettings s;
    s.number = static_cast<std::uint32_t>(number_);
    s.cold_capacity = servers.cold_capacity;
    s.warmup_time = servers.warmup_time;
    s.overload_multiple = servers.overload_multiple;
    s.subset = scene_.day.count("planner.subset", 0);
    core_ = std::make_unique<plan::Planner>(s, kept(), clock());
    keep();  // before anything is said under this epoch
    scene_.bus.tell(PlannerTurned{number_, true, core_->id()});
    std::vector<kelplb::ServerInfo> all;
    for (const auto& [id, info] : list_) all.push_back(info);
    core_->listed(clock(), all, true);
    tick(life_);
}

void PlannerDesk::stop() {
    if (!core_) return;
    scene_.bus.tell(PlannerTurned{number_, false, core_->id()});
    core_.reset();
    pending_.clear();
    known_.clear();
    early_set_ = false;
    ++life_;
}

void PlannerDesk::tick(std::uint64_t life) {
    if (life_ != life || !core_) return;
    if (core_->tick(clock())) published();
    for (const auto& [id, info] : list_) {
        const auto granted = core_->granted(clock(), id);
        if (granted.rate > granted.slice * (1 + 1e-6))
            scene_.broken("plan grants", "a planner's grants exceed its slice",
                          "planner " + std::to_string(number_));
    }
    scene_.kernel.after(kTickEvery, [this, life] { tick(life); });
}

void PlannerDesk::turned() {
    const auto due = core_->publish_due();
    if (!due || std::exchange(early_set_, true)) return;
    scene_.kernel.at(*due - skew_, [this, life = life_] {
        if (life_ != life) return;
        early_set_ = false;
        if (core_->publish_due() && core_->publish(clock())) published();
    });
}

void PlannerDesk::knows() {
    auto removed = core_->removed_incarnations();
    if (removed == known_) return;
    known_ = std::move(removed);
    scene_.bus.tell(PlannerKnows{number_, known_});
}

void PlannerDesk::published() {
    knows();
    scene_.bus.tell(PlanChanged{number_, core_->id()});
    keep();
    std::vector<Pending> pending;
    pending.swap(pending_);
    for (const Pending& one : pending) answer(one);
}

std::optional<plan::Planner::ReportResult> PlannerDesk::report(const std::string& bytes) {
    std::string why;
    const auto heard = plan::decode_report(bytes, why);
    if (!core_ || !heard) return {};
    const auto taken = core_->report(clock(), *heard);
    knows();
    turned();
    return taken;
}

void PlannerDesk::asked(Node forwarder, const std::string& name, Network::Endpoint from,
                        std::uint64_t question, plan::PlanId has, Answer told) {
    if (!core_) return;
    const Pending one{forwarder, name, from, question, has, std::move(told)};
    if (has != core_->id()) return answer(one);
    pending_.push_back(one);
    scene_.kernel.after(kWait, [this, question, forwarder, life = life_] {
        if (life_ != life) return;
        const auto at = std::find_if(pending_.begin(), pending_.end(), [&](const Pending& p) {
            return p.question == question && p.forwarder == forwarder;
        });
        if (at == pending_.end()) return;
        const Pending due = *at;
        pending_.erase(at);
        answer(due);
    });
}

void PlannerDesk::answer(const Pending& one) {
    plan::Plan said = core_->plan(clock(), one.name, one.has);
    std::vector<GrantLeft> grants;
    for (const auto& s : said.servers)
        if (s.cold_rate > 0)
            grants.push_back({s.life, s.cold_rate, core_->granted(clock(), s.life.id).slice});
    if (lying_) lie(said);
    scene_.bus.tell(PlanLeft{one.forwarder, number_, one.question, said.id, std::move(grants), said.life});
    scene_.network.send(endpoint_, one.from, encode(said), one.answer);
}

// Well-formed nonsense, and what passes for sense but is a lie.
void PlannerDesk::lie(plan::Plan& said) {
    said.same = false;
    if (said.servers.empty()) return;
    auto& any = said.servers[lots_.below(said.servers.size())];
    switch (lots_.below(8)) {
        case 0:
            any.share = std::numeric_limits<float>::quiet_NaN();
            break;
        case 1:
            any.share = -1;
            break;
        case 2:
            any.elsewhere = std::numeric_limits<float>::infinity();
            break;
        case 3:
            for (auto& s : said.servers) s.removed = true;
            break;
        case 4:
            for (auto& s : said.servers) s.life = {s.life.id + 5000, 1};
            break;
        case 5:
            for (auto& s : said.servers) s.cold_rate = s.cold_rate * 1000 + 900;
            break;
        case 6:  // the most that passes for sense
            for (std::size_t i = 0; i < said.servers.size(); ++i)
                said.servers[i].removed = i < said.servers.size() / 2, said.servers[i].trial = 0;
            break;
        default:
            for (auto& s : said.servers) s.share = 0, s.preferred = false, s.cold_rate = 900;
    }
}

void PlannerDesk::keep() {
    const plan::PlanId id = core_->id();
    if (!disk_.write("new", std::to_string(id.epoch) + " " + std::to_string(id.sequence))) return;  // full
    disk_.sync("new");
    disk_.rename("new", "state");
    disk_.sync_names();
}

plan::PlanId PlannerDesk::kept() const {
    unsigned long long epoch = 0, sequence = 0;
    const auto text = disk_.read("state");
    if (!text || std::sscanf(text->c_str(), "%llu %llu", &epoch, &sequence) != 2) return {};
    return {epoch, sequence};
}

namespace {
const Registered kModel = Registered::model("planner", [](Scene& scene) {
    for (Node p = 0; p < scene.day.count("planners", 3); ++p) scene.add<PlannerDesk>(scene, p);
});
}  // namespace

}  // namespace cobaltshift::sim
