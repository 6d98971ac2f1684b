// The users' rules (RULES.md), one small class each, that hear of all that the world's clients, servers and
// operator see. Entry type: Rules. Called by World and the models; it accuses, and the run goes on.
//
// "In touch" and "settled" are simpler here than on the page, so that nobody is accused without cause:
// trouble is what a scenario does to a machine, its process or its links, it counts from its beginning until
// its end, and any trouble with the core unsettles all of it (so the stretch of an unsettled core is never
// needed).
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "sim_mesh/facts.hpp"

namespace cobaltshift::simmesh {

// Tells one configuration from all others: the prefix of its route of the name "mark".
std::string mark_of(const config::Configuration& configuration);

struct Finding {
    std::string rule, what;
    Millis at;
};

// Since when all is calm.
class Touch {
public:
    explicit Touch(const Bounds& bounds) : bounds_(bounds) {}
    void trouble(Millis now, Ip ip, bool core, bool on);  // begins, ends
    bool in_touch(Millis now, Ip ip) const { return calm(ip, now) && calm(0, now); }
    bool settled(Millis now) const { return calm(0, now); }
    Millis last() const { return last_; }  // trouble of any kind; for those who wait for calm

private:
    struct State {
        int on = 0;
        Millis until = -1e18;
    };
    bool calm(Ip ip, Millis now) const;
    const Bounds& bounds_;
    std::map<Ip, State> states_;  // 0: the core
    Millis last_ = -1e18;
};

struct Run {  // a server has begun work
    RequestPtr request;
    std::string service, life, caller;
    Ip server = 0, by = 0;  // its machine; the proxy that sent it there
    std::string id, path;   // as the server saw them
};

class Rules;
class Checker {
public:
    explicit Checker(Rules& rules) : rules_(rules) {}
    virtual ~Checker() = default;
    virtual void sent(const Request&) {}
    virtual void arrived(const Run&) {}  // at a server, whatever it does with it
    virtual void ran(const Run&) {}
    virtual void answered(const Request&, const Answer&) {}
    virtual void gave_up(const Request&, bool /*read*/, bool /*at its deadline*/) {}  // its client
    // A proxy that began at `started` goes by this configuration first, and does not say that it is
    // unconfirmed.
    virtual void started_with(config::Edition, Millis /*started*/) {}
    virtual void handled(Ip, std::uint64_t /*epoch*/, const Request&, const config::Configuration*) {}
    virtual void closing(Ip, const std::string& /*life*/) {}  // acknowledged
    virtual void ordered(const Order&) {}
    virtual void acknowledged(const Order&) {}
    virtual void refused(const Order&) {}                                    // 412, 400
    virtual void read_back(const std::string& /*mark*/, config::Edition) {}  // at the end; 0: it did not come
    virtual void end() {}

protected:
    Rules& rules_;
};

class Rules {
public:
    Rules(const Timeline& time, const Bounds& bounds);
    void accuse(const std::string& rule, const std::string& what);
    // How much of a bound was used, so that what holds by luck is seen; the worst is kept.
    void used(const std::string& bound, double share) { margins_[bound] = std::max(margins_[bound], share); }
    template <class What>
    void tell(What what) {
        for (const auto& checker : checkers_) what(*checker);
    }
    const Timeline& time;
    const Bounds& bounds;
    Touch touch;
    Millis servers_ill_until = 0;  // no trouble of the system's own, but what it is served with
    Millis traffic_end = 0;
    bool closing_fault = false;  // power or a disk was lost
    const std::vector<Finding>& findings() const { return findings_; }
    const std::map<std::string, double>& margins() const { return margins_; }

private:
    std::vector<std::unique_ptr<Checker>> checkers_;
    std::vector<Finding> findings_;
    std::map<std::string, double> margins_;
};

}  // namespace cobaltshift::simmesh
