// The caller's side of a proxy for one service in virtual time: caller::Caller and hop::AttemptRules over
// HopConnections, as net::Sidecar and proxy::MeshDialect have them over sockets. Entry type: Pool. Called by
// Proxy.
#pragma once

#include <optional>

#include "caller/caller.hpp"
#include "hop/attempt_rules.hpp"
#include "routing/server_directory.hpp"
#include "sim_mesh/hop_connections.hpp"

namespace cobaltshift::simmesh {

class Proxy;

class Pool {
public:
    using Answered = std::function<void(const Answer&)>;

    Pool(Proxy& owner, World& world, std::uint64_t seed, std::optional<kelplb::ZoneId> zone);
    void told(const std::vector<routing::ListedServer>& servers);
    RequestId arrived(const simmesh::RequestPtr& request, const config::Route& route, Millis left,
                      Answered done);
    void client_gone(RequestId id) { caller_.client_gone(id); }
    void answer_all() { caller_.answer_all(); }
    std::size_t unanswered() const { return caller_.unanswered(); }

private:
    // What the caller's core asks of its Surroundings; see caller/caller.hpp.
    friend class caller::Caller<Pool>;
    using RequestPtr = HopMessagePtr;
    using Response = HopAnswer;
    using ClientPtr = Answered;
    using Endpoint = Ip;
    struct RequestContext {
        hop::RequestHistory history;
        std::optional<HopAnswer> last;  // a server's own failure, kept
    };
    struct Host {
        std::string name;
        Ip dial = 0;
        std::string zone;
        std::uint32_t cell = 0;
        Phase phase = Phase::on;
        Millis born = 0;
        double units = 1;
    };

    Millis now() const;
    void post_pump();
    void wake_at(Millis at);
    void send(AttemptKey key, ServerId server, Ip to, const RequestPtr& message, Millis until) {
        connections_.pool().send(key, server, to, message, until);
    }
    void expire(AttemptKey key) { connections_.pool().expire(key); }
    void cancel(AttemptKey key) { connections_.pool().cancel(key); }
    void withdraw_request(RequestId id) { connections_.pool().withdraw_request(id); }
    void withdraw_server(ServerId id) { connections_.pool().withdraw_server(id); }
    void retire(ServerId id) { connections_.pool().retire(id); }
    void close_idle(ServerId id) { connections_.pool().close_idle(id); }
    void probe(ServerId id, Ip to) { connections_.pool().probe(id, to, std::make_shared<HopMessage>()); }
    RequestArrived classify(const RequestPtr& message, RequestContext& request_context);
    bool may_send(const RequestPtr& message, RequestContext& request_context, const std::string& server);
    caller::AttemptResult read(Outcome outcome, const HopAnswer* answer, RequestContext& request_context);
    void answer(const Answered& client, HopAnswer&& answer, bool own);
    HopAnswer refusal(RequestContext& request_context, Millis retry_in);
    HopAnswer failure(RequestContext& request_context);
    ZoneId zone_number(const std::string& zone) const;
    template <class Action>
    void carry_out(const Action&) {}  // no peers, no discovery
    void log(const std::string&, const std::string&) const {}
    void arrived(std::uint32_t) {}
    void sent(ServerId) {}
    void ended(ServerId, Outcome, Millis, std::uint32_t) {}

    Proxy& owner_;
    World& world_;
    hop::AttemptRules rules_;
    caller::Caller<Pool> caller_;
    HopConnections connections_;
    std::uint64_t timers_ = 0;
};

}  // namespace cobaltshift::simmesh
