// All decisions of kelplb. The interface is include/kelplb/balancer.hpp.
//
// Path of a request: on(RequestArrived) registers it and sets its timer. place() checks the concurrency
// limit (admission) and pick_server() chooses a server: one whose backoff is over gets the request as its
// half-open trial; otherwise two live servers are sampled and the one with fewer of our outstanding requests
// is used. dispatch() sends the request, to run to the client's deadline at most. If no server may have it
// now, it is held for a short time. on(AttemptEnded) records the outcome in the server's window
// (update_window(): removal and return) and then places the request again or answers it. finish() is the
// only place that gives a final answer; may_send() and may_refuse() are the only gates: nothing is sent or
// refused without passing them.
//
// Terms. Latency ratio: the duration of an attempt divided by the latency target of its request's
// class. Cold server: one that started less than Settings::warmup_time ago. Low-traffic sidecar: see
// low_traffic().
#include <algorithm>
#include <bit>
#include <cmath>
#include <map>
#include <unordered_map>

#include "fleet_view.hpp"
#include "kelplb/balancer.hpp"
#include "random.hpp"
#include "settings.hpp"
#include "shares.hpp"

namespace kelplb {

namespace {

// Outlier ejection as in Linkerd's io.l5d.successRate, with the figures of its authors' demonstration: a
// server is removed when fewer than this share of its last kWindowSize outcomes were successes.
constexpr int kWindowSize = 20;
constexpr double kSuccessRateThreshold = 0.9;
constexpr Millis kBackoffMs = 10000;

// A sidecar that sends to the same server less often than once in this time is a low-traffic one; it closes
// connections after use instead of keeping them idle.
constexpr Millis kConnectionReuseMs = 4000;
// Probes are sent only while the share of attempts answered within their target lies between these.
constexpr double kProbeMaxOnTime = 0.97, kProbeMinOnTime = 0.7;
constexpr std::uint32_t kFailureGossipDivisor = 16;  // a failed or late attempt is sent to 1 in 16 peers
constexpr int kMaxProbeRounds = 2;                   // for one request; a round probes two servers
// Admission: the concurrency limit is steered so that the mean latency ratio is kTargetLatencyRatio, or
// kTargetLatencyRatioIfCut where attempts are ended at their target. A higher value makes the slower answers
// late, a lower one leaves servers idle. The initial limit is too high to restrict anything.
constexpr double kTargetLatencyRatio = 0.55, kTargetLatencyRatioIfCut = 0.8;
constexpr double kInitialConcurrencyLimit = 1000;  // attempts; also the maximum
constexpr double kConcurrencyLimitGain = 0.5;      // attempts for each unit of the ratio's deviation
constexpr double kFailureLatencyRatio = 1.5;       // counted for an attempt without a usable answer
// Upper bounds on the load given to a cold server, in shares of the multiple of its capacity at which it
// collapses (Settings::overload_multiple): by our own decision, and in addition by guidance. The rest absorbs
// random variation.
constexpr double kOwnColdShare = 0.5, kGuidedColdShare = 0.375;
constexpr double kCrowdedRatio = 0.35;            // of a crowded pool; well above that of an idle one
constexpr Millis kPoolRatioMemoryMs = 5000;       // time constant, see update_latency()
constexpr double kMinFleetAttemptsPerServer = 4;  // of all sidecars together; admission always allows these
// The share of the concurrency limit that is open to every class, however low its worth, and the whole share
// of repeats: a repeat's latency target has been running since its first try.
constexpr double kCommonLimitShare = 0.6;
// A server is offered a request only if the latency ratio expected there is at most this: for requests
// within their tenant's quota, for those beyond it (lower, to leave capacity for the former), and at a cold
// server.
constexpr double kMaxExpectedRatio = 0.7, kMaxExpectedRatioOverQuota = 0.25, kMaxExpectedRatioCold = 1;
constexpr double kMinCapacity = 0.05;       // lower bound of a cold server's capacity in the expected ratio
constexpr double kMaxRelativeCost = 1.3;    // costs up to this factor apart count as similar
constexpr double kMinExpectedRatio = 0.02;  // smaller expected ratios count as equal
// A server in another zone counts as slower by 1 + this factor times Settings::fees.cross_zone.
constexpr double kCrossZoneCostFactor = 10;
constexpr double kTimeoutLatencyFactor = 1.5;  // a timed-out attempt's latency, in terms of its time-out
constexpr double kMaxLatencyRatio = 4;         // higher ratios carry no more information
constexpr Millis kMinReportIntervalMs = 50;    // of reports to all sidecars
constexpr Millis kEarlyEndMs = 10;        // attempts that must end by the latency target end so much earlier
constexpr Millis kRatioMemoryMs = 10000;  // time constant: older samples lose their weight
// Share of the result that reporting our outstanding attempts to all sidecars may cost, and the part of that
// share which is spent at least, in an idle pool.
constexpr double kMaxReportCost = 0.03, kIdleReportPart = 0.05;
// Guidance outside of these bounds is not followed: a server's least share of its sampling weight, and the
// rate of attempts per second to a cold server.
constexpr double kMinGuidedShare = 0.25, kMaxGuidedColdRate = 1e6;
constexpr Millis kResubscribeMs = 1000;     // first wait after a failed list call; doubles once, to 2000 ms
constexpr Millis kIdleConnectionMs = 8000;  // an idle connection is taken to be open so long after its use
constexpr std::size_t kMaxIdleServers = 8;  // to which a low-traffic sidecar keeps an idle connection

bool proves_never_ran(Outcome o) {
    return o == Outcome::saturated || o == Outcome::refused_connection || o == Outcome::not_sent;
}

// Exponential moving average with a time constant of kWindowSize / 2 samples.
void smooth(double& mean, double sample) { mean += (sample - mean) * 2 / kWindowSize; }

enum class PoolState { live, removed, trial };

struct Server {
    ServerInfo info;
    bool listed = true;
    int outstanding = 0;
    int idle_connections = 0;  // open and unused, as far as is known
    Millis idle_at = 0;        // when one became idle last
    PoolState pool_state = PoolState::live;
    std::uint32_t outcome_window = 0;  // a bit for each of the last outcomes, set for success
    int window_count = 0;              // outcomes in the window
    Millis backoff_until = 0;
    // Smoothed latency ratios, 0 if unknown: of samples up to kFailureLatencyRatio, and up to
    // kMaxLatencyRatio.
    double capped_ratio = 0;
    double ratio = 0;
    Millis ratio_at = 0;                               // time of the last sample
    std::vector<std::pair<Millis, Millis>> in_flight;  // our attempts: time of sending and latency target
    std::vector<Millis> failure_expiries;  // until when attempts that failed at once count against the server
    // Mean number of all sidecars' attempts there when those of `ratio` were sent, each included itself.
    double concurrency = 0;
    double suspicion = 0;  // decayed count of failed and late attempts, our own and those reported by peers
    Millis suspected_at = 0;
    std::vector<RequestId> probe_waiters;  // requests that wait for a probe of this server
    ServerGuidance guidance;               // in force until Impl::guided_until
    std::uint64_t last_trial = 0;          // number of the last trial of guidance that was carried out
};

struct Attempt {
    ServerId server = 0;
    ZoneId zone = 0;
    std::uint32_t cell = 0;
    Millis sent_at = 0;
    bool outstanding = true;
    bool may_have_run = true;
    bool trial = false;
    double concurrency = 0;  // attempts at the server when this one was sent, itself included
};

struct Request {
    RequestId id = 0;
    RequestClass spec;
    // The client's deadline, not the latency target: ending attempts at the target makes clients repeat work
    // that a server is still doing, while a late answer, though worth as little, keeps them from repeating.
    Millis deadline = 0;
    Millis attempt_deadline = 0;  // the deadline, or near the target where a late answer is worthless
    bool repeat = false;
    bool within_quota = true;  // of its tenant
    bool ended = false;
    bool streaming = false;
    bool hold_timer_set = false;
    Millis hold_until = 0;  // a held request is answered at this time at the latest
    std::uint64_t Balancer::Tally::*reject_reason = &Balancer::Tally::failed_by_exhaustion;
    int probes_pending = 0, probe_rounds = 0;
    std::vector<Attempt> attempts;

    bool any_outstanding() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.outstanding; });
    }
    const Attempt* first_possible_run() const {
        for (const Attempt& a : attempts)
            if (a.may_have_run) return &a;
        return nullptr;
    }
    bool tried(ServerId server) const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const Attempt& a) { return a.server == server; });
    }
};

}  // namespace

struct Balancer::Impl {
    Impl(Settings s, std::uint64_t seed)
        : settings(std::move(s)), random(seed), shares(settings.tenants, settings.sidecar_count) {
        validate(settings);
        for (const RequestClass& c : settings.classes) max_worth = std::max(max_worth, c.worth);
        if (max_worth == 0) max_worth = 1;
    }

    Settings settings;
    Random random;
    Millis now = 0;
    std::vector<Action>* actions = nullptr;
    std::map<ServerId, Server> servers;
    std::unordered_map<RequestId, Request> requests;                  // never iterated
    std::unordered_map<TimerToken, std::optional<RequestId>> timers;  // nullopt: the list's resubscription
    TimerToken next_token = 1;
    Millis resubscribe_wait = kResubscribeMs;
    double retry_budget = settings.retry_burst;
    int outstanding = 0;          // attempts
    Millis last_arrival = -1;     // of a request; -1: none yet
    Millis arrival_interval = 0;  // smoothed time between requests
    double on_time_share = 1;     // smoothed share of attempts answered within their target
    double completed_share = 1;   // smoothed share of attempts that completed
    Millis pool_ratio_at = 0;
    double ratio_per_attempt = 0;  // latency ratio divided by 1 + attempts at the server, over all warm ones
    double pool_ratio = 0;         // smoothed over all warm servers
    double max_worth = 0;
    double peak_outstanding = 0;  // decaying maximum, so that a pause does not lower the concurrency limit
    double concurrency_limit = kInitialConcurrencyLimit;  // attempts that may be outstanding
    std::vector<RequestId> held_requests;                 // may name finished ones
    Millis guided_until = 0;
    Shares shares;
    FleetView fleet;
    Millis next_report_at = 0;
    std::vector<RequestId> ended_requests;  // during this event
    Tally tally;
    std::uint64_t Tally::*reject_reason =
        &Tally::failed_by_exhaustion;  // why the last place() found no server

    void emit(Action action) { actions->push_back(std::move(action)); }

    // ---- The gates --------------------------------------------------------------------------------------
    // Rule 1: one final answer to each request, and no attempt after it, after the first byte of an answer
    // or after the deadline. Rule 2: a request that may have run is repeated or refused only as far as its
    // class's Effect permits. Rule 3: nothing new is sent to a server that is draining or gone. Rule 4: a
    // cold server gets no more than its share (slow start).

    bool in_scope(const Request& r, const Attempt& a, const ServerInfo& s) const {
        switch (r.spec.dedup_scope) {
            case DedupScope::all:
                return true;
            case DedupScope::zone:
                return a.zone == s.zone;
            case DedupScope::cell:
                return a.cell == s.cell;
        }
        return false;
    }

    // Draws a random number for a cold server, so two calls may differ.
    bool may_send(const Request& r, Server& s) {
        if (r.ended || r.streaming || now >= r.deadline) return false;  // rule 1
        if (r.attempts.size() >= settings.max_attempts) return false;
        if (!s.listed || s.info.phase != Phase::on) return false;  // rule 3
        if (r.any_outstanding() && (!settings.parallel_attempts || r.spec.effect == Effect::once))
            return false;
        if (r.spec.effect == Effect::once && r.first_possible_run()) return false;  // rule 2
        if (r.spec.effect == Effect::by_key)
            if (const Attempt* first = r.first_possible_run()) {
                if (now >= first->sent_at + r.spec.dedup_window) return false;
                for (const Attempt& a : r.attempts)
                    if (a.may_have_run && !in_scope(r, a, s.info)) return false;
            }
        return !is_cold(s) || random.unit() < cold_probability(s) + granted_probability(s);  // rule 4
    }

    bool may_refuse(const Request& r) const {
        const Attempt* first = r.first_possible_run();
        if (r.ended || r.streaming) return false;
        if (!first || r.spec.effect == Effect::repeatable) return true;
        return r.spec.effect == Effect::by_key && r.spec.dedup_scope == DedupScope::all &&
               now < first->sent_at + r.spec.dedup_window;
    }

    // Slow start. The capacity of a starting server is at least cold_capacity of its full one and rises
    // linearly to the whole at warmup_time. The server is a candidate for a request with that probability:
    // probabilities add up to what it can do with any number of sidecars, where a minimum or a token bucket
    // in each sidecar would be a flood from a thousand of them. The probability is scaled by our share of
    // attempts that complete, because a storm of retries is many times what servers can do.
    bool is_cold(const Server& s) const {
        return settings.warmup_time > 0 && s.info.online_since > 0 &&
               now < s.info.online_since + settings.warmup_time;
    }
    // The share of its full capacity that the server is sure to have by now.
    double capacity(const Server& s) const {
        if (!is_cold(s)) return 1;
        const double age = std::max(0.0, now - s.info.online_since) / settings.warmup_time;
        return settings.cold_capacity + (1 - settings.cold_capacity) * std::min(1.0, age);
    }
    double cold_probability(const Server& s) const {
        const double share = capacity(s);
        // While its answers are on time it gets more than its sure capacity: most servers warm up sooner.
        const bool on_time = s.capped_ratio > 0 && s.capped_ratio <= kTargetLatencyRatio;
        const double boost = on_time ? std::max(1.0, kOwnColdShare * settings.overload_multiple) : 1;
        return boost * share * completed_share;
    }

    // ---- Guidance of planners, which see the whole fleet. Without it, or once it has expired, nothing here
    // has an effect.

    bool guided() const { return now < guided_until; }

    void on(const Guidance& g) {
        guided_until = g.until;
        for (auto& [id, s] : servers) s.guidance = {};
        for (const ServerGuidance& one : g.servers) {
            const auto at = servers.find(one.server);
            // Guidance on an earlier or later process of the same name is ignored.
            if (at == servers.end() || at->second.info.online_since != one.born) continue;
            Server& s = at->second;
            s.guidance = one;
            // Invalid values are replaced by those without an effect.
            if (!(one.share >= 0 && one.share <= 1)) s.guidance.share = 1;
            s.guidance.share = std::max(s.guidance.share, kMinGuidedShare);
            if (!std::isfinite(one.elsewhere)) s.guidance.elsewhere = 0;
            if (!(one.cold_rate > 0 && one.cold_rate < kMaxGuidedColdRate)) s.guidance.cold_rate = 0;
        }
    }

    // Guidance keeps the server out of the pool, and we have no trial of it to carry out.
    bool removed_by_guidance(const Server& s) const {
        return s.guidance.removed && (s.guidance.trial == 0 || s.guidance.trial == s.last_trial);
    }
    // Not if, together with those that we removed ourselves, over half of the listed servers would be out.
    bool follow_removals() const {
        std::size_t listed = 0, out = 0;
        for (const auto& [id, s] : servers)
            if (s.listed) ++listed, out += s.pool_state != PoolState::live || s.guidance.removed;
        return guided() && 2 * out <= listed;
    }

    // The rate granted by planners as a probability for each of our requests. It is bounded by settings of
    // our own: so all sidecars together stay under what the server bears even if every planner grants any
    // rate.
    double granted_probability(const Server& s) const {
        if (!guided() || s.guidance.cold_rate <= 0) return 0;
        const double granted =
            s.guidance.cold_rate * arrival_interval / 1000 * static_cast<double>(servers.size());
        return std::min(granted, kGuidedColdShare * settings.overload_multiple * settings.cold_capacity);
    }

    // ---- Membership -------------------------------------------------------------------------------------

    void on(const Started&) {
        if (settings.subscribe_to_list) emit(Subscribe{true});
    }

    void on(const ServerList& list) {
        if (list.kind == ListKind::failed) {
            // All sidecars call the same list service: retry later, with jitter.
            set_timer(now + resubscribe_wait * (0.5 + random.unit()), std::nullopt);
            resubscribe_wait = std::min(resubscribe_wait * 2, kResubscribeMs * 2);
            return;
        }
        if (list.kind != ListKind::saved) resubscribe_wait = kResubscribeMs;
        if (list.kind != ListKind::incremental)
            for (auto& [id, s] : servers) s.listed = false;
        for (const ServerInfo& info : list.servers) update_server(info);
        for (auto it = servers.begin(); it != servers.end();) erase_if_gone(it++);
        place_held();
    }

    // Requests that wait for a probe of an erased server are placed as if the probe had failed.
    void erase_if_gone(std::map<ServerId, Server>::iterator at) {
        if (at->second.listed || at->second.outstanding > 0) return;
        const std::vector<RequestId> waiters = std::move(at->second.probe_waiters);
        servers.erase(at);
        for (const RequestId id : waiters) probe_done(id, nullptr);
    }

    void update_server(const ServerInfo& info) {
        const auto [it, fresh] = servers.try_emplace(info.id);
        Server& s = it->second;
        if (fresh || info.online_since > s.info.online_since) {
            s.pool_state = PoolState::live;  // another process under the same name: its record starts anew
            s.outcome_window = 0, s.window_count = 0;
            s.failure_expiries.clear();
            s.idle_connections = 0;  // they were closed with the process
        }
        if (fresh || info.online_since != s.info.online_since) s.guidance = {}, s.ratio = 0, s.ratio_at = now;
        s.info = info;
        if (!(s.info.units > 0)) s.info.units = 1;  // invalid: as if unknown
        s.listed = info.phase != Phase::off;
    }

    // ---- Outlier ejection: window, backoff, half-open trial ---------------------------------------------

    void update_window(Server& s, const Attempt& a, Outcome outcome, bool late) {
        const bool success = outcome == Outcome::completed && !late;  // a late answer counts like a time-out
        const bool conclusive = outcome != Outcome::cancelled && outcome != Outcome::not_sent;
        if (s.pool_state == PoolState::trial && a.trial) {
            if (!conclusive)
                s.pool_state = PoolState::removed;  // undecided: the next request is the trial
            else if (success)
                restore(s);
            else
                remove(s);
            return;
        }
        if (!conclusive || s.pool_state != PoolState::live) return;
        s.outcome_window = (s.outcome_window << 1 | (success ? 1 : 0)) & ((1u << kWindowSize) - 1);
        s.window_count = std::min(s.window_count + 1, kWindowSize);
        if (!success && below_threshold(s) && may_remove(late || outcome == Outcome::timed_out)) remove(s);
    }

    // If all servers are slow for a common reason, all of them fail, and removing them would be an outage.
    // So a server is compared with the others: the threshold is 0.9 of their success rate, less three
    // standard errors of a window with that rate. While the others don't fail, it is 0.9. A window that is
    // not yet full is judged as if the missing outcomes were successes: what is certain need not wait for
    // them, least of all where traffic is low.
    bool below_threshold(const Server& s) const {
        const double level = success_rate_without(s);
        const double noise = std::sqrt(level * (1 - level) / kWindowSize);
        return successes(s) + (kWindowSize - s.window_count) <
               kWindowSize * (kSuccessRateThreshold * level - 3 * noise);
    }

    double success_rate_without(const Server& s) const {
        double good = 0, all = 0;
        for (const auto& [id, other] : servers)
            if (&other != &s && other.pool_state == PoolState::live) {
                good += successes(other);
                all += other.window_count;
            }
        return all > 0 ? good / all : 1;
    }

    static int successes(const Server& s) { return std::popcount(s.outcome_window); }

    // Panic threshold: half of the listed servers stay in the pool whatever their windows say, and three
    // quarters where the failure is slowness: under high load the slow machines are still needed.
    bool may_remove(bool slow) const {
        std::size_t listed = 0, out = 0;
        for (const auto& [id, s] : servers)
            if (s.listed) ++listed, out += s.pool_state != PoolState::live;
        return (slow ? 4 : 2) * (out + 1) <= listed;
    }

    void remove(Server& s) {
        if (s.pool_state == PoolState::live) emit(Log{"removed from the pool", s.info.id});
        s.pool_state = PoolState::removed;
        s.backoff_until = now + kBackoffMs;
    }

    void restore(Server& s) {
        s.pool_state = PoolState::live;
        s.outcome_window = 0, s.window_count = 0;
        s.ratio = 0;
        emit(Log{"restored after a trial", s.info.id});
    }

    // ---- Load: all sidecars' attempts at a server, as far as it is known --------------------------------

    // Guidance does not count here: it must never leave a request without a server. Nor do the servers' own
    // load reports: they are half a second old and would send all sidecars to whichever server was idle then
    // (docs/measured/second-deployment.md).
    double load(const Server& s) const { return s.outstanding + fleet.outstanding_elsewhere(s.info.id); }
    // The latency ratio that one more request would meet, with `more` attempts besides the known ones. It is
    // taken to grow linearly with the number of attempts at the server. Old samples lose their weight: a
    // machine that was slow must be tried again.
    double expected_ratio(const Server& s, int more = 0) const {
        // A server without samples, or with old ones only, is taken to be average: taken for the quickest,
        // it would get all that arrives at a hundred sidecars at once.
        const double fresh = s.ratio > 0 ? std::exp((s.ratio_at - now) / kRatioMemoryMs) : 0;
        const double per_attempt =
            ratio_per_attempt + (s.ratio / (1 + s.concurrency) - ratio_per_attempt) * fresh;
        return std::max(per_attempt * (2 + load(s) + more) / std::max(kMinCapacity, capacity(s)),
                        oldest_wait_ratio(s));
    }
    // For comparing servers: without the slowness of a cold one, which is no reason to prefer others, as
    // rule 4 already keeps it from more than its share.
    double comparable_ratio(const Server& s) const {
        return expected_ratio(s, recent_failures(s) + fleet.failed_elsewhere(s.info.id)) * capacity(s);
    }
    // A server that fails fast has few attempts outstanding and would attract every sidecar that has not
    // used it lately. So, when servers are compared, a failed attempt counts as outstanding for the time its
    // answer is taken to need; the other sidecars are told of it. It makes no request be refused.
    int recent_failures(const Server& s) const {
        return static_cast<int>(std::count_if(s.failure_expiries.begin(), s.failure_expiries.end(),
                                              [&](Millis until) { return now < until; }));
    }
    // The longest wait of an attempt in flight, relative to its target: shows a stalled machine before any
    // outcome does.
    double oldest_wait_ratio(const Server& s) const {
        double most = 0;
        for (const auto& [sent, latency_target] : s.in_flight)
            most = std::max(most, (now - sent) / latency_target);
        return most;
    }
    bool expected_in_time(const Server& s, const Request& r) const {
        if (!settings.admission) return true;
        if (is_cold(s))
            return expected_ratio(s) <= (r.within_quota ? kMaxExpectedRatioCold : kMaxExpectedRatioOverQuota);
        return s.ratio <= 0 || load(s) < 1 ||
               expected_ratio(s) <= (r.within_quota ? kMaxExpectedRatio : kMaxExpectedRatioOverQuota);
    }

    // Drops the candidates that are much slower than the second best: our own number of outstanding attempts
    // doesn't show that a machine is slow with a single request, or full of other sidecars' requests.
    void drop_slow(std::vector<Server*>& from) const {
        if (from.size() < 3) return;
        // Crossing zones has a price: a server in another zone must be quicker by that.
        const auto cost = [&](const Server& one) {
            const bool far = settings.my_zone && one.info.zone != *settings.my_zone;
            return std::max(kMinExpectedRatio, comparable_ratio(one)) *
                   (far ? 1 + kCrossZoneCostFactor * settings.fees.cross_zone : 1);
        };
        std::vector<double> costs;
        for (const Server* s : from) costs.push_back(cost(*s));
        std::nth_element(costs.begin(), costs.begin() + 1, costs.end());
        const double most = costs[1] * kMaxRelativeCost;
        std::erase_if(from, [&](const Server* s) { return cost(*s) > most; });
    }

    // Sends our outstanding attempts to all sidecars, so often that it costs at most kMaxReportCost of the
    // result, whatever the price of a message; less often while answers are quick, as there is little to
    // gain.
    void report_to_fleet() {
        if (!settings.may_message_peers || settings.sidecar_count < 2 || arrival_interval <= 0 ||
            now < next_report_at)
            return;
        std::vector<FleetView::ServerCount> counts;
        for (const auto& [id, s] : servers)
            if (const int failures = recent_failures(s); s.outstanding > 0 || failures > 0)
                counts.push_back({id, s.outstanding, failures});
        const auto bytes = FleetView::encode(now, shares, std::move(counts));
        const double cost =
            settings.fees.peer * static_cast<double>(bytes.size()) / 256 * (settings.sidecar_count - 1);
        const double max_cost = kMaxReportCost * std::clamp(pool_ratio / kCrowdedRatio, kIdleReportPart, 1.0);
        next_report_at = now + std::max(kMinReportIntervalMs, cost / max_cost * arrival_interval);
        emit(SendToPeer{std::nullopt, bytes});
        ++tally.told;
    }

    // ---- Choice of a server -----------------------------------------------------------------------------

    // nullptr: none may have the request now (reject_reason says why), or probes decide.
    Server* pick_server(Request& r) {
        std::vector<Server*> live, already_tried, not_preferred, guided_out;
        const bool follow = follow_removals();
        for (auto& [id, s] : servers) {
            const bool due = s.pool_state == PoolState::removed && now >= s.backoff_until;
            if (!due && s.pool_state != PoolState::live) continue;
            if (!may_send(r, s)) {
                if (s.listed && s.info.phase == Phase::on && is_cold(s))
                    reject_reason = &Tally::failed_by_cold;
                continue;
            }
            if (follow && removed_by_guidance(s)) {
                guided_out.push_back(&s);
                continue;
            }
            if (due || (follow && s.guidance.removed)) return &s;  // half-open: this request is its trial
            if (!expected_in_time(s, r)) {
                reject_reason = &Tally::failed_by_latency;
                continue;
            }
            (guided() && !s.guidance.preferred ? not_preferred
             : r.tried(id)                     ? already_tried
                                               : live)
                .push_back(&s);
        }
        if (live.empty()) live.swap(not_preferred);
        if (live.empty()) live.swap(already_tried);
        if (live.empty()) live.swap(guided_out);  // guidance never leaves a request without a server
        if (live.empty()) return nullptr;
        drop_slow(live);
        Server* first = sample(live, nullptr);
        bool idle_found = false;
        if (keeps_idle() && low_traffic()) {
            std::vector<Server*> open;
            for (Server* s : live)
                if (has_idle(*s)) open.push_back(s);
            if (!open.empty()) first = sample(open, nullptr), idle_found = true;
        }
        // Where crossing zones has a price and the pool is not crowded, one of the two is of our own zone.
        // It wins ties, and also with one request more if our part of the price exceeds the probability of a
        // late answer: one more from each of many sidecars is a queue.
        bool near_first = false;
        if (!idle_found && settings.fees.cross_zone > 0 && settings.my_zone && pool_ratio <= kCrowdedRatio) {
            std::vector<Server*> near;
            for (Server* s : live)
                if (s->info.zone == *settings.my_zone) near.push_back(s);
            if (!near.empty()) first = sample(near, nullptr), near_first = true;
        }
        if (live.size() == 1) return first;
        Server* second = sample(live, first);
        const Server &a = *first, &b = *second;
        const bool first_preferred = idle_found || (near_first && b.info.zone != *settings.my_zone);
        // exp(-1 / ratio) is the probability of a late answer if latencies are distributed exponentially.
        const int margin = first_preferred && !idle_found &&
                                   own_share() * settings.fees.cross_zone > std::exp(-1 / pool_ratio)
                               ? 1
                               : 0;
        const double doubt = suspicion(a) - suspicion(b);
        const double elsewhere = guided() ? a.guidance.elsewhere - b.guidance.elsewhere : 0;
        if (a.outstanding == 0 && b.outstanding == 0 && std::abs(doubt) < 1 && should_probe(r)) {
            ++r.probe_rounds;
            for (Server* s : {first, second})
                ++r.probes_pending, s->probe_waiters.push_back(r.id), emit(Probe{s->info.id});
            tally.probes += 2;
            return nullptr;
        }
        const bool use_second =
            b.outstanding + margin < a.outstanding ||
            (b.outstanding == a.outstanding &&
             (doubt != 0 ? doubt > 0
              : elsewhere != 0
                  ? elsewhere > 0
                  : !first_preferred && comparable_ratio(b) * kMaxRelativeCost < comparable_ratio(a)));
        return use_second ? second : first;
    }

    // Gossip of failures. A low-traffic sidecar uses a bad server too seldom to recognise it; all sidecars
    // together use it all the time. So each sends what failed or was late to a few random peers, as the
    // server's id in four bytes, big-endian. It only breaks ties between equal numbers of outstanding
    // attempts and decays over a backoff, so that lost, false or malformed messages do little harm.
    double suspicion(const Server& s) const {
        const double left = s.suspicion * std::exp((s.suspected_at - now) / kBackoffMs);
        return left < 0.1 ? 0 : left;  // a remainder must not break ties for ever
    }
    void suspect(Server& s) { s.suspicion = suspicion(s) + 1, s.suspected_at = now; }
    void gossip_failure(ServerId id) {
        if (!settings.may_message_peers || !low_traffic()) return;
        std::vector<std::uint8_t> bytes;
        for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<std::uint8_t>(id >> shift));
        for (std::uint32_t i = 0; i < settings.sidecar_count / kFailureGossipDivisor; ++i) {
            const auto peer = static_cast<std::uint32_t>(random.below(settings.sidecar_count));
            if (peer != settings.sidecar_index) emit(SendToPeer{peer, bytes});
        }
    }
    void on(const PeerMessage& e) {
        if (fleet.receive(now, e.from, e.bytes, shares)) return;
        ServerId id = 0;
        for (const std::uint8_t byte : e.bytes) id = id << 8 | byte;
        const auto at = servers.find(id);
        if (e.bytes.size() == 4 && at != servers.end()) suspect(at->second);
    }

    // The mean time between two requests to the same server exceeds kConnectionReuseMs: our own numbers of
    // outstanding attempts say nothing about the servers.
    bool low_traffic() const {
        return arrival_interval * static_cast<double>(servers.size()) > kConnectionReuseMs;
    }

    // A window takes longer to fill than a backoff lasts: failures count as slow answers from the first on.
    bool window_fills_slowly() const {
        return arrival_interval * static_cast<double>(servers.size()) * kWindowSize > kBackoffMs;
    }

    // While some attempts fail or are late, a low-traffic sidecar breaks a tie between two servers without
    // outstanding attempts of ours by probing both: the first to answer gets the request, so that a dead,
    // unreachable or overloaded one does not. In a collapsed pool no probe is answered in time: they would
    // only cost.
    bool should_probe(const Request& r) const {
        const bool doubtful = on_time_share < kProbeMaxOnTime && on_time_share > kProbeMinOnTime;
        const bool worth_it = 2 * settings.fees.probe < 1 - on_time_share;  // two probes save one bad answer
        return settings.may_probe && low_traffic() && doubtful && worth_it &&
               r.probe_rounds < kMaxProbeRounds;
    }

    void on(const ProbeEnded& e) {
        const auto at = servers.find(e.server);
        if (at == servers.end() || at->second.probe_waiters.empty()) return;
        const RequestId id = at->second.probe_waiters.front();
        at->second.probe_waiters.erase(at->second.probe_waiters.begin());
        const bool usable = e.outcome == Outcome::completed && at->second.pool_state == PoolState::live;
        probe_done(id, usable ? &at->second : nullptr);
    }
    // usable: the server that answered its probe, nullptr if the probe failed.
    void probe_done(RequestId id, Server* usable) {
        const auto it = requests.find(id);
        if (it == requests.end() || it->second.probes_pending == 0) return;  // ended or sent meanwhile
        Request& r = it->second;
        if (usable && may_send(r, *usable)) {
            r.probes_pending = 0;
            dispatch(r, *usable);
        } else if (--r.probes_pending == 0 && !r.ended && !r.any_outstanding()) {
            place(r);
        }
    }

    // A random server other than `except`, weighted by registered size: where we have no attempts
    // outstanding, this alone decides, and equal probabilities would overload the small servers.
    Server* sample(const std::vector<Server*>& from, const Server* except) {
        double total = 0;
        for (const Server* s : from) total += s == except ? 0 : weight(*s);
        double left = random.unit() * total;
        Server* sampled = nullptr;
        for (Server* s : from)
            if (s != except && (!sampled || left >= 0)) sampled = s, left -= weight(*s);
        return sampled;
    }
    double weight(const Server& s) const { return s.info.units * (guided() ? s.guidance.share : 1); }

    // ---- Admission --------------------------------------------------------------------------------------

    // Updates the server's and the pool's latency estimates and adapts the concurrency limit. By Little's
    // law a bound on the number of outstanding attempts bounds their latency. The limit follows the latency
    // ratio; errors say nothing about the load, and the limit grows only while it is used.
    void update_latency(Server& s, const Request& r, const Attempt& a, const AttemptEnded& e) {
        double ratio = kFailureLatencyRatio;
        double server_ratio = kFailureLatencyRatio;
        bool error = false;
        switch (e.outcome) {
            case Outcome::completed:
                ratio = std::min(kFailureLatencyRatio, e.duration / r.spec.latency_target);
                server_ratio = std::min(kMaxLatencyRatio, e.duration / r.spec.latency_target);
                break;
            case Outcome::timed_out:
                server_ratio =
                    std::min(kMaxLatencyRatio, kTimeoutLatencyFactor * e.duration / r.spec.latency_target);
                break;
            case Outcome::saturated:
                break;
            case Outcome::cancelled:
            case Outcome::not_sent:
                return;
            default:
                if (!window_fills_slowly()) return;  // its window shows the failures soon enough
                error = true;
                server_ratio =
                    e.outcome == Outcome::refused_connection ? kFailureLatencyRatio : kMaxLatencyRatio;
                std::erase_if(s.failure_expiries, [&](Millis until) { return until <= now; });
                s.failure_expiries.push_back(now + server_ratio * r.spec.latency_target);
        }
        if (!error) smooth(s.capped_ratio, ratio), server_ratio *= capacity(s);
        if (s.ratio <= 0) s.ratio = server_ratio, s.concurrency = a.concurrency;
        // The older the last sample, the more this one counts.
        const double weight = std::max(2.0 / kWindowSize, 1 - std::exp((s.ratio_at - now) / kRatioMemoryMs));
        s.ratio += (server_ratio - s.ratio) * weight,
            s.concurrency += (a.concurrency - s.concurrency) * weight;
        s.ratio_at = now;
        if (is_cold(s) || error) return;  // a cold server is slow for its own reasons: nothing about the pool
        if (ratio_per_attempt <= 0) ratio_per_attempt = server_ratio / (1 + a.concurrency);
        smooth(ratio_per_attempt, server_ratio / (1 + a.concurrency));
        // Smoothed: one slow answer must not shut off a low-traffic sidecar, which has few others to average
        // it with. But an improvement counts for more the older the last sample is: a sidecar that refuses
        // most of its requests gets few samples.
        const double improvement =
            ratio < pool_ratio ? 1 - std::exp((pool_ratio_at - now) / kPoolRatioMemoryMs) : 0;
        pool_ratio += (ratio - pool_ratio) * std::max(2.0 / kWindowSize, improvement);
        pool_ratio_at = now;
        smooth(peak_outstanding, outstanding);
        peak_outstanding = std::max<double>(peak_outstanding, outstanding);
        // Where attempts end at their target, those that would be late hold no capacity.
        const bool cut =
            r.attempt_deadline < r.deadline && r.attempt_deadline - a.sent_at <= r.spec.latency_target;
        const double step =
            kConcurrencyLimitGain * ((cut ? kTargetLatencyRatioIfCut : kTargetLatencyRatio) - pool_ratio);
        if (step < 0)
            concurrency_limit =
                std::max(min_concurrency_limit(), std::min(concurrency_limit, peak_outstanding + 1.0) + step);
        else if (outstanding + 1 > concurrency_limit / 2)
            concurrency_limit = std::min(kInitialConcurrencyLimit, concurrency_limit + step);
    }

    // Where the service alone takes that long, refusing more does not help and leaves servers idle: one
    // attempt for each server is always allowed, and with many sidecars our part of
    // kMinFleetAttemptsPerServer.
    double min_concurrency_limit() const { return own_share() * static_cast<double>(servers.size()); }
    double own_share() const {
        return std::min(1.0, kMinFleetAttemptsPerServer / std::max(1u, settings.sidecar_count));
    }

    // The class of the highest worth may use the whole limit, the others leave a part of it free. A limit
    // below one is applied as a probability: so a low-traffic sidecar with one request at a time sheds load.
    bool within_limit(const Request& r) {
        if (!settings.admission) return true;
        const double part =
            kCommonLimitShare + (1 - kCommonLimitShare) * r.spec.worth / max_worth * (r.repeat ? 0 : 1);
        return outstanding < concurrency_limit * part &&
               (concurrency_limit * part >= 1 || random.unit() < concurrency_limit * part);
    }

    void place_held() {
        if (held_requests.empty() || outstanding >= concurrency_limit) return;
        std::vector<RequestId> waiting;
        waiting.swap(held_requests);
        std::erase_if(waiting, [&](RequestId id) {
            const auto it = requests.find(id);
            return it == requests.end() || it->second.ended || it->second.any_outstanding();
        });
        // Last in, first out: under overload the oldest has the least time left to be useful.
        for (auto id = waiting.rbegin(); id != waiting.rend(); ++id) place(requests.at(*id));
    }

    // ---- Requests ---------------------------------------------------------------------------------------

    void on(const RequestArrived& e) {
        const auto [it, fresh] = requests.try_emplace(e.id);
        if (!fresh) return;
        ++tally.arrived;
        Request& r = it->second;
        r.id = e.id;
        r.repeat = e.repeat;
        if (e.class_index < settings.classes.size()) {
            r.spec = settings.classes[e.class_index];
        } else {  // unknown class: the most restrictive handling
            r.spec.effect = Effect::once;
            r.spec.latency_target = std::max(1.0, e.time_left);
        }
        r.spec.latency_target += r.spec.latency_target_stretch * std::max(0.0, e.effort);
        r.deadline = now + std::max(0.0, e.time_left);
        r.attempt_deadline = r.deadline;
        // A late answer that is worth nothing, to a client that does not repeat the request either, only
        // delays other requests, so the attempt ends at the target. Where clients repeat what failed, that
        // would double the work instead.
        const bool client_repeats = r.spec.effect != Effect::by_key || r.spec.dedup_scope == DedupScope::all;
        if (settings.may_cancel && r.spec.late_worth <= 0 && !client_repeats)
            r.attempt_deadline = std::min(r.deadline, now + r.spec.latency_target - kEarlyEndMs);
        // Counted in any case, as other sidecars need the rate; if requests beyond the quota are worth as
        // much as others, none is handled differently.
        r.within_quota = shares.admit(now, e.tenant) || settings.over_quota_worth >= 1;
        if (last_arrival >= 0) smooth(arrival_interval, now - last_arrival);
        last_arrival = now;
        retry_budget = std::min(retry_budget + settings.retry_share, settings.retry_burst);
        r.hold_until = std::min(r.deadline, now + r.spec.latency_target * settings.max_hold_share);
        set_timer(r.deadline, r.id);
        place(r);
        report_to_fleet();
    }

    // Sends the request, starts probes for it, holds it or ends it.
    void place(Request& r) {
        reject_reason = &Tally::failed_by_limit;
        if (within_limit(r)) {
            reject_reason = &Tally::failed_by_no_server;
            if (Server* s = pick_server(r)) return dispatch(r, *s);
            if (r.probes_pending > 0) return;  // placed when the probes end
        }
        // No server may have it now. If one may later, hold it: the timer at hold_until answers it.
        if (r.any_outstanding()) return;
        if (now >= r.hold_until || r.attempts.size() >= settings.max_attempts ||
            (r.first_possible_run() && r.spec.effect == Effect::once)) {
            r.reject_reason = r.attempts.empty() ? reject_reason : &Tally::failed_by_exhaustion;
            return finish(r);
        }
        held_requests.push_back(r.id);
        r.reject_reason = reject_reason;
        if (r.hold_timer_set) return;
        r.hold_timer_set = true;
        set_timer(r.hold_until, r.id);
    }

    void dispatch(Request& r, Server& s) {
        const bool trial = s.pool_state == PoolState::removed;
        if (trial) s.pool_state = PoolState::trial;
        if (guided() && s.guidance.trial != 0) s.last_trial = s.guidance.trial;
        if (!r.attempts.empty()) retry_budget -= 1;
        ++tally.sent;
        if (!r.attempts.empty()) ++tally.retries;
        ++s.outstanding;
        s.idle_connections = has_idle(s) ? s.idle_connections - 1 : 0;
        s.in_flight.emplace_back(now, r.spec.latency_target);
        ++outstanding;
        r.probes_pending = 0, r.probe_rounds = 0;
        r.attempts.push_back({s.info.id, s.info.zone, s.info.cell, now, true, true, trial, load(s)});
        emit(Send{r.id, s.info.id, r.attempt_deadline});
    }

    void on(const FirstByte& e) {
        const auto it = requests.find(e.id);
        if (it != requests.end() && e.attempt < it->second.attempts.size()) it->second.streaming = true;
    }

    // Updates what is known of the server and the pool by an attempt that ended.
    void record_outcome(Server& s, const Request& r, const Attempt& a, const AttemptEnded& e) {
        --s.outstanding;
        const auto entry =
            std::find(s.in_flight.begin(), s.in_flight.end(), std::pair(a.sent_at, r.spec.latency_target));
        if (entry != s.in_flight.end()) s.in_flight.erase(entry);
        // A time-out after less time than the answer was expected to take says nothing about the server.
        AttemptEnded counted = e;
        if (e.outcome == Outcome::timed_out &&
            e.duration <
                r.spec.latency_target * std::min(1.0, ratio_per_attempt * (1 + a.concurrency) / capacity(s)))
            counted.outcome = Outcome::cancelled;
        update_latency(s, r, a, counted);
        update_window(s, a, counted.outcome, e.duration > r.spec.latency_target && !is_cold(s));
        if (counted.outcome == Outcome::cancelled || counted.outcome == Outcome::not_sent) return;
        smooth(completed_share, e.outcome == Outcome::completed ? 1.0 : 0.0);
        const bool on_time = e.outcome == Outcome::completed && e.duration <= r.spec.latency_target;
        smooth(on_time_share, on_time ? 1.0 : 0.0);
        if (!on_time && low_traffic()) suspect(s), gossip_failure(s.info.id);
    }

    void on(const AttemptEnded& e) {
        const auto it = requests.find(e.id);
        if (it == requests.end() || e.attempt >= it->second.attempts.size()) return;
        Request& r = it->second;
        Attempt& a = r.attempts[e.attempt];
        if (!a.outstanding) return;
        a.outstanding = false;
        --outstanding;
        ++tally.outcomes[static_cast<std::size_t>(e.outcome)];
        a.may_have_run = !proves_never_ran(e.outcome);
        if (const auto at = servers.find(a.server); at != servers.end()) {
            record_outcome(at->second, r, a, e);
            if (e.outcome == Outcome::completed) {
                at->second.idle_connections = (has_idle(at->second) ? at->second.idle_connections : 0) + 1;
                at->second.idle_at = now;
            }
            // Idle connections of many sidecars fill a server's connection table: it slows down and then
            // rejects new ones. A low-traffic sidecar uses a server again so late that a new connection
            // costs less.
            if (at->second.outstanding == 0 && low_traffic()) close_surplus(at->second);
            erase_if_gone(at);
        }
        if (e.request_ended) r.ended = true;
        if (r.ended) ended_requests.push_back(r.id);
        // Without a retry budget each request is sent to an overloaded pool as often as max_attempts allows.
        if (now >= r.attempt_deadline || (!r.any_outstanding() && retry_budget < 1))
            finish(r);
        else if (!r.ended && !r.any_outstanding())
            place(r);
        place_held();
        report_to_fleet();
    }

    bool has_idle(const Server& s) const {
        return s.idle_connections > 0 && now < s.idle_at + kIdleConnectionMs;
    }
    // Where a new connection costs more than crossing zones, a low-traffic sidecar keeps a few connections
    // and prefers their servers.
    bool keeps_idle() const { return settings.fees.handshake > settings.fees.cross_zone * 2; }
    void close_surplus(Server& s) {
        Server* oldest = &s;
        if (keeps_idle()) {
            std::size_t kept = 0;
            for (auto& [id, other] : servers)
                if (has_idle(other)) {
                    ++kept;
                    if (other.idle_at < oldest->idle_at && other.outstanding == 0) oldest = &other;
                }
            if (kept <= kMaxIdleServers) return;
        }
        oldest->idle_connections = 0;
        emit(CloseIdle{oldest->info.id});
    }

    void on(const ClientGone& e) {
        const auto it = requests.find(e.id);
        if (it == requests.end()) return;
        cancel_all(it->second);
        it->second.ended = true;
        ended_requests.push_back(e.id);
    }

    // The only final answer: a refusal where may_refuse() permits it, else a failure.
    void finish(Request& r) {
        if (r.ended || r.streaming) return;
        cancel_all(r);
        ++(tally.*r.reject_reason);
        if (may_refuse(r))
            emit(Refuse{r.id, retry_delay(r)});
        else
            emit(Fail{r.id});
        r.ended = true;
        ended_requests.push_back(r.id);
    }

    // When the client may try again: after the mean time of an answer, when capacity is free; if no server
    // is live, when the first backoff ends.
    Millis retry_delay(const Request& r) const {
        Millis first = kBackoffMs;
        for (const auto& [id, s] : servers) {
            if (!s.listed || s.info.phase != Phase::on) continue;
            if (s.pool_state == PoolState::live) return std::max(1.0, pool_ratio * r.spec.latency_target);
            first = std::min(first, s.backoff_until - now);
        }
        return std::max(1.0, first);
    }

    void cancel_all(const Request& r) {
        for (std::uint32_t i = 0; settings.may_cancel && i < r.attempts.size(); ++i)
            if (r.attempts[i].outstanding) emit(Cancel{r.id, i});
    }

    // Called after each event: erases the requests that have their answer and nothing outstanding.
    void erase_ended() {
        for (const RequestId id : ended_requests) {
            const auto it = requests.find(id);
            if (it != requests.end() && it->second.ended && !it->second.any_outstanding()) requests.erase(it);
        }
        ended_requests.clear();
    }

    // ---- Timers -----------------------------------------------------------------------------------------

    // request: whose timer it is; nullopt for the list's.
    void set_timer(Millis at, std::optional<RequestId> request) {
        timers[next_token] = request;
        emit(SetTimer{at, next_token++});
    }

    void on(const TimerFired& e) {
        const auto timer = timers.find(e.token);
        if (timer == timers.end()) return;
        const std::optional<RequestId> id = timer->second;
        timers.erase(timer);
        if (!id) return emit(Subscribe{true});
        const auto it = requests.find(*id);
        if (it == requests.end() || it->second.ended) return;
        if (now >= it->second.deadline)
            finish(it->second);
        else if (!it->second.any_outstanding())
            place(it->second);
    }
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

Balancer::Tally Balancer::tally() const {
    Tally t = impl_->tally;
    t.concurrency_limit = impl_->concurrency_limit, t.latency_ratio = impl_->pool_ratio,
    t.on_time_share = impl_->on_time_share;
    t.completed_share = impl_->completed_share, t.arrival_interval = impl_->arrival_interval;
    for (const auto& [id, s] : impl_->servers) {
        if (!s.listed || s.info.phase != Phase::on) continue;
        ++t.listed, t.cold += impl_->is_cold(s);
        ++(s.pool_state == PoolState::live ? t.live : t.removed);
    }
    return t;
}

void Balancer::handle(Millis now, const Event& event, std::vector<Action>& actions) {
    impl_->now = std::max(impl_->now, now);
    impl_->actions = &actions;
    impl_->fleet.expire(impl_->now);
    std::visit([this](const auto& e) { impl_->on(e); }, event);
    impl_->erase_ended();
}

Balancer::Held Balancer::held() const {
    return {impl_->requests.size(), impl_->servers.size(), impl_->timers.size()};
}

std::vector<ServerId> Balancer::removed() const {
    std::vector<ServerId> out;
    for (const auto& [id, s] : impl_->servers)
        if (s.listed && s.pool_state != PoolState::live) out.push_back(id);
    return out;
}

}  // namespace kelplb
