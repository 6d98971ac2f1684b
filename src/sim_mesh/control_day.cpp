#include "sim_mesh/control_day.hpp"

#include <algorithm>
#include <cmath>

namespace cobaltshift::simmesh {

namespace {

using What = ControlFault::What;
using Target = ControlFault::Target;

constexpr Millis kTurn = 5, kSettleWithin = 8000, kAcknowledgementWithin = 2500, kBeforeFirst = 3000,
                 kLast = 1500;
constexpr std::size_t kResentAtTheEnd = 10;
constexpr std::uint32_t kFirstSpare = kFirstHub + 100;
// Of a link that is much used by others, in bytes a millisecond: 6.4 Mbit/s.
constexpr double kNarrowLink = 800;

std::string rounded(Millis at) { return std::to_string(static_cast<long>(std::lround(at))); }

class Player {
public:
    Player(const ControlDay& day, const ControlSafeguards& safeguards)
        : day_(day),
          safeguards_(safeguards),
          random_(day.seed * 7919 + 1),
          cluster_(day.seed, settings()),
          callers_(cluster_, day.callers, day.seed * 31 + 5) {
        cluster_.loss = day.loss;
        cluster_.bytes_per_ms = day.bytes_per_ms;
        cluster_.reads_need_majority = safeguards.majority_for_readings;
        cluster_.acknowledges_after_commit = safeguards.commit_before_acknowledgement;
        cluster_.syncs_before_answers = safeguards.synced_before_answers;
        for (auto& [ip, hub] : cluster_.hubs) hub.sync_ms = day.sync_ms;
        callers_.on_acknowledged = [this] { acknowledged_now_ = true; };
    }

    ControlPlayed play() {
        try {
            run_day();
        } catch (const std::exception& fault) {  // ClusterFault, raft::ProtocolViolation
            accuse("BROKEN", fault.what());
        }
        finish();
        return std::move(played_);
    }

private:
    static control::ReplicaSettings settings() { return {}; }
    void accuse(const std::string& rule, const std::string& what) {
        played_.findings.push_back(rule + ": " + what + " (at " + rounded(cluster_.now) + " ms)");
    }
    void note(const std::string& text) { played_.trace.push_back(rounded(cluster_.now) + " ms: " + text); }
    void margin(const std::string& name, double used) {
        double& worst = played_.margins[name];
        worst = std::max(worst, used);
    }

    // ---- Time
    void turn() {
        cluster_.run(kTurn);
        acknowledged_now_ = false;
        callers_.set_calm(cluster_.now >= calm_from_);
        callers_.turn();
    }
    void run(Millis time) {
        for (const Millis until = cluster_.now + time; cluster_.now < until;) turn();
    }
    template <class Holds>
    bool await(Holds holds, Millis most) {
        const Millis until = cluster_.now + most;
        while (!holds() && cluster_.now < until) turn();
        return holds();
    }

    void run_day() {
        cluster_.await_leader();
        for (int extra = 3; extra < day_.members; ++extra) take_in(next_spare_++);
        calm_from_ = cluster_.now + kContact;
        run(kBeforeFirst);
        for (const ControlFault& fault : day_.faults) {
            run(fault.wait);
            if (fault.on_acknowledgement) {
                await([this] { return acknowledged_now_; }, kAcknowledgementWithin);
                ++played_.struck["right after an acknowledgement"];
            }
            strike(fault);
        }
        run(kLast);
        check_end();
    }

    void take_in(std::uint32_t ip) {
        cluster_.start(ip);
        cluster_.hubs.at(ip).sync_ms = day_.sync_ms;
        if (!await([&] { return cluster_.settled(ip); }, kSettleWithin))
            accuse("MEMBERS", "one was not taken in");
    }

    // ---- Faults
    std::uint32_t chosen(Target target) {
        const std::uint32_t leader = cluster_.leader();
        std::vector<std::uint32_t> all;
        for (const auto& [ip, hub] : cluster_.hubs)
            if (hub.replica && (target != Target::follower || ip != leader)) all.push_back(ip);
        if (target == Target::leader && leader != 0) return leader;
        return all.at(random_.below(all.size()));
    }

    void strike(const ControlFault& fault) {
        const std::uint32_t ip = chosen(fault.target);
        const bool led = ip == cluster_.leader();
        note(std::string(name_of(fault.what)) + " of " + std::to_string(ip - kFirstHub) +
             (led ? ", the leader" : "") + " for " + rounded(fault.lasts) + " ms");
        ++played_.struck[name_of(fault.what)];
        if (led) ++played_.struck["the leader struck"];
        calm_from_ = 1e18;
        std::uint32_t back = ip;
        switch (fault.what) {
            case What::cut:
            case What::hears_none:
            case What::heard_by_none:
            case What::cut_from_one:
                cut(fault, ip);
                break;
            case What::kill:
                down({ip}, fault.lasts, false);
                break;
            case What::kill_all:
                down(running(), std::min(fault.lasts, 1000.0), false);
                break;
            case What::stop:
                cluster_.hand_over(ip);
                run(100);  // what is on its way is answered
                down({ip}, fault.lasts, false);
                break;
            case What::wipe:
                down({ip}, fault.lasts, true);
                break;
            case What::power_all_wipe_one:
                power_all_wipe_one(ip, fault.lasts);
                break;
            case What::replace:
                back = replace(ip, fault.lasts);
                break;
            case What::freeze:
                cluster_.hubs.at(ip).frozen = true;
                run(fault.lasts);
                cluster_.hubs.at(ip).frozen = false;
                break;
            case What::slow_disk:
                cluster_.hubs.at(ip).sync_ms = 30 * day_.sync_ms;
                run(fault.lasts);
                cluster_.hubs.at(ip).sync_ms = day_.sync_ms;
                break;
        }
        repaired(back);
    }

    void cut(const ControlFault& fault, std::uint32_t ip) {
        std::vector<std::uint32_t> others;
        for (const auto& [other, hub] : cluster_.hubs)
            if (other != ip) others.push_back(other);
        if (fault.what == What::cut_from_one) others = {others[random_.below(others.size())]};
        for (const std::uint32_t other : others) {
            if (fault.what != What::heard_by_none) cluster_.cuts.insert({other, ip});
            if (fault.what != What::hears_none) cluster_.cuts.insert({ip, other});
        }
        if (fault.restart_after > 0) {
            run(fault.restart_after);
            ++played_.struck["restarted while cut off"];
            cluster_.kill(ip);
            run(300);
            cluster_.start(ip);
            run(std::max(0.0, fault.lasts - fault.restart_after - 300));
        } else {
            run(fault.lasts);
        }
        cluster_.cuts.clear();
    }

    std::vector<std::uint32_t> running() const {
        std::vector<std::uint32_t> all;
        for (const auto& [ip, hub] : cluster_.hubs)
            if (hub.replica) all.push_back(ip);
        return all;
    }
    void down(const std::vector<std::uint32_t>& ips, Millis lasts, bool disk_too) {
        for (const std::uint32_t ip : ips) cluster_.kill(ip);
        if (disk_too) cluster_.wipe(ips.front());
        run(lasts);
        for (const std::uint32_t ip : ips) cluster_.start(ip);
    }
    void power_all_wipe_one(std::uint32_t ip, Millis lasts) {
        const std::vector<std::uint32_t> all = running();
        for (const std::uint32_t one : all) cluster_.lose_power(one);
        cluster_.wipe(ip);
        run(std::min(lasts, 1000.0));
        for (const std::uint32_t one : all) cluster_.start(one);
    }
    std::uint32_t replace(std::uint32_t ip, Millis lasts) {
        cluster_.kill(ip);
        cluster_.wipe(ip);
        run(lasts);
        cluster_.hubs.erase(ip);
        const std::uint32_t fresh = next_spare_++;
        cluster_.start(fresh);
        cluster_.hubs.at(fresh).sync_ms = day_.sync_ms;
        return fresh;
    }

    // Until the member is back among those that vote, with all that was there when it returned; the next loss
    // may come kCatchUp after this moment.
    void repaired(std::uint32_t ip) {
        const Millis returned = cluster_.now;
        const std::uint64_t newest = callers_.newest_edition();
        const auto back = [&] {
            const auto hub = cluster_.hubs.find(ip);
            return hub != cluster_.hubs.end() && hub->second.replica && cluster_.settled(ip) &&
                   hub->second.replica->state_machine().edition() >= newest;
        };
        const bool caught_up = await(back, kCatchUp);
        margin("catch-up", (cluster_.now - returned) / kCatchUp);
        if (!caught_up) {
            accuse("CATCH-UP", "a member that returned has not caught up");
            for (const auto& [one, hub] : cluster_.hubs) note(describe_member(one));
        }
        note("repaired after " + rounded(cluster_.now - returned) + " ms");
        calm_from_ = returned + kContact;
        run(std::max(0.0, returned + kCatchUp - cluster_.now));
    }

    std::string describe_member(std::uint32_t ip) const {
        const control::Replica* replica = cluster_.hubs.at(ip).replica.get();
        std::string text = "member " + std::to_string(ip - kFirstHub);
        if (!replica) return text + " is down";
        const raft::RaftNode& raft = replica->raft();
        static const char* const roles[] = {"follows", "asks for pre-votes", "asks for votes", "leads"};
        text += std::string(" ") + roles[static_cast<std::size_t>(raft.role())] + " in term " +
                std::to_string(raft.term()) + (raft.member() ? "" : ", no member") + ", log " +
                std::to_string(raft.first()) + " to " + std::to_string(raft.last()) + ", committed " +
                std::to_string(raft.commit()) + "; members";
        for (const raft::Member& member : raft.members())
            text += " " + std::to_string(member.number - kFirstHub) + (member.voter ? "" : " (no vote)");
        return text;
    }

    // ---- The end
    void check_end() {
        callers_.finish();
        if (!await([&] { return callers_.idle(); }, kAckWithin + kContact))
            accuse("ACKS", "a call was not answered at the end");
        std::uint64_t newest = 0;
        for (const auto& [ip, hub] : cluster_.hubs)
            newest = std::max(newest, hub.replica->state_machine().edition());
        const bool alike = await(
            [&] {
                std::set<std::string> states;
                for (const auto& [ip, hub] : cluster_.hubs)
                    states.insert(hub.replica->state_machine().save());
                return states.size() == 1;
            },
            1000);
        if (!alike) accuse("STATES", "the members' states differ at the end");
        const std::size_t all = callers_.acknowledged(), few = std::min(all, kResentAtTheEnd);
        for (std::size_t i = 0; i < few; ++i) send_again(callers_.acknowledged_change(i * all / few));
    }
    void send_again(const config::Change& change) {
        const control::Reply reply = cluster_.await(cluster_.put(cluster_.await_leader(), change));
        if (reply.kind != control::Reply::Kind::taken) accuse("RESEND", "an acknowledged change was refused");
    }
    void finish() {
        const Linearizability said = check_linearizable(callers_.history());
        if (!said.holds) accuse("LINEARIZABLE", said.why);
        if (!said.complete) ++played_.struck["history too wide to be checked"];
        margin("acknowledged, in calm time", callers_.longest_calm_wait() / kAckWithin);
        if (callers_.longest_calm_wait() > kAckWithin) accuse("ACKS", "a call waited too long in calm time");
        margin("answer of a member", callers_.longest_answer() / kAnswerWithin);
        const Callers::Counts& counts = callers_.counts();
        played_.struck["answers lost"] = counts.answers_lost;
        played_.struck["sent again after an acknowledgement"] = counts.resends;
        played_.struck["refused as stale"] = counts.refused;
        played_.struck["refused as invalid"] = counts.invalid;
        played_.struck["sent to the leader"] = counts.redirects;
        played_.struck["snapshot pieces"] = cluster_.snapshot_pieces;
        played_.acknowledged = callers_.acknowledged();
        played_.readings = counts.readings;
        played_.virtual_ms = cluster_.now;
    }

    const ControlDay& day_;
    const ControlSafeguards safeguards_;
    kelplb::Random random_;
    ControlCluster cluster_;
    Callers callers_;
    ControlPlayed played_;
    bool acknowledged_now_ = false;
    Millis calm_from_ = 0;
    std::uint32_t next_spare_ = kFirstSpare;
};

// ---- Drawing ---------------------------------------------------------------------------------------------

class Drawing {
public:
    explicit Drawing(std::uint64_t seed) : random_(seed * 0x9e3779b97f4a7c15 + 3) {}

    ControlDay day(std::uint64_t seed) {
        ControlDay day;
        day.seed = seed;
        day.family = static_cast<ControlFamily>(seed % kControlFamilies);
        day.members = random_.unit() < 0.5 ? 3 : 4;
        day.sync_ms = random_.unit() < 0.5 ? 2 : 0.5;
        day.loss = random_.unit() < 0.25 ? 0.02 : 0;
        switch (day.family) {
            case ControlFamily::cut_off:
                cut_off(day);
                break;
            case ControlFamily::races:
                races(day);
                break;
            case ControlFamily::losses:
                losses(day);
                break;
            case ControlFamily::many_changes:
                many_changes(day);
                break;
        }
        return day;
    }

private:
    Millis between(Millis least, Millis most) { return least + (most - least) * random_.unit(); }
    bool chance(double share) { return random_.unit() < share; }
    What one_of(const std::vector<What>& all) { return all[random_.below(all.size())]; }
    ControlFault fault(What what, Millis least, Millis most) {
        ControlFault one;
        one.what = what;
        one.target = chance(0.6) ? Target::leader : chance(0.5) ? Target::follower : Target::any;
        one.on_acknowledgement = chance(0.5);
        one.wait = chance(0.5) ? 0 : between(0, 1500);  // at once: right after the repair
        one.lasts = between(least, most);
        return one;
    }

    void cut_off(ControlDay& day) {
        for (int i = 0; i < 2; ++i) {
            ControlFault one = fault(
                one_of({What::cut, What::cut, What::hears_none, What::heard_by_none, What::cut_from_one}),
                15000, 21000);
            if (chance(0.4)) one.restart_after = between(500, one.lasts - 1000);
            day.faults.push_back(one);
        }
    }
    void races(ControlDay& day) {
        day.callers.same_base = 0.8;
        day.callers.answers_lost = 0.25;
        day.callers.resends = 0.3;
        day.callers.change_pause = 120;
        for (int i = 0; i < 3; ++i)
            day.faults.push_back(
                fault(one_of({What::kill, What::wipe, What::freeze, What::kill_all}), 300, 1500));
    }
    void losses(ControlDay& day) {
        for (int i = 0; i < 4; ++i)
            day.faults.push_back(fault(one_of({What::wipe, What::replace, What::replace, What::stop,
                                               What::kill, What::kill_all, What::power_all_wipe_one}),
                                       200, 2500));
    }
    void many_changes(ControlDay& day) {
        day.callers.change_pause = 60;
        day.callers.routes = chance(0.2) ? 200 : 20;
        day.bytes_per_ms = chance(0.5) ? kNarrowLink : 0;
        for (int i = 0; i < 2; ++i)
            day.faults.push_back(fault(
                one_of({What::kill, What::wipe, What::replace, What::slow_disk, What::cut}), 1000, 8000));
    }

    kelplb::Random random_;
};

}  // namespace

const char* name_of(ControlFamily family) {
    switch (family) {
        case ControlFamily::cut_off:
            return "cut off";
        case ControlFamily::races:
            return "races";
        case ControlFamily::losses:
            return "losses";
        case ControlFamily::many_changes:
            return "many changes";
    }
    return "?";
}

const char* name_of(What what) {
    static const char* const names[] = {
        "cut",  "hears none", "heard by none", "cut from one",        "kill",   "kill all",
        "stop", "wipe",       "replace",       "power all, wipe one", "freeze", "slow disk"};
    return names[static_cast<std::size_t>(what)];
}

ControlDay drawn_control_day(std::uint64_t seed) { return Drawing(seed).day(seed); }

ControlPlayed play_control_day(const ControlDay& day, const ControlSafeguards& safeguards) {
    return Player(day, safeguards).play();
}

ControlDay shrunk(const ControlDay& day, const ControlSafeguards& safeguards) {
    const auto rule_of = [&](const ControlDay& one) {
        const ControlPlayed played = play_control_day(one, safeguards);
        return played.findings.empty() ? std::string()
                                       : played.findings[0].substr(0, played.findings[0].find(':'));
    };
    const std::string rule = rule_of(day);
    ControlDay least = day;
    const auto try_it = [&](const ControlDay& less) {
        if (rule_of(less) != rule) return false;
        least = less;
        return true;
    };
    for (std::size_t i = least.faults.size(); i-- > 0;) {
        ControlDay less = least;
        less.faults.erase(less.faults.begin() + static_cast<std::ptrdiff_t>(i));
        try_it(less);
    }
    for (std::size_t i = 0; i < least.faults.size(); ++i) {
        ControlDay less = least;
        less.faults[i].lasts /= 2;
        less.faults[i].restart_after = 0;
        try_it(less);
    }
    return least;
}

std::string describe(const ControlDay& day) {
    std::string text = std::string(name_of(day.family)) + ", seed " + std::to_string(day.seed) + ", " +
                       std::to_string(day.members) + " members, sync " + rounded(day.sync_ms) + " ms:";
    for (const ControlFault& fault : day.faults)
        text += std::string(" ") + name_of(fault.what) +
                (fault.on_acknowledgement ? " on acknowledgement" : "") + " for " + rounded(fault.lasts) +
                " ms;";
    return text;
}

}  // namespace cobaltshift::simmesh
