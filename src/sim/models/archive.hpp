// The archive servers: slots and a waiting room, a cold start, and what faults do to them.
#pragma once

#include <deque>
#include <map>

#include "sim/facts.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::sim {

// Whoever sent an attempt hears how it ended, over the network.
class Caller {
public:
    virtual ~Caller() = default;
    virtual void ended(std::uint64_t life, kelplb::RequestId id, std::uint32_t attempt,
                       kelplb::Outcome outcome) = 0;
};

// What a case may set of all of them.
struct ArchiveSettings {
    explicit ArchiveSettings(const Case& day);
    std::size_t servers, slots, queue;
    Millis work, warmup_time, fall_window;
    double cold_capacity, overload_multiple;
};

class Archive : public Part {
public:
    struct Job {
        Caller* caller = nullptr;
        std::uint64_t life = 0;  // of the caller
        kelplb::RequestId id = 0;
        std::uint32_t attempt = 0;
        RequestNo request = 0;
        Millis work = 0;
        Network::Endpoint from = 0;
    };
    Archive(Scene& scene, std::size_t number);

    kelplb::ServerInfo info() const;  // as discovery should tell it
    kelplb::ServerId id() const { return static_cast<kelplb::ServerId>(number_ + 1); }
    Network::Endpoint endpoint() const { return endpoint_; }
    bool cold() const;
    Millis born() const { return born_; }

    void receive(Job job);

    // Faults.
    void crash();   // connections break
    void back();    // cold
    void freeze();  // takes and holds, neither works nor answers
    void thaw();
    void fail(double share) { errors_ = share; }
    double failing() const { return errors_; }
    bool answers() const { return up_ && !frozen_ && !mute_; }  // a probe
    void drain(kelplb::Phase phase);                            // only what discovery is told
    void mute(bool on) { mute_ = on; }                          // takes, never answers

private:
    double share() const;
    void begin();
    void finish(std::uint64_t number);
    void answer(const Job& job, kelplb::Outcome outcome, Millis after = 0);

    Scene& scene_;
    const ArchiveSettings settings_;
    std::size_t number_;
    Network::Endpoint endpoint_;
    Stream lots_;
    bool up_ = true, frozen_ = false, mute_ = false;
    kelplb::Phase phase_ = kelplb::Phase::on;
    Millis born_ = 0;
    std::uint64_t life_ = 0, next_ = 1;
    double errors_ = 0;
    std::deque<Job> waiting_;
    std::map<std::uint64_t, Job> running_;
    std::vector<std::uint64_t> over_;  // finished while frozen
};

}  // namespace cobaltshift::sim
