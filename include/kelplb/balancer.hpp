// kelplb: the decisions of a load-balancing sidecar, without I/O and without a clock of its own.
//
// One Balancer serves one sidecar. Pass it every event, in order and with the time at which it happened, and
// carry out the actions that it appends, in their order and at that same time. Times are milliseconds of any
// clock that never goes back. Servers, zones, requests and peers are identified by integers that the caller
// chooses; their values carry no meaning. The same settings, seed and events give the same actions.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kelplb {

using Millis = double;
using ServerId = std::uint32_t;
using ZoneId = std::uint32_t;
using RequestId = std::uint64_t;
using TimerToken = std::uint64_t;

// ---- Settings -------------------------------------------------------------------------------------------

// Whether a request may run more than once: any number of times, only among servers that share their memory
// of idempotency keys and so drop repeats, or never.
enum class Effect { repeatable, by_key, once };

// Which servers share that memory (for Effect::by_key): all, or those of one zone or cell.
enum class DedupScope { all, zone, cell };

struct RequestClass {
    Effect effect = Effect::once;
    DedupScope dedup_scope = DedupScope::cell;
    Millis dedup_window = 0;       // repeats are dropped this long after the first attempt that may have run
    Millis latency_target = 1000;  // latency target; a later answer has only late_worth of its worth
    double latency_target_stretch = 0;  // multiple of the request's effort that is added to the target
    double late_worth = 0;  // worth of an answer after the latency target, relative to one within it
    double worth = 1;       // of a request, relative to other classes
};

// Prices as shares of the result of one request, as operators state them; 0: not taken into account.
struct Fees {
    double cross_zone = 0;  // of an attempt that leaves the zone
    double peer = 0;        // of a message of 256 bytes to one peer
    double probe = 0;       // of a probe
    double handshake = 0;   // of a new connection
};

// The owner of requests, with a quota that holds for all sidecars together.
struct Tenant {
    double quota_per_s = 0;  // requests per second; 0: no quota. See Settings for the worth of further ones.
};

struct Settings {
    std::vector<RequestClass> classes;  // at least one
    std::optional<ZoneId> my_zone;
    std::uint32_t sidecar_count = 1;  // number of sidecars that use these servers, this one included
    std::uint32_t sidecar_index = 0;  // index of this sidecar among them, from 0
    bool subscribe_to_list = false;   // the server list must be subscribed to
    std::uint32_t max_attempts = 3;   // for one request, the first included
    // Admission: requests are refused by the concurrency limit and expected latencies. Off where a component
    // next to each server does this.
    bool admission = true;
    // How long a request is held while no server may have it, as a share of its latency target.
    double max_hold_share = 1.0 / 16;
    // Retry budget: the long-term ratio of retries to requests, and the largest burst of retries.
    double retry_share = 0.2, retry_burst = 10;
    bool parallel_attempts = false;  // two attempts of one request may be outstanding at the same time
    bool may_cancel = true;          // Cancel is permitted
    bool may_probe = false;          // Probe is permitted
    bool may_message_peers = false;  // messages to peers are permitted; server ids must agree then
    double cold_capacity = 1;        // the least share of its capacity that a server has at its start, 0 to 1
    Millis warmup_time = 0;          // time from its start until it has its full capacity
    double overload_multiple = 2;    // a cold server collapses under more than this multiple of its capacity
    Fees fees;
    std::vector<Tenant> tenants;  // may be empty
    double over_quota_worth = 1;  // worth of a request beyond its tenant's quota, 0 to 1 of the usual
};

// ---- Events ---------------------------------------------------------------------------------------------

// Whether a server takes requests: yes; draining, so that outstanding attempts go on and none is added; no.
enum class Phase { on, draining, off };

struct ServerInfo {
    ServerId id = 0;
    ZoneId zone = 0;
    std::uint32_t cell = 0;
    Phase phase = Phase::on;
    Millis online_since = 0;  // time of its last start; 0: long ago. Identifies the server's process.
    double units = 1;         // its size relative to other servers, as registered
};

// incremental: changed entries only. full: the whole list. saved: the whole list as last known before this
// process started, possibly stale. failed: a call failed or the subscription broke; the last list stays in
// force.
enum class ListKind { incremental, full, saved, failed };

// How an attempt or a probe ended.
enum class Outcome {
    completed,
    errored,             // the server reported an error; it may have run
    saturated,           // rejected by an overloaded server before it ran
    timed_out,           // no answer in time; it may have run or be running
    refused_connection,  // no connection; it never ran
    connection_lost,     // the connection was lost meanwhile; it may have run
    cancelled,           // cancelled by the sidecar; it may have run
    not_sent             // not sent at all; it never ran
};

struct Started {};  // the first event of a process; a list of kind saved follows
struct ServerList {
    ListKind kind = ListKind::full;
    std::vector<ServerInfo> servers{};
};
struct RequestArrived {
    RequestId id = 0;               // never used twice
    std::uint32_t class_index = 0;  // into Settings::classes; out of range: treated as Effect::once
    Millis time_left = 0;           // until the client gives up waiting
    Millis effort = 0;              // expected work, 0 if not known
    bool repeat = false;            // known to be the client's retry
    std::uint32_t tenant = ~0u;     // into Settings::tenants; out of range: no tenant and no quota
};
struct FirstByte {  // a streamed answer has begun; the attempt belongs to the client from here on
    RequestId id = 0;
    std::uint32_t attempt = 0;
};
struct AttemptEnded {
    RequestId id = 0;
    std::uint32_t attempt = 0;  // index among the request's attempts, from 0 in the order of their Send
    Outcome outcome = Outcome::completed;
    Millis duration = 0;
    bool request_ended = false;  // the client has its final answer, by this outcome or before
};
struct ClientGone {
    RequestId id = 0;
};
struct TimerFired {
    TimerToken token = 0;
};
struct ProbeEnded {
    ServerId server = 0;
    Outcome outcome = Outcome::completed;
    Millis duration = 0;
};
struct PeerMessage {
    std::uint32_t from = 0;
    std::vector<std::uint8_t> bytes{};
};
// Advice of planners, which see the whole fleet, on one process of a server (its id and start time). It
// narrows or orders the module's own choices and never permits what the rules or the module's own windows
// forbid. The exception is cold_rate: it raises the share of requests that a cold server gets, up to a bound
// of the module's own.
struct ServerGuidance {
    ServerId server = 0;
    Millis born = 0;          // ServerInfo::online_since of the process meant
    bool removed = false;     // fails at the whole fleet: not used while enough other servers are there
    std::uint64_t trial = 0;  // not 0: this sidecar is to send it one trial request for each new number
    bool preferred = true;    // false: used only where no preferred server may be
    double share = 1;         // factor on its sampling weight, 0 to 1
    double elsewhere = 0;     // other sidecars' outstanding attempts; breaks ties between our own counts
    double cold_rate = 0;     // further attempts per second while it is cold
};
struct Guidance {      // replaces all earlier guidance
    Millis until = 0;  // expires then: from there on as if there were none
    std::vector<ServerGuidance> servers{};
};
using Event = std::variant<Started, ServerList, RequestArrived, FirstByte, AttemptEnded, ClientGone,
                           TimerFired, ProbeEnded, PeerMessage, Guidance>;

// ---- Actions --------------------------------------------------------------------------------------------
// A caller must be able to carry out all of them. The module never emits FetchList.

struct Send {
    RequestId id = 0;
    ServerId server = 0;
    Millis attempt_deadline = 0;  // the caller times the attempt out at this time
};
struct Cancel {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};
struct Refuse {  // final answer: the request had no effect, or repeating it is harmless
    RequestId id = 0;
    Millis retry_in = 0;  // when the client should retry; 0: no advice
};
struct Fail {  // final answer: failed, and the request may have had an effect
    RequestId id = 0;
};
struct SetTimer {
    Millis at = 0;
    TimerToken token = 0;
};
struct Probe {
    ServerId server = 0;
};
struct CloseIdle {  // close the idle connections to the server
    ServerId server = 0;
};
struct SendToPeer {
    std::optional<std::uint32_t> to{};  // nullopt: all peers
    std::vector<std::uint8_t> bytes{};
};
struct Subscribe {
    bool active = true;
};
struct FetchList {};
struct Log {
    std::string text{};
    std::optional<ServerId> server{};  // the server that the text is about
};
using Action = std::variant<Send, Cancel, Refuse, Fail, SetTimer, Probe, CloseIdle, SendToPeer, Subscribe,
                            FetchList, Log>;

// ---- The balancer ---------------------------------------------------------------------------------------

// Not thread-safe.
class Balancer {
public:
    // Throws std::invalid_argument naming the first invalid setting.
    Balancer(Settings settings, std::uint64_t seed);
    ~Balancer();
    Balancer(Balancer&&) noexcept;
    Balancer& operator=(Balancer&&) noexcept;

    // Appends to actions. Events about unknown or finished requests, attempts, servers and timers have no
    // effect. An earlier time than that of the last event is taken to be the same as that.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

    // Numbers of the objects in memory.
    struct Held {
        std::size_t requests = 0, servers = 0, timers = 0;
    };
    Held held() const;

    // Counters since the start and present estimates, for monitoring.
    struct Tally {
        // Requests, attempts, retries among these, probes, and reports to all peers.
        std::uint64_t arrived = 0, sent = 0, retries = 0, probes = 0, told = 0;
        // Requests refused or failed by the balancer, by the last cause: the concurrency limit; no server
        // expected to answer in time; only cold servers, which were not drawn; no live server; attempts,
        // retry budget or time used up.
        std::uint64_t failed_by_limit = 0, failed_by_latency = 0, failed_by_cold = 0, failed_by_no_server = 0,
                      failed_by_exhaustion = 0;
        std::uint64_t outcomes[8] = {};  // of attempts, in the order of Outcome
        // Concurrency limit; mean latency relative to the target; shares of attempts answered within their
        // target, and completed.
        double concurrency_limit = 0, latency_ratio = 0, on_time_share = 0, completed_share = 0;
        Millis arrival_interval = 0;  // mean time between requests
        // Servers: listed, and of these cold, live, and removed or on trial.
        std::size_t listed = 0, cold = 0, live = 0, removed = 0;
    };
    Tally tally() const;

    // The listed servers that the module's own windows keep out of the pool, or that are on trial.
    std::vector<ServerId> removed() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace kelplb
