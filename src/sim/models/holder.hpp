// A process that wants tasks and acts on them while it holds them: lease::Holder unchanged, on a clock that
// runs a little off. Acts go to a Target through the network, each with its fence; one that was looked at
// before a stop and sent after it is the gap that no lease closes: the gate has to.
#pragma once

#include <deque>
#include <memory>

#include "lease/gate.hpp"
#include "lease/holder.hpp"
#include "sim/models/keeper.hpp"

namespace cobaltshift::sim {

// What is acted upon.
class Target : public Part {
public:
    explicit Target(Scene& scene) : scene_(scene), endpoint_(scene.network.endpoint("target")) {}
    Network::Endpoint endpoint() const { return endpoint_; }
    void act(const std::string& task, Node holder, lease::Fence fence);
    const lease::Gate& gate() const { return gate_; }

private:
    Scene& scene_;
    const Network::Endpoint endpoint_;
    lease::Gate gate_;
};

class HolderDesk : public Part {
public:
    HolderDesk(Scene& scene, Node number);
    void start() override;

    const lease::Holder* core() const { return holder_.get(); }
    bool holds(const std::string& task) const;  // now, and not stopped
    void stop();
    void boot();
    void pause(bool on);
    void give_up(const std::string& next);  // of the first task it holds

private:
    void later(Task what);
    void pump();
    void schedule();
    void look();  // tells the bus of rights gained, moved and lost
    void act();
    void count(const std::string& task);
    void send(const std::string& task, lease::Fence fence);
    void heard(const std::string& bytes);
    Millis own() const { return clock_.at(scene_.kernel.now()); }

    Scene& scene_;
    const Node number_;
    const LeaseSettings settings_;
    const Network::Endpoint endpoint_;
    Stream lots_;
    const OwnClock clock_;
    std::unique_ptr<lease::Holder> holder_;
    std::map<std::string, lease::Holder::Right> told_;
    std::map<std::string, std::pair<std::uint64_t, lease::Fence>> counting_;  // on its way, by task
    const bool notes_;
    std::vector<std::string> tasks_;
    std::deque<Task> inbox_;
    std::uint64_t life_ = 0, timer_ = 0;
    bool paused_ = false;
};

}  // namespace cobaltshift::sim
