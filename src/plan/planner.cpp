#include "plan/planner.hpp"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace cobaltshift::plan {

namespace {

constexpr double kShareSteps = 16;  // so that small changes of a share make no new plan
constexpr double kLeastShare = 0.25;
constexpr double kTimesNeeded = 20;  // before a share is taken from them
constexpr double kTimesKept = 0.9;   // by tick
constexpr double kRateNews = 0.3;    // by tick

// Completed in time against what speaks of the server at all, since the counters of `from`.
struct Verdicts {
    double all = 0, good = 0;
};
Verdicts verdicts(const ServerReport& from, const ServerReport& to) {
    using kelplb::Outcome;
    Verdicts v;
    for (std::size_t i = 0; i < kOutcomes; ++i) {
        const auto outcome = static_cast<Outcome>(i);
        if (outcome == Outcome::recalled || outcome == Outcome::superseded) continue;
        v.all += static_cast<double>(to.outcomes[i] - from.outcomes[i]);
    }
    const auto done = static_cast<std::size_t>(Outcome::completed);
    v.good = static_cast<double>(to.outcomes[done] - from.outcomes[done]) -
             static_cast<double>(to.late - from.late);
    return v;
}

// Counters never fall within a life: what does is nonsense.
bool follows(const ServerReport& from, const ServerReport& to) {
    for (std::size_t i = 0; i < kOutcomes; ++i)
        if (to.outcomes[i] < from.outcomes[i]) return false;
    return to.attempts >= from.attempts && to.late >= from.late;
}

bool makes_sense(const ServerReport& s) {
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

Planner::Planner(PlannerSettings settings, PlanId held, Millis now)
    : settings_(settings), id_{held.epoch + 1, 0}, quiet_until_(now + settings.life), ticked_at_(now) {}

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
            at->second = {};  // another process: pooled standing, trial and grants were the former's
            at->second.met_at = now;
        }
        at->second.info = info;
        if (!(at->second.info.units > 0)) at->second.info.units = 1;
    }
    if (whole) std::erase_if(servers_, [&](const auto& at) { return !named.count(at.first); });
    shed_removals();
}

bool Planner::room_to_remove() const {
    return static_cast<double>(removed() + 1) <=
           settings_.removed_part * static_cast<double>(servers_.size());
}

// Fewer listed, fewer may be removed: those longest removed, whose trial is next, come back.
void Planner::shed_removals() {
    for (;;) {
        const std::size_t out = removed();
        if (static_cast<double>(out) <= settings_.removed_part * static_cast<double>(servers_.size())) return;
        Server* first = nullptr;
        for (auto& [id, s] : servers_)
            if (s.removed && (!first || s.removed_at < first->removed_at)) first = &s;
        if (!first) return;
        take_back(*first);
    }
}

void Planner::recall(Millis now, const std::vector<Life>& removed) {
    for (const Life& life : removed) {
        const auto at = servers_.find(life.id);
        if (at == servers_.end() || at->second.info.online_since != life.born || at->second.removed) continue;
        if (!room_to_remove()) return;
        remove(now - settings_.backoff, at->second);
    }
}

Planner::Taken Planner::report(Millis now, const Report& report) {
    if (report.forwarder.empty() || report.forwarder.size() > kMaxName) return Taken::refused;
    if (report.servers.size() > kMaxServers || report.demand.size() > kMaxClasses) return Taken::refused;
    for (const ServerReport& s : report.servers)
        if (!makes_sense(s)) return Taken::refused;
    auto at = forwarders_.find(report.forwarder);
    if (at == forwarders_.end()) {
        if (forwarders_.size() >= settings_.forwarders) return Taken::refused;
        at = forwarders_.emplace(report.forwarder, Forwarder{}).first;
        ranked_ = false;
    }
    Forwarder& f = at->second;
    const bool fresh = f.incarnation != report.incarnation || f.sequence == 0;
    if (!fresh && report.sequence <= f.sequence) return Taken::repeated;
    // Restarted under its old name: its counters begin anew, and what it had out has gone.
    if (fresh) f = {};
    const bool gap = fresh && !report.full;
    f.incarnation = report.incarnation;
    f.sequence = report.sequence;
    f.heard_at = now;
    if (report.full)
        std::erase_if(f.servers, [&](const auto& known) {
            return std::none_of(report.servers.begin(), report.servers.end(),
                                [&](const ServerReport& s) { return s.life.id == known.first; });
        });
    for (const ServerReport& s : report.servers) {
        ServerReport& known = f.servers[s.life.id];
        // A first sight of a forwarder's counters tells no rate and no order: only what comes after counts.
        // But a first sight of a server by a forwarder that is known has all happened since.
        ServerReport base = known;
        if (known.life != s.life || !follows(known, s)) {
            base = {};
            base.life = s.life;
            if (fresh) base = s;
        }
        const auto server = servers_.find(s.life.id);
        if (server != servers_.end() && server->second.info.online_since == s.life.born)
            book(now, report.forwarder, server->second, base, s);
        known = s;
    }
    for (std::size_t i = 0; i < report.demand.size(); ++i) {
        const std::uint64_t before = i < f.demand.size() ? f.demand[i] : fresh ? report.demand[i] : 0;
        if (report.demand[i] > before) f.arrivals += static_cast<double>(report.demand[i] - before);
    }
    f.demand = report.demand;
    // Some forwarder holds a plan of ours that we never made: a former self went further than our disk tells.
    if (settings_.number < report.seen.size()) {
        const PlanId seen = report.seen[settings_.number];
        if (seen > id_) {
            id_ = {seen.epoch + 1, 0};
            turned_ = true;  // told at once: until then forwarders refuse what we say
            quiet_until_ = std::max(quiet_until_, now + settings_.life);
        }
    }
    return gap ? Taken::want_full : Taken::taken;
}

void Planner::book(Millis now, const std::string& name, Server& s, const ServerReport& from,
                   const ServerReport& to) {
    s.attempts += static_cast<double>(to.attempts - from.attempts);
    for (std::size_t i = 0; i < Digest::kBuckets; ++i)
        if (to.latency.counts[i] > from.latency.counts[i])
            s.times[i] += to.latency.counts[i] - from.latency.counts[i];
    const Verdicts v = verdicts(from, to);
    if (v.all <= 0) return;
    if (s.removed) {
        // Only its trial counts; what else still comes in was sent before the removal was known.
        if (s.trial == 0 || name != s.holder || now >= s.trial_until) return;
        if (v.good < v.all) return remove(now, s);
        return take_back(s);
    }
    s.window.push_back({v.all, v.good});
    s.all += v.all, s.good += v.good;
    while (s.all - s.window.front().all >= settings_.window) {
        s.all -= s.window.front().all, s.good -= s.window.front().good;
        s.window.pop_front();
    }
    judge(now, s);
}

double Planner::level_without(const Server& s) const {
    double all = 0, good = 0;
    for (const auto& [id, other] : servers_)
        if (&other != &s && !other.removed) all += other.all, good += other.good;
    return all > 0 ? good / all : 1;
}

// Held against the others, less three standard errors, as the decision module does: a slowdown shared by all
// is no server's fault.
void Planner::judge(Millis now, Server& s) {
    if (s.all < settings_.window) return;
    const double level = level_without(s);
    const double noise = std::sqrt(level * (1 - level) / s.all);
    if (s.good / s.all >= settings_.threshold * level - 3 * noise) return;
    if (room_to_remove()) remove(now, s);
}

void Planner::remove(Millis now, Server& s) {
    turned_ = turned_ || !s.removed;
    s.removed = true;
    s.removed_at = now;
    s.trial = 0;
    s.holder.clear();
}

void Planner::take_back(Server& s) {
    turned_ = true;
    s.removed = false;
    s.trial = 0;
    s.holder.clear();
    s.window.clear();
    s.all = s.good = 0;
}

// To the forwarder with the highest weight among those that have requests to try it with.
void Planner::assign_trial(Millis now, Server& s) {
    if (!s.removed || now < s.removed_at + settings_.backoff) return;
    if (s.trial != 0 && now < s.trial_until) return;
    // Never a number used before: the forwarder tries once for each. A restart shows in the epoch's part.
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
    s.holder = *best;
    s.trial_until = now + settings_.trial_time;
}

bool Planner::tick(Millis now) {
    const double passed = std::max(1.0, now - ticked_at_) / 1000;
    ticked_at_ = now;
    if (std::erase_if(forwarders_,
                      [&](const auto& at) { return now >= at.second.heard_at + settings_.forget; }))
        ranked_ = false;
    demand_ = 0;
    for (auto& [name, f] : forwarders_) {
        f.rate += (f.arrivals / passed - f.rate) * kRateNews;
        if (f.rate < 0.01) f.rate = 0;
        f.arrivals = 0;
        demand_ += f.rate;
    }
    std::vector<double> means;
    double warm_rate = 0, warm_units = 0;
    const auto mean = [](const Server& s) {
        double sum = 0, total = 0;
        for (std::size_t i = 0; i < Digest::kBuckets; ++i)
            sum += s.times[i] * Digest::middle(i), total += s.times[i];
        return total >= kTimesNeeded ? sum / total : 0;
    };
    for (auto& [id, s] : servers_) {
        s.rate += (s.attempts / passed - s.rate) * kRateNews;
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
        const double share = m > 0 ? std::clamp(median / m, kLeastShare, 1.0) : 1;
        s.share = std::round(share * kShareSteps) / kShareSteps;
        for (double& n : s.times) n *= kTimesKept;
        // What warm ones are seen to bear a cold one bears in its part. Fixed for its life: a slice that
        // shrank would leave grants alive above it.
        if (is_cold(s, now) && s.slice == 0 && warm_units > 0 && now >= quiet_until_)
            s.slice = kPlannersSlice * settings_.fall_multiple * settings_.cold_from * warm_rate /
                      warm_units * s.info.units;
        for (auto lease = s.leases.begin(); lease != s.leases.end();) {
            std::erase_if(lease->second, [&](const Lease& l) { return l.until <= now; });
            lease = lease->second.empty() ? s.leases.erase(lease) : std::next(lease);
        }
    }
    return publish(now);
}

std::optional<Millis> Planner::publish_due() const {
    if (!turned_) return {};
    return published_at_ + settings_.publish_gap;
}

bool Planner::publish(Millis now) {
    turned_ = false;
    published_at_ = now;
    const std::uint64_t content = digest();
    if (content == content_ && id_.sequence > 0) return false;
    content_ = content;
    ++id_.sequence;
    return true;
}

// Of all that a plan says, for whomever it is made.
std::uint64_t Planner::digest() const {
    std::uint64_t h = 0;
    for (const auto& [id, s] : servers_) {
        h = mix(h, id);
        h = mix(h, std::bit_cast<std::uint64_t>(s.info.online_since));
        h = mix(h, s.removed ? 1 + s.trial : 0);
        for (const char c : s.holder) h = mix(h, static_cast<unsigned char>(c));
        h = mix(h, static_cast<std::uint64_t>(s.share * kShareSteps));
        h = mix(h, static_cast<std::uint64_t>(s.outstanding));
        h = mix(h, std::bit_cast<std::uint64_t>(s.slice));
    }
    if (settings_.subset > 0)
        for (const auto& [name, f] : forwarders_) h = mix(h, rendezvous(name, 0));
    return h;
}

bool Planner::is_cold(const Server& s, Millis now) const {
    return settings_.warm_within > 0 && s.info.online_since > 0 && now < s.met_at + settings_.warm_within;
}

double Planner::alive(const Server& s, Millis now, const std::string* but) const {
    double sum = 0;
    for (const auto& [name, leases] : s.leases) {
        if (but && name == *but) continue;
        double most = 0;
        for (const Lease& l : leases)
            if (l.until > now) most = std::max(most, l.rate);
        sum += most;
    }
    return sum;
}

void Planner::grant(Millis now, const std::string& name, const Forwarder& f, Server& s, ServerPlan& out) {
    if (now < quiet_until_ || s.slice <= 0 || f.rate <= 0 || demand_ <= 0) return;
    if (!is_cold(s, now) || s.removed || s.info.phase != kelplb::Phase::on) return;
    const double wanted = s.slice * f.rate / demand_;
    const double rate = std::min(wanted, s.slice - alive(s, now, &name));
    if (rate <= 0) return;
    out.cold_rate = static_cast<float>(rate * (1 - 1e-6));  // rounding must not add up
    auto& leases = s.leases[name];
    // The newest of a rate replaces earlier ones of no more: they end before it.
    std::erase_if(leases, [&](const Lease& l) { return l.rate <= rate || l.until <= now; });
    leases.push_back({rate, now + settings_.life});
}

// Each server prefers the forwarders with the highest weights, the same number for each server, so that all
// servers have alike many and all forwarders about `subset` servers. The lowest of these weights is kept, as
// ranking anew for every plan would cost forwarders squared.
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
        // But amounts are told anew: they are not extended beyond what is free.
        for (const auto& [id, s] : servers_)
            if (is_cold(s, now) || s.leases.count(forwarder)) plan.same = false;
    }
    if (plan.same) return plan;
    rank();
    for (auto& [id, s] : servers_) {
        ServerPlan one;
        one.life = {id, s.info.online_since};
        one.removed = s.removed;
        one.trial = s.removed && s.holder == forwarder && now < s.trial_until ? s.trial : 0;
        one.share = static_cast<float>(s.share);
        double own = 0;
        if (at != forwarders_.end()) {
            const auto known = at->second.servers.find(id);
            if (known != at->second.servers.end() && known->second.life == one.life)
                own = known->second.outstanding;
            if (settings_.subset > 0 && settings_.subset < servers_.size())
                one.preferred = rendezvous(forwarder, id) >= s.least_preferred;
            grant(now, forwarder, at->second, s, one);
        }
        one.elsewhere = static_cast<float>(std::max(0.0, s.outstanding - own));
        plan.servers.push_back(one);
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

std::vector<Life> Planner::removed_lives() const {
    std::vector<Life> lives;
    for (const auto& [id, s] : servers_)
        if (s.removed) lives.push_back({id, s.info.online_since});
    return lives;
}

Planner::Granted Planner::granted(Millis now, ServerId server) const {
    const auto at = servers_.find(server);
    if (at == servers_.end()) return {};
    return {alive(at->second, now), at->second.slice};
}

}  // namespace cobaltshift::plan
