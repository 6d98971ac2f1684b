// A planner process: the core with its clock off, its list, and a disk that keeps its identity as the
// program's does (write, sync, rename, sync the folder).
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "plan/planner.hpp"
#include "sim/disk.hpp"
#include "sim/plan_facts.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::sim {

class PlannerDesk : public Part {
public:
    PlannerDesk(Scene& scene, Node number);
    void start() override;

    Network::Endpoint endpoint() const { return endpoint_; }
    const plan::Planner* core() const { return core_.get(); }  // null while it is dead
    Millis clock() const { return scene_.kernel.now() + skew_; }

    // None: it is dead, or could not read it.
    std::optional<plan::Planner::ReportResult> report(const std::string& bytes);
    using Answer = std::function<void(const std::string&)>;
    void asked(Node forwarder, const std::string& name, Network::Endpoint from, std::uint64_t question,
               plan::PlanId has, Answer answer);

    // Faults.
    void stop();
    void boot();
    Disk& disk() { return disk_; }
    void lie(bool on) { lying_ = on; }
    void lag(Millis ms) { lag_ = ms; }  // of what discovery tells it, at each change with a chance of 0.3

private:
    struct Pending {
        Node forwarder;
        std::string name;
        Network::Endpoint from;
        std::uint64_t question;
        plan::PlanId has;
        Answer answer;
    };
    void tick(std::uint64_t life);
    void turned();
    void published();
    void knows();  // tells the bus whom it removes, where that has changed
    void answer(const Pending& one);
    void lie(plan::Plan& said);
    void keep();
    plan::PlanId kept() const;

    Scene& scene_;
    const Node number_;
    const Network::Endpoint endpoint_;
    Stream lots_;
    Disk disk_;
    const Millis skew_;
    std::unique_ptr<plan::Planner> core_;
    std::uint64_t life_ = 0;
    std::map<kelplb::ServerId, kelplb::ServerInfo> list_;
    std::vector<Pending> pending_;
    std::vector<plan::ServerIncarnation> known_;
    bool early_set_ = false, lying_ = false;
    Millis lag_ = 0;
};

}  // namespace cobaltshift::sim
