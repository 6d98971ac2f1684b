// Clients' connections: reads requests, hands them to a Front and writes the answers. Entry type: Listener.
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
#include "net/paced_link.hpp"

namespace cobaltshift {

class Listener {
public:
    struct Limits {
        std::size_t connections = 400;
        std::size_t clients_hold = 300;     // the most that the clients' end holds for requests
        std::size_t body_bytes = 16 << 20;  // of all requests held at a time
        Millis write_time = 5000;  // for an answer, or a piece of a paced one, that the client does not read
    };
    // `link`: by which long answers take turns; none: each is written as fast as its client reads.
    Listener(asio::io_context& io, const Clock& clock, Front& front, Limits limits,
             PacedLink* link = nullptr);
    ~Listener();

    void listen(const tcp::endpoint& at);  // throws if it can't
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    void limit(const Limits& limits) { limits_ = limits; }  // what is over closes as it would by itself

    // From now on each answer closes its connection, and idle ones are closed; new ones are still taken.
    void drain();
    // No new ones either. What waits in the kernel is taken first.
    void stop_accepting();
    // Connections with a request being read, served or answered.
    bool busy() const;
    std::size_t connections() const { return sessions_.size(); }

    // A connection with a request on it, for whoever asks what is held and why it has not ended.
    struct OpenRequest {
        enum class Stage { reading, waiting, answering };
        Stage stage;
        std::string name;             // as the front names it in logs; empty while it is read
        Millis age = 0;               // since its first byte
        std::size_t answer_left = 0;  // bytes that the kernel has not taken, as far as that is known
    };
    std::vector<OpenRequest> open_requests() const;

private:
    class Session;
    using Sessions = std::list<std::shared_ptr<Session>>;

    // What a connection is held for. Lingering and closed ones are held for nobody.
    enum class Account { silent, kept, busy, none };
    static constexpr std::size_t kAccounts = 3;  // but for none, which is not counted
    void book(Account account, std::size_t more) {
        if (account != Account::none) held_[static_cast<std::size_t>(account)] += more;
    }

    void accept();
    bool make_room();
    template <class Wanted>
    bool let_go(Wanted wanted);
    void admit(tcp::socket socket);
    void closed(Session& session);
    void sweep();
    std::size_t held(Account account) const { return held_[static_cast<std::size_t>(account)]; }
    // Clients hold only so many connections, and a new request that finds no place at their end never gets
    // here. So of the places that open requests leave them, half at most may be taken by connections kept
    // between requests: past that an answer closes its connection. Ones that never asked are not counted in:
    // they have the account below.
    bool crowded() const {
        return held(Account::kept) * 2 + held(Account::busy) > limits_.clients_hold ||
               sessions_.size() * 8 > limits_.connections * 7;
    }
    // Ones that never asked must not take the places that clients' requests have a claim to.
    bool too_silent() const {
        return held(Account::silent) + std::min(limits_.clients_hold, limits_.connections * 3 / 4) >
               limits_.connections;
    }

    asio::io_context& io_;
    const Clock& clock_;
    Front& front_;
    Limits limits_;
    PacedLink* const link_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_, sweep_;
    Sessions sessions_;                          // those quiet longest come first
    std::array<std::size_t, kAccounts> held_{};  // connections, by account
    std::unordered_set<std::string> open_;       // ids of the requests that await their answer
    std::size_t body_bytes_ = 0;                 // claimed by requests held
    bool draining_ = false;
    bool accepting_ = false;
    bool paused_ = false;  // out of descriptors
    bool stopped_ = false;
};

}  // namespace cobaltshift
