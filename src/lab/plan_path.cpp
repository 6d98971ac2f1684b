// How long advice takes: from a server's first failure to the first request that is spared it, part by part,
// over real sockets. Planners and forwarders' plan clients run on the lab's own loop, so that one clock sees
// them all. Beside it the same with reports and plans by their periods alone.
#include <algorithm>
#include <cmath>

#include "lab/discovery_service.hpp"
#include "lab/planner_children.hpp"
#include "lab/planners.hpp"
#include "names.hpp"
#include "plan/follower.hpp"
#include "plan/meter.hpp"
#include "plan_io/client.hpp"
#include "plan_io/planner_node.hpp"

namespace cobaltshift::lab {

namespace {

constexpr std::size_t kServers = 16, kForwarders = 40;
constexpr Millis kGap = 100;  // between a forwarder's requests: 400 a second of all
constexpr double kFails = 0.7;
constexpr Millis kBefore = 2500, kAfter = 5000;  // the failing begins, and is watched for so long

struct Parts {
    std::vector<Millis> reported, removed, told, spared;
    std::vector<double> met;  // requests that failed, a time
};

// One server begins to fail; what is measured of it goes to `parts`.
class Path {
public:
    Path(std::uint64_t seed, bool prompt, Parts& parts)
        : prompt_(prompt), parts_(parts), random_(seed), discovery_(io_), look_(io_) {
        for (std::size_t i = 0; i < kServers; ++i) {
            const std::string name = "archive-" + std::to_string(i);
            discovery_.say(listed(name, "127.0.0.1:1", "hall-a"));
            servers_.push_back(
                {server_number(name, [](ServerId) { return false; }), 0, 0, kelplb::Phase::on, 0, 1});
        }
        bad_ = servers_[random_.below(kServers)].id;
        plan::ClientSettings client;
        for (std::size_t p = 0; p < kPlanners; ++p) {
            plan::ServerSettings s;
            s.listen = free_address(io_);
            s.discovery = discovery_endpoint();
            s.core.number = static_cast<std::uint32_t>(p);
            if (!prompt) s.core.publish_gap = 1e12;
            client.planners.push_back(s.listen);
            planners_.push_back(std::make_unique<plan::PlannerNode>(io_, s));
        }
        for (std::size_t i = 0; i < kForwarders; ++i) forwarders_.push_back(forwarder(i, seed, client));
    }
    ~Path() {
        for (auto& f : forwarders_) f->client.reset();
        for (auto& p : planners_) p->stop();
        io_.restart();
        io_.poll();
    }
    void run() {
        begins_ = clock_.now() + kBefore;
        for (auto& f : forwarders_) ask(*f);
        look();
        asio::steady_timer end(io_);
        end.expires_after(std::chrono::milliseconds(static_cast<long>(kBefore + kAfter)));
        end.async_wait([this](error_code) { io_.stop(); });
        io_.run();
        if (failed_at_ < 0) return;
        parts_.met.push_back(met_);
        if (removed_at_ < 0) return;
        parts_.removed.push_back(removed_at_ - failed_at_);
        for (const auto& f : forwarders_) {
            if (f->told_at < 0) continue;
            parts_.told.push_back(std::max(0.0, f->told_at - removed_at_));  // seen at looks 1 ms apart
            if (f->spared_at >= 0) parts_.spared.push_back(f->spared_at - f->told_at);
        }
    }
    std::size_t reports() const {
        std::size_t sum = 0;
        for (const auto& f : forwarders_) sum += f->client->counts().reports;
        return sum;
    }

private:
    struct Forwarder {
        explicit Forwarder(asio::io_context& io, const std::string& name)
            : meter(name, 1, 1, kPlanners), follower(kPlanners), timer(io) {}
        plan::Meter meter;
        plan::Follower follower;
        std::unique_ptr<plan::Client> client;
        asio::steady_timer timer;
        std::vector<std::pair<Millis, std::array<bool, kPlanners>>> failures;  // and who has heard of them
        std::array<Millis, kPlanners> report_at{};
        Millis told_at = -1, spared_at = -1;
    };
    tcp::endpoint discovery_endpoint() const {
        const std::string at = discovery_.at();
        const auto colon = at.rfind(':');
        return {asio::ip::make_address(at.substr(0, colon)),
                static_cast<unsigned short>(std::stoi(at.substr(colon + 1)))};
    }
    std::unique_ptr<Forwarder> forwarder(std::size_t number, std::uint64_t seed,
                                         const plan::ClientSettings& settings) {
        const std::string name = "f" + std::to_string(number);
        auto made = std::make_unique<Forwarder>(io_, name);
        Forwarder& f = *made;
        f.meter.listed(servers_, true);
        f.client = std::make_unique<plan::Client>(
            io_, clock_, name, seed * 1000 + number, settings, plan::Secret(),
            plan::Client::Handlers{[this, &f](std::size_t p) {
                                       f.report_at[p] = clock_.now();
                                       return f.meter.report(p, f.follower.seen());
                                   },
                                   [this, &f](std::size_t p, std::uint64_t sequence, bool full) {
                                       f.meter.acknowledged(p, sequence, full);
                                       const Millis now = clock_.now();
                                       for (auto& [at, heard] : f.failures)
                                           if (at <= f.report_at[p] && !std::exchange(heard[p], true))
                                               parts_.reported.push_back(now - at);
                                   },
                                   [this, &f](std::size_t, Millis asked_at, const plan::Plan& plan) {
                                       const auto taken = f.follower.apply(clock_.now(), asked_at, plan);
                                       if (f.told_at < 0 && left_alone(f)) f.told_at = clock_.now();
                                       return taken == plan::Follower::ApplyResult::accepted ||
                                              taken == plan::Follower::ApplyResult::renewed;
                                   },
                                   [this, &f](std::size_t p) {
                                       return f.follower.holds(p, clock_.now()) ? f.follower.seen()[p]
                                                                                : plan::PlanId{};
                                   }});
        return made;
    }
    bool left_alone(const Forwarder& f) const {
        for (const auto& g : f.follower.guidance(clock_.now()).servers)
            if (g.server == bad_) return g.removed;
        return false;
    }
    void ask(Forwarder& f) {
        f.timer.expires_after(
            std::chrono::microseconds(static_cast<long>(-kGap * 1000 * std::log(1 - random_.unit()))));
        f.timer.async_wait([this, &f](error_code ec) {
            if (ec) return;
            ServerId to = servers_[random_.below(kServers)].id;
            const Millis now = clock_.now();
            f.meter.arrived(0);
            if (to == bad_ && left_alone(f)) {
                if (f.spared_at < 0) f.spared_at = now;
                to = servers_[0].id == bad_ ? servers_[1].id : servers_[0].id;
            }
            const bool fails = to == bad_ && now >= begins_ && random_.unit() < kFails;
            f.meter.sent(to);
            f.meter.ended(to, fails ? kelplb::Outcome::errored : kelplb::Outcome::completed, 20, false);
            if (fails) {
                ++met_;
                if (failed_at_ < 0) failed_at_ = now;
                f.failures.push_back({now, {}});
                if (prompt_) f.client->report_early();
            }
            ask(f);
        });
    }
    void look() {
        look_.expires_after(std::chrono::milliseconds(1));
        look_.async_wait([this](error_code ec) {
            if (ec) return;
            std::size_t know = 0;
            for (const auto& p : planners_) know += p->core().removed(bad_);
            if (removed_at_ < 0 && know >= kPlanners / 2 + 1) removed_at_ = clock_.now();
            look();
        });
    }

    asio::io_context io_{1};
    const Clock clock_;
    bool prompt_;
    Parts& parts_;
    kelplb::Random random_;
    DiscoveryService discovery_;
    std::vector<kelplb::ServerInfo> servers_;
    ServerId bad_ = 0;
    std::vector<std::unique_ptr<plan::PlannerNode>> planners_;
    std::vector<std::unique_ptr<Forwarder>> forwarders_;
    asio::steady_timer look_;
    Millis begins_ = 0, failed_at_ = -1, removed_at_ = -1;
    double met_ = 0;
};

std::string spread(std::vector<Millis> times) {
    if (times.empty()) return "-";
    std::sort(times.begin(), times.end());
    return shown(times[times.size() / 2]) + " / " + shown(times.back());
}

}  // namespace

Result plan_path(const Run& run) {
    const std::size_t rounds = run.quick ? 2 : 12;
    Result result;
    result.columns({"reports and plans", "times", "failure to report heard, ms p50 / max",
                    "first failure to removed by a majority", "removed to guidance at a forwarder",
                    "guidance to first request spared", "requests that failed, mean",
                    "reports a second, each"});
    std::array<Parts, 2> parts;
    for (const bool prompt : {false, true}) {
        std::size_t reports = 0;
        for (std::size_t i = 0; i < rounds; ++i) {
            Path path(run.seed * 100 + i, prompt, parts[prompt]);
            path.run();
            reports += path.reports();
        }
        const Parts& p = parts[prompt];
        double met = 0;
        for (const double n : p.met) met += n / static_cast<double>(std::max<std::size_t>(1, p.met.size()));
        const double each = static_cast<double>(reports) / static_cast<double>(rounds) / kForwarders /
                            kPlanners / ((kBefore + kAfter) / 1000);
        result.row({prompt ? "prompt" : "by their periods", std::to_string(rounds), spread(p.reported),
                    spread(p.removed), spread(p.told), spread(p.spared), shown(met, 1), shown(each, 2)});
        const std::string name = prompt ? ", prompt" : ", by their periods";
        result.figure("requests that failed" + name, met);
        result.figure("reports a second, each" + name, each);
    }
    result.at_least("removals by a majority, of the times", static_cast<double>(parts[1].removed.size()),
                    static_cast<double>(rounds));
    return result;
}

}  // namespace cobaltshift::lab
