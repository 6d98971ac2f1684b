// Rules of the plan: no forwarder goes back to an older one; none outlives its life; grants in force stay
// within the planners' part of a cold server's budget; and two reporting periods after the last fault of the
// way all hold one plan of each planner. A forwarder may lag only while a question of its is out: the first
// answer that left after the change must bring it.
#include <algorithm>
#include <map>

#include "sim/models/archive.hpp"
#include "sim/models/forwarder.hpp"
#include "sim/models/planner.hpp"

namespace cobaltshift::sim {

namespace {

constexpr Millis kLook = 100, kReportEvery = 1000, kPatience = 1800;
// Of a cold budget, for grants: what forwarders' own rule, half of it, and chance leave. Stated here again,
// so that the planners' own figure is held against something.
constexpr double kPlannersPart = 0.375;

class PlanRules : public Part {
public:
    explicit PlanRules(Scene& scene)
        : scene_(scene), servers_(scene.day), planners_(scene.day.count("planners", 3)) {
        scene.bus.on<ForwarderUp>(kName, [this](const ForwarderUp& f) {
            for (Node p = 0; p < planners_; ++p) {
                link(f.forwarder, p) = {};
                lagging_.erase({f.forwarder, p});
            }
        });
        scene.bus.on<PlannerTurned>(kName, [this](const PlannerTurned& t) {
            current_[t.planner] = {t.id, -1};
        });
        scene.bus.on<PlanChanged>(kName, [this](const PlanChanged& c) {
            current_[c.planner] = {c.id, scene_.kernel.now()};
        });
        scene.bus.on<PlanAsked>(kName, [this](const PlanAsked& a) {
            Link& one = link(a.forwarder, a.planner);
            one.out = true, one.left_at = -1;
        });
        scene.bus.on<PlanLeft>(
            kName, [this](const PlanLeft& l) { link(l.forwarder, l.planner).left_at = scene_.kernel.now(); });
        scene.bus.on<PlanCame>(kName, [this](const PlanCame& c) { came(c); });
    }
    void start() override {
        Millis quiet = 0;
        for (const Fault& fault : scene_.day.faults) {
            if (fault.kind == "lossy" || fault.kind == "lying") honest_ = false;
            if (fault.kind == "planner-down" || fault.kind == "lossy" || fault.kind == "split" ||
                fault.kind == "lying" || fault.kind == "restart")
                quiet = std::max(quiet, fault.at + fault.length);
        }
        if (planners_ == 0) return;
        const Millis first = quiet + 2 * kReportEvery;
        scene_.kernel.at(first, [this] { agreed(); });
        scene_.kernel.at(std::max(first, scene_.day.length) + 8000, [this] { agreed(); });
        look();
    }
    void over() override {
        for (const auto& [who, change] : lagging_) lags(who.first, who.second);
    }

private:
    static constexpr const char* kName = "plan";
    using Pair = std::pair<Node, Node>;  // forwarder, planner
    struct Link {
        plan::PlanId highest;
        Millis left_at = -1;
        bool out = false;
    };
    struct Change {
        plan::PlanId id;
        Millis at = -1;
    };
    Link& link(Node forwarder, Node planner) {
        const std::size_t at = forwarder * std::max<std::size_t>(1, planners_) + planner;
        if (links_.size() <= at) links_.resize(at + 1);
        return links_[at];
    }
    static std::string name(Node forwarder) { return "forwarder " + std::to_string(forwarder); }

    void came(const PlanCame& c) {
        Link& one = link(c.forwarder, c.planner);
        if (c.seen < one.highest)
            scene_.broken(kName, name(c.forwarder) + " went back to an older plan", name(c.forwarder));
        one.highest = std::max(one.highest, c.seen);
        // Planners say nothing that forwarders must refuse, unless they lie or the way bends what they say.
        if (c.nonsense && honest_)
            scene_.broken(kName, name(c.forwarder) + " was sent a plan that makes no sense",
                          name(c.forwarder));
        // Only a newer plan may end one that is alive: an answer that was doubled or late must not.
        if (c.had && !c.has && c.seen == c.before)
            scene_.broken(kName, name(c.forwarder) + " lost its live plan to an answer of the same identity",
                          name(c.forwarder));
        if (!c.newest) return;
        one.out = false;
        const auto due = lagging_.find({c.forwarder, c.planner});
        if (due == lagging_.end() || one.left_at <= due->second.at) return;
        if (c.seen < due->second.id) lags(c.forwarder, c.planner);
        lagging_.erase(due);
    }
    void agreed() {
        for (Node p = 0; p < planners_; ++p) {
            const plan::Planner* core = scene_.all<PlannerDesk>().at(p)->core();
            if (!core) continue;
            Node f = 0;
            for (const Forwarder* forwarder : scene_.all<Forwarder>()) {
                const bool good = forwarder->follower().holds(p, scene_.kernel.now()) &&
                                  forwarder->follower().seen()[p] == core->id();
                const Link& one = link(f, p);
                if (!good && one.out && current_[p].at >= 0)
                    lagging_[{f, p}] = {core->id(), current_[p].at};
                else if (!good)
                    lags(f, p);
                ++f;
            }
        }
    }
    void lags(Node f, Node p) {
        const plan::Planner* core = scene_.all<PlannerDesk>().at(p)->core();
        const auto& follower = scene_.all<Forwarder>().at(f)->follower();
        scene_.broken(kName,
                      name(f) + " has " + name_of(follower.seen()[p]) +
                          (follower.holds(p, scene_.kernel.now()) ? "" : ", ended,") + " of planner " +
                          std::to_string(p) + "'s " + (core ? name_of(core->id()) : "none") +
                          " after the faults",
                      name(f));
    }
    void look() {
        const Millis now = scene_.kernel.now();
        bool any_up = false, any_cold = false;
        for (const PlannerDesk* desk : scene_.all<PlannerDesk>()) any_up = any_up || desk->core();
        for (const Archive* server : scene_.all<Archive>()) any_cold = any_cold || server->cold();
        if (any_up) alive_at_ = now;
        const bool none_may = !any_up && now > alive_at_ + plan::PlannerSettings().life + kPatience;
        if (any_cold || none_may) {
            std::map<kelplb::ServerId, double> granted;
            Node f = 0;
            for (const Forwarder* forwarder : scene_.all<Forwarder>()) {
                const auto guidance = forwarder->follower().guidance(now);
                if (none_may && !guidance.servers.empty())
                    scene_.broken(kName, "a plan outlives its life at " + name(f), name(f));
                for (const auto& g : guidance.servers) {
                    if (g.server == 0 || g.server > scene_.all<Archive>().size()) continue;  // a liar's
                    if (g.born == scene_.all<Archive>().at(g.server - 1)->born())
                        granted[g.server] += g.cold_rate;
                }
                ++f;
            }
            for (const Archive* server : scene_.all<Archive>()) {
                if (!server->cold()) continue;
                const double can = servers_.overload_multiple * servers_.cold_capacity *
                                   static_cast<double>(servers_.slots) / servers_.work *
                                   1000;  // attempts a second
                const double part = granted[server->id()] / (kPlannersPart * can);
                // With a majority of liars the module's own bound is all that is left, and the budget shows
                // it.
                if (scene_.day.count("liars", 0) >= planners_ / 2 + 1) continue;
                scene_.at_least("grant peak", part);
                if (part > 1)
                    scene_.broken(kName, "grants in force exceed the planners' part of a cold budget",
                                  "server " + std::to_string(server->id()));
            }
        }
        if (now < scene_.day.length + 3000) scene_.kernel.after(kLook, [this] { look(); });
    }

    Scene& scene_;
    const ArchiveSettings servers_;
    const std::size_t planners_;
    std::vector<Link> links_;  // by forwarder and planner
    std::map<Node, Change> current_;
    std::map<Pair, Change> lagging_;
    Millis alive_at_ = 0;
    bool honest_ = true;
};

const Registered kChecker = Registered::checker("plan", [](Scene& scene) { scene.add<PlanRules>(scene); });

}  // namespace

}  // namespace cobaltshift::sim
