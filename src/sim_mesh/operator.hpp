// Operators: they send configurations, one after the other each, to whichever hub they pick, send again what
// got no clear answer, follow 307, and read back at the end. Entry type: Operators. Called by World.
#pragma once

#include <deque>
#include <map>

#include "sim_mesh/hub.hpp"
#include "sim_mesh/rules.hpp"

namespace cobaltshift::simmesh {

class Operators {
public:
    explicit Operators(World& world) : world_(world) {}
    struct Ask {
        config::Edition edition = 0, base = 0;  // 0: the next; the newest that this operator knows
        bool base_given = false, patch = false, valid = true, swap = false;
        std::size_t routes = 0;  // further ones
        Ip via = 0;              // the hub that is asked first
        unsigned who = 1;
    };
    void put(const Ask& ask);
    void resend(config::Edition edition);  // of an order that was acknowledged
    void read_back(Millis until);
    // Called at the operator's, with the hub that acknowledged.
    std::function<void(Ip)> on_ack;
    std::size_t acknowledged() const { return acknowledged_; }

private:
    struct Running {
        Order order;
        Ask ask;
        bool again = false;  // a resend
        Millis pause = 100, settled_for = 0;
    };
    struct Queue {
        std::deque<Running> orders;
        bool busy = false;
        config::Edition known = 0;
    };
    void begin(unsigned who);
    void attempt(unsigned who, Ip hub, int hops);
    void again(unsigned who);
    void done(unsigned who);
    void write(Running& running, config::Edition base);
    void watch();
    void read(Millis until, Ip hub, int hops);
    Ip any_hub();

    World& world_;
    std::map<unsigned, Queue> queues_;
    std::map<config::Edition, Running> acked_;
    config::Edition newest_ = 0;  // of all that were sent
    std::size_t acknowledged_ = 0;
    bool watching_ = false;
    config::Edition read_edition_ = 0;
    std::string read_mark_;
};

}  // namespace cobaltshift::simmesh
