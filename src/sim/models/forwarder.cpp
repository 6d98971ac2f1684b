#include "sim/models/forwarder.hpp"

#include <algorithm>
#include <utility>

#include "plan/codec.hpp"
#include "sim/models/discovery.hpp"
#include "sim/models/planner.hpp"

namespace cobaltshift::sim {

using kelplb::Outcome;

namespace {
constexpr Millis kReportEvery = 1000, kQuestionPatience = 1800, kRefusedPause = 250;
constexpr Millis kDedup = 3000, kProbePatience = 200;
}  // namespace

Forwarder::Forwarder(Scene& scene, Node number)
    : scene_(scene),
      number_(number),
      planners_(scene.day.count("planners", 3)),
      endpoint_(scene.network.endpoint("forwarder-" + std::to_string(number))),
      name_("f" + std::to_string(number)),
      lots_(scene.kernel.stream("forwarder/" + std::to_string(number))),
      aim_(Workload(scene.day).aim),
      peers_(scene.day.count("peers", 0) > 0),
      taken_(scene.figure("plans taken")),
      refused_(scene.figure("plans refused")) {}

kelplb::Settings Forwarder::settings() const {
    const ArchiveSettings servers(scene_.day);
    kelplb::Settings s;
    const Millis aim = Workload(scene_.day).aim;
    const auto kind = [aim](kelplb::Effect effect) {
        kelplb::RequestClass c;
        c.effect = effect;
        c.dedup_scope = kelplb::DedupScope::all;
        c.dedup_window = kDedup;
        c.latency_target = aim;
        return c;
    };
    s.classes = {kind(kelplb::Effect::repeatable), kind(kelplb::Effect::once), kind(kelplb::Effect::by_key)};
    s.sidecar_count = static_cast<std::uint32_t>(scene_.day.count("forwarders", 12));
    s.sidecar_index = static_cast<std::uint32_t>(number_);
    s.max_attempts = 4;
    s.cold_capacity = servers.cold_capacity;
    s.warmup_time = servers.warmup_time;
    s.overload_multiple = servers.overload_multiple;
    s.may_message_peers = s.may_probe = peers_;
    s.fees.peer = scene_.day.get("fees.peer", 0), s.fees.probe = scene_.day.get("fees.probe", 0);
    s.fees.handshake = scene_.day.get("fees.handshake", 0);
    return s;
}

void Forwarder::start() {
    if (life_ == 0)
        scene_.all<Discovery>().at(0)->subscribe(
            [this](const kelplb::ServerInfo& info) { told({info}, false); });
    ++life_;
    scene_.bus.tell(ForwarderUp{number_});
    open_.clear();
    events_.clear();
    list_.clear();
    idle_.clear();
    left_alone_.clear();
    guided_ = false, guide_at_ = 0;
    balancer_ = std::make_unique<kelplb::Balancer>(settings(), scene_.day.seed * 1000 + number_ * 10 + life_);
    meter_ = std::make_unique<plan::Meter>(name_, life_, 3, planners_);
    follower_ = std::make_unique<plan::Follower>(planners_);
    give(kelplb::Started{});
    told(scene_.all<Discovery>().at(0)->list(), true);
    const Millis now = scene_.kernel.now();
    desks_.clear();
    desks_.resize(planners_);
    for (Node p = 0; p < planners_; ++p) {
        desks_[p].pace =
            std::make_unique<plan::ReportSchedule>(kReportEvery, now + kReportEvery * lots_.unit());
        await_report(p);
        scene_.kernel.after(500 * lots_.unit(), [this, p, life = life_] {
            if (life_ == life) ask(p);
        });
    }
}

void Forwarder::restart() {
    for (const auto& [id, open] : open_)
        if (!open.ended)
            for (Clients* clients : scene_.all<Clients>()) clients->dropped(open.request);
    start();
}

void Forwarder::arrived(RequestNo request, Kind kind, Millis deadline, Millis work, bool repeat) {
    const kelplb::RequestId id = next_++;
    Open& open = open_[id];
    open.request = request;
    open.kind = kind;
    open.work = work;
    const auto index = static_cast<std::uint32_t>(kind);
    meter_->arrived(index);
    give(kelplb::RequestArrived{id, index, deadline - scene_.kernel.now(), 0, repeat});
}

void Forwarder::told(const std::vector<kelplb::ServerInfo>& servers, bool whole) {
    if (whole) list_.clear();
    for (const auto& info : servers) list_[info.id] = info;
    meter_->listed(servers, whole);
    scene_.bus.tell(Told{number_, servers, whole});
    give(kelplb::ServerList{whole ? kelplb::ListKind::full : kelplb::ListKind::incremental, servers});
    if (planners_ > 0) guide();  // guidance speaks of lives: a new one may be spoken of already
}

void Forwarder::give(kelplb::Event event) {
    events_.push_back(std::move(event));
    if (handling_) return;
    handling_ = true;
    std::vector<kelplb::Action> actions;
    while (!events_.empty()) {
        const kelplb::Event next = std::move(events_.front());
        events_.pop_front();
        actions.clear();
        balancer_->handle(scene_.kernel.now(), next, actions);
        for (const kelplb::Action& action : actions) std::visit([&](const auto& a) { carry_out(a); }, action);
    }
    handling_ = false;
}

void Forwarder::carry_out(const kelplb::Send& a) {
    const auto at = open_.find(a.id);
    if (at == open_.end() || at->second.ended)
        return scene_.broken("final answer", "sent after its end", "forwarder " + std::to_string(number_));
    Open& open = at->second;
    const auto attempt = static_cast<std::uint32_t>(open.sent.size());
    open.sent.push_back(a.server);
    open.sent_at.push_back(scene_.kernel.now());
    open.out.push_back(true);
    scene_.bus.tell(Sent{open.request, number_, a.server, attempt});
    meter_->sent(a.server);
    if (peers_) {
        int& idle = idle_[a.server];
        idle > 0 ? static_cast<void>(--idle) : scene_.bus.tell(Opened{number_, a.server});
    }
    // Whom the module was told of: servers are numbered from 1 in the order of their making.
    Archive* server = scene_.all<Archive>().at(a.server - 1);
    const Archive::Job job{this, life_, a.id, attempt, open.request, open.work, endpoint_};
    scene_.network.pass(endpoint_, server->endpoint(), [server, job] { server->receive(job); });
    scene_.kernel.at(a.attempt_deadline, [this, id = a.id, attempt, life = life_] {
        ended(life, id, attempt, Outcome::timed_out);
    });
}

void Forwarder::carry_out(const kelplb::SendToPeer& a) {
    const std::string bytes(a.bytes.begin(), a.bytes.end());
    std::size_t datagrams = 0;
    for (Forwarder* other : scene_.all<Forwarder>()) {
        if (other == this || (a.to && other->number_ != *a.to)) continue;
        ++datagrams;
        scene_.network.send(endpoint_, other->endpoint_, bytes,
                            [other, from = number_](const std::string& said) { other->heard(from, said); });
    }
    scene_.bus.tell(Spoke{number_, datagrams, bytes.size()});
}

void Forwarder::heard(Node from, const std::string& bytes) {
    give(kelplb::PeerMessage{static_cast<std::uint32_t>(from), {bytes.begin(), bytes.end()}});
}

// Shallow: it is answered beside the queue by any process that runs.
void Forwarder::carry_out(const kelplb::Probe& a) {
    scene_.bus.tell(Probed{number_, a.server});
    Archive* server = scene_.all<Archive>().at(a.server - 1);
    const Millis asked_at = scene_.kernel.now();
    const auto ended = std::make_shared<bool>(false);  // by the answer or by the wait for it
    const auto end = [this, ended, asked_at, id = a.server, life = life_](Outcome outcome) {
        if (life_ != life || std::exchange(*ended, true)) return;
        give(kelplb::ProbeEnded{id, outcome, scene_.kernel.now() - asked_at});
    };
    scene_.network.pass(endpoint_, server->endpoint(), [this, server, end] {
        if (!server->answers()) return;
        scene_.network.pass(server->endpoint(), endpoint_, [end] { end(Outcome::completed); });
    });
    scene_.kernel.after(kProbePatience, [end] { end(Outcome::timed_out); });
}

void Forwarder::carry_out(const kelplb::Cancel& a) {
    scene_.kernel.after(0, [this, id = a.id, attempt = a.attempt, life = life_] {
        ended(life, id, attempt, Outcome::cancelled);
    });
}

void Forwarder::carry_out(const kelplb::SetTimer& a) {
    scene_.kernel.at(a.at, [this, token = a.token, life = life_] {
        if (life_ == life) give(kelplb::TimerFired{token});
    });
}

void Forwarder::ended(std::uint64_t life, kelplb::RequestId id, std::uint32_t attempt, Outcome outcome) {
    if (life != life_) return;
    const auto at = open_.find(id);
    if (at == open_.end() || !at->second.out[attempt]) return;
    Open& open = at->second;
    open.out[attempt] = false;
    const Millis now = scene_.kernel.now(), duration = now - open.sent_at[attempt];
    const kelplb::ServerId server = open.sent[attempt];
    const bool late = duration > aim_;
    scene_.bus.tell(AttemptOver{open.request, number_, server, attempt, outcome});
    meter_->ended(server, outcome, duration, late);
    if (plan::is_urgent(outcome, late, left_alone_.count(server) > 0))
        for (Node p = 0; p < desks_.size(); ++p)
            if (desks_[p].pace->report_early(now)) await_report(p);
    kelplb::AttemptEnded event{id, attempt, outcome, duration, open.ended};
    if (outcome == Outcome::completed && !open.ended) {
        const Clients::Ask& ask = scene_.all<Clients>().at(0)->ask(open.request);
        answer(id, now <= ask.aim_at ? End::in_time : End::late, 0);
        event.request_ended = true;
    }
    if (peers_ && outcome == Outcome::completed) ++idle_[server];
    give(event);
    forget(id);
}

void Forwarder::answer(kelplb::RequestId id, End end, Millis retry_in) {
    const auto at = open_.find(id);
    if (at == open_.end())
        return scene_.broken("final answer", "an answer to what is not open",
                             "forwarder " + std::to_string(number_));
    at->second.ended = true;
    const RequestNo request = at->second.request;
    scene_.bus.tell(Answered{request, number_, end});
    forget(id);
    scene_.all<Clients>().at(0)->answered(request, end, retry_in);
}

void Forwarder::forget(kelplb::RequestId id) {
    const auto at = open_.find(id);
    if (at == open_.end() || !at->second.ended) return;
    if (std::count(at->second.out.begin(), at->second.out.end(), true) == 0) open_.erase(at);
}

// ---- The plan --------------------------------------------------------------------------------------------

void Forwarder::await_report(Node planner) {
    Desk& desk = desks_[planner];
    const std::uint64_t timer = ++desk.report_timer;
    scene_.kernel.at(desk.pace->due(), [this, planner, timer, life = life_] {
        if (life_ == life && desks_[planner].report_timer == timer) report(planner);
    });
}

void Forwarder::report(Node planner) {
    desks_[planner].pace->sent(scene_.kernel.now(), lots_.unit());
    for (const auto& [id, info] : list_) meter_->set_removed(id, false);
    for (const kelplb::ServerId id : balancer_->removed()) meter_->set_removed(id, true);
    const plan::Report said = meter_->report(planner, follower_->seen());
    PlannerDesk* to = scene_.all<PlannerDesk>().at(planner);
    scene_.network.send(
        endpoint_, to->endpoint(), encode(said),
        [this, to, planner, life = life_, sequence = said.sequence](const std::string& bytes) {
            const auto taken = to->report(bytes);
            if (!taken || *taken == plan::Planner::ReportResult::refused) return;
            const bool full = *taken == plan::Planner::ReportResult::want_full;
            scene_.network.send(to->endpoint(), endpoint_, "ok",
                                [this, planner, life, sequence, full](const std::string&) {
                                    if (life_ == life) meter_->acknowledged(planner, sequence, full);
                                });
        });
    await_report(planner);
}

void Forwarder::ask(Node planner) {
    Desk& desk = desks_[planner];
    const std::uint64_t question = ++questions_;
    desk.question = question;
    const Millis asked_at = scene_.kernel.now();
    const plan::PlanId has =
        follower_->holds(planner, asked_at) ? follower_->seen()[planner] : plan::PlanId{};
    scene_.bus.tell(PlanAsked{number_, planner, question});
    PlannerDesk* to = scene_.all<PlannerDesk>().at(planner);
    scene_.network.send(endpoint_, to->endpoint(), "?",
                        [this, to, planner, question, has, asked_at, life = life_](const std::string&) {
                            to->asked(number_, name_, endpoint_, question, has,
                                      [this, planner, question, asked_at, life](const std::string& bytes) {
                                          if (life_ == life) came(planner, question, asked_at, bytes);
                                      });
                        });
    scene_.kernel.after(kQuestionPatience, [this, planner, question, life = life_] {
        if (life_ == life && desks_[planner].question == question) ask(planner);
    });
}

void Forwarder::came(Node planner, std::uint64_t question, Millis asked_at, const std::string& bytes) {
    std::string why;
    auto heard = plan::decode_plan(bytes, why);
    const bool newest = desks_[planner].question == question;
    bool taken = false, nonsense = false;
    const bool had = follower_->holds(planner, scene_.kernel.now());
    const plan::PlanId before = follower_->seen()[planner];
    if (heard && heard->planner == planner) {
        const auto how = follower_->apply(scene_.kernel.now(), asked_at, std::move(*heard));
        taken = how == plan::Follower::ApplyResult::accepted || how == plan::Follower::ApplyResult::renewed;
        nonsense = how == plan::Follower::ApplyResult::invalid;
        guide();
    }
    (taken ? taken_ : refused_) += 1;
    scene_.bus.tell(PlanCame{number_, planner, question, newest, taken, had,
                             follower_->holds(planner, scene_.kernel.now()), before,
                             follower_->seen()[planner], nonsense});
    if (!newest) return;
    if (taken) return ask(planner);
    scene_.kernel.after(kRefusedPause * (0.5 + lots_.unit()), [this, planner, question, life = life_] {
        if (life_ == life && desks_[planner].question == question) ask(planner);
    });
}

void Forwarder::guide() {
    const Millis now = scene_.kernel.now();
    kelplb::Guidance guidance = follower_->guidance(now);
    if (guidance.servers.empty() && !guided_) return;
    guided_ = !guidance.servers.empty();
    left_alone_.clear();
    for (const auto& one : guidance.servers)
        if (one.removed) left_alone_.insert(one.server);
    give(std::move(guidance));
    const auto next = follower_->next_end(now);
    if (!next || *next == guide_at_) return;
    guide_at_ = *next;
    scene_.kernel.at(*next, [this, next = *next, life = life_] {
        if (life_ == life && guide_at_ == next) guide();
    });
}

namespace {
const Registered kModel = Registered::model("forwarder", [](Scene& scene) {
    for (Node f = 0; f < scene.day.count("forwarders", 12); ++f) scene.add<Forwarder>(scene, f);
});
}  // namespace

}  // namespace cobaltshift::sim
