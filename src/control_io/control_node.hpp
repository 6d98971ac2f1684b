// A control node: one replica of the configuration, with its folder and its peers, on one event loop. Entry
// type: ControlNode. Called by the program of that name, and by tests. See control/replica.hpp for what it
// promises and docs/operate/events-control.md for what it logs.
//
// Internal ports: boot.first_port + 2 for peers; the distributor has its own. Where the folder refuses, the
// replica ends and the folder is tried again every kStoreAgain; meanwhile calls get 503.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "boot/boot.hpp"
#include "config_io/config_distributor.hpp"
#include "control_io/config_resource.hpp"
#include "control_io/peers.hpp"
#include "control_io/store.hpp"

namespace cobaltshift::control {

constexpr std::chrono::milliseconds kStoreAgain{300}, kStopWithin{600};
// Clients of the replica with this bit are questions which edition is current; the others are operators'
// calls.
constexpr std::uint64_t kCurrentQuestionBit = 1ULL << 63;

class ControlNode {
public:
    // `distributor` and `boot` outlive it. Throws StoreForeign if the folder is another's,
    // boost::system::system_error if a port is taken.
    ControlNode(asio::io_context& io, const boot::Boot& boot, config::ConfigDistributor& distributor);
    ~ControlNode();
    ControlNode(const ControlNode&) = delete;
    ControlNode& operator=(const ControlNode&) = delete;

    Resource& config() { return config_; }
    // Hubs that there are, as gossip tells (IPv4 in host order); the seeds are known anyway.
    void hubs(std::vector<std::uint32_t> ips);
    bool leads() const { return replica_ && replica_->raft().leads(); }
    config::Edition edition() const { return replica_ ? replica_->state_machine().edition() : 0; }
    std::string status() const;  // JSON
    // Committed and held by the distributor from now on: to be told of at once. May be called from within the
    // constructor's first turn of the loop, not from the constructor.
    std::function<void(config::Edition)> on_edition;

    // A planned end: the lead goes to another member, what is on its way is answered, then it falls silent;
    // `done` within kStopWithin. It stays a member: its disk comes back, or a successor is taken in first and
    // then it is dropped (Replica).
    void stop(std::function<void()> done = {});
    // This hub can't go on (a protocol broken, a foreign folder): the program should end. Called once.
    std::function<void(const std::string& why)> on_over;

private:
    void open();
    void begin_anew(const std::string& why);
    void event(const std::function<void()>& what);
    void guarded(const std::function<void()>& what);
    void pump();
    void schedule();
    void refuses(const std::string& why);
    void over(const std::string& why);
    void tell();
    void send(const raft::Message& message);
    void halt();
    // Nobody waits for this node any more: it may fall silent.
    bool nothing_left() const;
    void ask_current(std::function<void(config::CurrentAnswer)> done);
    void answer_current(const Reply& reply);
    // The replica is gone: whoever waits is told so.
    void dismiss_all();

    asio::io_context& io_;
    const boot::Boot& boot_;
    config::ConfigDistributor& distributor_;
    const std::uint32_t ip_;
    ReplicaSettings settings_;
    std::vector<std::uint32_t> seeds_, hubs_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<Replica> replica_;
    std::unique_ptr<Peers> peers_;
    ConfigResource config_;
    std::map<std::uint64_t, std::function<void(config::CurrentAnswer)>> current_questions_;
    std::uint64_t next_current_question_ = kCurrentQuestionBit;
    asio::steady_timer timer_, store_timer_, stop_timer_;
    bool stopping_ = false, stopped_ = false, pump_posted_ = false, told_over_ = false;
    bool led_ = false;
    std::uint32_t told_leader_ = 0;
    std::string disk_ = "new", told_members_;
    raft::Millis longest_sync_ = 0;
    std::function<void()> stop_done_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift::control
