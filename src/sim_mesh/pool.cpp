#include "sim_mesh/pool.hpp"

#include <algorithm>
#include <cmath>

#include "admission/module_settings.hpp"
#include "sim_mesh/proxy.hpp"
#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

using kelplb::Outcome;

namespace {
// As proxy/mesh_dialect.cpp and proxy/outbound.cpp have them; those pages bring Boost and can't be linked
// here.
constexpr std::uint32_t kProxies = 15;
constexpr unsigned kWaitFrom = 2;
constexpr Millis kLeastRetry = 60, kMostRetry = 1000, kConnectWithin = 400, kIdleClose = 9000,
                 kDeadAfter = 2500;

// `repeat_all`: with the proxy out that keeps registered requests from running again.
kelplb::Settings settings_of(std::optional<kelplb::ZoneId> zone, bool repeat_all) {
    kelplb::Settings s = admission::module_settings(zone, kProxies);
    if (repeat_all)
        for (kelplb::RequestClass& c : s.classes) c.effect = kelplb::Effect::repeatable;
    return s;
}

admission::RetryBudget::Settings budget(const Bounds& bounds) {
    admission::RetryBudget::Settings s;
    s.ratio = bounds.retry_ratio, s.slack = bounds.retry_slack, s.window = bounds.retry_window;
    return s;
}
}  // namespace

Pool::Pool(Proxy& owner, World& world, std::uint64_t seed, std::optional<kelplb::ZoneId> zone)
    : owner_(owner),
      world_(world),
      balancer_(settings_of(zone, !world.safeguards.registered_once), seed),
      retry_budget_(budget(world.bounds)) {
    push(kelplb::Started{});
}

void Pool::push(kelplb::Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(pump_posted_, true)) return;
    owner_.after(0, [this] { pump(); });
}

void Pool::pump() {
    pump_posted_ = false;
    while (!events_.empty()) {
        const kelplb::Event event = std::move(events_.front());
        events_.pop_front();
        std::vector<kelplb::Action> actions;
        balancer_.handle(world_.time.now(), event, actions);
        for (const kelplb::Action& action : actions) {
            if (const auto* a = std::get_if<kelplb::Send>(&action)) send(*a);
            if (const auto* a = std::get_if<kelplb::Refuse>(&action)) refuse(a->id, a->retry_in);
            if (const auto* a = std::get_if<kelplb::GiveUp>(&action)) fail(a->id);
            if (const auto* a = std::get_if<kelplb::SetTimer>(&action))
                world_.net.at(owner_.ip(), a->at,
                              [this, token = a->token] { push(kelplb::TimerFired{token}); });
            if (const auto* a = std::get_if<kelplb::Cancel>(&action)) {
                const auto at = jobs_.find(a->id);
                if (at != jobs_.end() && a->attempt < at->second.attempts.size() &&
                    at->second.attempts[a->attempt].call) {
                    world_.net.close(at->second.attempts[a->attempt].call);
                    attempt_ended(a->id, a->attempt, Outcome::recalled, nullptr);
                }
            }
        }
        if (const auto* ended = std::get_if<kelplb::AttemptEnded>(&event)) drop(ended->id);
    }
}

void Pool::told(const std::vector<Host>& hosts) {
    kelplb::ServerList event{kelplb::ListKind::full, {}};
    for (auto& [id, known] : servers_) known.listed = false;
    for (const Host& host : hosts) {
        const auto [at, fresh] =
            numbers_.emplace(host.life, static_cast<kelplb::ServerId>(numbers_.size() + 1));
        servers_[at->second] = {host, host.phase != kelplb::Phase::off};
        event.servers.push_back({at->second, host.zone, 0, host.phase, host.born, host.units});
    }
    // Nothing that is still connecting goes to one that drains or is gone.
    for (auto& [id, job] : jobs_)
        for (std::size_t i = 0; i < job.attempts.size(); ++i) {
            const Attempt& attempt = job.attempts[i];
            const Known& to = servers_[attempt.server];
            if (attempt.over || !attempt.call || attempt.call->connected) continue;
            if (to.listed && to.host.phase == kelplb::Phase::on) continue;
            world_.net.close(attempt.call);
            attempt_ended(id, i, Outcome::superseded, nullptr);
        }
    push(std::move(event));
}

std::uint64_t Pool::arrived(const RequestPtr& request, const config::Route& route, Millis left,
                            Answered done) {
    const std::uint64_t id = next_++;
    Job& job = jobs_[id];
    job.request = request;
    job.done = std::move(done);
    job.once = route.kind == config::RouteKind::registered;
    job.tries = std::max(1U, route.tries);
    job.rank = route.priority;
    job.target = route.target_ms;
    job.until = world_.time.now() + left;
    ++unanswered_;
    retry_budget_.request(world_.time.now());
    kelplb::RequestArrived event;
    event.id = id;
    event.class_index = admission::class_of(job.once, 1, job.target);
    event.time_left = left;
    push(event);
    return id;
}

void Pool::client_gone(std::uint64_t id) {
    const auto at = jobs_.find(id);
    if (at == jobs_.end() || at->second.ended) return;
    at->second.ended = true;
    --unanswered_;
    push(kelplb::ClientGone{id});
    drop(id);
}

// ---- Attempts --------------------------------------------------------------------------------------------

bool Pool::may_send(Job& job, const std::string& life) {
    Story& story = job.story;
    if (story.offered > 0) {
        const bool ran = job.once && story.may_have_run && world_.safeguards.registered_once;
        if (ran || (story.offered >= job.tries && world_.safeguards.budget) ||
            (world_.safeguards.budget && !retry_budget_.spend(world_.time.now(), owner_.live_proxies())))
            return false;
    }
    story.server = life;
    ++story.sent;
    return true;
}

void Pool::send(const kelplb::Send& order) {
    const auto at = jobs_.find(order.id);
    if (at == jobs_.end()) return;
    Job& job = at->second;
    const std::size_t attempt = job.attempts.size();
    job.attempts.push_back({world_.time.now(), order.server, nullptr, false});
    ++job.out;
    const Known& to = servers_[order.server];
    if (job.ended || !to.listed || to.host.phase != kelplb::Phase::on || !may_send(job, to.host.life))
        return attempt_ended(order.id, attempt, Outcome::superseded, nullptr);
    dial(order.id, attempt, to, order.try_until);
}

void Pool::dial(std::uint64_t id, std::size_t attempt, const Known& to, Millis until) {
    Job& job = jobs_.at(id);
    HopRequest hop;
    hop.request = job.request;
    hop.id = job.request->id, hop.path = job.request->path;
    hop.caller = world_.safeguards.caller_named ? owner_.service() : "";
    hop.expected = to.host.life;
    hop.once = job.once;
    hop.may_wait = job.story.sent > kWaitFrom;
    hop.rank = job.rank, hop.target = job.target;
    hop.left = std::floor(std::max(0.0, std::min(until, job.until) - world_.time.now()));
    hop.edition = owner_.edition();
    hop.by = owner_.ip();
    Kept& kept = kept_[to.host.ip];
    const bool fresh = kept.epoch == 0 || world_.time.now() > kept.used + kIdleClose;
    const auto answered = [this, id, attempt, ip = to.host.ip](const HopAnswer& said, std::uint64_t epoch) {
        kept_[ip] = {epoch, world_.time.now()};
        attempt_ended(id, attempt, Outcome::completed, &said);
    };
    const CallPtr call = world_.net.call(
        owner_.ip(), to.host.ip, fresh ? 0 : kept.epoch,
        [&world = world_, hop, answered](const CallPtr& c) {
            auto* proxy = dynamic_cast<Proxy*>(world.node(c->to));
            if (proxy)
                proxy->inbound().arrived(hop, c, [&world, c, answered](const HopAnswer& said) {
                    world.net.reply(c, [said, c, answered] { answered(said, c->to_epoch); });
                });
        },
        [this, id, attempt, ip = to.host.ip](bool refused) {
            kept_.erase(ip);
            attempt_ended(id, attempt, refused ? Outcome::refused_connection : Outcome::severed, nullptr);
        });
    job.attempts[attempt].call = call;
    const auto give_up = [this, id, attempt, call, ip = to.host.ip](Outcome connected) {
        if (call->over) return;
        const Outcome outcome = call->connected ? connected : Outcome::refused_connection;
        world_.net.close(call);
        kept_.erase(ip);
        attempt_ended(id, attempt, outcome, nullptr);
    };
    if (fresh)
        owner_.after(kConnectWithin, [give_up, call] {
            if (!call->connected) give_up(Outcome::severed);
        });
    owner_.after(kDeadAfter, [give_up, call] {
        if (!call->arrived) give_up(Outcome::severed);
    });
    world_.net.at(owner_.ip(), until, [give_up] { give_up(Outcome::overdue); });
}

void Pool::attempt_ended(std::uint64_t id, std::size_t number, Outcome outcome, const HopAnswer* said) {
    const auto at = jobs_.find(id);
    if (at == jobs_.end() || at->second.attempts[number].over) return;
    Job& job = at->second;
    Attempt& attempt = job.attempts[number];
    attempt.over = true;
    --job.out;
    kelplb::AttemptEnded event{id, static_cast<std::uint32_t>(number), outcome,
                               world_.time.now() - attempt.sent_at, false};
    const Reading reading = read(outcome, said, job);
    event.outcome = reading.outcome;
    if (said && reading.final && !job.ended) answer(job, said->answer);
    event.request_ended = job.ended;
    push(event);
}

Pool::Reading Pool::read(Outcome outcome, const HopAnswer* said, Job& job) {
    Story& story = job.story;
    const auto ran = [&](Outcome as, bool final) {
        ++story.offered;
        story.may_have_run = true;
        return Reading{as, final};
    };
    if (!said) {
        story.reason = outcome == Outcome::overdue ? Reason::silent : Reason::unreachable;
        if (outcome == Outcome::refused_connection || outcome == Outcome::superseded) return {outcome, false};
        return ran(outcome, false);
    }
    if (said->edition > 0) owner_.newer(story.server, said->edition);
    if (said->failure) {
        const Failure& failure = *said->failure;
        story.reason = failure.reason;
        if (failure.execution != Execution::not_run || failure.reason == Reason::repeated)
            return ran(failure.reason == Reason::silent ? Outcome::overdue : Outcome::severed, false);
        if (failure.reason == Reason::turned_away) {
            ++story.offered;
            return {Outcome::superseded, false};
        }
        if (failure.reason == Reason::unreachable) return {Outcome::refused_connection, false};
        if (failure.reason != Reason::full && failure.reason != Reason::late) owner_.avoid(story.server);
        return {Outcome::superseded, false};
    }
    if (said->answer.status / 100 == 2) return ran(Outcome::completed, true);
    return ran(Outcome::errored, job.once);
}

// ---- Ends ------------------------------------------------------------------------------------------------

void Pool::answer(Job& job, Answer answer) {
    if (job.ended) return;
    job.ended = true;
    --unanswered_;
    job.done(answer);
    for (const Attempt& attempt : job.attempts)
        if (!attempt.over && attempt.call) world_.net.close(attempt.call);
}

void Pool::refuse(std::uint64_t id, Millis retry_in) {
    const auto at = jobs_.find(id);
    if (at == jobs_.end()) return;
    Story& story = at->second.story;
    const auto proof =
        NotRun::from({story.may_have_run ? Execution::may_have_run : Execution::not_run, story.reason});
    if (!proof && world_.safeguards.proof_of_refusal) return fail(id);
    answer(at->second, {503, {}, std::clamp(retry_in, kLeastRetry, kMostRetry), false});
    drop(id);
}

void Pool::fail(std::uint64_t id) {
    const auto at = jobs_.find(id);
    if (at == jobs_.end()) return;
    const Reason reason = at->second.story.reason;
    const unsigned status = !world_.safeguards.proof_of_refusal                  ? 503
                            : reason == Reason::silent || reason == Reason::late ? 504
                                                                                 : 502;
    answer(at->second, {status, {}, 0, false});
    drop(id);
}

void Pool::drop(std::uint64_t id) {
    const auto at = jobs_.find(id);
    if (at != jobs_.end() && at->second.ended && at->second.out == 0) jobs_.erase(at);
}

}  // namespace cobaltshift::simmesh
