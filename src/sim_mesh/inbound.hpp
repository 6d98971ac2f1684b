// The server's side of a proxy in virtual time: admission::InboundRequests over ServerConnections, as
// proxy::Inbound has it over sockets. Entry type: Inbound. Called by Proxy and by HopConnections of others.
#pragma once

#include <unordered_map>

#include "admission/inbound_requests.hpp"
#include "registry/records.hpp"
#include "sim_mesh/server_connections.hpp"

namespace cobaltshift::simmesh {

class Proxy;

class Inbound : private admission::Executor {
public:
    using Answered = std::function<void(const HopAnswer&)>;
    Inbound(Proxy& owner, World& world, Ip ip);

    bool beat(const std::string& life, std::uint32_t capacity, bool closing, std::uint64_t seq);
    void gone(const std::string& life);
    void restore(const registry::ServerRecord& former);
    void leave();
    void seen_well(const std::string& life, std::uint32_t capacity);
    void arrived(const HopMessage& message, const CallPtr& call, Answered answer);
    const admission::Admission& admission() const { return requests_.admission(); }
    bool busy() const { return requests_.busy(); }

private:
    // What the core does not need to know of a request.
    struct Held {
        HopMessagePtr message;
        Answered answer;
    };
    void begin(admission::Ticket ticket, Millis until) override;
    void refuse(admission::Ticket ticket, Reason reason) override;
    void expire(admission::Ticket ticket) override { connections_.pool().expire({ticket, 0}); }
    void cancel(admission::Ticket ticket) override { connections_.pool().cancel({ticket, 0}); }
    void schedule_advance() override;
    void set_timer(Millis when) override;

    void ended(admission::Ticket ticket, kelplb::Outcome outcome, const ServerAnswer* said);
    void answer(admission::Ticket ticket, HopAnswer said);

    Proxy& owner_;
    World& world_;
    const Ip ip_;
    admission::InboundRequests requests_;
    ServerConnections connections_;
    std::unordered_map<admission::Ticket, Held> held_;
    std::uint64_t timers_ = 0;
};

}  // namespace cobaltshift::simmesh
