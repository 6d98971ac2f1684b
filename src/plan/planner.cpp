#include "plan/planner.hpp"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace cobaltshift::plan {

namespace {

constexpr double kShareSteps = 16;  // shares are rounded, so that small changes cause no new plan
constexpr double kMinShare = 0.25;
constexpr double kMinLatencySamples = 20;  // latency samples needed before a share is computed
constexpr double kLatencyDecay = 0.9;      // factor on the latency histogram per tick
constexpr double kRateSmoothing = 0.3;     // weight of the newest period in smoothed rates

// Outcomes between two reports: those that depend on the server's health, and of these the ones completed in
// time.
struct OutcomeCounts {
    double total = 0, successes = 0;
};
OutcomeCounts count_outcomes(const ServerReport& from, const ServerReport& to) {
    using kelplb::Outcome;
    OutcomeCounts v;
    for (std::size_t i = 0; i < kOutcomes; ++i) {
        const auto outcome = static_cast<Outcome>(i);
        if (outcome == Outcome::cancelled || outcome == Outcome::not_sent) continue;
        v.total += static_cast<double>(to.outcomes[i] - from.outcomes[i]);
    }
    const auto done = static_cast<std::size_t>(Outcome::completed);
    v.successes = static_cast<double>(to.outcomes[done] - from.outcomes[done]) -
                  static_cast<double>(to.late - from.late);
    return v;
}

// Whether `to` can follow `from`: counters of one incarnation never fall.
bool follows(const ServerReport& from, const ServerReport& to) {
    for (std::size_t i = 0; i < kOutcomes; ++i)
        if (to.outcomes[i] < from.outcomes[i]) return false;
    return to.attempts >= from.attempts && to.late >= from.late;
}

bool is_valid(const ServerReport& s) {
    std::uint64_t ended = 0;
    for (const auto n : s.outcomes) {
        if (n > s.attempts) return false;
        ended += n;
    }
    return std::isfinite(s.life.born) && ended + s.outstanding <= s.attempts &&
           s.late <= s.outcomes[static_cast<std::size_t>(kelplb::Outcome::completed)];
}

std::uint64_t mix(std::uint64_t h, std::uint64_t value) {  // SplitMix64's finisher
    h += 0x9e3779b97f4a7c15 + value;
    h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9;
    h = (h ^ (h >> 27)) * 0x94d049bb133111eb;
    return h ^ (h >> 31);
}

}  // namespace

std::uint64_t rendezvous(const std::string& forwarder, ServerId server, std::uint64_t round) {
    std::uint64_t h = mix(0, server);
    for (const char c : forwarder) h = mix(h, static_cast<unsigned char>(c));
    return mix(h, round);
}

Planner::Planner(PlannerSettings settings, PlanId last, Millis now)
    : settings_(settings), id_{last.epoch + 1, 0}, no_grants_until_(now + settings.life), ticked_at_(now) {}

void Planner::listed(Millis now, const std::vector<kelplb::ServerInfo>& servers, bool whole) {
    std::set<ServerId> named;
    ranked_ = false;
    for (const auto& info : servers) {
        named.insert(info.id);
        if (info.phase == kelplb::Phase::off) {
            servers_.erase(info.id);
            continue;
        }
        if (servers_.size() >= kMaxServers && !servers_.count(info.id)) continue;
        const auto [at, fresh] = servers_.try_emplace(info.id);
        if (fresh || at->second.info.online_since != info.online_since) {
            at->second = {};  // another incarnation: drop the statistics, trial and grants of the former
            at->second.first_listed_at = now;
        }
        at->second.info = info;
        if (!(at->second.info.units > 0)) at->second.info.units = 1;
    }
    if (whole) std::erase_if(servers_, [&](const auto& at) { return !named.count(at.first); });
    enforce_removed_part();
}

bool Planner::room_to_remove() const {
    return static_cast<double>(removed() + 1) <=
           settings_.removed_part * static_cast<double>(servers_.size());
}

// Enforces removed_part after the list has shrunk: the servers removed the longest ago, whose trials are due
// first, are restored.
void Planner::enforce_removed_part() {
    for (;;) {
        const std::size_t out = removed();
        if (static_cast<double>(out) <= settings_.removed_part * static_cast<double>(servers_.size())) return;
        Server* first = nullptr;
        for (auto& [id, s] : servers_)
            if (s.removed && (!first || s.removed_at < first->removed_at)) first = &s;
        if (!first) return;
        restore(*first);
    }
}

void Planner::restore_removed(Millis now, const std::vector<ServerIncarnation>& removed) {
    for (const ServerIncarnation& life : removed) {
        const auto at = servers_.find(life.id);
        if (at == servers_.end() || at->second.info.online_since != life.born || at->second.removed) continue;
        if (!room_to_remove()) return;
        remove(now - settings_.backoff, at->second);
    }
}

Planner::ReportResult Planner::report(Millis now, const Report& report) {
    if (report.forwarder.empty() || report.forwarder.size() > kMaxName) return ReportResult::refused;
    if (report.servers.size() > kMaxServers || report.demand.size() > kMaxClasses)
        return ReportResult::refused;
    for (const ServerReport& s : report.servers)
        if (!is_valid(s)) return ReportResult::refused;
    auto at = forwarders_.find(report.forwarder);
    if (at == forwarders_.end()) {
        if (forwarders_.size() >= settings_.forwarders) return ReportResult::refused;
        at = forwarders_.emplace(report.forwarder, Forwarder{}).first;
        ranked_ = false;
    }
    Forwarder& f = at->second;
    const bool fresh = f.incarnation != report.incarnation || f.sequence == 0;
    if (!fresh && report.sequence <= f.sequence) return ReportResult::repeated;
    // A new instance of the forwarder: its counters restart at 0 and its outstanding requests are gone.
    if (fresh) f = {};
    const bool gap = fresh && !report.full;
    f.incarnation = report.incarnation;
    f.sequence = report.sequence;
    f.last_report_at = now;
    if (report.full)
        std::erase_if(f.servers, [&](const auto& known) {
            return std::none_of(report.servers.begin(), report.servers.end(),
                                [&](const ServerReport& s) { return s.life.id == known.first; });
        });
    for (const ServerReport& s : report.servers) {
        ServerReport& known = f.servers[s.life.id];
        // The first counters of a new forwarder may cover any span of time, so they only serve as a baseline.
        // When a known forwarder reports a server for the first time, all its counts are recent and count in
        // full.
        ServerReport base = known;
        if (known.life != s.life || !follows(known, s)) {
            base = {};
            base.life = s.life;
            if (fresh) base = s;
        }
        const auto server = servers_.find(s.life.id);
        if (server != servers_.end() && server->second.info.online_since == s.life.born)
            apply_counters(now, report.forwarder, server->second, base, s);
        known = s;
    }
    for (std::size_t i = 0; i < report.demand.size(); ++i) {
        const std::uint64_t before = i < f.demand.size() ? f.demand[i] : fresh ? report.demand[i] : 0;
        if (report.demand[i] > before) f.arrivals += static_cast<double>(report.demand[i] - before);
    }
    f.demand = report.demand;
    // The forwarder holds a plan of this planner with a higher id: the former instance published after it
    // last wrote its id to disk.
    if (settings_.number < report.seen.size()) {
        const PlanId seen = report.seen[settings_.number];
        if (seen > id_) {
            id_ = {seen.epoch + 1, 0};
            removals_changed_ = true;  // publish at once: until then forwarders refuse this planner's plans
            no_grants_until_ = std::max(no_grants_until_, now + settings_.life);
        }
    }
    return gap ? ReportResult::want_full : ReportResult::accepted;
}

void Planner::apply_counters(Millis now, const std::string& name, Server& s, const ServerReport& from,
                             const ServerReport& to) {
    s.attempts += static_cast<double>(to.attempts - from.attempts);
    for (std::size_t i = 0; i < Digest::kBuckets; ++i)
        if (to.latency.counts[i] > from.latency.counts[i])
            s.latency_counts[i] += to.latency.counts[i] - from.latency.counts[i];
    const OutcomeCounts v = count_outcomes(from, to);
    if (v.total <= 0) return;
    if (s.removed) {
        // Only the trial counts; other outcomes are of requests sent before forwarders knew of the removal.
        if (s.trial == 0 || name != s.trial_forwarder || now >= s.trial_until) return;
        if (v.successes < v.total) return remove(now, s);
        return restore(s);
    }
    s.window.push_back({v.total, v.successes});
    s.total += v.total, s.successes += v.successes;
    while (s.total - s.window.front().total >= settings_.window) {
        s.total -= s.window.front().total, s.successes -= s.window.front().successes;
        s.window.pop_front();
    }
    evaluate(now, s);
}

double Planner::success_rate_without(const Server& s) const {
    double total = 0, successes = 0;
    for (const auto& [id, other] : servers_)
        if (&other != &s && !other.removed) total += other.total, successes += other.successes;
    return total > 0 ? successes / total : 1;
}

// Removes a server if its success rate is below `threshold` times that of the other servers, less three
// standard errors; the decision module uses the same rule. Comparing with the others means that a slowdown of
// all servers removes none.
void Planner::evaluate(Millis now, Server& s) {
    if (s.total < settings_.window) return;
    const double level = success_rate_without(s);
    const double noise = std::sqrt(level * (1 - level) / s.total);
    if (s.successes / s.total >= settings_.threshold * level - 3 * noise) return;
    if (room_to_remove()) remove(now, s);
}

void Planner::remove(Millis now, Server& s) {
    removals_changed_ = removals_changed_ || !s.removed;
    s.removed = true;
    s.removed_at = now;
    s.trial = 0;
    s.trial_forwarder.clear();
}

void Planner::restore(Server& s) {
    removals_changed_ = true;
    s.removed = false;
    s.trial = 0;
    s.trial_forwarder.clear();
    s.window.clear();
    s.total = s.successes = 0;
}

// Assigns a due trial to a forwarder that has requests to send, chosen by weighted rendezvous hashing with
// the request rate as weight.
void Planner::assign_trial(Millis now, Server& s) {
    if (!s.removed || now < s.removed_at + settings_.backoff) return;
    if (s.trial != 0 && now < s.trial_until) return;
    // A trial number is never reused, as forwarders send one trial per number. The upper 12 bits come from
    // the epoch, so that numbers also differ after a restart.
    const std::uint32_t round = static_cast<std::uint32_t>(id_.epoch & 0xfff) << 20 | (++s.trials & 0xfffff);
    const std::string* best = nullptr;
    double best_weight = -1;
    for (const auto& [name, f] : forwarders_) {
        // Weighted rendezvous: -w / ln(u), with u in (0, 1) from the hash.
        const double u = (static_cast<double>(rendezvous(name, s.info.id, s.trials) >> 11) + 0.5) * 0x1.0p-53;
        const double weight = f.rate > 0 ? -f.rate / std::log(u) : 0;
        if (weight > best_weight) best_weight = weight, best = &name;
    }
    if (!best) {
        --s.trials;
        return;
    }
    s.trial = round;
    s.trial_forwarder = *best;
    s.trial_until = now + settings_.trial_time;
}

bool Planner::tick(Millis now) {
    const double passed = std::max(1.0, now - ticked_at_) / 1000;
    ticked_at_ = now;
    if (std::erase_if(forwarders_,
                      [&](const auto& at) { return now >= at.second.last_report_at + settings_.forget; }))
        ranked_ = false;
    demand_ = 0;
    for (auto& [name, f] : forwarders_) {
        f.rate += (f.arrivals / passed - f.rate) * kRateSmoothing;
        if (f.rate < 0.01) f.rate = 0;
        f.arrivals = 0;
        demand_ += f.rate;
    }
    std::vector<double> means;
    double warm_rate = 0, warm_units = 0;
    const auto mean = [](const Server& s) {
        double sum = 0, total = 0;
        for (std::size_t i = 0; i < Digest::kBuckets; ++i)
            sum += s.latency_counts[i] * Digest::middle(i), total += s.latency_counts[i];
        return total >= kMinLatencySamples ? sum / total : 0;
    };
    for (auto& [id, s] : servers_) {
        s.rate += (s.attempts / passed - s.rate) * kRateSmoothing;
        s.attempts = 0;
        s.outstanding = 0;
        if (const double m = mean(s); m > 0) means.push_back(m);
        if (!is_cold(s, now) && !s.removed) warm_rate += s.rate, warm_units += s.info.units;
        assign_trial(now, s);
    }
    for (const auto& [name, f] : forwarders_)
        for (const auto& [id, r] : f.servers) {
            const auto at = servers_.find(id);
            if (at != servers_.end() && at->second.info.online_since == r.life.born)
                at->second.outstanding += r.outstanding;
        }
    double median = 0;
    if (!means.empty()) {
        std::nth_element(means.begin(), means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2),
                         means.end());
        median = means[means.size() / 2];
    }
    for (auto& [id, s] : servers_) {
        const double m = mean(s);
        const double share = m > 0 ? std::clamp(median / m, kMinShare, 1.0) : 1;
        s.share = std::round(share * kShareSteps) / kShareSteps;
        for (double& n : s.latency_counts) n *= kLatencyDecay;
        // The slice follows from the attempts per second and unit that warm servers handle. It is fixed for
        // the incarnation, as unexpired grants could exceed a slice that has shrunk.
        if (is_cold(s, now) && s.slice == 0 && warm_units > 0 && now >= no_grants_until_)
            s.slice = kPlannersSlice * settings_.overload_multiple * settings_.cold_capacity * warm_rate /
                      warm_units * s.info.units;
        for (auto lease = s.leases.begin(); lease != s.leases.end();) {
            std::erase_if(lease->second, [&](const Lease& l) { return l.until <= now; });
            lease = lease->second.empty() ? s.leases.erase(lease) : std::next(lease);
        }
    }
    return publish(now);
}

std::optional<Millis> Planner::publish_due() const {
    if (!removals_changed_) return {};
    return published_at_ + settings_.publish_gap;
}

bool Planner::publish(Millis now) {
    removals_changed_ = false;
    published_at_ = now;
    const std::uint64_t content = digest();
    if (content == content_ && id_.sequence > 0) return false;
    content_ = content;
    ++id_.sequence;
    return true;
}

// A hash of everything that determines the plans of all forwarders.
std::uint64_t Planner::digest() const {
    std::uint64_t h = 0;
    for (const auto& [id, s] : servers_) {
        h = mix(h, id);
        h = mix(h, std::bit_cast<std::uint64_t>(s.info.online_since));
        h = mix(h, s.removed ? 1 + s.trial : 0);
        for (const char c : s.trial_forwarder) h = mix(h, static_cast<unsigned char>(c));
        h = mix(h, static_cast<std::uint64_t>(s.share * kShareSteps));
        h = mix(h, static_cast<std::uint64_t>(s.outstanding));
        h = mix(h, std::bit_cast<std::uint64_t>(s.slice));
    }
    if (settings_.subset > 0)
        for (const auto& [name, f] : forwarders_) h = mix(h, rendezvous(name, 0));
    return h;
}

bool Planner::is_cold(const Server& s, Millis now) const {
    return settings_.warmup_time > 0 && s.info.online_since > 0 &&
           now < s.first_listed_at + settings_.warmup_time;
}

double Planner::granted_rate(const Server& s, Millis now, const std::string* except) const {
    double sum = 0;
    for (const auto& [name, leases] : s.leases) {
        if (except && name == *except) continue;
        double most = 0;
        for (const Lease& l : leases)
            if (l.until > now) most = std::max(most, l.rate);
        sum += most;
    }
    return sum;
}

void Planner::grant(Millis now, const std::string& name, const Forwarder& f, Server& s, ServerPlan& out) {
    if (now < no_grants_until_ || s.slice <= 0 || f.rate <= 0 || demand_ <= 0) return;
    if (!is_cold(s, now) || s.removed || s.info.phase != kelplb::Phase::on) return;
    const double wanted = s.slice * f.rate / demand_;
    const double rate = std::min(wanted, s.slice - granted_rate(s, now, &name));
    if (rate <= 0) return;
    out.cold_rate =
        static_cast<float>(rate * (1 - 1e-6));  // so that rounding to float can't exceed the slice
    auto& leases = s.leases[name];
    // The new lease covers earlier ones of the same or a lower rate, as these expire before it.
    std::erase_if(leases, [&](const Lease& l) { return l.rate <= rate || l.until <= now; });
    leases.push_back({rate, now + settings_.life});
}

// Each server is preferred by the forwarders with the highest weights. Their number is the same for all
// servers, and each forwarder prefers about `subset` servers. Only the lowest of these weights is kept by
// server: ranking for each plan would make the cost quadratic in the number of forwarders.
void Planner::rank() {
    if (std::exchange(ranked_, true) || settings_.subset == 0 || servers_.empty()) return;
    const auto wanted = static_cast<std::size_t>(
        std::ceil(static_cast<double>(settings_.subset) * static_cast<double>(forwarders_.size()) /
                  static_cast<double>(servers_.size())));
    std::vector<std::uint64_t> weights;
    for (auto& [id, s] : servers_) {
        weights.clear();
        for (const auto& [name, f] : forwarders_) weights.push_back(rendezvous(name, id));
        s.least_preferred = 0;
        if (wanted == 0 || wanted > weights.size()) continue;
        const auto at = weights.begin() + static_cast<std::ptrdiff_t>(wanted - 1);
        std::nth_element(weights.begin(), at, weights.end(), std::greater<>());
        s.least_preferred = *at;
    }
}

Plan Planner::plan(Millis now, const std::string& forwarder, PlanId has) {
    Plan plan{settings_.number, id_, settings_.life, has == id_ && id_.sequence > 0, {}};
    const auto at = forwarders_.find(forwarder);
    if (plan.same && at != forwarders_.end()) {
        // A plan with grants is sent in full, as extending it would extend grants that the slice may not
        // cover.
        for (const auto& [id, s] : servers_)
            if (is_cold(s, now) || s.leases.count(forwarder)) plan.same = false;
    }
    if (plan.same) return plan;
    rank();
    for (auto& [id, s] : servers_) {
        ServerPlan advice;
        advice.life = {id, s.info.online_since};
        advice.removed = s.removed;
        advice.trial = s.removed && s.trial_forwarder == forwarder && now < s.trial_until ? s.trial : 0;
        advice.share = static_cast<float>(s.share);
        double own = 0;
        if (at != forwarders_.end()) {
            const auto known = at->second.servers.find(id);
            if (known != at->second.servers.end() && known->second.life == advice.life)
                own = known->second.outstanding;
            if (settings_.subset > 0 && settings_.subset < servers_.size())
                advice.preferred = rendezvous(forwarder, id) >= s.least_preferred;
            grant(now, forwarder, at->second, s, advice);
        }
        advice.elsewhere = static_cast<float>(std::max(0.0, s.outstanding - own));
        plan.servers.push_back(advice);
    }
    return plan;
}

std::size_t Planner::removed() const {
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [](const auto& at) { return at.second.removed; }));
}

bool Planner::removed(ServerId server) const {
    const auto at = servers_.find(server);
    return at != servers_.end() && at->second.removed;
}

std::vector<ServerIncarnation> Planner::removed_incarnations() const {
    std::vector<ServerIncarnation> incarnations;
    for (const auto& [id, s] : servers_)
        if (s.removed) incarnations.push_back({id, s.info.online_since});
    return incarnations;
}

Planner::Granted Planner::granted(Millis now, ServerId server) const {
    const auto at = servers_.find(server);
    if (at == servers_.end()) return {};
    return {granted_rate(at->second, now), at->second.slice};
}

}  // namespace cobaltshift::plan
