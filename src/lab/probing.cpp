#include "lab/probing.hpp"

#include <signal.h>

#include <algorithm>
#include <sstream>

#include "lab/fleet.hpp"
#include "lab/lease_fleet.hpp"
#include "lab/planner_children.hpp"
#include "lease/codec.hpp"
#include "names.hpp"
#include "probing/prober.hpp"

namespace cobaltshift::lab {

namespace {

constexpr Millis kInterval = 5000, kLength = 600, kProbe = 200;
constexpr std::size_t kSidecars = 12, kServers = 24;
constexpr std::uint32_t kShards = 6;
constexpr Millis kLookEvery = 50, kListEvery = 150, kListLife = 500, kStall = 100;
// From a probe's sending to the server's note of it, and one timer's lateness on each side.
constexpr Millis kSlack = 150;
// A keeper that leads dies with a holder: its election, and the new leader's wait for a whole length.
constexpr Millis kElection = 300, kNewLeader = 2 * kElection + 2 * kLength;
// Each further holder lost in the same gap: its successor's right and its blind wait.
constexpr Millis kFurtherLoss = 2 * kLength + kInterval * 5 / 8;
constexpr Millis kBack = 3000;  // within it a sidecar that was killed, ended or stopped serves again

struct Seen {
    std::size_t probes = 0, asked = 0, unanswered = 0, doubled = 0, wrong = 0, takeovers = 0, stalls = 0;
    double in_time = 0, intervals = 0;
    Millis longest = 0, shortest = 1e18;  // between two probes; between the first and last of three
    std::vector<std::string> found;
    // Gaps over two intervals in which a leader died, or the shard changed hands more than once.
    std::size_t beside_leader = 0, beside_losses = 0;
    std::size_t unexplained = 0;  // requests without an answer at a sidecar that was whole
    std::map<std::string, std::size_t> struck;
    std::vector<std::string> events;  // in order; shown where something was found
    Links::Counts links;
    int worst_exit = 0;
    bool finished = false;
};

udp::endpoint free_datagrams(asio::io_context& io) {
    udp::socket probe(io, {asio::ip::make_address("127.0.0.3"), 0});
    return probe.local_endpoint();
}

class Play {
public:
    Play(const Run& run, Millis length, bool with)
        : length_(length),
          with_(with),
          keepers_(io_, clock_, keepers_options(run.seed)),
          lots_(run.seed, "probing"),
          fleet_(io_, clock_, fleet_options(run.seed)),
          load_(io_, clock_, load_options(run.seed)),
          secret_(lease::Secret::from_file(keepers_.settings().secret_file)),
          stopped_(kSidecars),
          look_(io_) {
        for (std::size_t i = 0; i < kSidecars; ++i) at_.push_back(free_datagrams(io_));
        for (std::size_t i = 0; i < kSidecars && with; ++i) files_.push_back(settings(i));
        for (std::size_t k = 0; k < keepers_.options().keepers; ++k)
            lines_.push_back(std::make_unique<lease::ReplicaConnection>(
                io_, keepers_.settings().keepers[k], secret_, lease::Role::client, 1 << 20, 1 << 16,
                run.seed + k, [this](lease::FrameKind kind, std::string_view payload) {
                    if (kind == lease::FrameKind::answer) listed(payload);
                }));
    }

    Seen run() {
        fleet_.on_front([this](std::size_t number, tcp::endpoint at) { load_.front(number, at); });
        load_.when_over([this] { seen_.finished = true, io_.stop(); });
        load_.on_lost([this](const Load::Lost& lost) {
            if (lost.status == 0 &&
                (gone_[lost.front] < lost.began - kBack || gone_[lost.front] > clock_.now()))
                ++seen_.unexplained;
        });
        for (std::size_t k = 0; k < keepers_.options().keepers; ++k) keepers_.start_keeper(k);
        fleet_.start([this] {
            began_ = clock_.now();
            load_.run(length_);
            later(kInterval, [this] { trouble(); });
        });
        keepers_.start();
        look();
        asio::steady_timer guard(io_);
        guard.expires_after(std::chrono::milliseconds(static_cast<long>(length_ + 60000)));
        guard.async_wait([this](error_code ec) {
            if (!ec) io_.stop();
        });
        io_.run();
        over_ = true;
        judge();
        for (std::size_t i = 0; i < kSidecars; ++i)
            if (stopped_[i]) fleet_.forwarder(i).signal(SIGCONT);
        lines_.clear();
        seen_.worst_exit = std::max(fleet_.stop(), keepers_.stop());
        const Tally all = load_.all();
        seen_.asked = all.asked, seen_.unanswered = all.unanswered, seen_.wrong = all.wrong;
        seen_.in_time = load_.in_time();
        seen_.doubled = fleet_.ledger().doubled();
        seen_.links = keepers_.links().counts();
        return seen_;
    }

private:
    static LeaseFleet::Options keepers_options(std::uint64_t seed) {
        LeaseFleet::Options o;
        o.keepers = 3, o.machines = 0, o.tasks = 0;
        o.length = kLength, o.margin = 60, o.heartbeat = 30, o.election = kElection, o.seed = seed;
        return o;
    }
    Fleet::Options fleet_options(std::uint64_t seed) {
        Fleet::Options o;
        o.servers = kServers, o.forwarders = kSidecars, o.sockets = 256, o.seed = seed;
        o.may_probe = false;  // what servers note is this alone
        o.notice = 60000;     // a dead server stays listed: only probes and requests find it
        if (with_) o.settings_of = [this](std::size_t number) { return files_[number]; };
        return o;
    }
    static Load::Options load_options(std::uint64_t seed) {
        Load::Options o;
        o.rate = 240, o.seed = seed;
        return o;
    }
    static std::string name(std::size_t i) { return "n" + std::to_string(i); }

    std::string settings(std::size_t own) {
        std::ostringstream text;
        text << keepers_.keepers_table(name(own)) << "[probing]\nnumber = " << own << "\ninstances = [";
        for (std::size_t i = 0; i < kSidecars; ++i)
            text << (i ? ", " : "") << '"'
                 << (i == own ? at_[i] : keepers_.links().add(name(own) + "~" + name(i), at_[i])) << '"';
        text << "]\nshards = " << kShards << "\ninterval_ms = " << kInterval << "\nlength_ms = " << kLength
             << "\nprobe_ms = " << kProbe << '\n';
        return folder_.write(name(own) + ".toml", text.str());
    }

    void later(Millis after, std::function<void()> what) {
        timers_.remove_if([](const asio::steady_timer& timer) {
            return timer.expiry() < std::chrono::steady_clock::now() - std::chrono::seconds(5);
        });
        timers_.emplace_back(io_);
        timers_.back().expires_after(std::chrono::milliseconds(static_cast<long>(after)));
        timers_.back().async_wait([this, what = std::move(what)](error_code ec) {
            if (!ec && !over_) what();
        });
    }

    void event(const std::string& what) {
        seen_.events.push_back(shown(clock_.now() - began_) + " ms: " + what);
    }

    // Who holds what, by the keepers' own word.
    void listed(std::string_view payload) {
        std::string why;
        const auto answer = lease::decode_answer(payload, why);
        if (!answer || answer->kind != lease::Response::Kind::listed) return;
        std::istringstream lines(answer->text);
        for (std::string line; std::getline(lines, line);) {
            std::istringstream fields(line);
            std::string task, holder, fence;
            std::getline(fields, task, '\t'), std::getline(fields, holder, '\t');
            std::getline(fields, fence, '\t');
            for (std::uint32_t s = 0; s < kShards; ++s) {
                if (task != probing::task_of(s) || holder.size() < 2) continue;
                Holding& holding = holding_[s];
                const auto number = static_cast<std::uint64_t>(std::atoll(fence.c_str()));
                if (number > holding.fence && holding.fence > 0) ++seen_.takeovers;
                if (number > holding.fence) changes_[s].push_back(clock_.now());
                if (number > holding.fence) event(task + " is " + holder + "'s, fence " + fence);
                if (number < holding.fence) continue;
                holding = {number, static_cast<std::size_t>(std::atoi(holder.c_str() + 1)), clock_.now()};
            }
        }
    }

    void look() {
        const Millis now = clock_.now();
        if (look_due_ > 0 && now > look_due_ + kStall)
            stalls_.emplace_back(look_due_ - kLookEvery, now), ++seen_.stalls;
        if (with_ && now >= list_due_) {
            list_due_ = now + kListEvery;
            lease::Request q;
            q.kind = lease::Request::Kind::list;
            q.holder = 1, q.number = ++question_;
            q.name = "lab", q.task = "probe/";
            for (const auto& line : lines_) line->send(lease::FrameKind::question, lease::encode(q));
        }
        look_due_ = now + kLookEvery;
        look_.expires_after(std::chrono::milliseconds(static_cast<long>(kLookEvery)));
        look_.async_wait([this](error_code ec) {
            if (!ec && !over_) look();
        });
    }

    // ---- Troubles ----------------------------------------------------------------------------------------

    // A sidecar that holds a shard, none of whose shards has lost its holder within the last two intervals:
    // what is promised is for one loss at a time.
    std::optional<std::size_t> holder() {
        const Millis now = clock_.now();
        std::vector<std::size_t> fit;
        for (const auto& [shard, holding] : holding_) {
            if (now - holding.seen > kListLife || holding.sidecar >= kSidecars) continue;
            if (stopped_[holding.sidecar]) continue;
            bool spared = true;
            for (const auto& [other, its] : holding_)
                if (its.sidecar == holding.sidecar && now < hit_[other] + 2 * kInterval) spared = false;
            if (spared) fit.push_back(holding.sidecar);
        }
        if (fit.empty()) return {};
        const std::size_t one = fit[lots_.below(fit.size())];
        for (const auto& [shard, holding] : holding_)
            if (holding.sidecar == one) hit_[shard] = now;
        return one;
    }
    std::optional<std::size_t> any() {
        const std::size_t one = lots_.below(kSidecars);
        for (const auto& [shard, holding] : holding_)
            if (holding.sidecar == one) return {};
        if (stopped_[one]) return {};
        return one;
    }

    void trouble() {
        if (clock_.now() > began_ + length_ - kInterval) return;
        const Millis pause = lots_.between(400, 1000);
        static const char* const kinds[] = {
            "holder killed",  "holder ended as planned", "holder stopped", "holder cut off", "holder mute",
            "datagrams lost", "bystander killed",        "leader killed",  "server dead"};
        // Those that have struck least first, as in leases.
        std::vector<std::tuple<std::size_t, std::uint64_t, std::string>> order;
        for (const char* kind : kinds) order.emplace_back(seen_.struck[kind], lots_.below(1 << 20), kind);
        std::sort(order.begin(), order.end());
        for (const auto& [count, lot, kind] : order)
            if (strike(kind)) {
                ++seen_.struck[kind];
                break;
            }
        later(pause, [this] { trouble(); });
    }
    bool strike(const std::string& kind) {
        if (kind == "datagrams lost") {
            if (lossy_) return false;
            lossy_ = true;
            const auto all = [](const std::string& link) { return link.find('~') != std::string::npos; };
            keepers_.links().set(all, [&](LinkFaults& f) {
                f.lost = lots_.between(0.2, 0.6), f.doubled = lots_.between(0, 0.4),
                f.swapped = lots_.between(0, 0.4);
            });
            later(lots_.between(2000, 6000), [this, all] {
                lossy_ = false;
                keepers_.links().set(all, [](LinkFaults& f) { f.lost = f.doubled = f.swapped = 0; });
            });
            return true;
        }
        if (kind == "leader killed") {
            const auto leader = keepers_.leader();
            // One keeper at a time, and given the time to be a member again.
            if (!leader || clock_.now() < leader_lost_ + kInterval) return false;
            leader_lost_ = clock_.now();
            leaders_lost_.push_back(leader_lost_);
            event("leader killed: keeper " + std::to_string(*leader));
            keepers_.kill_keeper(*leader);
            later(lots_.between(100, 800), [this, k = *leader] { keepers_.start_keeper(k); });
            return true;
        }
        if (kind == "server dead") {
            const std::size_t server = lots_.below(kServers);
            if (clock_.now() < down_until_ + kInterval) return false;
            const Millis down = lots_.between(1, 1.5) * kInterval;
            down_until_ = clock_.now() + down;
            out_[server].emplace_back(clock_.now(), down_until_);
            fleet_.crash(server, down);
            return true;
        }
        if (kind == "bystander killed") {
            const auto one = any();
            if (one) strike_one(kind, *one);
            return one.has_value();
        }
        if (!with_) {  // nobody holds anything: the same is done to anybody
            const std::size_t one = lots_.below(kSidecars);
            if (stopped_[one] || clock_.now() < struck_at_ + kInterval / 2) return false;
            struck_at_ = clock_.now();
            strike_one(kind, one);
            return true;
        }
        const auto one = holder();
        if (one) strike_one(kind, *one);
        return one.has_value();
    }
    void strike_one(const std::string& kind, std::size_t one) {
        event(kind + ": " + name(one));
        gone_[one] = clock_.now();
        const auto its = [own = name(one)](char sign) {
            return [begins = own + sign](const std::string& link) { return link.starts_with(begins); };
        };
        if (kind == "holder killed" || kind == "bystander killed") {
            fleet_.restart_forwarder(one);
        } else if (kind == "holder ended as planned") {
            stopped_[one] = true;
            fleet_.replace_forwarder(one);
            later(6000, [this, one] { stopped_[one] = false; });
        } else if (kind == "holder stopped") {  // past its right; it goes on believing that it holds it
            stopped_[one] = true;
            fleet_.forwarder(one).signal(SIGSTOP);
            later(lots_.between(2, 4) * kLength, [this, one] {
                fleet_.forwarder(one).signal(SIGCONT);
                stopped_[one] = false;
            });
        } else if (kind == "holder cut off") {  // from keepers
            const auto cut = its('>');
            keepers_.links().set(cut, [](LinkFaults& f) { f.hold_there = f.hold_back = true; });
            later(lots_.between(2, 5) * kLength,
                  [this, cut] { keepers_.links().set(cut, [](LinkFaults& f) { f = {}; }); });
        } else {  // mute: it probes, and nobody hears of it; then it is killed
            const auto mute = its('~');
            keepers_.links().set(mute, [](LinkFaults& f) { f.hold_there = true; });
            later(lots_.between(0.5, 1.2) * kInterval, [this, one, mute] {
                keepers_.links().set(mute, [](LinkFaults& f) { f.hold_there = false; });
                gone_[one] = clock_.now();
                if (!stopped_[one]) fleet_.restart_forwarder(one);
            });
        }
    }

    // ---- What the servers saw ----------------------------------------------------------------------------

    bool within(const std::vector<std::pair<Millis, Millis>>& times, Millis from, Millis to) const {
        return std::any_of(times.begin(), times.end(),
                           [&](const auto& one) { return one.first < to && one.second > from; });
    }
    void judge() {
        if (!with_) return;
        const Millis end = std::min(clock_.now(), began_ + length_);
        seen_.intervals = (end - began_) / kInterval;
        for (std::size_t s = 0; s < kServers; ++s) {
            std::vector<Millis> at = fleet_.server(s).probed();
            std::erase_if(at, [&](Millis t) { return t > end; });
            seen_.probes += at.size();
            Millis before = began_;
            const std::uint32_t shard = probing::shard_of(
                server_number("archive-" + std::to_string(s), [](ServerId) { return false; }), kShards);
            const auto gap = [&](Millis from, Millis to) {
                // Dead, it could note nothing; back, it is another process and is met anew.
                if (within(out_[s], from, to)) return;
                const bool leader = std::any_of(leaders_lost_.begin(), leaders_lost_.end(),
                                                [&](Millis t) { return t > from && t < to; });
                const auto changed = std::count_if(changes_[shard].begin(), changes_[shard].end(),
                                                   [&](Millis t) { return t > from && t < to; });
                const Millis most = 2 * kInterval + kSlack + (leader ? kNewLeader : 0) +
                                    static_cast<double>(std::max(changed - 1, 0L)) * kFurtherLoss;
                if (to - from > 2 * kInterval + kSlack && leader) ++seen_.beside_leader;
                if (to - from > 2 * kInterval + kSlack && changed > 1) ++seen_.beside_losses;
                if (to - from > most && !within(stalls_, from, to)) {
                    std::string what = "archive-" + std::to_string(s) + " unprobed for " + shown(to - from) +
                                       " ms until " + shown(to - began_);
                    seen_.found.push_back(what);
                }
                seen_.longest = std::max(seen_.longest, to - from);
            };
            for (const Millis t : at) gap(before, t), before = t;
            gap(before, end);
            for (std::size_t i = 2; i < at.size(); ++i) {
                const Millis three = at[i] - at[i - 2];
                if (within(out_[s], at[i - 2], at[i])) continue;
                seen_.shortest = std::min(seen_.shortest, three);
                if (three < kInterval - kSlack && !within(stalls_, at[i - 2], at[i]))
                    seen_.found.push_back("archive-" + std::to_string(s) + " probed thrice in " +
                                          shown(three) + " ms until " + shown(at[i] - began_));
            }
        }
    }

    struct Holding {
        std::uint64_t fence = 0;
        std::size_t sidecar = kSidecars;
        Millis seen = -1e18;
    };
    const Millis length_;
    const bool with_;
    asio::io_context io_{1};
    const Clock clock_;
    Folder folder_;
    LeaseFleet keepers_;
    sim::Stream lots_;
    std::vector<udp::endpoint> at_;
    std::vector<std::string> files_;
    Fleet fleet_;
    Load load_;
    const lease::Secret secret_;
    std::vector<std::unique_ptr<lease::ReplicaConnection>> lines_;
    std::vector<bool> stopped_;
    asio::steady_timer look_;
    std::list<asio::steady_timer> timers_;
    Seen seen_;
    std::map<std::uint32_t, Holding> holding_;
    std::map<std::uint32_t, Millis> hit_;
    std::map<std::uint32_t, std::vector<Millis>> changes_;
    std::vector<Millis> gone_ = std::vector<Millis>(kSidecars, -1e18);  // killed, ended or stopped last
    std::map<std::size_t, std::vector<std::pair<Millis, Millis>>> out_;
    std::vector<std::pair<Millis, Millis>> stalls_;
    std::vector<Millis> leaders_lost_;
    Millis began_ = 0, look_due_ = 0, list_due_ = 0, leader_lost_ = -1e18, down_until_ = 0, struck_at_ = 0;
    std::uint64_t question_ = 0;
    bool lossy_ = false, over_ = false;
};

}  // namespace

Result probing(const Run& run) {
    const Millis length = run.quick ? 32000 : 300000;
    const Seen with = Play(run, length, true).run();
    Result result;
    result.columns({"way", "asked", "in time %", "probes", "a server and interval", "longest gap s",
                    "three within s, least", "takeovers"});
    const auto row = [&](const char* way, const Seen& s) {
        result.row({way, std::to_string(s.asked), shown(100 * s.in_time, 2), std::to_string(s.probes),
                    shown(static_cast<double>(s.probes) / std::max(1.0, s.intervals * kServers), 2),
                    shown(s.longest / 1000, 2), s.shortest < 1e17 ? shown(s.shortest / 1000, 2) : "-",
                    std::to_string(s.takeovers)});
    };
    row("shared probing", with);
    if (!run.quick) {
        const Seen without = Play(run, 120000, false).run();
        row("without, 2 minutes", without);
        result.figure("in time without", without.in_time);
        result.at_least("in time, against without", with.in_time - without.in_time, -0.01);
    }
    for (const std::string& what : with.found) result.note("found: " + what);
    if (!with.found.empty())
        for (const std::string& what : with.events) result.note(what);
    for (const auto& [kind, count] : with.struck) result.note(kind + ": " + std::to_string(count));
    result.note("datagrams " + std::to_string(with.links.datagrams) + ", lost " +
                std::to_string(with.links.lost) + ", doubled " + std::to_string(with.links.doubled) +
                ", late " + std::to_string(with.links.swapped));
    result.figure("in time with", with.in_time);
    result.figure("stalls of this machine over 100 ms", static_cast<double>(with.stalls));
    result.figure("gaps over two intervals in which a leader died too",
                  static_cast<double>(with.beside_leader));
    result.figure("gaps over two intervals in which a shard changed hands again",
                  static_cast<double>(with.beside_losses));
    result.figure("requests at a sidecar that was killed, ended or stopped just then, without an answer",
                  static_cast<double>(with.unanswered - with.unexplained));
    result.at_least("all ended within the guard", with.finished, 1);
    result.at_most("servers unprobed for long, or probed thrice in an interval",
                   static_cast<double>(with.found.size()), 0);
    result.at_least("probes a server and interval",
                    static_cast<double>(with.probes) / std::max(1.0, with.intervals * kServers), 0.6);
    result.at_least("takeovers of a shard", static_cast<double>(with.takeovers), run.quick ? 8 : 80);
    result.at_least("datagrams lost", static_cast<double>(with.links.lost), run.quick ? 50 : 500);
    result.at_most("requests without a final answer at a sidecar that was whole",
                   static_cast<double>(with.unexplained), 0);
    result.at_most("doubled effects", static_cast<double>(with.doubled), 0);
    result.at_most("answers to another's request", static_cast<double>(with.wrong), 0);
    result.at_most("worst exit code", with.worst_exit, 0);
    for (const auto& [kind, count] : with.struck)
        result.at_least("struck: " + kind, static_cast<double>(count), run.quick ? 1 : 5);
    return result;
}

}  // namespace cobaltshift::lab
