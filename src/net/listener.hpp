// Accepts client connections, reads requests, passes them to a Front and writes the answers. Bounds the
// number of connections, the memory for bodies and the time for each phase. If its process holds too much
// memory, it closes the connections of clients that send or read slowly. Entry type: Listener. Not
// thread-safe: runs on the io_context's thread.
#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "net/clock.hpp"
#include "net/front.hpp"
#include "net/memory_account.hpp"
#include "net/paced_link.hpp"

namespace cobaltshift {

class Listener : private MemoryAccount::Holder {
public:
    struct Limits {
        std::size_t connections = 400;
        std::size_t clients_hold = 300;  // the clients' own limit on the connections for requests
        // Of the bodies of all pending requests together, beside what the memory account allows.
        std::size_t body_bytes = 16 << 20;
        // ms that an answer, or one piece of a paced answer, may wait for the client to read it.
        Millis write_time = 5000;
        // Connections that wait in the kernel to be accepted; what they have sent counts towards the
        // process's memory.
        std::size_t backlog = 1024;
    };
    // `link`: paces long answers over a shared link; null: each answer is written as fast as its client
    // reads. `memory`: of the process; null: what is held is not counted.
    Listener(asio::io_context& io, const Clock& clock, Front& front, Limits limits, PacedLink* link = nullptr,
             MemoryAccount* memory = nullptr);
    ~Listener() override;

    void listen(const tcp::endpoint& at);  // throws if it can't bind
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    // Changes the limits. Connections over a lowered limit are not closed at once but by the usual rules.
    void limit(const Limits& limits) { limits_ = limits; }

    // From now on idle connections are closed and each answer closes its connection. New connections are
    // still accepted.
    void drain();
    // Also stops accepting connections, after accepting those in the kernel's backlog.
    void stop_accepting();
    // Whether there are connections left, with or without a request.
    bool busy() const;
    std::size_t connections() const { return sessions_.size(); }

    // A request that is not completed, for diagnostics.
    struct OpenRequest {
        enum class Stage { reading, waiting, answering };
        Stage stage;
        std::string name;              // the front end's name for log lines; empty while it is read
        Millis age = 0;                // ms since its first byte
        std::size_t unsent_bytes = 0;  // bytes not accepted by the kernel, as far as known
    };
    std::vector<OpenRequest> open_requests() const;

private:
    class Session;
    using Sessions = std::list<std::shared_ptr<Session>>;

    // What a connection is used for: no complete request yet, kept alive between requests, or with a request.
    // Lingering and closed connections are `none` and not counted.
    enum class Usage { unused, kept_alive, busy, none };
    static constexpr std::size_t kCountedUsages = 3;
    void adjust_count(Usage usage, std::size_t delta) {
        if (usage != Usage::none) counts_[static_cast<std::size_t>(usage)] += delta;
    }

    void accept();
    bool evict_any();
    template <class Predicate>
    bool evict(Predicate candidate);
    void add_session(tcp::socket socket);
    void closed(Session& session);
    void sweep();
    bool has_room_for_body(std::size_t bytes) const;
    std::shared_ptr<Session> costliest_session(Millis now, const MemoryAccount::Eligible& eligible) const;
    std::optional<double> highest_cost(Millis now, const MemoryAccount::Eligible& eligible) const override;
    void release_costliest(Millis now, const MemoryAccount::Eligible& eligible) override;
    std::size_t count(Usage usage) const { return counts_[static_cast<std::size_t>(usage)]; }
    // Clients hold a limited number of connections, and a request for which a client finds no free one never
    // arrives here. Therefore kept-alive connections may take at most half of the places that open requests
    // leave; beyond that, an answer closes its connection. Unused connections are not included:
    // too_many_unused() bounds them.
    bool near_limit() const {
        return count(Usage::kept_alive) * 2 + count(Usage::busy) > limits_.clients_hold ||
               sessions_.size() * 8 > limits_.connections * 7;
    }
    // Connections without a request must not take the places reserved for clients' requests.
    bool too_many_unused() const {
        return count(Usage::unused) + std::min(limits_.clients_hold, limits_.connections * 3 / 4) >
               limits_.connections;
    }

    asio::io_context& io_;
    const Clock& clock_;
    Front& front_;
    Limits limits_;
    PacedLink* const link_;
    MemoryAccount* const memory_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_timer_, sweep_timer_;
    Sessions sessions_;                                 // least recently active first
    std::array<std::size_t, kCountedUsages> counts_{};  // connections, by usage
    std::unordered_set<std::string> open_ids_;          // of the requests that await their answer
    std::size_t body_bytes_ = 0;                        // reserved by pending requests
    bool draining_ = false;
    bool accepting_ = false;
    bool accept_paused_ = false;  // out of descriptors
    bool stopped_ = false;
};

}  // namespace cobaltshift
