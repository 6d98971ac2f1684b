// A keeper's process: the Office on sockets, with its folder. Every event goes through pump(), which carries
// out in the Office's order: keep and sync, stored(), send, answer. The disk is waited for: a keeper that
// hasn't synced has nothing to say anyway. Entry type: KeeperNode.
//
// The folder refuses for want of room: nothing has been said; the keeper lets go of it and starts again from
// what it holds. Any other refusal ends it (FolderError from the loop): what a disk says after a sync that
// failed is not to be believed.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "lease/office.hpp"
#include "lease_io/line.hpp"
#include "lease_io/settings.hpp"
#include "metrics/text.hpp"
#include "store_io/folder.hpp"

namespace cobaltshift::lease {

// The folder is not one that this keeper can begin with: not founded, of another fleet, of another keeper.
struct KeeperError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

std::uint64_t fleet_number(const std::string& name);

// Makes an empty folder a founder's; throws KeeperError if it holds something.
void found(const KeeperSettings& own, std::size_t keepers);

class KeeperNode {
public:
    KeeperNode(asio::io_context& io, KeeperSettings own, KeepersSettings all);
    ~KeeperNode();

    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    bool leads() const { return office_ && office_->keeper().leads(); }
    bool votes() const;  // is a member that does
    void stop();         // lets go of its connections and its folder; at a planned end
    // Where not empty, the loop should end: this keeper can't go on.
    const std::string& over() const { return over_; }
    void metrics(MetricsText& text) const;
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
    OfficeSettings office_settings_;
    std::unique_ptr<store::Folder> folder_;
    std::unique_ptr<Office> office_;
    tcp::acceptor acceptor_;
    asio::steady_timer timer_, accept_timer_;
    std::map<std::uint64_t, Session> sessions_;
    std::uint64_t next_session_ = 1;
    std::map<std::uint32_t, std::unique_ptr<Line>> peers_;
    bool stopped_ = false, led_ = false, pump_posted_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::string over_;
    std::function<void()> told_;
    Counts counts_;
};

}  // namespace cobaltshift::lease
