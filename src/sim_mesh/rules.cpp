#include "sim_mesh/rules.hpp"

#include <algorithm>
#include <deque>

namespace cobaltshift::simmesh {

namespace {
constexpr std::size_t kMostFindings = 40;

struct Twice : Checker {
    using Checker::Checker;
    void ran(const Run& run) override {
        if (run.request->registered && ++runs_[run.id] == 2) rules_.accuse("TWICE", run.id + " ran twice");
    }
    std::map<std::string, int> runs_;
};

struct Unasked : Checker {
    using Checker::Checker;
    void sent(const Request& r) override { sent_[r.id] = {r.path, r.caller}; }
    void ran(const Run& run) override {
        const auto at = sent_.find(run.id);
        if (at == sent_.end() || at->second.first != run.path)
            rules_.accuse("UNASKED", run.id + " was not asked for so");
        else if (at->second.second != run.caller)
            rules_.accuse("UNASKED", run.id + " came as from '" + run.caller + "', not " + at->second.second);
    }
    std::map<std::string, std::pair<std::string, std::string>> sent_;
};

struct Mixed : Checker {
    using Checker::Checker;
    void answered(const Request& r, const Answer& a) override {
        if (a.status / 100 == 2 && a.id != r.id) rules_.accuse("MIXED", r.id + " got the answer of " + a.id);
    }
};

struct Refused : Checker {
    using Checker::Checker;
    void answered(const Request& r, const Answer& a) override {
        if (!r.registered || !a.promises()) return;
        refused_.insert(r.id);
        if (ran_.count(r.id)) rules_.accuse("REFUSED", r.id + " was refused and had run");
    }
    void ran(const Run& run) override {
        ran_.insert(run.id);
        if (refused_.count(run.id)) rules_.accuse("REFUSED", run.id + " runs after its refusal");
    }
    std::set<std::string> refused_, ran_;
};

struct RouteRule : Checker {
    using Checker::Checker;
    void ordered(const Order& order) override {
        if (order.valid) pending_.push_back(order.body);
    }
    void ran(const Run& run) override {
        for (const std::string& body : pending_) learn(body);
        pending_.clear();
        const std::string prefix = run.path.substr(0, run.path.find('/', 1) + 1);
        if (!allowed_.count({prefix, run.service}))
            rules_.accuse("ROUTE", run.path + " ran at " + run.service + ", as no configuration says");
    }
    // Of our own bodies alone: "path_prefix":"/x/", and "service":"s" or the split after it.
    void learn(const std::string& body) {
        const std::string prefix_key = "\"path_prefix\":\"", service_key = "\"service\":\"";
        for (std::size_t at = body.find(prefix_key); at != std::string::npos;) {
            const std::size_t begin = at + prefix_key.size(), next = body.find(prefix_key, begin);
            const std::string prefix = body.substr(begin, body.find('"', begin) - begin);
            for (std::size_t s = body.find(service_key, begin); s < next && s != std::string::npos;
                 s = body.find(service_key, s + 1)) {
                const std::size_t from = s + service_key.size();
                allowed_.insert({prefix, body.substr(from, body.find('"', from) - from)});
            }
            at = next;
        }
    }
    std::vector<std::string> pending_;
    std::set<std::pair<std::string, std::string>> allowed_;
};

struct Drain : Checker {
    using Checker::Checker;
    void closing(Ip ip, const std::string& life) override {
        if (rules_.touch.in_touch(rules_.time.now(), ip)) since_.emplace(life, rules_.time.now());
    }
    void arrived(const Run& run) override {
        const auto at = since_.find(run.life);
        const Millis now = rules_.time.now();
        if (at == since_.end()) return;
        // Sent on by machines in touch: its taker and, as it is the last to hold it, the one at the server.
        if (!rules_.touch.in_touch(now, run.by) || !rules_.touch.in_touch(now, run.server)) return;
        rules_.used("`closing` to the last arrival", (now - at->second) / rules_.bounds.drain);
        if (now > at->second + rules_.bounds.drain)
            rules_.accuse("DRAIN", run.id + " reached " + run.life + " after its drain");
    }
    std::map<std::string, Millis> since_;
};

// Its operator's mark: the prefix of the route of that name.
struct Config : Checker {
    using Checker::Checker;
    void acknowledged(const Order& order) override {
        if (!order.valid) rules_.accuse("CONFIG", order.mark + " is invalid and was acknowledged");
        const auto [at, fresh] = on_base_.emplace(order.base, order.mark);
        if (!fresh && at->second != order.mark)
            rules_.accuse("CONFIG", order.mark + " and " + at->second + " were acknowledged on one base");
        acks_.push_back({rules_.time.now(), order.edition});
        marks_[order.edition] = order.mark;
    }
    void ordered(const Order& order) override {
        if (!order.valid) never_.insert(order.mark);
    }
    void refused(const Order& order) override { never_.insert(order.mark); }
    void handled(Ip ip, std::uint64_t epoch, const Request& r, const config::Configuration* held) override {
        const config::Edition edition = held ? held->edition : 0;
        // Stricter than the page (revert_s): a proxy never goes back within one life, not for a moment.
        config::Edition& newest = newest_[{ip, epoch}];
        if (edition < newest)
            rules_.accuse("CONFIG", "a proxy went back from r" + std::to_string(newest) + " to r" +
                                        std::to_string(edition));
        newest = std::max(newest, edition);
        if (held) {
            const std::string mark = mark_of(*held);
            if (never_.count(mark)) rules_.accuse("CONFIG", mark + " was refused and is in force");
        }
        if (!rules_.touch.in_touch(rules_.time.now(), ip)) return;
        for (const auto& [at, acked] : acks_) {
            if (r.sent <= at || acked <= edition) continue;
            rules_.used("acknowledged to in force everywhere", (r.sent - at) / rules_.bounds.apply);
            if (r.sent > at + rules_.bounds.apply) {
                rules_.accuse("CONFIG", "r" + std::to_string(edition) + " is in force where r" +
                                            std::to_string(acked) + " was acknowledged");
                break;
            }
        }
    }
    void started_with(config::Edition edition, Millis started) override {
        for (const auto& [at, acked] : acks_)
            if (at < started && acked > edition)
                return rules_.accuse("CONFIG", "a proxy began with r" + std::to_string(edition) + " after r" +
                                                   std::to_string(acked) + " was acknowledged");
    }
    void read_back(const std::string& mark, config::Edition edition) override {
        config::Edition newest = 0;
        for (const auto& [at, acked] : acks_) newest = std::max(newest, acked);
        const auto known = marks_.find(edition);
        if (edition < newest || (known != marks_.end() && known->second != mark))
            rules_.accuse(
                rules_.closing_fault ? "LOST" : "CONFIG",
                "r" + std::to_string(newest) + " was acknowledged, read back is r" + std::to_string(edition));
        if (never_.count(mark)) rules_.accuse("CONFIG", mark + " was refused and is read back");
    }
    std::map<config::Edition, std::string> on_base_, marks_;
    std::vector<std::pair<Millis, config::Edition>> acks_;
    std::set<std::string> never_;
    std::map<std::pair<Ip, std::uint64_t>, config::Edition> newest_;
};

struct Budget : Checker {
    using Checker::Checker;
    static std::string service_of(const std::string& path) { return path.substr(2, path.find('/', 1) - 2); }
    void sent(const Request& r) override { requests_[service_of(r.path)].push_back(r.sent); }
    void arrived(const Run& run) override {
        if (!seen_.insert(run.id).second) further_[service_of(run.path)].push_back(rules_.time.now());
    }
    // Every window that begins with a further try: the worst ones are among them.
    void end() override {
        const Millis window = rules_.bounds.retry_window;
        for (const auto& [service, times] : further_) {
            const auto& sent = requests_[service];
            const auto count = [&](const std::vector<Millis>& in, Millis from) {
                return static_cast<double>(std::lower_bound(in.begin(), in.end(), from + window) -
                                           std::lower_bound(in.begin(), in.end(), from));
            };
            for (const Millis from : times) {
                const double base =
                    std::max({count(sent, from), count(sent, from - window), count(sent, from - window / 2)});
                const double most = rules_.bounds.retry_ratio * base + rules_.bounds.retry_slack;
                rules_.used("further tries in a window", count(times, from) / most);
                if (count(times, from) > most)
                    return rules_.accuse("BUDGET", service + " got " + std::to_string(count(times, from)) +
                                                       " further tries in a window, " + std::to_string(most) +
                                                       " are allowed");
            }
        }
    }
    std::map<std::string, std::vector<Millis>> requests_, further_;
    std::set<std::string> seen_;
};

// After a client has left, nothing of its own reaches a server half a second later.
struct Gone : Checker {
    using Checker::Checker;
    static constexpr Millis kWithin = 500;
    void gave_up(const Request& r, bool, bool) override { left_[r.id] = rules_.time.now(); }
    void arrived(const Run& run) override {
        const auto at = left_.find(run.id);
        const Millis now = rules_.time.now();
        if (at == left_.end()) return;
        if (!rules_.touch.in_touch(now, run.by) || !rules_.touch.in_touch(now, run.server)) return;
        rules_.used("client gone to the last arrival", (now - at->second) / kWithin);
        if (now > at->second + kWithin)
            rules_.accuse("GONE", run.id + " reached " + run.life + " after its client had left");
    }
    std::map<std::string, Millis> left_;
};

// A request that was read gets its answer before its client's deadline, however its servers fare.
struct Held : Checker {
    using Checker::Checker;
    void gave_up(const Request& r, bool read, bool at_deadline) override {
        if (read && at_deadline && rules_.touch.in_touch(rules_.time.now(), r.origin))
            rules_.accuse("HELD", r.id + " had no answer at its deadline");
    }
};

struct Recover : Checker {
    using Checker::Checker;
    void sent(const Request& r) override { all_.emplace(r.id, r.sent); }
    void answered(const Request& r, const Answer& a) override {
        if (a.status / 100 == 2) served_.insert(r.id);
    }
    void end() override {
        // After all trouble of the scenario; simpler than the page, which asks it of the closing fault alone.
        const Millis from = std::max(rules_.touch.last(), rules_.servers_ill_until) + rules_.bounds.recover;
        double sent = 0, good = 0;
        for (const auto& [id, at] : all_)
            if (at >= from) ++sent, good += served_.count(id);
        if (sent >= 20 && good < sent / 4)
            rules_.accuse("RECOVER",
                          std::to_string(good) + " of " + std::to_string(sent) + " were served at the end");
    }
    std::map<std::string, Millis> all_;
    std::set<std::string> served_;
};

}  // namespace

std::string mark_of(const config::Configuration& configuration) {
    const auto route = configuration.routes.find("mark");
    return route == configuration.routes.end() ? "" : route->second.path_prefix;
}

void Touch::trouble(Millis now, Ip ip, bool core, bool on) {
    last_ = now;
    for (const Ip key : {ip, core ? 0 : ip}) {
        State& state = states_[key];
        state.on += on ? 1 : -1;
        state.until = now;
    }
}

bool Touch::calm(Ip ip, Millis now) const {
    const auto at = states_.find(ip);
    return at == states_.end() || (at->second.on <= 0 && now >= at->second.until + bounds_.contact);
}

Rules::Rules(const Timeline& t, const Bounds& b) : time(t), bounds(b), touch(b) {
    const auto add = [this]<class C>(std::type_identity<C>) {
        checkers_.push_back(std::make_unique<C>(*this));
    };
    add(std::type_identity<Twice>());
    add(std::type_identity<Unasked>());
    add(std::type_identity<Mixed>());
    add(std::type_identity<Refused>());
    add(std::type_identity<RouteRule>());
    add(std::type_identity<Drain>());
    add(std::type_identity<Config>());
    add(std::type_identity<Budget>());
    add(std::type_identity<Gone>());
    add(std::type_identity<Held>());
    add(std::type_identity<Recover>());
}

void Rules::accuse(const std::string& rule, const std::string& what) {
    if (findings_.size() < kMostFindings) findings_.push_back({rule, what, time.now()});
}

}  // namespace cobaltshift::simmesh
