#include "sim_mesh/pool.hpp"

#include "admission/module_settings.hpp"
#include "sim_mesh/proxy.hpp"
#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

namespace {
// As proxy/outbound.cpp.
constexpr std::uint32_t kProxies = 15;
constexpr exchange::Limits kToProxies{400, 9000, 400, 0};
// With the budget of further tries taken out.
constexpr double kNoBudget = 1e9;
constexpr unsigned kNoMostTries = 1000;

// `repeat_all`: with the safeguard out that keeps registered requests from running again.
kelplb::Settings settings_of(std::optional<kelplb::ZoneId> zone, bool repeat_all) {
    kelplb::Settings s = admission::module_settings(zone, kProxies);
    if (repeat_all)
        for (kelplb::RequestClass& c : s.classes) c.effect = kelplb::Effect::repeatable;
    return s;
}

admission::RetryBudget::Settings budget_of(const World& world) {
    const Bounds& bounds = world.bounds;
    admission::RetryBudget::Settings s;
    s.ratio = bounds.retry_ratio;
    s.slack = world.safeguards.budget ? bounds.retry_slack : kNoBudget;
    s.window = bounds.retry_window;
    return s;
}
}  // namespace

Pool::Pool(Proxy& owner, World& world, std::uint64_t seed, std::optional<kelplb::ZoneId> zone)
    : owner_(owner),
      world_(world),
      rules_(budget_of(world)),
      caller_(*this, settings_of(zone, !world.safeguards.registered_once), seed),
      connections_(world, owner.ip(), kToProxies,
                   {[this](AttemptKey key, Outcome outcome, HopAnswer* answer) {
                        caller_.attempt_ended(key, outcome, answer);
                    },
                    [this](ServerId id, Outcome outcome, Millis duration) {
                        caller_.probe_ended(id, outcome, duration);
                    }}) {
    caller_.push(kelplb::Started{});
}

void Pool::told(const std::vector<routing::ListedServer>& servers) {
    std::vector<Host> hosts;
    hosts.reserve(servers.size());
    for (const routing::ListedServer& server : servers)
        hosts.push_back(
            {server.instance_id, server.ip, server.zone, 0, server.phase, server.born, server.units});
    caller_.update_servers(ListKind::full, true, hosts);
}

RequestId Pool::arrived(const simmesh::RequestPtr& request, const config::Route& route, Millis left,
                        Answered done) {
    auto message = std::make_shared<HopMessage>();
    message->request = request;
    message->id = request->id;
    message->path = request->path;
    message->caller = world_.safeguards.caller_named ? owner_.service() : "";
    message->by = owner_.ip();
    message->hop.kind = route.kind;
    message->hop.rank = route.priority;
    message->hop.target_ms = route.target_ms;
    message->hop.tries = std::max(1U, route.tries);
    return caller_.arrived(std::move(message), left, std::move(done));
}

// ---- What the caller's core asks of its surroundings ------------------------------------------------------

Millis Pool::now() const { return world_.time.now(); }

void Pool::post_pump() {
    owner_.after(0, [this] { caller_.pump(); });
}

void Pool::wake_at(Millis at) {
    const std::uint64_t timer = ++timers_;
    world_.net.at(owner_.ip(), at, [this, timer] {
        if (timer == timers_) caller_.wake();
    });
}

RequestArrived Pool::classify(const RequestPtr& message, RequestContext& request_context) {
    request_context.history.hop = message->hop;
    if (!world_.safeguards.registered_once) request_context.history.hop.kind = config::RouteKind::plain;
    if (!world_.safeguards.budget) request_context.history.hop.tries = kNoMostTries;
    return rules_.classify(now(), request_context.history);
}

bool Pool::may_send(const RequestPtr& message, RequestContext& request_context, const std::string& server) {
    if (!rules_.may_send(now(), owner_.live_proxies(), server, request_context.history)) return false;
    message->hop.may_wait = request_context.history.hop.may_wait;
    message->hop.edition = owner_.edition();
    message->expected = server;
    return true;
}

caller::AttemptResult Pool::read(Outcome outcome, const HopAnswer* answer, RequestContext& request_context) {
    hop::AttemptEnd end = hop::NoAnswer{outcome};
    if (answer && answer->edition > 0) owner_.newer(request_context.history.server, answer->edition);
    if (answer && answer->failure) end = *answer->failure;
    if (answer && !answer->failure) end = hop::ServerAnswered{answer->answer.status};
    const hop::HopAttemptResult said = rules_.read(end, request_context.history);
    if (said.avoid_server) owner_.avoid(request_context.history.server);
    if (said.keep_answer) request_context.last = *answer;
    return said.attempt;
}

void Pool::answer(const Answered& client, HopAnswer&& answer, bool) { client(answer.answer); }

HopAnswer Pool::refusal(RequestContext& request_context, Millis retry_in) {
    const bool proved = hop::AttemptRules::proof(request_context.history).has_value();
    if (!proved && world_.safeguards.proof_of_refusal) return failure(request_context);
    HopAnswer answer;
    answer.answer = {503, {}, hop::AttemptRules::retry_in(retry_in), false};
    return answer;
}

HopAnswer Pool::failure(RequestContext& request_context) {
    if (request_context.last) return *request_context.last;
    HopAnswer answer;
    const unsigned status = hop::AttemptRules::failure_status(request_context.history.reason);
    answer.answer = {world_.safeguards.proof_of_refusal ? status : 503, {}, 0, false};
    return answer;
}

ZoneId Pool::zone_number(const std::string& zone) const { return world_.zone_number(zone); }

}  // namespace cobaltshift::simmesh
