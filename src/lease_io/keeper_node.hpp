// Process of one lease replica ("keeper"): a LeaseServer (lease/office.hpp) with sockets and a data
// directory. Entry type: KeeperNode. After every event pump() processes the core's output in the required
// order: persist and sync, stored(), send, answer. Disk writes block the event loop, as nothing may be sent
// before the sync anyway.
//
// If the disk is full, nothing of the output has been sent yet; the replica closes its data directory and
// restarts from what is stored. Any other disk error stops the replica, because data read after a failed
// sync can't be trusted.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "lease/office.hpp"
#include "lease_io/line.hpp"
#include "lease_io/settings.hpp"
#include "metrics/text.hpp"
#include "store_io/sqlite_storage.hpp"

namespace cobaltshift::lease {

// The data directory is not empty (found()), or belongs to another cluster or another replica.
struct KeeperError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Cluster id: a hash of the cluster's name.
std::uint64_t fleet_number(const std::string& name);

// Initialises an empty data directory for one of the first `keepers` members; throws KeeperError if it isn't
// empty.
void found(const KeeperSettings& own, std::size_t keepers);

// Not thread-safe: all calls are made on the thread that runs `io`.
class KeeperNode {
public:
    // Throws KeeperError, store::StorageError and plan::SecretError.
    KeeperNode(asio::io_context& io, KeeperSettings own, KeepersSettings all);
    ~KeeperNode();

    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    bool leads() const { return office_ && office_->keeper().leads(); }
    bool votes() const;  // this replica is a voting member
    void stop();         // closes all connections and the data directory
    // Not empty after a fatal error: its description. The caller should stop the event loop.
    const std::string& over() const { return over_; }
    void metrics(MetricsText& text) const;
    // `told` is posted once after a fatal error.
    void when_over(std::function<void()> told) { told_ = std::move(told); }

    struct Counts {
        std::uint64_t refused_messages = 0, refused_connections = 0, lives = 0, restarts = 0;
        Millis longest_sync = 0;
    };

private:
    struct Session {
        std::shared_ptr<Channel> channel;
        std::uint32_t peer = UINT32_MAX;
    };
    void boot();
    void begin_anew(const std::string& why);
    void accept();
    void frame(std::uint64_t session, FrameKind kind, std::string_view payload);
    void order(std::uint64_t session, std::string_view payload);
    std::string status() const;
    void event(const std::function<void()>& what);
    void guarded(const std::function<void()>& what);
    void pump();
    void schedule();
    void end(const std::string& why);

    asio::io_context& io_;
    const KeeperSettings own_;
    const KeepersSettings all_;
    const Secret secret_;
    LeaseServerSettings office_settings_;
    std::unique_ptr<store::SqliteStorage> folder_;
    std::unique_ptr<LeaseServer> office_;
    tcp::acceptor acceptor_;
    asio::steady_timer timer_, accept_timer_;
    std::map<std::uint64_t, Session> sessions_;
    std::uint64_t next_session_ = 1;
    std::map<std::uint32_t, std::unique_ptr<ReplicaConnection>> peers_;
    bool stopped_ = false, led_ = false, pump_posted_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::string over_;
    std::function<void()> told_;
    Counts counts_;
};

}  // namespace cobaltshift::lease
