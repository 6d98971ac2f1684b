// Clients on the machines of proxies: they send plain and registered requests through the proxy beside them,
// try again as PROTOCOL.md says, and count what is served; and the platform that asks proxies whether they
// are ready. Entry type: Clients. Called by World.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "sim_mesh/rules.hpp"
#include "sim_mesh/script.hpp"

namespace cobaltshift::simmesh {

class World;

class Clients {
public:
    explicit Clients(World& world) : world_(world) { poll(); }
    // Its times count from `begin`.
    void traffic(const Traffic& traffic, Millis begin);
    void process_ended(Ip ip);  // of a proxy: its connections close
    // Read by the proxy of this machine, and not answered by it yet.
    std::vector<std::string> unanswered_at(Ip ip) const;
    double sent() const { return sent_; }
    double served() const { return served_; }
    const std::map<unsigned, std::uint64_t>& statuses() const { return statuses_; }

private:
    struct Try {
        RequestPtr request;
        unsigned tries = 1;
        bool read = false;
        bool on_its_way = false;   // the proxy has answered
        std::uint64_t number = 0;  // at the proxy
    };
    struct Platform {
        int failures = 0;
        bool in = true;
    };
    void poll();
    struct Stream {       // of requests of one kind
        double rate = 0;  // a second
        bool registered = false;
        Millis to = 0;
        double leave = 0;
    };
    void next(const Stream& stream);
    void start(const Stream& stream);
    void send(std::shared_ptr<const Request> request, unsigned tries);
    void answered(const std::string& id, const Answer& answer);
    void give_up(const std::string& id, bool at_deadline);

    World& world_;
    std::map<std::string, Try> open_;
    std::map<Ip, Platform> platform_;
    std::map<unsigned, std::uint64_t> statuses_;  // of all tries; 0: closed or given up
    double sent_ = 0, served_ = 0;
    std::uint64_t ids_ = 0;
};

}  // namespace cobaltshift::simmesh
