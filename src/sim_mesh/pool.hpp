// The caller's side of a proxy for one service: kelplb::Balancer and the calls that it asks for, glued as
// net/sidecar.cpp and proxy/mesh_dialect.cpp glue them. Entry type: Pool. Called by Proxy.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "admission/retry_budget.hpp"
#include "kelplb/balancer.hpp"
#include "sim_mesh/node.hpp"

namespace cobaltshift::simmesh {

class Proxy;

// One hop: a request on its way to the proxy beside a server.
struct HopRequest {
    RequestPtr request;
    std::string id, path, caller, expected;  // as they are passed on
    bool once = true, may_wait = false;
    int rank = 0;
    Millis target = 0, left = 0;
    config::Edition edition = 0;
    Ip by = 0;
};

class Pool {
public:
    struct Host {
        std::string life;
        Ip ip = 0;
        kelplb::ZoneId zone = 0;
        kelplb::Phase phase = kelplb::Phase::on;
        Millis born = 0;
        double units = 1;
    };
    using Answered = std::function<void(const Answer&)>;

    Pool(Proxy& owner, World& world, std::uint64_t seed, std::optional<kelplb::ZoneId> zone);
    void told(const std::vector<Host>& hosts);
    std::uint64_t arrived(const RequestPtr& request, const config::Route& route, Millis left, Answered done);
    void client_gone(std::uint64_t id);
    std::size_t unanswered() const { return unanswered_; }

private:
    struct Attempt {
        Millis sent_at = 0;
        kelplb::ServerId server = 0;
        CallPtr call;
        bool over = false;
    };
    struct Story {  // as Dialect::Story and MeshDialect::Mark
        unsigned offered = 0, sent = 0;
        bool may_have_run = false;
        Reason reason = Reason::no_server;
        std::string server;
    };
    struct Job {
        RequestPtr request;
        Answered done;
        bool once = true, ended = false;
        unsigned tries = 1;
        int rank = 0;
        Millis target = 0, until = 0;
        Story story;
        std::vector<Attempt> attempts;
        std::size_t out = 0;
    };
    struct Known {
        Host host;
        bool listed = false;
    };
    struct Reading {
        kelplb::Outcome outcome;
        bool final = false;
    };
    void push(kelplb::Event event);
    void pump();
    bool may_send(Job& job, const std::string& life);
    Reading read(kelplb::Outcome outcome, const HopAnswer* answer, Job& job);
    void send(const kelplb::Send& order);
    void dial(std::uint64_t id, std::size_t attempt, const Known& to, Millis until);
    void attempt_ended(std::uint64_t id, std::size_t attempt, kelplb::Outcome outcome,
                       const HopAnswer* answer);
    void answer(Job& job, Answer answer);
    void refuse(std::uint64_t id, Millis retry_in);
    void fail(std::uint64_t id);
    void drop(std::uint64_t id);

    Proxy& owner_;
    World& world_;
    kelplb::Balancer balancer_;
    admission::RetryBudget retry_budget_;
    std::deque<kelplb::Event> events_;
    bool pump_posted_ = false;
    std::map<std::uint64_t, Job> jobs_;
    std::uint64_t next_ = 1;
    std::size_t unanswered_ = 0;
    std::map<std::string, kelplb::ServerId> numbers_;
    std::map<kelplb::ServerId, Known> servers_;
    struct Kept {
        std::uint64_t epoch = 0;
        Millis used = 0;
    };
    std::map<Ip, Kept> kept_;  // connections, by the process at the other end
};

}  // namespace cobaltshift::simmesh
