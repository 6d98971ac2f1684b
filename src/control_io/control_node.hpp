// A control node: one replica of the configuration with its store on disk and its connections to the other
// control nodes, on one event loop. Main type: ControlNode, used by the control program and by tests. Not
// thread-safe. See control/replica.hpp for its guarantees and docs/operate/events-control.md for its log
// events.
//
// Internal ports: boot.first_port + 2 for peers; the distributor has its own. If the store fails, the replica
// is stopped and the store is opened again every kStoreRetryDelay; meanwhile requests get 503.
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

constexpr std::chrono::milliseconds kStoreRetryDelay{300}, kStopTimeout{600};
// Client ids with this bit set belong to nodes that ask for the current edition; the others belong to
// operator requests.
constexpr std::uint64_t kCurrentQuestionBit = 1ULL << 63;

class ControlNode {
public:
    // `distributor` and `boot` must outlive the node. Throws boost::system::system_error if a port is in use
    // and StoreMismatch if the store belongs to another cluster or has another format.
    ControlNode(asio::io_context& io, const boot::Boot& boot, config::ConfigDistributor& distributor);
    ~ControlNode();
    ControlNode(const ControlNode&) = delete;
    ControlNode& operator=(const ControlNode&) = delete;

    Resource& config() { return config_; }
    // The control nodes known from gossip, as IPv4 addresses in host byte order. Seeds need not be included.
    void set_control_nodes(std::vector<std::uint32_t> ips);
    bool leads() const { return replica_ && replica_->raft().leads(); }
    config::Edition edition() const { return replica_ ? replica_->state_machine().edition() : 0; }
    std::string status() const;  // JSON
    // Called for each new edition, once it is committed and held by the distributor. Never called from within
    // the constructor.
    std::function<void(config::Edition)> on_edition;

    // Planned stop: transfers the leadership, answers open requests, then closes all sockets and calls
    // `done`, within kStopTimeout. The node stays a member: it may restart with the same disk, or Replica
    // removes it after a successor has joined.
    void stop(std::function<void()> done = {});
    // Called once if this node can't continue (protocol violation, store of another cluster): the program
    // should exit.
    std::function<void(const std::string& why)> on_fatal_error;

private:
    void open();
    void begin_anew(const std::string& why);
    void event(const std::function<void()>& what);
    void guarded(const std::function<void()>& what);
    void pump();
    void schedule();
    void on_store_failure(const std::string& why);
    void fail(const std::string& why);
    void log_changes();
    void send(const raft::Message& message);
    void halt();
    // True if no request is open and no leadership transfer is running, so that the node may stop.
    bool drained() const;
    void ask_current(std::function<void(config::CurrentAnswer)> done);
    void answer_current(const Reply& reply);
    // Answers everything that waits for the replica, because it has stopped.
    void reject_all();

    asio::io_context& io_;
    const boot::Boot& boot_;
    config::ConfigDistributor& distributor_;
    const std::uint32_t ip_;
    ReplicaSettings settings_;
    std::vector<std::uint32_t> seeds_, control_nodes_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<Replica> replica_;
    std::unique_ptr<Peers> peers_;
    ConfigResource config_;
    std::map<std::uint64_t, std::function<void(config::CurrentAnswer)>> current_questions_;
    std::uint64_t next_current_question_ = kCurrentQuestionBit;
    asio::steady_timer timer_, store_timer_, stop_timer_;
    bool stopping_ = false, stopped_ = false, pump_posted_ = false, fatal_reported_ = false;
    bool led_ = false;
    std::uint32_t logged_leader_ = 0;
    std::string disk_ = "new", logged_members_;
    raft::Millis longest_sync_ = 0;
    std::function<void()> stop_done_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift::control
