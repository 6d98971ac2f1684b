// A forwarder: the decision module, its counts and its plans, unchanged, between clients and servers. It
// carries out what the module says and nothing else.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>

#include "kelplb/balancer.hpp"
#include "plan/follower.hpp"
#include "plan/meter.hpp"
#include "plan/pace.hpp"
#include "sim/models/archive.hpp"
#include "sim/models/client.hpp"
#include "sim/plan_facts.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::sim {

class Forwarder : public Part, public Caller {
public:
    Forwarder(Scene& scene, Node number);
    void start() override;

    void arrived(RequestNo request, Kind kind, Millis deadline, Millis work, bool repeat);
    void told(const std::vector<kelplb::ServerInfo>& servers, bool whole);
    void ended(std::uint64_t life, kelplb::RequestId id, std::uint32_t attempt,
               kelplb::Outcome outcome) override;
    void heard(Node from, const std::string& bytes);  // from another forwarder
    void restart();                                   // dies, and comes back under its name

    const plan::Follower& follower() const { return *follower_; }
    const kelplb::Balancer& balancer() const { return *balancer_; }

private:
    struct Open {
        RequestNo request = 0;
        Kind kind = Kind::safe;
        Millis work = 0;
        std::vector<kelplb::ServerId> sent;
        std::vector<Millis> sent_at;
        std::vector<bool> out;
        bool ended = false;
    };
    kelplb::Settings settings() const;
    void give(kelplb::Event event);
    void carry_out(const kelplb::Send& a);
    void carry_out(const kelplb::Cancel& a);
    void carry_out(const kelplb::Refuse& a) { answer(a.id, End::refused, a.retry_in); }
    void carry_out(const kelplb::Fail& a) { answer(a.id, End::failed, 0); }
    void carry_out(const kelplb::SetTimer& a);
    void carry_out(const kelplb::SendToPeer& a);
    void carry_out(const kelplb::Probe& a);
    void carry_out(const kelplb::CloseIdle& a) { idle_.erase(a.server); }
    template <class Other>
    void carry_out(const Other&) {}
    void answer(kelplb::RequestId id, End end, Millis retry_in);
    void forget(kelplb::RequestId id);

    // The plan.
    void await_report(Node planner);
    void report(Node planner);
    void ask(Node planner);
    void came(Node planner, std::uint64_t question, Millis asked_at, const std::string& bytes);
    void guide();
    struct Desk {                    // of one planner
        std::uint64_t question = 0;  // the newest
        std::uint64_t report_timer = 0;
        std::unique_ptr<plan::ReportSchedule> pace;
    };

    Scene& scene_;
    const Node number_;
    const std::size_t planners_;
    const Network::Endpoint endpoint_;
    const std::string name_;  // to planners
    Stream lots_;
    const Millis aim_;
    const bool peers_;  // forwarders speak to one another; probes and connections are played too
    std::map<kelplb::ServerId, int> idle_;  // connections open and unused
    double &taken_, &refused_;              // figures
    std::uint64_t life_ = 0, questions_ = 0;
    std::unique_ptr<kelplb::Balancer> balancer_;
    std::unique_ptr<plan::Meter> meter_;
    std::unique_ptr<plan::Follower> follower_;
    std::map<kelplb::ServerId, kelplb::ServerInfo> list_;
    std::map<kelplb::RequestId, Open> open_;
    std::deque<kelplb::Event> events_;
    bool handling_ = false;
    kelplb::RequestId next_ = 1;
    std::vector<Desk> desks_;
    std::set<kelplb::ServerId> left_alone_;
    bool guided_ = false;
    Millis guide_at_ = 0;
};

}  // namespace cobaltshift::sim
